/* Htr: what RFC 9110 and 9112 ask of a request beyond what its reader checks.
 */
#ifndef HTTPRULE_H
#define HTTPRULE_H

#include "connection/stream.h"

typedef struct {
    uint16_t status; /* 0: a good request */
    Str text;
} HtrVerdict;

HtrVerdict Htr_Check(const CstRequest *request);

/* The target as a backend server gets it: of an absolute URI, only the path
 * and query. */
Str Htr_Target(Str target);

/* The host as routes name it: without a port. */
Str Htr_Host(const FieldList *fields);

/* 1 to 128 visible characters. */
bool Htr_IsRequestId(Str id);

#endif
