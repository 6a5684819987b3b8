/* Fst: one node of a small fleet is stopped by SIGTERM while the callers of a
 * mix act.
 *
 * There are four VMs; the first has the control replica.  The node of
 * Fst_STOPPED_VM gets the signal Fst_SIGNAL_AT after the start of the mix, and
 * SIGKILL when it is still there after Fst_GRACE.
 */
#ifndef FLEET_STOP_H
#define FLEET_STOP_H

#include "fleet_mix.h"

enum { Fst_VMS = 4, Fst_STOPPED_VM = 1, Fst_OTHER_VM = 2 };

#define Fst_SIGNAL_AT Span_MS(1500)
#define Fst_GRACE Span_S(6)

typedef struct {
    bool is_full;    /* backend servers have fewer slots than work */
    bool has_notice; /* callers are told of the stop before it closes their
                        connections */
    bool local_only; /* one backend server, beside the node that stops, else
                        beside all but the first */
    bool has_proxy;  /* between the nodes */
} StopFleet;

typedef struct {
    Fleet *fleet;
    Mix mix;
    Str fault; /* a command for the proxy, sent shortly before the signal;
                  empty: none */
    Span pause_after; /* the process does not run from so long after the
                         signal on */
    Span pause;       /* for so long; 0: it is not paused */
    bool is_faulted;
    bool is_paused;
    bool is_pause_over;
    bool is_signaled;
    bool has_exited;
    Span took;  /* from the signal to the exit */
    int status; /* of the process, as of waitpid */
} FleetStop;

/* Starts the fleet, with routes /look/ (idempotent) and /book/. */
void Fst_StartFleet(Fleet *fleet, Str build, int subnet,
                    const StopFleet *options);

/* Runs COUNT callers from PLANS around the stop, for LIMIT at most, and waits
 * for the end of the process.  The caller then reads stop->mix and frees it
 * with Fst_Finish. */
void Fst_Run(FleetStop *stop, Fleet *fleet, const MixPlan *plans, int count,
             Span limit);
void Fst_Finish(FleetStop *stop);

#endif
