/* Evt: what passes between evhttp's C strings and our Str. */
#ifndef EVHTTPTEXT_H
#define EVHTTPTEXT_H

#include <event2/http.h>

#include "request/field.h"

/* Every method that evhttp knows and callers may use. */
#define Evt_METHODS                                                           \
    (EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_HEAD | EVHTTP_REQ_PUT |    \
     EVHTTP_REQ_DELETE | EVHTTP_REQ_OPTIONS | EVHTTP_REQ_PATCH)

Str Evt_MethodName(enum evhttp_cmd_type method);

/* False when NAME is no method of evhttp. */
bool Evt_ParseMethod(Str name, enum evhttp_cmd_type *method);

/* Take over HEADERS but those that end at one connection; false when there
 * are too many. */
bool Evt_ReadFields(const struct evkeyvalq *headers, FieldList *fields);

void Evt_AddField(struct evkeyvalq *headers, Str name, Str value);

/* Contiguous view of the whole buffer. */
Str Evt_BufferView(struct evbuffer *buffer);

#endif
