/* Fol: how a node learns which version is in force.
 *
 * It asks the control replicas of its region in turn; each of them tells it
 * of a newer version as soon as it has one.  Versions are taken only upward.
 * After its start the node takes none until a replica has confirmed which one
 * is the newest, and none older than that: a replica that lags or is cut off
 * can't bring back an older one.
 */
#ifndef FOLLOW_H
#define FOLLOW_H

#include "process/membership.h"
#include "process/net.h"
#include "process/suspectsync.h"
#include "process/versionpoll.h"
#include "version/config.h"

/* Put JSON in force; false when it cannot be read here. */
typedef bool (*FolUse)(void *context, CfgVersion version, Str json,
                       Instant now);

typedef struct {
    const Settings *settings;
    Net *net;
    Counters *counters;
    Timeline *timeline;
    const MembershipTable *membership;
    const SuspectSync *suspects; /* what is known of them rides on questions */
    FolUse use;
    void *context;
    CfgVersion version; /* in force here */
    CfgVersion newest;  /* heard of */
    CfgVersion floor;   /* the newest one that was confirmed, */
    bool confirmed;     /* if any was since the start */
    bool settled;       /* it is in force here */
    Addr leader;        /* as told; Addr_NONE: not known */
    size_t next;        /* control replica to ask */
    VersionPoll turn;
    CfgVersion fetched; /* asked for after a replica's word */
    Instant fetched_at;
    LoopTimer tick;
} Follow;

void Fol_Init(Follow *follow, Loop *loop, Net *net, Counters *counters,
              Timeline *timeline, const Settings *settings,
              const MembershipTable *membership, const SuspectSync *suspects,
              FolUse use, void *context);
void Fol_Finish(Follow *follow);

#endif
