#include "process/control/versionfollower.h"

#include "connection/configmsg.h"

#define TICK Span_MS(100)

/* The same version is not requested again within this time. */
#define FETCH_RETRY Span_MS(300)

/* A version that a replica of another region has told of is fetched there
 * after this, unless one of this region has told of it. */
#define NEAR_WAIT Span_MS(300)

static void
send_request(VersionFollower *follower, Addr replica, bool confirm,
             Instant now)
{
    VersionRequestMessage msg = {
        .node = follower->settings->address,
        .known_version = follower->version,
        .wants_json = !confirm,
        .must_be_current = confirm,
        .sent_at = now,
        .suspects = Sps_MakeSummary(follower->suspects),
    };
    Pack pack;

    Configmsg_PackVersionRequest(&pack, &msg);
    Cnt_Add(follower->counters, Cnt_CONTROL_MESSAGES, 1);
    Cnt_Add(follower->counters, Cnt_CONTROL_BYTES, Pack_View(&pack).len);
    Net_Send(follower->net, replica, Pack_View(&pack), now);
    Pack_Finish(&pack);
    if (!follower->first_request_at) {
        follower->first_request_at = now;
    }
}

static bool
is_in_region(const VersionFollower *follower, Addr replica)
{
    const MemberRow *row = Mbr_Find(follower->membership, replica);

    return row && !row->is_removed &&
           row->record.region == follower->settings->region_number;
}

/* Whether a replica of this region is known and answers. */
static bool
has_near_replica(const VersionFollower *follower)
{
    const Settings *settings = follower->settings;

    for (size_t i = 0; i < settings->replica_count; i++) {
        if (is_in_region(follower, settings->replicas[i])) {
            return !Vpl_UsesAllRegions(&follower->poll);
        }
    }
    return false;
}

static Addr
next_listed_replica(VersionFollower *follower)
{
    const Settings *settings = follower->settings;
    Addr replica = Addr_NONE;

    for (size_t i = 0; i < settings->replica_count && !replica; i++) {
        replica = settings->replicas[follower->next_replica];
        follower->next_replica++;
        if (follower->next_replica == settings->replica_count) {
            follower->next_replica = 0;
        }
    }
    return replica;
}

/* Returns the next replica of this region, or of any region when the replicas
 * of this region don't answer or none of them is known. */
static Addr
choose_replica(VersionFollower *follower)
{
    bool any_region = Vpl_UsesAllRegions(&follower->poll);

    for (size_t i = 0; i < follower->settings->replica_count; i++) {
        Addr replica = next_listed_replica(follower);
        if (any_region || is_in_region(follower, replica)) {
            return replica;
        }
    }
    return next_listed_replica(follower);
}

static void
poll_when_due(VersionFollower *follower, Instant now)
{
    bool is_in_sync = follower->is_up_to_date && follower->suspects->is_synced;

    uint32_t count = Vpl_CountDue(&follower->poll, is_in_sync, now);

    for (uint32_t i = 0; i < count; i++) {
        Addr replica = choose_replica(follower);
        if (follower->poll.vain_rounds == 0) {
            follower->asked_count = 0;
        }
        follower->asked[follower->asked_count++ % Set_REPLICAS_MAX] = replica;
        Vpl_OnRequest(&follower->poll, now);
        send_request(follower, replica, !follower->is_up_to_date, now);
    }
}

/* The last replicas asked, the earliest first. */
static void
print_asked(const VersionFollower *follower, StrBuf *out)
{
    size_t count = follower->asked_count;
    size_t first = count > Set_REPLICAS_MAX ? count - Set_REPLICAS_MAX : 0;

    for (size_t i = first; i < count; i++) {
        StrBuf_Append(out, i > first ? Str_LIT(",") : (Str){0});
        Addr_Print(follower->asked[i % Set_REPLICAS_MAX], out);
    }
}

static void
log_age_change(VersionFollower *follower, Instant now)
{
    const VersionWord *word = &follower->word;
    StrBuf from = {0};
    StrBuf asked = {0};

    Addr_Print(word->from, &from);
    print_asked(follower, &asked);
    Cnt_Add(follower->counters, Cnt_WORDS_OLD, word->is_old);
    Lgr_Log(follower->timeline->logger, Lgr_INFO,
            word->is_old ? Str_LIT("version_word_old")
                         : Str_LIT("version_word_renewed"),
            "known_ms=%lld old_ms=%lld from=%.*s requests=%zu asked=%.*s",
            (long long)(Vwd_Age(word, now) / Span_MS(1)),
            (long long)((now - word->old_as_of) / Span_MS(1)), Str_ARG(from),
            follower->asked_count, Str_ARG(asked));
    StrBuf_Finish(&from);
    StrBuf_Finish(&asked);
}

static void
fetch(VersionFollower *follower, Addr replica, ConfigVersion version,
      Instant now)
{
    if (Cfg_CompareVersions(version, follower->fetch_version) <= 0 &&
        now - follower->fetch_sent_at < FETCH_RETRY) {
        return;
    }
    follower->fetch_version = version;
    follower->fetch_sent_at = now;
    /* Without an answer another replica is asked; while a poll has none, that
     * is under way. */
    if (follower->poll.vain_rounds == 0) {
        Vpl_OnRequest(&follower->poll, now);
    }
    send_request(follower, replica, false, now);
}

