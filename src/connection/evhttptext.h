/* Evt: conversions between the C strings of evhttp and Str.
 */
#ifndef EVHTTPTEXT_H
#define EVHTTPTEXT_H

#include <event2/http.h>

#include "request/field.h"

/* The methods that callers may use, as a mask of evhttp. */
#define Evt_METHODS                                                           \
    (EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_HEAD | EVHTTP_REQ_PUT |    \
     EVHTTP_REQ_DELETE | EVHTTP_REQ_OPTIONS | EVHTTP_REQ_PATCH)

/* Returns the name of METHOD; empty if it is not one of Evt_METHODS. */
Str Evt_MethodName(enum evhttp_cmd_type method);

/* Returns false if NAME is not a supported method. */
bool Evt_ParseMethod(Str name, enum evhttp_cmd_type *method);

/* Fills FIELDS with all HEADERS but the hop-by-hop ones; the strings point
 * into HEADERS.  Returns false if there are too many. */
bool Evt_ReadFields(const struct evkeyvalq *headers, FieldList *fields);

void Evt_AddField(struct evkeyvalq *headers, Str name, Str value);

/* Makes the whole buffer contiguous and returns a view of its bytes. */
Str Evt_BufferView(struct evbuffer *buffer);

#endif
