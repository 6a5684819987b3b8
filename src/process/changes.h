/* Chg: the operators' paths about presets and versions, served on every node.
 *
 * A request is passed on to the leader, which this node finds by asking.  A
 * change goes only to a replica that has just said it is the leader, always
 * with its one id, and again when no outcome comes; so a change that went to
 * nobody is known not to have run.
 */
#ifndef CHANGES_H
#define CHANGES_H

#include "process/control.h"
#include "process/follow.h"
#include "process/operate.h"
#include "version/inforce.h"

typedef struct ChgAsk ChgAsk;

typedef struct {
    const Settings *settings;
    Net *net;
    Counters *counters;
    const Follow *follow;
    const MembershipTable *membership;
    const Control *control;
    InForce *const *in_force; /* of the node */
    ChgAsk *first;
    uint64_t counter;
    size_t next; /* control replica to ask */
    LoopTimer tick;
} Changes;

void Chg_Init(Changes *changes, Loop *loop, Net *net, Counters *counters,
              const Settings *settings, const Follow *follow,
              const MembershipTable *membership, const Control *control,
              InForce *const *in_force);
void Chg_Finish(Changes *changes);

/* Serve /v1/presets, /v1/presets/show, /v1/change, /v1/versions and
 * /v1/replicas. */
void Chg_Serve(Changes *changes, Opr *opr);

#endif
