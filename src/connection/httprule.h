/* Htr: checks that RFC 9110 and RFC 9112 require of a request beyond those
 * of the HTTP reader, and the forms of its target and host that are used for
 * routing.
 */
#ifndef HTTPRULE_H
#define HTTPRULE_H

#include "connection/callerconn.h"

typedef struct {
    uint16_t status; /* 0: the request is valid */
    Str error_text;
} RequestCheckResult;

/* Checks REQUEST.  The result has the status and the text of the error answer;
 * the text is a literal. */
RequestCheckResult Htr_CheckRequest(const CallerRequest *request);

/* Returns the target as it is sent to a backend server: of an absolute URI,
 * only the path and query. */
Str Htr_OriginForm(Str target);

/* Returns the value of the Host field without its port, as used by routes. */
Str Htr_HostWithoutPort(const FieldList *fields);

/* A valid id has 1 to 128 visible ASCII characters. */
bool Htr_IsValidRequestId(Str id);

#endif
