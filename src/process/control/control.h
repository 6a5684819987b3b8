/* Ctl: the control replica role of a node.  A control replica stores the
 * replicated log in its data folder, applies its committed changes to the
 * configuration, and answers the nodes that poll versions, read presets or
 * propose changes.  Every node has a ControlReplica and calls Ctl_Init and
 * Ctl_Finish; without the role in its settings it does nothing, and the
 * Ctl_Is... functions return false.
 *
 * The fleet's log is bootstrapped once, when all listed control replicas are
 * up and none of them has any history.  The first of the list, or the seed
 * with the lowest address, bootstraps it, and the leader proposes the preset
 * of its own settings file.  A replica whose folder was lost has a new
 * identity and waits until the leader adds it as a learner.
 *
 * A replica answers a read as current only when it is known to hold every
 * change that was accepted before the read came; otherwise it answers that it
 * does not know.
 */
#ifndef CONTROL_H
#define CONTROL_H

#include "connection/configmsg.h"
#include "process/control/replicaset.h"
#include "process/membership/membership.h"
#include "process/net.h"
#include "process/suspects/suspectsync.h"
#include "version/config.h"
#include "version/disk.h"
#include "version/rlog.h"

enum {
    Ctl_PENDING_CHANGES_MAX = 64, /* proposed changes that are not committed */
    Ctl_PENDING_READS_MAX = 64,   /* reads of presets without an answer */
    Ctl_WATCHERS_MAX = 2048 /* nodes to which new versions are announced */
};

/* Another control replica, as its last Wire_REPLICA_HELLO message describes
 * it. */
typedef struct {
    uint64_t identity;         /* made with its data folder */
    bool is_blank;             /* it has no history at all */
    Instant hello_received_at; /* 0: never */
} PeerReplica;

/* A change that this leader proposed, and the node that waits for its
 * outcome. */
typedef struct {
    NetOrigin origin;        /* the answer goes here */
    uint64_t request_number; /* chosen by the node, echoed in the answer */
    uint64_t term;           /* of the log entry that holds the change */
    uint64_t index;          /* of that entry; 0: this slot is free */
} PendingChange;

/* A read of presets that waits until this replica is known to be current. */
typedef struct {
    NetOrigin origin;
    PresetsRequestMessage query; /* query.name points to preset_name */
    char preset_name[Cfg_NAME_BYTES_MAX];
    Instant received_at; /* 0: this slot is free */
} PendingRead;

/* A node that polls this replica for the version in force.  Newer versions are
 * announced to it; it is dropped WATCH_EXPIRY (control_read.c) after its last
 * poll. */
typedef struct {
    Addr node;
    NetOrigin origin;
    Instant request_sent_at;     /* sent_at of its last poll */
    ConfigVersion known_version; /* in that poll */
    bool wants_json;             /* in that poll */
    bool must_be_current;        /* in that poll */
    Instant polled_at;           /* last poll, on this replica's clock */
    Instant waits_since; /* its poll came then and waits until this replica
                            is known to be current enough; 0: answered */
} VersionWatcher;

/* The role, with its stored state and all requests that wait for an answer. */
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
    StrBuf initial_preset_name; /* from the settings file */
    StrBuf initial_preset_json;
    bool is_open; /* the folder was read: disk, rlog and cfg are valid */
    ReplicaStorage disk;
    ReplicatedLog rlog;
    ConfigState cfg;
    ConfigVersion announced_version; /* the newest one sent to the watchers */
    RaftReplicaList replicas;        /* those of the log, as last reported */
    uint64_t initial_preset_term; /* last term in which this replica proposed
                                     the initial preset; 0: none */
    const NetOrigin *message_origin;     /* of the log message being handled */
    PeerReplica peers[Set_REPLICAS_MAX]; /* by slot of replica_set */
    PendingChange pending_changes[Ctl_PENDING_CHANGES_MAX];
    PendingRead pending_reads[Ctl_PENDING_READS_MAX];
    VersionWatcher *watchers; /* Ctl_WATCHERS_MAX, owned */
    size_t watcher_count;
    bool has_pending_reads; /* a pending read, or a watcher that waits */
    bool is_behind; /* polls were last answered with a word that was old */
    Instant read_requested_at; /* last read for nodes' polls; 0: none */
    Instant next_hello_at;
    Instant startup_ends_at; /* hellos are more frequent until then; 0:
                                none was sent yet */
    Instant open_retry_at;   /* the folder is opened again then */
    Instant next_open_log_at;
    LoopTimer tick;
} ControlReplica;

