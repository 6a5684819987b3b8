#include "process/quota/quotasync.h"

#include "value/mem.h"

/* A leader that has not answered for so long is asked no more. */
#define ANSWER_WAIT Span_MS(200)

/* Time between two asks while no grantor is known. */
#define SEARCH_INTERVAL Span_MS(50)

/* Who asked a replica that could not grant is told within this time when it
 * begins to. */
#define ASKER_MEMORY Span_S(2)

/* The grantor logs the accounts at their limit so often, and at most so many.
 */
#define REPORT_INTERVAL Span_S(1)
enum { REPORT_LINES_MAX = 8 };

/* From here on upwards the bits of an Addr differ between hosts. */
enum { ADDR_HOST_SHIFT = 16 };

static void
count_message(QuotaSync *sync, const Pack *pack)
{
    Cnt_Add(sync->counters, Cnt_CONTROL_MESSAGES, 1);
    Cnt_Add(sync->counters, Cnt_CONTROL_BYTES, Pack_View(pack).len);
    Cnt_Add(sync->counters, Cnt_QUOTA_MESSAGES, 1);
    Cnt_Add(sync->counters, Cnt_QUOTA_BYTES, Pack_View(pack).len);
}

static bool
reject_malformed(QuotaSync *sync, const Err *err)
{
    Cnt_Add(sync->counters, Cnt_MALFORMED, 1);
    Lgr_LogErr(sync->logger, Lgr_WARNING, Str_LIT("message_refused"), err);
    return false;
}

static Addr
next_replica(QuotaSync *sync)
{
    const Settings *settings = sync->settings;
    Addr replica = Addr_NONE;

    for (size_t i = 0; i < settings->replica_count && !replica; i++) {
        sync->next_replica =
            (sync->next_replica + 1) % settings->replica_count;
        replica = settings->replicas[sync->next_replica];
    }
    return replica;
}

/* Gives up a leader that does not answer. */
static void
check_leader(QuotaSync *sync, Instant now)
{
    if (sync->waits_since && now - sync->waits_since >= ANSWER_WAIT) {
        sync->waits_since = 0;
        sync->leader = Addr_NONE;
        sync->leader_grants = false;
        Crd_ForgetAsks(&sync->holder);
    }
}

void
Qsy_SendAsk(QuotaSync *sync, Instant now)
{
    QuotaAskMessage msg;
    Addr to;
    Pack pack;

    check_leader(sync, now);
    if (!sync->leader_grants) {
        if (now < sync->next_ask_at) {
            return;
        }
        Crd_ForgetAsks(&sync->holder);
    }
    msg.count = Crd_MakeAsk(&sync->holder, msg.rows, now);
    if (!msg.count) {
        return;
    }
    sync->next_ask_at = now + SEARCH_INTERVAL;
    to = sync->leader ? sync->leader : next_replica(sync);
    msg.node = sync->settings->address;
    msg.sent_at = now;
    msg.term = sync->holder.term;
    Quotamsg_PackAsk(&pack, &msg);
    count_message(sync, &pack);
    Net_Send(sync->net, to, Pack_View(&pack), now);
    Pack_Finish(&pack);
    if (sync->leader && !sync->waits_since) {
        sync->waits_since = now;
    }
}

bool
Qsy_HasGrantor(const QuotaSync *sync)
{
    return sync->leader_grants;
}

static void
set_leader(QuotaSync *sync, const QuotaGrantMessage *msg)
{
    bool is_new = sync->leader != msg->leader;

    sync->leader = msg->leader;
    sync->leader_grants = msg->term != 0;
    sync->waits_since = 0;
    if (!sync->leader_grants) {
        Crd_ForgetAsks(&sync->holder);
        if (is_new && sync->leader) {
            sync->next_ask_at = 0;
        }
    }
}

static void
on_grant(void *context, const NetOrigin *origin, Unpack *in, Instant now)
{
    QuotaSync *sync = context;
    static QuotaGrantMessage msg;
    Err err = {0};

    (void)origin;
    if (!Quotamsg_ReadGrant(in, &msg, &err)) {
        reject_malformed(sync, &err);
        return;
    }
    if (msg.sent_at < 0 || msg.sent_at > now) {
        return; /* no ask of this node */
    }
    /* An answer of a replica that no longer leads says nothing of the one
     * that does. */
    if (msg.term && msg.term < sync->holder.term) {
        msg.leader = sync->leader;
    }
    set_leader(sync, &msg);
    for (size_t i = 0; i < msg.count; i++) {
        Crd_OnGrant(&sync->holder, msg.term, &msg.rows[i], msg.sent_at, now);
    }
    if (sync->on_credit) {
        sync->on_credit(sync->on_credit_context, now);
    }
    Qsy_SendAsk(sync, now);
}

static void
answer(QuotaSync *sync, const NetOrigin *origin, const QuotaGrantMessage *msg,
       Instant now)
{
    Pack pack;

    Quotamsg_PackGrant(&pack, msg);
    count_message(sync, &pack);
    Net_Answer(sync->net, origin, Pack_View(&pack), now);
    Pack_Finish(&pack);
}

/* Begins a term of this grantor when it may, and tells whether it may grant
 * now. */
static bool
may_grant(QuotaSync *sync, Instant now)
{
    uint64_t term = sync->control->rlog.term;

    if (!Ctl_LeadsAlone(sync->control, now)) {
        return false;
    }
    if (term != sync->grantor.term) {
        Grt_Start(&sync->grantor, term, now);
        Lgr_Log(sync->logger, Lgr_INFO, Str_LIT("grants_credit"),
                "term=%llu accounts=%zu askers=%zu", (unsigned long long)term,
                sync->grantor.account_count, sync->asker_count);
    }
    return true;
}

