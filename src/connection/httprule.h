/* Htr: checks that RFC 9110 and RFC 9112 require of a request or an answer
 * beyond those of the HTTP reader, and the forms of its target and host that
 * are used for routing.
 */
#ifndef HTTPRULE_H
#define HTTPRULE_H

#include "connection/callerconn.h"
#include "connection/httpread.h"

typedef struct {
    uint16_t status; /* 0: the request is valid */
    Str error_text;
} RequestCheckResult;

/* Checks REQUEST.  The result has the status and the text of the error answer;
 * the text is a literal. */
RequestCheckResult Htr_CheckRequest(const CallerRequest *request);

/* Whether HEAD is the head of an answer in the protocol to a request that
 * asked for no upgrade: a status from 100 to 599 and a body whose length is
 * certain.  docs/DESIGN.md says why other statuses count as none. */
bool Htr_IsAnswer(const HttpHead *head);

/* Returns the target as it is sent to a backend server: of an absolute URI,
 * only the path and query. */
Str Htr_OriginForm(Str target);

/* Returns the value of the Host field without its port, as used by routes. */
Str Htr_HostWithoutPort(const FieldList *fields);

/* A valid id has 1 to 128 visible ASCII characters. */
bool Htr_IsValidRequestId(Str id);

#endif
