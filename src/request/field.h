/* Field: the header fields of one HTTP message, borrowed or owned. */
#ifndef FIELD_H
#define FIELD_H

#include "value/str.h"

typedef struct {
    Str name;
    Str value;
} Field;

enum { Field_MAX = 100 };

/* Bounded list; the strings belong to whoever filled it in. */
typedef struct {
    Field items[Field_MAX];
    size_t count;
} FieldList;

/* False when the list is full. */
bool Field_Add(FieldList *list, Str name, Str value);

/* Value of the first field NAME, case ignored; empty when absent. */
Str Field_Get(const FieldList *list, Str name);

/* True for fields that end at one connection (RFC 9110, section 7.6.1),
 * CONNECTION being the value of the Connection field. */
bool Field_IsHopByHop(Str name, Str connection);

#endif
