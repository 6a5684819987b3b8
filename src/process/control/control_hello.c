#include "connection/logmsg.h"
#include "process/control/control.h"

#define HELLO_INTERVAL Span_MS(2000)
#define HELLO_INTERVAL_STARTUP Span_MS(500) /* for STARTUP_TIME */
#define HELLO_INTERVAL_BLANK                                                  \
    Span_MS(100) /* while this replica has no history */
#define HELLO_EXPIRY Span_MS(7000)
#define STARTUP_TIME Span_S(10)

static const Str initial_change_id = Str_LIT("genesis");

/* With seeds, each hello lists all control replicas that the sender knows. */
static void
add_known_replicas(const ControlReplica *control, ReplicaHelloMessage *hello)
{
    const Settings *settings = control->settings;

    for (size_t i = 0; settings->seed_count && i < settings->replica_count;
         i++) {
        if (settings->replicas[i]) {
            hello->known_replicas[hello->known_replica_count++] =
                settings->replicas[i];
        }
    }
}

static void
send_hello(ControlReplica *control, Addr to, const NetOrigin *origin,
           Instant now)
{
    ReplicaHelloMessage hello = {
        .identity = control->disk.identity,
        .addr = control->settings->address,
        .is_blank = Rlog_IsBlank(&control->rlog),
        .is_reply = origin != NULL,
        .suspects = Sps_MakeSummary(control->suspects),
    };
    Pack pack;

    add_known_replicas(control, &hello);
    Logmsg_PackHello(&pack, &hello);
    Ctl_CountMessage(control, &pack);
    if (origin) {
        Net_Answer(control->net, origin, Pack_View(&pack), now);
    }
    else {
        Net_Send(control->net, to, Pack_View(&pack), now);
    }
    Pack_Finish(&pack);
}

static void
send_hellos(ControlReplica *control, Instant now)
{
    const Settings *settings = control->settings;
    bool blank = Rlog_IsBlank(&control->rlog);

    if (now < control->next_hello_at) {
        return;
    }
    if (!control->startup_ends_at) {
        control->startup_ends_at = now + STARTUP_TIME;
    }
    control->next_hello_at =
        now + (blank                            ? HELLO_INTERVAL_BLANK
               : now < control->startup_ends_at ? HELLO_INTERVAL_STARTUP
                                                : HELLO_INTERVAL);
    for (size_t i = 0; i < settings->replica_count; i++) {
        if (settings->replicas[i] &&
            settings->replicas[i] != settings->address) {
            send_hello(control, settings->replicas[i], NULL, now);
        }
    }
}

static void
merge_known_replicas(ControlReplica *control, const ReplicaHelloMessage *hello)
{
    Rps_Add(control->replica_set, hello->addr);
    for (uint32_t i = 0; i < hello->known_replica_count; i++) {
        Rps_Add(control->replica_set, hello->known_replicas[i]);
    }
}

static void
on_hello(void *context, const NetOrigin *origin, Unpack *in, Instant now)
{
    ControlReplica *control = context;
    const Settings *settings = control->settings;
    ReplicaHelloMessage hello;
    Err err = {0};

    if (!Logmsg_ReadHello(in, &hello, &err)) {
        Cnt_Add(control->counters, Cnt_MALFORMED, 1);
        return;
    }
    merge_known_replicas(control, &hello);
    for (size_t i = 0; i < settings->replica_count; i++) {
        if (settings->replicas[i] == hello.addr) {
            control->peers[i] =
                (PeerReplica){hello.identity, hello.is_blank, now};
        }
    }
    if (!hello.is_reply) {
        Sps_OnSummary(control->suspects, origin, &hello.suspects, now);
    }
    if (!hello.is_reply && control->is_open) {
        send_hello(control, hello.addr, origin, now);
    }
}

static bool
is_recent(const PeerReplica *peer, Instant now)
{
    return peer->hello_received_at &&
           now - peer->hello_received_at < HELLO_EXPIRY;
}

/* The initial replicas bootstrap the log as its first voters: the replicas of
 * the list, or the seeds. */
static size_t
count_initial_replicas(const Settings *settings)
{
    return settings->seed_count ? settings->seed_count
                                : settings->replica_count;
}

static Addr
get_initial_replica(const Settings *settings, size_t number)
{
    return settings->seed_count ? settings->seeds[number]
                                : settings->replicas[number];
}

