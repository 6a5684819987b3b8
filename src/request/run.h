/* Run: one attempt at the node beside its backend server, from its arrival
 * to the last piece of its answer.
 *
 * The hub asks the admission decider about each attempt, keeps those that
 * wait, and sends the answer back in bounded pieces as the ingress node
 * credits them.
 */
#ifndef RUN_H
#define RUN_H

#include "connection/backend.h"
#include "connection/callmsg.h"
#include "process/admission.h"
#include "process/counters.h"
#include "process/net.h"
#include "process/timeline.h"

typedef struct Run Run;

typedef struct {
    Net *net;
    Counters *counters;
    Logger *logger;
    Timeline *timeline;
    Adm *admission;
    BckPool *pool;
    uint64_t incarnation; /* of this node */
    Run *first;           /* oldest first */
    Run *last;
    size_t count;
} RunHub;

void Run_HubInit(RunHub *hub, Net *net, Counters *counters, Timeline *timeline,
                 Adm *admission, BckPool *pool, uint64_t incarnation);
void Run_HubFinish(RunHub *hub);

/* Start what may start now; drop what waited past its deadline. */
void Run_HubTick(RunHub *hub, Instant now);

#endif
