/* Pack_Scan: validation of MessagePack data before it is decoded.
 *
 * An array header of five bytes may declare over 4 billion (2^32 - 1) items,
 * and the msgpack library allocates memory for all of them before it reads the
 * first.  Pack_Scan needs no memory of its own.
 */
#ifndef PACKSCAN_H
#define PACKSCAN_H

#include "value/err.h"
#include "value/str.h"

/* Largest number of array items in a message, those of nested arrays
 * included. */
enum { Pack_ITEMS_MAX = 262144 };

/* Returns true when BYTES are exactly one value, consist only of the types
 * that Pack writes, and contain all bytes and items that their headers
 * declare.  Otherwise returns false and sets ERR: Err_TOO_LARGE for more than
 * Pack_ITEMS_MAX items, else Err_MALFORMED. */
bool Pack_Scan(Str bytes, Err *err);

#endif
