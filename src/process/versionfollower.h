/* Fol: how a node learns which version is in force.
 *
 * It asks the control replicas of its region in turn; each of them tells it
 * of a newer version as soon as it has one.  Versions are taken only upward.
 * After its start the node takes none until a replica has confirmed which one
 * is the newest, and none older than that: a replica that lags or is cut off
 * can't bring back an older one.
 */
#ifndef VERSIONFOLLOWER_H
#define VERSIONFOLLOWER_H

#include "process/membership.h"
#include "process/net.h"
#include "process/suspectsync.h"
#include "process/versionpoll.h"
#include "version/config.h"

/* Put JSON in force; false when it cannot be read here. */
typedef bool (*VersionApplyCallback)(void *context, CfgVersion version,
                                     Str json, Instant now);

typedef struct {
    const Settings *settings;
    Net *net;
    Counters *counters;
    Timeline *timeline;
    const MembershipTable *membership;
    const SuspectSync *suspects; /* what is known of them rides on questions */
    VersionApplyCallback apply;
    void *apply_context;
    CfgVersion version;      /* in force here */
    CfgVersion newest_heard; /* heard of */
    CfgVersion min_version;  /* the newest one that was confirmed, */
    bool is_confirmed;       /* if any was since the start */
    bool is_up_to_date;      /* it is in force here */
    Addr leader;             /* as told; Addr_NONE: not known */
    size_t next_replica;     /* control replica to ask */
    VersionPoll poll;
    CfgVersion fetch_version; /* asked for after a replica's word */
    Instant fetch_sent_at;
    LoopTimer tick;
} VersionFollower;

void Fol_Init(VersionFollower *follow, Loop *loop, Net *net,
              Counters *counters, Timeline *timeline, const Settings *settings,
              const MembershipTable *membership, const SuspectSync *suspects,
              VersionApplyCallback use, void *context);
void Fol_Finish(VersionFollower *follow);

#endif
