/* Fwt: changes the routing of a fleet, and watches beside it that what was
 * acknowledged is in force and can be read.
 *
 * One operator sends one change after another, each to a control replica that
 * is drawn, and again to another one while none acknowledges it.  Each change
 * adds a route of its own.  One caller at each node asks for the newest route
 * that must be in force there, and one reader asks replicas that are drawn.
 *
 * The fleet's first VMs are the control replicas; the rest are asked for
 * routes.  Its preset must have no routes.  Times count from Fwt_Init.
 */
#ifndef FLEET_WATCH_H
#define FLEET_WATCH_H

#include "fleet.h"
#include "value/rng.h"

enum { Fwt_CHANGES_MAX = 64, Fwt_QUERIES = Fleet_VMS_MAX + 2 };

/* A request that waits for its answer. */
typedef struct {
    int fd; /* -1: none waits */
    int vm;
    int due;      /* the newest change acknowledged long enough before */
    Span sent_at; /* or, if none waits: when the last one ended */
    StrBuf text;
} WatchQuery;

typedef struct {
    Fleet *fleet;
    Rng rng;
    Instant started_at;
    Span calm_from;     /* the fleet is without faults since; Fwt_Disturb */
    Span first_sent_at; /* of the change that is not acknowledged yet */
    Span read_at;       /* the last read that was answered */
    Span change_gap;    /* between two changes */
    Span acknowledged_at[Fwt_CHANGES_MAX]; /* by change, from 1 on */
    int acknowledged;                      /* changes */
    int wanted;                            /* no more changes than this */
    int asked[Fleet_VMS_MAX]; /* the newest route that a node knew, by VM */
    int fault_count;
    StrBuf faults;                   /* a line for each */
    WatchQuery queries[Fwt_QUERIES]; /* by VM; then operator and reader */
} FleetWatch;

void Fwt_Init(FleetWatch *watch, Fleet *fleet, uint64_t seed, Span change_gap);
void Fwt_Finish(FleetWatch *watch);

/* From now on the fleet has a fault that ends in FOR: bounds hold again a
 * while after its end. */
void Fwt_Disturb(FleetWatch *watch, Span length);

/* Lets the operator go on until COUNT further changes were acknowledged and
 * all nodes know the last, or until LIMIT, which is a fault. */
void Fwt_Run(FleetWatch *watch, int count, Span limit);

/* Lets everything act for LENGTH, with changes up to the number wanted. */
void Fwt_Pass(FleetWatch *watch, Span length);

#endif