/* Opens the folder and registers the message handlers; if the folder can't be
 * opened, that is logged and tried again later.  On a node that is not a
 * control replica only the members are set.  PRESET_NAME and PRESET_JSON are
 * the initial preset from the settings file; they are copied. */
void Ctl_Init(ControlReplica *control, Loop *loop, Net *net,
              Counters *counters, Timeline *timeline, const Settings *settings,
              Rng *rng, const MembershipTable *membership,
              ReplicaSet *replica_set, SuspectSync *suspects, Str preset_name,
              Str preset_json);
void Ctl_Finish(ControlReplica *control);

/* Whether this replica is one of those that bootstrapped the log, with the
 * same data folder since then.  False while that is not known. */
bool Ctl_IsInitialReplica(const ControlReplica *control);

/* Whether this replica is an initial one and this process created its data
 * folder: the fleet has never run before. */
bool Ctl_IsFirstStart(const ControlReplica *control);

/* The leader's address as far as this replica knows, else Addr_NONE. */
Addr Ctl_Leader(const ControlReplica *control);

/* Whether this replica is the leader and a quorum has answered it recently. */
bool Ctl_IsLeading(const ControlReplica *control, Instant now);

/* Whether this replica is the leader and no other one takes itself for it. */
bool Ctl_LeadsAlone(const ControlReplica *control, Instant now);

/* The leader, if this replica has heard of it lately; else Addr_NONE. */
Addr Ctl_LiveLeader(const ControlReplica *control, Instant now);

/* The functions below are for the files of this module only. */

/* Registers the handler of proposed changes (control_changes.c). */
void Ctl_ServeChanges(ControlReplica *control);

/* Registers the handler of Wire_REPLICA_HELLO, in which control replicas
 * exchange their identities (control_hello.c). */
void Ctl_ServeHello(ControlReplica *control);

/* Sends hellos when they are due.  Bootstraps the log when the hellos of the
 * other replicas allow it; as the leader, reports replicas that come and go to
 * the log, and proposes the initial preset. */
void Ctl_OnHelloTick(ControlReplica *control, Instant now);

/* Sends RESULT, the outcome of the committed change in the entry at TERM,
 * INDEX, to the node that waits for it, if any. */
void Ctl_OnChangeApplied(ControlReplica *control, uint64_t term,
                         uint64_t index, const ConfigResult *result,
                         Instant now);

/* Announces the version in force to all watchers, if it is newer than the one
 * announced last. */
void Ctl_AnnounceVersion(ControlReplica *control, Instant now);

/* Registers the handlers of reads of presets and versions (control_read.c). */
void Ctl_ServeReads(ControlReplica *control);

/* Answers the pending reads for which it is known whether this replica is
 * current, and those that have waited too long. */
void Ctl_AnswerReads(ControlReplica *control, Instant now);

/* Answers ORIGIN with PACK, counts the message, and finishes PACK. */
void Ctl_Answer(ControlReplica *control, const NetOrigin *origin, Pack *pack,
                Instant now);

/* Counts a message that could not be read and logs ERR, the reason.  Does
 * nothing when IS_READ is true.  Returns !IS_READ. */
bool Ctl_RejectMalformed(ControlReplica *control, bool is_read,
                         const Err *err);

/* Counts PACK as a sent control message, with its bytes. */
void Ctl_CountMessage(ControlReplica *control, const Pack *pack);

#endif
