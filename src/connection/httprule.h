/* Htr: what RFC 9110 and 9112 ask of a request beyond what its reader checks.
 */
#ifndef HTTPRULE_H
#define HTTPRULE_H

#include "connection/callerconn.h"

typedef struct {
    uint16_t status; /* 0: a good request */
    Str error_text;
} RequestCheckResult;

RequestCheckResult Htr_CheckRequest(const CallerRequest *request);

/* The target as a backend server gets it: of an absolute URI, only the path
 * and query. */
Str Htr_OriginForm(Str target);

/* The host as routes name it: without a port. */
Str Htr_HostWithoutPort(const FieldList *fields);

/* 1 to 128 visible characters. */
bool Htr_IsValidRequestId(Str id);

#endif
