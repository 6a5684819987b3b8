/* Field: the header fields of one HTTP message, as names and values whose
 * bytes belong to the code that fills the list.  Used by the HTTP reader, the
 * messages between nodes, and calls. */
#ifndef FIELD_H
#define FIELD_H

#include "value/str.h"

typedef struct {
    Str name;
    Str value;
} Field;

/* Fields of a message that is read, and of one with those that nodes add on
 * its way: at most 5, as they add none twice. */
enum { Field_READ_MAX = 100, Field_MAX = Field_READ_MAX + 5 };

/* The fields in the order of the message; names may repeat. */
typedef struct {
    Field items[Field_MAX];
    size_t count;
} FieldList;

/* Appends a field; returns false when the list has Field_MAX fields.  The
 * strings are not copied. */
bool Field_Add(FieldList *list, Str name, Str value);

/* Value of the first field NAME, ignoring case; empty when absent. */
Str Field_Get(const FieldList *list, Str name);

/* Whether the field NAME applies to one connection only and is not forwarded
 * (RFC 9110, section 7.6.1).  CONNECTION is the value of the message's
 * Connection field. */
bool Field_IsHopByHop(Str name, Str connection);

#endif
