#include "process/versionfollower.h"

#include "connection/configmsg.h"

#define TICK Span_MS(100)
#define FETCH_AGAIN Span_MS(300)

static void
ask(VersionFollower *follow, Addr replica, bool confirm, Instant now)
{
    VersionAskMsg msg = {
        .node = follow->settings->address,
        .have = follow->version,
        .wanted = !confirm,
        .confirm = confirm,
        .suspects = Sps_MakeSummary(follow->suspects),
    };
    Pack pack;

    Configmsg_PackVersionAsk(&pack, &msg);
    Cnt_Add(follow->counters, Cnt_CONTROL_MESSAGES, 1);
    Cnt_Add(follow->counters, Cnt_CONTROL_BYTES, Pack_View(&pack).len);
    Net_Send(follow->net, replica, Pack_View(&pack), now);
    Pack_Finish(&pack);
    Vpl_OnRequest(&follow->poll, now);
}

static bool
is_near(const VersionFollower *follow, Addr replica)
{
    const MemberRow *row = Mbr_Find(follow->membership, replica);

    return row && !row->is_removed &&
           row->record.region == follow->settings->region;
}

static Addr
take_turn(VersionFollower *follow)
{
    const Settings *settings = follow->settings;
    Addr replica = Addr_NONE;

    for (size_t i = 0; i < settings->replica_count && !replica; i++) {
        replica = settings->replicas[follow->next_replica];
        follow->next_replica++;
        if (follow->next_replica == settings->replica_count) {
            follow->next_replica = 0;
        }
    }
    return replica;
}

/* The next replica of this region, or of any when none there answers. */
static Addr
choose(VersionFollower *follow)
{
    bool any = Vpl_UsesAllRegions(&follow->poll);

    for (size_t i = 0; i < follow->settings->replica_count; i++) {
        Addr replica = take_turn(follow);
        if (any || is_near(follow, replica)) {
            return replica;
        }
    }
    return take_turn(follow);
}

static void
ask_when_due(VersionFollower *follow, Instant now)
{
    bool settled = follow->is_up_to_date && follow->suspects->is_synced;

    if (Vpl_IsDue(&follow->poll, settled, now)) {
        ask(follow, choose(follow), !follow->is_up_to_date, now);
    }
}

static void
on_tick(void *context, Instant now)
{
    VersionFollower *follow = context;
    int64_t start = Loop_CpuNs();

    ask_when_due(follow, now);
    Cnt_AddNs(follow->counters, Cnt_CONTROL_CPU_US, Loop_CpuNs() - start);
}

static void
fetch(VersionFollower *follow, Addr replica, CfgVersion version, Instant now)
{
    if (Cfg_CompareVersions(version, follow->fetch_version) <= 0 &&
        now - follow->fetch_sent_at < FETCH_AGAIN) {
        return;
    }
    follow->fetch_version = version;
    follow->fetch_sent_at = now;
    ask(follow, replica, false, now);
}

static void
take(VersionFollower *follow, Addr from, const VersionMsg *msg, Instant now)
{
    if (Cfg_CompareVersions(msg->version, follow->newest_heard) > 0) {
        follow->newest_heard = msg->version;
    }
    if (Cfg_CompareVersions(msg->version, follow->version) <= 0) {
        return;
    }
    if (msg->json.len == 0) {
        fetch(follow, from, msg->version, now);
    }
    else if (follow->apply(follow->apply_context, msg->version, msg->json,
                           now)) {
        follow->version = msg->version;
    }
}

/* Nothing newer existed when the node asked: never take an older one. */
static void
confirm(VersionFollower *follow, CfgVersion version)
{
    follow->is_confirmed = true;
    if (Cfg_CompareVersions(version, follow->min_version) > 0) {
        follow->min_version = version;
    }
}

static void
on_version(void *context, const NetOrigin *origin, Unpack *in, Instant now)
{
    VersionFollower *follow = context;
    VersionMsg msg;
    Err err = {0};

    if (!Configmsg_ReadVersion(in, &msg, &err) ||
        (!origin->peer &&
         !Err_SET(&err, Err_REFUSED, "a version that nobody asked for"))) {
        Cnt_Add(follow->counters, Cnt_MALFORMED, 1);
        Lgr_LogErr(follow->timeline->logger, Lgr_WARNING,
                   Str_LIT("message_refused"), &err);
        return;
    }
    Vpl_OnResponse(&follow->poll, msg.linked);
    if (msg.leader) {
        follow->leader = msg.leader;
    }
    if (msg.current) {
        confirm(follow, msg.version);
    }
    if (follow->is_confirmed &&
        Cfg_CompareVersions(msg.version, follow->min_version) >= 0) {
        take(follow, origin->peer, &msg, now);
    }
    follow->is_up_to_date =
        follow->is_confirmed && follow->version.term > 0 &&
        Cfg_CompareVersions(follow->version, follow->min_version) >= 0;
}

void
Fol_Init(VersionFollower *follow, Loop *loop, Net *net, Counters *counters,
         Timeline *timeline, const Settings *settings,
         const MembershipTable *membership, const SuspectSync *suspects,
         VersionApplyCallback use, void *context)
{
    *follow = (VersionFollower){
        .settings = settings,
        .net = net,
        .counters = counters,
        .timeline = timeline,
        .membership = membership,
        .suspects = suspects,
        .apply = use,
        .apply_context = context,
    };
    Net_On(net, Wire_VERSION, on_version, follow);
    LoopTimer_Init(&follow->tick, loop, TICK, on_tick, follow);
}

void
Fol_Finish(VersionFollower *follow)
{
    LoopTimer_Finish(&follow->tick);
}
