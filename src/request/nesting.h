/* Nst, the decider of which calls come from inside a run of the backend server
 * beside their ingress node.
 *
 * Nothing in a call says so.  But a call from inside a run ends with that run
 * at the latest, so a run that ends no sooner is there whenever one comes; of
 * a route whose calls come from elsewhere, that holds only by chance.  Such a
 * call carries work that is under way already: it goes before others, and is
 * not late before its run is.
 */
#ifndef NESTING_H
#define NESTING_H

#include "value/str.h"

/* Two routes in the same place share what is learned. */
enum { Nst_SLOTS = 256 };

typedef struct {
    uint32_t call_count;
    double
        nested_share; /* smoothed, of calls that may have come from inside */
} RouteNesting;

typedef struct {
    RouteNesting slots[Nst_SLOTS];
} NestingDetector;

/* A call of ROUTE came; INSIDE: a run that ends no sooner is under way. */
void Nst_OnCall(NestingDetector *nesting, Str route, bool inside);

bool Nst_IsNested(const NestingDetector *nesting, Str route);

#endif
