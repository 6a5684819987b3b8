/* Fol: follows the configuration version in force for a node.  The node calls
 * Fol_Init at its start; from then on APPLY is called with each newer version.
 *
 * The follower polls the control replicas of its region in turn, and several
 * of any region when one did not know enough; a polled replica announces a
 * newer version as soon as it has one.  Its preset is fetched from a replica
 * of the node's own region where one has it.  Versions are only ever replaced
 * by newer ones.  After its start the node accepts no version until a replica
 * has confirmed which one is the newest, and none older than that, so that a
 * replica that lags or is partitioned can't bring back an older version.
 */
#ifndef VERSIONFOLLOWER_H
#define VERSIONFOLLOWER_H

#include "process/control/versionpoll.h"
#include "process/control/versionword.h"
#include "process/membership/membership.h"
#include "process/net.h"
#include "process/suspects/suspectsync.h"
#include "version/config.h"

/* What a version puts in force. */
typedef struct {
    ConfigVersion version;
    Str json;      /* the preset; empty: that of the former version */
    Str evacuated; /* failure domains, as of Cfg_ListEvacuated */
} VersionContent;

/* Puts CONTENT in force.  Returns false when this node can't read it; then the
 * former version stays in force. */
typedef bool (*VersionApplyCallback)(void *context,
                                     const VersionContent *content,
                                     Instant now);

/* A node's polling state, and the versions it has heard of. */
typedef struct {
    const Settings *settings;
    Net *net;
    Counters *counters;
    Timeline *timeline;
    const MembershipTable *membership;
    const SuspectSync *suspects; /* their summary is sent with each poll */
    VersionApplyCallback apply;
    void *apply_context;
    ConfigVersion version;      /* in force here; {0, 0}: none yet */
    StrBuf evacuated;           /* in VERSION; as of Cfg_ListEvacuated */
    ConfigVersion newest_heard; /* the newest one that any replica named */
    ConfigVersion min_version;  /* the newest confirmed one; older ones are
                                rejected */
    bool is_confirmed;          /* a version was confirmed since the start */
    bool is_up_to_date; /* min_version or a newer one is in force here */
    VersionWord word;   /* how old what is known of VERSION is */
    Addr asked[Set_REPLICAS_MAX]; /* the last replicas asked */
    size_t asked_count;           /* requests since the last answer that was
                                     young enough */
    Instant first_request_at;     /* 0: none sent yet */
    Addr leader;         /* as named by replicas; Addr_NONE: not known */
    size_t next_replica; /* index in settings->replicas */
    VersionPoll poll;    /* when to poll, and in which region */
    ConfigVersion fetch_version; /* the last one whose preset was requested */
    Instant fetch_sent_at;       /* when that was */
    ConfigVersion far_version;   /* that a replica of another region told of */
    Addr far_replica;            /* that one */
    Instant far_heard_at;        /* when it told of it */
    LoopTimer tick;
} VersionFollower;

/* Starts to poll.  APPLY is called with CONTEXT; all pointers must outlive
 * FOLLOWER. */
void Fol_Init(VersionFollower *follower, Loop *loop, Net *net,
              Counters *counters, Timeline *timeline, const Settings *settings,
              const MembershipTable *membership, const SuspectSync *suspects,
              VersionApplyCallback apply, void *context);
void Fol_Finish(VersionFollower *follower);

#endif