static void
remember_asker(QuotaSync *sync, const NetOrigin *origin, Addr node,
               Instant now)
{
    size_t at = 0;

    while (at < sync->asker_count && sync->askers[at].node != node) {
        at++;
    }
    if (at < Qsy_ASKERS_MAX) {
        sync->askers[at] = (QuotaAsker){node, *origin, now};
        sync->asker_count += at == sync->asker_count;
    }
}

/* Tells those that asked lately that credit can be had here. */
static void
tell_askers(QuotaSync *sync, Instant now)
{
    QuotaGrantMessage msg = {
        .term = sync->grantor.term,
        .leader = sync->settings->address,
    };

    for (size_t i = 0; i < sync->asker_count; i++) {
        if (now - sync->askers[i].asked_at < ASKER_MEMORY) {
            answer(sync, &sync->askers[i].origin, &msg, now);
        }
    }
    sync->asker_count = 0;
}

static CreditGrant
grant_row(QuotaSync *sync, const CreditAsk *row, bool is_same_term,
          Instant now)
{
    Grant grant = Grt_OnAsk(&sync->grantor, row->id, row->want,
                            is_same_term ? row->back : 0, row->epoch, now);

    Cnt_Add(sync->counters, Cnt_QUOTA_GRANTED, grant.granted);
    Cnt_Add(sync->counters, Cnt_QUOTA_NOT_GRANTED, row->want - grant.granted);
    if (is_same_term) {
        Cnt_Add(sync->counters, Cnt_QUOTA_GIVEN_BACK, row->back);
    }
    return (CreditGrant){row->id,    row->want,  grant.granted,    grant.epoch,
                         grant.life, grant.wait, grant.retry_after};
}

static void
on_ask(void *context, const NetOrigin *origin, Unpack *in, Instant now)
{
    QuotaSync *sync = context;
    int64_t start = Loop_CpuNs();
    static QuotaAskMessage ask;
    static QuotaGrantMessage msg;
    Err err = {0};

    if (!Quotamsg_ReadAsk(in, &ask, &err)) {
        reject_malformed(sync, &err);
        return;
    }
    msg.sent_at = ask.sent_at;
    msg.term = 0;
    msg.count = 0;
    if (may_grant(sync, now)) {
        msg.term = sync->grantor.term;
        msg.leader = sync->settings->address;
        msg.count = ask.count;
        for (size_t i = 0; i < ask.count; i++) {
            msg.rows[i] =
                grant_row(sync, &ask.rows[i], ask.term == msg.term, now);
        }
    }
    else {
        msg.leader = Ctl_LiveLeader(sync->control, now);
        remember_asker(sync, origin, ask.node, now);
    }
    answer(sync, origin, &msg, now);
    Cnt_AddNs(sync->counters, Cnt_CONTROL_CPU_US, Loop_CpuNs() - start);
}

void
Qsy_Init(QuotaSync *sync, Net *net, Counters *counters, Logger *logger,
         const Settings *settings, const ControlReplica *control)
{
    *sync = (QuotaSync){
        .net = net,
        .counters = counters,
        .logger = logger,
        .settings = settings,
        .control = control,
        /* Nodes begin their search at different replicas. */
        .next_replica = (size_t)(settings->address >> ADDR_HOST_SHIFT),
    };
    Crd_Init(&sync->holder);
    Grt_Init(&sync->grantor, &settings->quota);
    Net_SetHandler(net, Wire_QUOTA_GRANT, on_grant, sync);
    if (settings->control) {
        sync->askers = Mem_Alloc(Qsy_ASKERS_MAX, sizeof *sync->askers);
        Net_SetHandler(net, Wire_QUOTA_ASK, on_ask, sync);
    }
}

void
Qsy_Finish(QuotaSync *sync)
{
    Crd_Finish(&sync->holder);
    Grt_Finish(&sync->grantor);
    Mem_Free(sync->askers);
}

void
Qsy_SetCallback(QuotaSync *sync, QuotaCreditCallback on_credit, void *context)
{
    sync->on_credit = on_credit;
    sync->on_credit_context = context;
}

void
Qsy_SetPreset(QuotaSync *sync, const Preset *preset, Instant now)
{
    if (sync->settings->control) {
        Grt_SetAccounts(&sync->grantor, preset, now);
    }
}

static void
log_use(QuotaSync *sync, const GrantorAccount *account)
{
    Lgr_Log(sync->logger, Lgr_INFO, Str_LIT("account_at_limit"),
            "account=%.*s per_s=%.0f depth=%.1f tokens=%.1f life_ms=%lld "
            "granted=%u given_back=%u not_granted=%u term=%llu",
            Str_ARG(account->name), account->bucket.tokens_per_s,
            account->bucket.burst, account->bucket.tokens,
            (long long)(account->life / Span_MS(1)), account->granted,
            account->given_back, account->refused,
            (unsigned long long)sync->grantor.term);
}

static void
report_use(QuotaSync *sync, Instant now)
{
    size_t lines = 0;

    if (now - sync->reported_at < REPORT_INTERVAL) {
        return;
    }
    sync->reported_at = now;
    for (size_t i = 0;
         i < sync->grantor.account_count && lines < REPORT_LINES_MAX; i++) {
        if (sync->grantor.accounts[i].refused) {
            log_use(sync, &sync->grantor.accounts[i]);
            lines++;
        }
    }
    Grt_ForgetUse(&sync->grantor);
}

void
Qsy_Tick(QuotaSync *sync, Instant now)
{
    Crd_Tick(&sync->holder, now);
    Qsy_SendAsk(sync, now);
    /* Tokens accrue from the moment at which a grantor may grant. */
    if (sync->settings->control && may_grant(sync, now)) {
        tell_askers(sync, now);
        report_use(sync, now);
    }
}
