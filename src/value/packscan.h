/* Pack_Scan: a look through packed bytes before any memory is spent on them.
 *
 * An array's header may claim four thousand million items in five bytes, and
 * the library reserves room for all of them before it reads the first.
 */
#ifndef PACKSCAN_H
#define PACKSCAN_H

#include "value/err.h"
#include "value/str.h"

/* Items of one message, nested ones counted, at most. */
enum { Pack_ITEMS_MAX = 262144 };

/* True when BYTES are exactly one value made of the types that Pack writes,
 * and hold every item they claim. */
bool Pack_Scan(Str bytes, Err *err);

#endif
