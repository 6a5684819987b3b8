/* Dep: how many calls stand above a request in its call tree.
 *
 * The node beside a backend server is told by the ingress node, which adds a
 * field; a backend server copies it to the calls it makes on behalf of the
 * request.  Retries and hedges are made for depth 0 only, so that a tree 30
 * deep multiplies nothing.
 */
#ifndef DEPTH_H
#define DEPTH_H

#include "request/field.h"

/* 0 when there is no such field, or none that can be read. */
uint32_t Dep_Read(const FieldList *fields);

/* State DEPTH in FIELDS, in place of what it said; the value lies in TEXT.
 * False when the list is full. */
bool Dep_Write(FieldList *fields, uint32_t depth, StrBuf *text);

#endif
