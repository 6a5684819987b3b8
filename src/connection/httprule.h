/* Htr: what RFC 9110 and 9112 ask of a request beyond what evhttp checks.
 */
#ifndef HTTPRULE_H
#define HTTPRULE_H

#include <event2/http.h>

#include "value/str.h"

typedef struct {
    int status; /* 0: a good request */
    Str text;
} HtrVerdict;

/* Check REQUEST; HEADER_BYTES_MAX is the bound on its header section. */
HtrVerdict Htr_Check(struct evhttp_request *request, size_t header_bytes_max);

/* The target as a backend server gets it: of an absolute URI, only the path
 * and query. */
void Htr_Target(struct evhttp_request *request, StrBuf *target);

/* 1 to 128 visible characters. */
bool Htr_IsRequestId(Str id);

#endif
