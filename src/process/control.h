/* Ctl: the control replica role: the replicated log, its folder, the
 * configuration it builds, and the messages about them.
 *
 * The fleet's history begins once, when all listed control replicas are up
 * and none holds anything; the first of the list founds it and proposes the
 * preset of its settings' file.  A replica whose folder was lost has a new
 * identity and waits until the leader takes it in as a learner.
 *
 * A replica answers as current once it is known to hold all that was accepted
 * before the question; else it says that it does not know.
 */
#ifndef CONTROL_H
#define CONTROL_H

#include "connection/configmsg.h"
#include "process/membership.h"
#include "process/net.h"
#include "process/replicaset.h"
#include "process/suspectsync.h"
#include "version/config.h"
#include "version/disk.h"
#include "version/rlog.h"

enum {
    Ctl_PENDING_CHANGES_MAX = 64, /* changes proposed and not committed yet */
    Ctl_PENDING_READS_MAX = 64, /* questions about presets not answered yet */
    Ctl_WATCHERS_MAX = 2048     /* nodes told of a new version */
};

/* What another control replica said last. */
typedef struct {
    uint64_t identity;
    bool is_blank;
    Instant hello_received_at; /* 0: never */
} PeerReplica;

/* Who waits for the outcome of an entry. */
typedef struct {
    NetOrigin origin;
    uint64_t request_number;
    uint64_t term;
    uint64_t index; /* 0: free */
} PendingChange;

/* Who asked about presets, and waits until this replica is known to be
 * current. */
typedef struct {
    NetOrigin origin;
    PresetsAskMsg query; /* its name is the one below */
    char preset_name[Cfg_NAME_MAX];
    Instant received_at; /* 0: free */
} PendingRead;

/* A node that asked for the version lately. */
typedef struct {
    Addr node;
    NetOrigin origin;
    Instant polled_at;
    Instant confirm_received_at; /* it has none, and waits likewise; 0: no */
} VersionWatcher;

typedef struct {
    const Settings *settings;
    Loop *loop;
    Net *net;
    Counters *counters;
    Timeline *timeline;
    Rng *rng;
    const MembershipTable *membership;
    ReplicaSet *replica_set;
    SuspectSync *suspects;
    StrBuf initial_preset_name; /* of the settings' file */
    StrBuf initial_preset_json;
    bool is_open; /* the role runs: its folder was read */
    Disk disk;
    Rlog rlog;
    Cfg cfg;
    CfgVersion announced_version; /* to the nodes that watch */
    RlogReplicas replicas;
    uint64_t initial_preset_term; /* in which the file's preset was proposed */
    const NetOrigin *message_origin;     /* of the message that is handled */
    PeerReplica peers[Set_REPLICAS_MAX]; /* by control replica */
    PendingChange pending_changes[Ctl_PENDING_CHANGES_MAX];
    PendingRead pending_reads[Ctl_PENDING_READS_MAX];
    VersionWatcher *watchers;
    size_t watcher_count;
    bool has_pending_reads; /* some of these two wait */
    Instant next_hello_at;
    Instant startup_ends_at; /* it says hello more often */
    Instant open_retry_at;   /* of the next try to read the folder */
    LoopTimer tick;
} ControlReplica;

/* Does nothing on a node that is no control replica.  PRESET_NAME and
 * PRESET_JSON are those of the settings' file, copied. */
void Ctl_Init(ControlReplica *control, Loop *loop, Net *net,
              Counters *counters, Timeline *timeline, const Settings *settings,
              Rng *rng, const MembershipTable *membership, ReplicaSet *known,
              SuspectSync *suspects, Str preset_name, Str preset_json);
void Ctl_Finish(ControlReplica *control);

/* This replica's folder was made at the fleet's first start: it has been
 * there since the history began.  False as long as that is not known. */
bool Ctl_IsInitialReplica(const ControlReplica *control);

/* As Ctl_IsInitialReplica, and this process made the folder. */
bool Ctl_IsFirstStart(const ControlReplica *control);

/* The leader's address as far as this replica knows. */
Addr Ctl_Leader(const ControlReplica *control);

/* The leader, in touch with a quorum. */
bool Ctl_IsLeading(const ControlReplica *control, Instant now);

/* Serve nodes: changes (control_serve.c). */
void Ctl_ServeChanges(ControlReplica *control);

/* Exchange identities with the other control replicas: the beginning of the
 * history, and replicas that come and go (control_hello.c). */
void Ctl_ServeHello(ControlReplica *control);
void Ctl_OnHelloTick(ControlReplica *control, Instant now);

/* The entry at TERM, INDEX was decided. */
void Ctl_OnChangeApplied(ControlReplica *control, uint64_t term,
                         uint64_t index, const CfgResult *result, Instant now);

/* Tell the nodes that watch of a newer version. */
void Ctl_AnnounceVersion(ControlReplica *control, Instant now);

/* Questions that only a current replica answers (control_read.c). */
void Ctl_ServeReads(ControlReplica *control);

/* Answer those that wait, when it is known whether this one is current. */
void Ctl_AnswerReads(ControlReplica *control, Instant now);

/* Send PACK, a message of control, to ORIGIN; it is finished. */
void Ctl_Answer(ControlReplica *control, const NetOrigin *origin, Pack *pack,
                Instant now);

/* Count and log a message that could not be READ; true when it was not. */
bool Ctl_RejectMalformed(ControlReplica *control, bool read, const Err *err);

/* Count a message of control. */
void Ctl_CountMessage(ControlReplica *control, const Pack *pack);

#endif
