#include "connection/logmsg.h"
#include "process/control.h"

#define HELLO Span_MS(2000)
#define HELLO_NEW Span_MS(500)   /* for a while after the start */
#define HELLO_BLANK Span_MS(100) /* while the fleet's history may begin */
#define HELLO_EXPIRY Span_MS(7000)
#define NEW_TIME Span_S(10)

static const Str genesis_id = Str_LIT("genesis");

/* With seeds, replicas tell each other of all others. */
static void
name_known(const ControlReplica *control, HelloMsg *hello)
{
    const Settings *settings = control->settings;

    for (size_t i = 0; settings->seed_count && i < settings->replica_count;
         i++) {
        if (settings->replicas[i]) {
            hello->known[hello->known_count++] = settings->replicas[i];
        }
    }
}

static void
send_hello(ControlReplica *control, Addr to, const NetOrigin *origin,
           Instant now)
{
    HelloMsg hello = {
        .identity = control->disk.identity,
        .addr = control->settings->address,
        .blank = Rlog_IsBlank(&control->rlog),
        .answer = origin != NULL,
        .suspects = Sps_MakeSummary(control->suspects),
    };
    Pack pack;

    name_known(control, &hello);
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
        control->startup_ends_at = now + NEW_TIME;
    }
    control->next_hello_at =
        now + (blank                            ? HELLO_BLANK
               : now < control->startup_ends_at ? HELLO_NEW
                                                : HELLO);
    for (size_t i = 0; i < settings->replica_count; i++) {
        if (settings->replicas[i] &&
            settings->replicas[i] != settings->address) {
            send_hello(control, settings->replicas[i], NULL, now);
        }
    }
}

static void
take_known(ControlReplica *control, const HelloMsg *hello)
{
    Rps_Add(control->replica_set, hello->addr);
    for (uint32_t i = 0; i < hello->known_count; i++) {
        Rps_Add(control->replica_set, hello->known[i]);
    }
}

static void
on_hello(void *context, const NetOrigin *origin, Unpack *in, Instant now)
{
    ControlReplica *control = context;
    const Settings *settings = control->settings;
    HelloMsg hello;
    Err err = {0};

    if (!Logmsg_ReadHello(in, &hello, &err)) {
        Cnt_Add(control->counters, Cnt_MALFORMED, 1);
        return;
    }
    take_known(control, &hello);
    for (size_t i = 0; i < settings->replica_count; i++) {
        if (settings->replicas[i] == hello.addr) {
            control->peers[i] =
                (PeerReplica){hello.identity, hello.blank, now};
        }
    }
    if (!hello.answer) {
        Sps_OnSummary(control->suspects, origin, &hello.suspects, now);
    }
    if (!hello.answer && control->is_open) {
        send_hello(control, hello.addr, origin, now);
    }
}

static bool
is_heard(const PeerReplica *hello, Instant now)
{
    return hello->hello_received_at &&
           now - hello->hello_received_at < HELLO_EXPIRY;
}

/* The replicas that begin the history: the list, or the seeds. */
static size_t
count_founders(const Settings *settings)
{
    return settings->seed_count ? settings->seed_count
                                : settings->replica_count;
}

static Addr
founder_at(const Settings *settings, size_t number)
{
    return settings->seed_count ? settings->seeds[number]
                                : settings->replicas[number];
}

/* The first of the list; of seeds, whose order may differ by VM, the one of
 * the lowest address, and only where the settings say that it may. */
static bool
may_found(const Settings *settings)
{
    Addr least = settings->address;

    if (!settings->seed_count) {
        return settings->replicas[0] == settings->address;
    }
    for (size_t i = 0; i < settings->seed_count; i++) {
        least = settings->seeds[i] < least ? settings->seeds[i] : least;
    }
    return settings->found && least == settings->address &&
           Rps_Find(&(ReplicaSet){.settings = (Settings *)settings}, least) <
               settings->seed_count;
}

static bool
fill_founder(const ControlReplica *control, Addr addr, RlogReplica *founder,
             Instant now)
{
    size_t place = Rps_Find(control->replica_set, addr);
    const PeerReplica *hello;

    if (addr == control->settings->address) {
        *founder = (RlogReplica){control->disk.identity, addr, true, true};
        return true;
    }
    if (place == Set_REPLICAS_MAX) {
        return false;
    }
    hello = &control->peers[place];
    *founder = (RlogReplica){hello->identity, addr, true, true};
    return is_heard(hello, now) && hello->is_blank;
}

/* Begin the history, when all are here and none holds anything. */
static void
found(ControlReplica *control, Instant now)
{
    const Settings *settings = control->settings;
    RlogReplicas voters = {.count = (uint32_t)count_founders(settings)};

    if (!may_found(settings) || !Rlog_IsBlank(&control->rlog)) {
        return;
    }
    for (uint32_t i = 0; i < voters.count; i++) {
        if (!fill_founder(control, founder_at(settings, i), &voters.items[i],
                          now)) {
            return;
        }
    }
    Rlog_Found(&control->rlog, &voters, now);
}

static void
introduce(ControlReplica *control, Instant now)
{
    const Settings *settings = control->settings;

    for (size_t i = 0; i < settings->replica_count; i++) {
        const PeerReplica *hello = &control->peers[i];
        if (is_heard(hello, now)) {
            Rlog_OnReplica(&control->rlog, hello->identity,
                           settings->replicas[i], hello->hello_received_at,
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

/* A replica may have moved to another address. */
static void
drop_unlisted(ControlReplica *control, Instant now)
{
    const Settings *settings = control->settings;

    for (uint32_t i = 0; !settings->seed_count && i < control->replicas.count;
         i++) {
        Addr addr = control->replicas.items[i].addr;
        if (!is_listed(settings, addr)) {
            Rlog_OnUnlisted(&control->rlog, addr,
                            (uint32_t)settings->replica_count, now);
            return;
        }
    }
}

/* The first version of all is the preset in the leader's file. */
static void
propose_genesis(ControlReplica *control, Instant now)
{
    CfgChange change = {
        .verb = Cfg_PUT,
        .id = genesis_id,
        .preset = StrBuf_View(&control->initial_preset_name),
        .json = StrBuf_View(&control->initial_preset_json),
    };
    Pack pack;

    if (Cfg_InForce(&control->cfg) ||
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
    found(control, now);
    if (Ctl_IsLeading(control, now)) {
        introduce(control, now);
        drop_unlisted(control, now);
        propose_genesis(control, now);
    }
}

void
Ctl_ServeHello(ControlReplica *control)
{
    Net_On(control->net, Wire_HELLO, on_hello, control);
}