/* Exactly one replica may bootstrap the log.  With a list that is its first
 * replica.  The order of seeds may differ between VMs, so with seeds it is the
 * one with the lowest address, which must be a seed itself and have
 * begin_history in its settings. */
static bool
may_bootstrap(const Settings *settings)
{
    Addr lowest = settings->address;

    if (!settings->seed_count) {
        return settings->replicas[0] == settings->address;
    }
    for (size_t i = 0; i < settings->seed_count; i++) {
        lowest = settings->seeds[i] < lowest ? settings->seeds[i] : lowest;
    }
    return settings->begin_history && lowest == settings->address &&
           Rps_Find(&(ReplicaSet){.settings = (Settings *)settings}, lowest) <
               settings->seed_count;
}

static bool
fill_initial_replica(const ControlReplica *control, Addr addr,
                     RaftReplica *replica, Instant now)
{
    size_t slot = Rps_Find(control->replica_set, addr);
    const PeerReplica *peer;

    if (addr == control->settings->address) {
        *replica = (RaftReplica){control->disk.identity, addr, true, true};
        return true;
    }
    if (slot == Set_REPLICAS_MAX) {
        return false;
    }
    peer = &control->peers[slot];
    *replica = (RaftReplica){peer->identity, addr, true, true};
    return is_recent(peer, now) && peer->is_blank;
}

/* Bootstraps the log once all initial replicas are up and none of them has any
 * history. */
static void
bootstrap(ControlReplica *control, Instant now)
{
    const Settings *settings = control->settings;
    RaftReplicaList voters = {.count =
                                  (uint32_t)count_initial_replicas(settings)};

    if (!may_bootstrap(settings) || !Rlog_IsBlank(&control->rlog)) {
        return;
    }
    for (uint32_t i = 0; i < voters.count; i++) {
        if (!fill_initial_replica(control, get_initial_replica(settings, i),
                                  &voters.items[i], now)) {
            return;
        }
    }
    Rlog_Bootstrap(&control->rlog, &voters, now);
}

static void
report_peers(ControlReplica *control, Instant now)
{
    const Settings *settings = control->settings;

    for (size_t i = 0; i < settings->replica_count; i++) {
        const PeerReplica *peer = &control->peers[i];
        if (is_recent(peer, now)) {
            Rlog_OnReplicaSeen(&control->rlog, peer->identity,
                               settings->replicas[i], peer->hello_received_at,
                               now);
        }
    }
}

static bool
is_listed(const Settings *settings, Addr addr)
{
    for (size_t i = 0; i < settings->replica_count; i++) {
        if (settings->replicas[i] == addr) {
            return true;
        }
    }
    return false;
}

/* Reports to the log one replica whose address is not in the list any more,
 * for example because the replica moved to another address. */
static void
report_unlisted(ControlReplica *control, Instant now)
{
    const Settings *settings = control->settings;

    for (uint32_t i = 0; !settings->seed_count && i < control->replicas.count;
         i++) {
        Addr addr = control->replicas.items[i].addr;
        if (!is_listed(settings, addr)) {
            Rlog_OnUnlistedAddr(&control->rlog, addr,
                                (uint32_t)settings->replica_count, now);
            return;
        }
    }
}

/* The first version of the configuration is the preset in the settings file of
 * the leader. */
static void
propose_initial_preset(ControlReplica *control, Instant now)
{
    ConfigChange change = {
        .verb = Cfg_PUT_PRESET,
        .id = initial_change_id,
        .preset_name = StrBuf_View(&control->initial_preset_name),
        .json = StrBuf_View(&control->initial_preset_json),
    };
    Pack pack;

    if (Cfg_PresetInForce(&control->cfg) ||
        control->initial_preset_term == control->rlog.term) {
        return;
    }
    control->initial_preset_term = control->rlog.term;
    Pack_Init(&pack, Cfg_CHANGE_FIELDS);
    Cfg_PackChange(&pack, &change);
    Rlog_Propose(&control->rlog, Pack_View(&pack), now);
    Pack_Finish(&pack);
}

void
Ctl_OnHelloTick(ControlReplica *control, Instant now)
{
    send_hellos(control, now);
    bootstrap(control, now);
    if (Ctl_IsLeading(control, now)) {
        report_peers(control, now);
        report_unlisted(control, now);
        propose_initial_preset(control, now);
    }
}

void
Ctl_ServeHello(ControlReplica *control)
{
    Net_SetHandler(control->net, Wire_REPLICA_HELLO, on_hello, control);
}