static void
fetch_from_afar(VersionFollower *follower, Instant now)
{
    if (Cfg_CompareVersions(follower->far_version, follower->version) > 0 &&
        now - follower->far_heard_at >= NEAR_WAIT) {
        fetch(follower, follower->far_replica, follower->far_version, now);
    }
}

static void
on_tick(void *context, Instant now)
{
    VersionFollower *follower = context;
    int64_t start = Loop_CpuNs();

    if (Vwd_UpdateOld(&follower->word, now)) {
        log_age_change(follower, now);
    }
    fetch_from_afar(follower, now);
    poll_when_due(follower, now);
    Cnt_AddNs(follower->counters, Cnt_CONTROL_CPU_US, Loop_CpuNs() - start);
}

/* The leader tells of a version first.  If all nodes of other regions fetched
 * it there, the link between regions would carry it once for each node. */
static void
hear_of_version(VersionFollower *follower, Addr from, ConfigVersion version,
                Instant now)
{
    if (is_in_region(follower, from) || !has_near_replica(follower)) {
        fetch(follower, from, version, now);
    }
    else if (Cfg_CompareVersions(follower->far_version, follower->version) <=
             0) {
        follower->far_version = version;
        follower->far_replica = from;
        follower->far_heard_at = now;
    }
}

static void
handle_version(VersionFollower *follower, Addr from, const VersionMessage *msg,
               Instant now)
{
    if (Cfg_CompareVersions(msg->version, follower->newest_heard) > 0) {
        follower->newest_heard = msg->version;
    }
    if (Cfg_CompareVersions(msg->version, follower->version) <= 0) {
        return;
    }
    if (msg->json.len == 0 &&
        !(msg->is_same_preset && follower->version.term > 0)) {
        hear_of_version(follower, from, msg->version, now);
    }
    else if (follower->apply(
                 follower->apply_context,
                 &(VersionContent){msg->version, msg->json, msg->evacuated},
                 now)) {
        follower->version = msg->version;
        StrBuf_Set(&follower->evacuated, msg->evacuated);
    }
}

/* VERSION was the newest one when this node polled, so an older one must not
 * be accepted any more. */
static void
raise_min_version(VersionFollower *follower, ConfigVersion version)
{
    follower->is_confirmed = true;
    if (Cfg_CompareVersions(version, follower->min_version) > 0) {
        follower->min_version = version;
    }
}

/* The replica FROM holds all that was accepted before AS_OF, which MSG's
 * version includes; that says nothing of this node until it has that version
 * too. */
static void
advance_word(VersionFollower *follower, Addr from, const VersionMessage *msg,
             Instant as_of)
{
    if (msg->version.term > 0 &&
        Cfg_CompareVersions(follower->version, msg->version) >= 0) {
        Vwd_Advance(&follower->word, as_of, from);
    }
}

static Instant
compute_as_of(const VersionFollower *follower, const VersionMessage *msg,
              Instant now)
{
    return msg->age < Configmsg_AGE_NOT_KNOWN
               ? Vwd_ComputeAsOf(msg->request_sent_at, msg->age,
                                 follower->first_request_at, now)
               : 0;
}

static void
on_version(void *context, const NetOrigin *origin, Unpack *in, Instant now)
{
    VersionFollower *follower = context;
    VersionMessage msg;
    Instant as_of;
    Err err = {0};

    if (!Configmsg_ReadVersion(in, &msg, &err) ||
        (!origin->peer &&
         !Err_SET(&err, Err_REFUSED,
                  "version message from a peer that was not polled"))) {
        Cnt_Add(follower->counters, Cnt_MALFORMED, 1);
        Lgr_LogErr(follower->timeline->logger, Lgr_WARNING,
                   Str_LIT("message_refused"), &err);
        return;
    }
    as_of = compute_as_of(follower, &msg, now);
    /* A preset is sent at once; if the word that comes with it is old,
     * another one follows. */
    Vpl_OnResponse(&follower->poll,
                   msg.json.len || msg.is_same_preset ? 0
                                                      : msg.request_sent_at,
                   as_of, now);
    if (msg.leader) {
        follower->leader = msg.leader;
    }
    if (msg.is_current) {
        raise_min_version(follower, msg.version);
    }
    if (follower->is_confirmed &&
        Cfg_CompareVersions(msg.version, follower->min_version) >= 0) {
        handle_version(follower, origin->peer, &msg, now);
    }
    advance_word(follower, origin->peer, &msg, as_of);
    follower->is_up_to_date =
        follower->is_confirmed && follower->version.term > 0 &&
        Cfg_CompareVersions(follower->version, follower->min_version) >= 0;
    if (follower->poll.is_overdue) {
        poll_when_due(follower, now);
    }
}

void
Fol_Init(VersionFollower *follower, Loop *loop, Net *net, Counters *counters,
         Timeline *timeline, const Settings *settings,
         const MembershipTable *membership, const SuspectSync *suspects,
         VersionApplyCallback apply, void *context)
{
    *follower = (VersionFollower){
        .settings = settings,
        .net = net,
        .counters = counters,
        .timeline = timeline,
        .membership = membership,
        .suspects = suspects,
        .apply = apply,
        .apply_context = context,
    };
    Net_SetHandler(net, Wire_VERSION, on_version, follower);
    LoopTimer_Init(&follower->tick, loop, TICK, on_tick, follower);
}

void
Fol_Finish(VersionFollower *follower)
{
    LoopTimer_Finish(&follower->tick);
    StrBuf_Finish(&follower->evacuated);
}
