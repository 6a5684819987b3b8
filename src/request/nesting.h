/* Nst: detects the routes whose calls are nested, that is, made by a running
 * request of the backend server beside their ingress node.
 *
 * No field of a call says so.  A nested call ends no later than the run that
 * makes it; so whenever one arrives, a run with the same or a later deadline
 * is in progress.  For a route whose calls come from elsewhere, that is true
 * only by chance.  The detector smooths the share of calls of a route for
 * which it is true.
 *
 * A nested call carries work that has already started: it is placed before
 * other calls, and is not late until its run is late.
 */
#ifndef NESTING_H
#define NESTING_H

#include "value/str.h"

/* Routes are hashed to slots; two routes in one slot share their state. */
enum { Nst_SLOTS = 256 };

typedef struct {
    uint32_t call_count;
    double nested_share; /* of calls with an enclosing run; 0 to 1 */
} RouteNesting;

typedef struct {
    RouteNesting slots[Nst_SLOTS];
} NestingDetector;

/* Records a call of ROUTE.  HAS_ENCLOSING_RUN: a run that ends no sooner than
 * the call is in progress beside this node. */
void Nst_OnCall(NestingDetector *nesting, Str route, bool has_enclosing_run);

/* Whether the calls of ROUTE are taken to be nested; false until enough calls
 * were seen. */
bool Nst_IsNested(const NestingDetector *nesting, Str route);

#endif
