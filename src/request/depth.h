/* Dep: the call depth field of a request: how many calls are above it in its
 * call tree.
 *
 * The ingress node adds the field to each attempt, with a depth one higher
 * than the request had.  A backend server copies the field to the calls that
 * it makes for the request.  Retries and hedges are made for depth 0 only, so
 * that they do not multiply in a tree of, for example, 30 levels.
 */
#ifndef DEPTH_H
#define DEPTH_H

#include "request/field.h"

/* Returns the depth that FIELDS states; 0 when the field is absent or not a
 * number. */
uint32_t Dep_Read(const FieldList *fields);

/* Sets the field to DEPTH, replacing its value or adding it.  The value is
 * stored in TEXT, which must outlive the use of FIELDS.  Returns false when
 * the list is full. */
bool Dep_Write(FieldList *fields, uint32_t depth, StrBuf *text);

#endif
