/* Usl: how long calls of each route usually take from their start at a backend
 * server to their whole answer, as this node saw it lately.
 *
 * A mean and a mean deviation, both smoothed.  Source: V. Jacobson,
 * "Congestion avoidance and control", 1988.
 */
#ifndef USUAL_H
#define USUAL_H

#include "value/instant.h"
#include "value/str.h"

/* Two routes in the same place share their times. */
enum { Usl_PLACES = 256 };

typedef struct {
    double mean_us; /* 0: none seen */
    double deviation_us;
} UslTime;

typedef struct {
    UslTime places[Usl_PLACES];
} Usual;

/* A call of ROUTE took TOOK. */
void Usl_OnTime(Usual *usual, Str route, Span took);

/* Of 0: not known. */
typedef enum {
    Usl_FEW,       /* few calls of the route take less */
    Usl_MOST,      /* most stay within it */
    Usl_NEARLY_ALL /* nearly all do */
} UslShare;

Span Usl_Get(const Usual *usual, Str route, UslShare share);

#endif
