#include "request/answer.h"
#include "request/crash.h"
#include "request/runstate.h"
#include "value/mem.h"
#include "version/preset.h"

/* How long the ledger keeps the outcome of an attempt without a key; also
 * of one with a key until a preset is in force. */
#define UNKEYED_RETENTION Span_S(10)

/* How long an attempt may run past its deadline before it is cancelled. */
#define OVERRUN_GRACE Span_S(10)

/* Deadlines are sent in whole milliseconds, and lose time in transit. */
#define DEADLINE_TOLERANCE Span_MS(5)

/* A node whose last tick is so long ago did not run itself. */
#define OWN_PAUSE_MIN Span_MS(100)

/* After a pause, until the connections that other nodes gave up meanwhile are
 * known to have ended. */
#define RESUMED_TIME Span_S(1)

/* How long an attempt waits for the backend server's load before it is
 * admitted without it. */
#define LOAD_QUERY_TIMEOUT Span_MS(50)

enum {
    LEDGER_BYTES_MAX = 8 * 1024 * 1024,
    LEDGER_ENTRIES_MAX = 131072,
    LEDGER_ORIGINS_MAX = 4096,
    IN_PLACE_BYTES_MIN = 256 * 1024, /* a smaller body is copied */
    /* what an attempt costs beside its strings: its exchange, its connection,
     * and what is read of its answer at a time */
    EXCHANGE_BYTES = 24 * 1024,
    ENTRY_BYTES = 128 /* of the ledger */
};

static void
append_attempt(AttemptRunner *runner, BackendAttempt *attempt)
{
    attempt->runner = runner;
    Hsh_Add(&runner->attempts_by_id, &attempt->link,
            AttemptId_Hash(attempt->id));
    Lst_Append(&runner->attempts, &attempt->list_link, attempt);
}

void
Run_Free(BackendAttempt *attempt)
{
    AttemptRunner *runner = attempt->runner;

    Lst_Drop(&runner->attempts, &attempt->list_link);
    runner->awaiting_load_count -= attempt->awaits_load;
    Hsh_Drop(&runner->attempts_by_id, &attempt->link);
    runner->exclusive_count -= attempt->exclusive;
    StrBuf_Finish(&attempt->method);
    StrBuf_Finish(&attempt->target);
    StrBuf_Finish(&attempt->request_id);
    StrBuf_Finish(&attempt->body_text);
    Net_FreeMessage(attempt->message);
    Bdg_Force(runner->budget, Bdg_ATTEMPTS, &attempt->held, 0);
    StrBuf_Finish(&attempt->field_text);
    StrBuf_Finish(&attempt->answer_field_text);
    StrBuf_Finish(&attempt->unsent_body);
    Mem_Free(attempt);
}

void
Run_CopyFields(FieldList *to, StrBuf *text, const FieldList *from)
{
    size_t offset = 0;

    StrBuf_Clear(text);
    for (size_t i = 0; i < from->count; i++) {
        StrBuf_Append(text, from->items[i].name);
        StrBuf_Append(text, from->items[i].value);
    }
    to->count = from->count;
    for (size_t i = 0; i < from->count; i++) {
        const Field *field = &from->items[i];
        Str whole = StrBuf_View(text);
        to->items[i].name = Str_Slice(whole, offset, field->name.len);
        offset += field->name.len;
        to->items[i].value = Str_Slice(whole, offset, field->value.len);
        offset += field->value.len;
    }
}

bool
Run_IsQueued(const BackendAttempt *attempt)
{
    return !attempt->exchange && !attempt->interrupted &&
           !attempt->awaits_load;
}

/* Keeps BODY: a large one where it was received, without a copy. */
static void
keep_body(BackendAttempt *attempt, Str body)
{
    AttemptRunner *runner = attempt->runner;

    attempt->message =
        body.len > IN_PLACE_BYTES_MIN ? Net_KeepMessage(runner->net) : NULL;
    if (attempt->message) {
        attempt->body = body;
        return;
    }
    StrBuf_Set(&attempt->body_text, body);
    attempt->body = StrBuf_View(&attempt->body_text);
}

static size_t
count_kept(const BackendAttempt *attempt)
{
    return sizeof *attempt + EXCHANGE_BYTES + attempt->body.len +
           attempt->field_text.cap + attempt->target.cap +
           attempt->answer_field_text.cap + attempt->unsent_body.cap;
}

bool
Run_Hold(BackendAttempt *attempt)
{
    if (Bdg_Resize(attempt->runner->budget, Bdg_ATTEMPTS, &attempt->held,
                   count_kept(attempt))) {
        return true;
    }
    Cnt_Add(attempt->runner->counters, Cnt_MEMORY_REFUSED, 1);
    return false;
}

void
Run_ForceHold(BackendAttempt *attempt)
{
    Bdg_Force(attempt->runner->budget, Bdg_ATTEMPTS, &attempt->held,
              count_kept(attempt));
}

BackendAttempt *
Run_Add(AttemptRunner *runner, const NetOrigin *origin, const CallMessage *msg,
        Instant now)
{
    BackendAttempt *attempt = Mem_Alloc(1, sizeof *attempt);

    attempt->id = msg->id;
    append_attempt(runner, attempt);
    attempt->origin = *origin;
    attempt->idempotent = msg->idempotent;
    attempt->keyed = msg->keep_long;
    attempt->cross_region = msg->cross_region;
    attempt->fingerprint = msg->fingerprint;
    attempt->barred = msg->barred;
    attempt->request_class = msg->interactive ? Adm_INTERACTIVE : Adm_PATIENT;
    attempt->deadline =
        now + msg->time_left - Opa_GetUnreadTime(runner->own_pause, now);
    attempt->call_deadline = attempt->deadline;
    attempt->queue_deadline = now + msg->queue_time_max;
    attempt->priority = msg->priority;
    attempt->account = msg->account;
    attempt->nested = msg->nested;
    attempt->misses_objective = msg->misses_objective;
    attempt->queue_time_max = msg->queue_time_max;
    StrBuf_Set(&attempt->method, msg->method);
    StrBuf_Set(&attempt->target, msg->target);
    StrBuf_Set(&attempt->request_id, msg->request_id);
    keep_body(attempt, msg->body);
    Run_CopyFields(&attempt->fields, &attempt->field_text, &msg->fields);
    return attempt;
}

static RejectReason
get_reject_reason(AdmissionVerdict verdict)
{
    switch (verdict) {
    case Adm_REFUSE_LATE:
        return Reject_DEADLINE;
    case Adm_REFUSE_DRAINING:
        return Reject_DRAINING;
    case Adm_REFUSE_ABSENT:
        return Reject_NO_BACKEND;
    case Adm_REFUSE_SLOW:
        return Reject_SLOW;
    default:
        return Reject_FULL;
    }
}

/* True when the ledger lets the attempt run.  Otherwise sends the refusal,
 * if one is due. */
static bool
check_ledger(AttemptRunner *runner, const NetOrigin *origin,
             const CallMessage *msg, Instant now)
{
    switch (Led_OnAttempt(&runner->ledger, msg->id, msg->target_incarnation,
                          msg->keep_long, now)) {
    case Led_NEW:
        return true;
    case Led_DUPLICATE:
        /* A duplicate is not answered: the answer of the first attempt
         * follows. */
        Cnt_Add(runner->counters, Cnt_DUPLICATES, 1);
        break;
    case Led_FENCED:
        Run_RefuseCall(runner, origin, msg, Reject_FENCED, now);
        break;
    case Led_EXPIRED:
        Run_RefuseCall(runner, origin, msg, Reject_EXPIRED, now);
        break;
    case Led_FULL:
        Run_RefuseCall(runner, origin, msg, Reject_FULL, now);
        break;
    case Led_WRONG_INCARNATION:
        Run_RefuseCall(runner, origin, msg, Reject_WRONG_INCARNATION, now);
        break;
    }
    return false;
}

AdmissionRequest
Run_GetAdmissionRequest(const BackendAttempt *attempt, Instant now)
{
    return (AdmissionRequest){
        .cls = attempt->request_class,
        .time_left = attempt->deadline - now,
        .queue_time_max = attempt->queue_time_max,
        .nested = attempt->nested,
        .misses_objective = attempt->misses_objective,
    };
}

/* Whether another attempt may give way to ATTEMPT, which got VERDICT. */
static bool
may_displace(const BackendAttempt *attempt, AdmissionVerdict verdict)
{
    return !attempt->misses_objective &&
           (verdict == Adm_REFUSE_FULL || verdict == Adm_REFUSE_LATE);
}

void
Run_Admit(BackendAttempt *attempt, Instant now)
{
    AdmissionRequest request = Run_GetAdmissionRequest(attempt, now);
    AdmissionVerdict verdict =
        Adm_Admit(attempt->runner->admission, &request, now);

    if (verdict == Adm_RUN) {
        Run_StartExchange(attempt, now);
    }
    else if (verdict != Adm_QUEUE &&
             !(may_displace(attempt, verdict) && Run_Displace(attempt, now))) {
        Run_Refuse(attempt, get_reject_reason(verdict), now);
        Run_Free(attempt);
    }
}

static void
stop_awaiting_load(BackendAttempt *attempt)
{
    attempt->runner->awaiting_load_count -= attempt->awaits_load;
    attempt->awaits_load = false;
}

/* The load query ended, with the load or without it: admits the attempts
 * that waited for it. */
static void
on_load_query_end(void *context, Instant now)
{
    AttemptRunner *runner = context;
    ListWalk walk;
    BackendAttempt *attempt;

    Run_OnColdWord(runner, now);
    Lst_Begin(&walk, &runner->attempts);
    while ((attempt = Lst_Next(&walk))) {
        if (attempt->awaits_load) {
            stop_awaiting_load(attempt);
            Run_Admit(attempt, now);
        }
    }
    Run_Tick(runner, now);
}

/* Makes ATTEMPT wait for a load query when the known load is stale.
 * Returns false when admission can be asked at once. */
static bool
start_awaiting_load(BackendAttempt *attempt, Instant now)
{
    AttemptRunner *runner = attempt->runner;

    if (!runner->admission->backend_present ||
        !(Adm_IsPaceStale(runner->admission, now) ||
          Run_NeedsColdWord(runner, now)) ||
        !Ldq_Start(&runner->load_query, now)) {
        return false;
    }
    attempt->awaits_load = true;
    attempt->load_requested_at = now;
    runner->awaiting_load_count++;
    return true;
}

static void
on_call(void *context, const NetOrigin *origin, Unpack *in, Instant now)
{
    AttemptRunner *runner = context;
    CallMessage msg;
    Err err = {0};
    BackendAttempt *attempt;

    runner->last_call_at = now;
    if (!Callmsg_ReadCall(in, &msg, &err)) {
        Cnt_Add(runner->counters, Cnt_MALFORMED, 1);
        Lgr_LogErr(runner->logger, Lgr_WARNING, Str_LIT("message_refused"),
                   &err);
        return;
    }
    Ofr_End(&runner->offers, runner->budget, msg.id);
    if (!check_ledger(runner, origin, &msg, now) ||
        Crs_FilterCall(runner, origin, &msg, now)) {
        return;
    }
    attempt = Run_Add(runner, origin, &msg, now);
    if (!Run_Hold(attempt)) {
        Run_Refuse(attempt, Reject_FULL, now);
        Run_Free(attempt);
    }
    else if (!start_awaiting_load(attempt, now)) {
        Run_Admit(attempt, now);
    }
}

/* Whether the attempt ID never ran and never will, also when its call comes
 * behind the offer without having been granted. */
static bool
fence_offered(AttemptRunner *runner, AttemptId id, Instant now)
{
    Str answer;

    return Led_Fence(&runner->ledger, id, runner->incarnation, false, now,
                     &answer) == Led_NEVER_RAN;
}

/* A large body may come when there is room for it; else the attempt is refused
 * before it was sent. */
static void
on_offer(void *context, const NetOrigin *origin, Unpack *in, Instant now)
{
    AttemptRunner *runner = context;
    OfferMessage offer;
    Pack pack;

    if (!Callmsg_ReadOffer(in, &offer, NULL)) {
        Cnt_Add(runner->counters, Cnt_MALFORMED, 1);
        return;
    }
    runner->last_call_at = now;
    if (runner->admission->stopping ||
        !Ofr_Grant(&runner->offers, runner->budget, offer.id,
                   offer.bytes + EXCHANGE_BYTES, now)) {
        CallMessage msg = {.id = offer.id};
        Cnt_Add(runner->counters, Cnt_MEMORY_REFUSED,
                !runner->admission->stopping);
        if (fence_offered(runner, offer.id, now)) {
            Run_RefuseCall(runner, origin, &msg,
                           runner->admission->stopping ? Reject_DRAINING
                                                       : Reject_FULL,
                           now);
        }
        return;
    }
    Callmsg_PackId(&pack, Wire_GRANT, offer.id);
    Run_AnswerOrigin(runner, origin, Pack_View(&pack), now);
    Pack_Finish(&pack);
}

static BackendAttempt *
find_attempt(const AttemptRunner *runner, AttemptId id)
{
    HashLink *link = Hsh_First(&runner->attempts_by_id, AttemptId_Hash(id));

    while (link && !AttemptId_Equal(((BackendAttempt *)link)->id, id)) {
        link = Hsh_Next(link);
    }
    return (BackendAttempt *)link;
}

void
Run_Dequeue(BackendAttempt *attempt)
{
    if (attempt->awaits_load) {
        stop_awaiting_load(attempt);
    }
    else if (attempt->exclusive) {
        Adm_OnSuspectCancel(attempt->runner->admission);
        attempt->runner->exclusive_count--;
        attempt->exclusive = false;
    }
    else {
        Adm_OnQueueCancel(attempt->runner->admission, attempt->request_class);
    }
}

void
Run_DequeueAndFree(BackendAttempt *attempt)
{
    Run_Dequeue(attempt);
    Run_Free(attempt);
}

/* Closes the connection to the backend server.  The attempt may have run. */
static void
cancel_attempt(BackendAttempt *attempt, Instant now)
{
    Bck_Cancel(attempt->exchange);
    Run_ReportEnd(attempt, true, now);
    Run_ReportLost(attempt, now);
    Run_Free(attempt);
}

static void
on_cancel(void *context, const NetOrigin *origin, Unpack *in, Instant now)
{
    AttemptRunner *runner = context;
    AttemptId id;
    BackendAttempt *attempt;

    (void)origin;
    if (!Callmsg_ReadId(in, &id, NULL)) {
        Cnt_Add(runner->counters, Cnt_MALFORMED, 1);
        return;
    }
    attempt = find_attempt(runner, id);
    if (!attempt) {
        Ofr_End(&runner->offers, runner->budget, id);
        return;
    }
    if (attempt->interrupted) {
        attempt->detached = true;
    }
    else if (!attempt->exchange) {
        Led_OnRefused(&runner->ledger, id, now);
        Run_DequeueAndFree(attempt);
    }
    else if (attempt->keyed || !runner->admission->backend_present) {
        /* A repeated call with the same key will ask for the outcome.  If a
         * backend server that fell silent ends, this attempt is blamed. */
        Ans_Detach(attempt);
    }
    else {
        attempt->detached = true;
        cancel_attempt(attempt, now);
        Run_Tick(runner, now);
    }
}

static void
on_credit(void *context, const NetOrigin *origin, Unpack *in, Instant now)
{
    AttemptRunner *runner = context;
    CreditMessage msg;
    BackendAttempt *attempt;

    (void)origin;
    if (!Callmsg_ReadCredit(in, &msg, NULL)) {
        Cnt_Add(runner->counters, Cnt_MALFORMED, 1);
        return;
    }
    attempt = find_attempt(runner, msg.id);
    if (attempt) {
        attempt->uncredited_bytes -= msg.bytes < attempt->uncredited_bytes
                                         ? msg.bytes
                                         : attempt->uncredited_bytes;
        Ans_SendMore(attempt, now);
    }
}

void
Run_StartFlushing(AttemptRunner *runner, Instant now)
{
    ListWalk walk;
    BackendAttempt *attempt;

    if (runner->is_flushing) {
        return;
    }
    runner->is_flushing = true;
    Lst_Begin(&walk, &runner->attempts);
    while ((attempt = Lst_Next(&walk))) {
        Ans_SendMore(attempt, now);
    }
}

static void
on_ping(void *context, const NetOrigin *origin, Unpack *in, Instant now)
{
    AttemptRunner *runner = context;
    LoadReport load = Adm_GetLoadReport(runner->admission, now);
    Pack pack;

    (void)in;
    Callmsg_PackPong(&pack, &load);
    Net_Answer(runner->net, origin, Pack_View(&pack), now);
    Pack_Finish(&pack);
}

static size_t
get_least(size_t a, size_t b)
{
    return a < b ? a : b;
}

void
Run_InitRunner(AttemptRunner *runner, Net *net, Counters *counters,
               Timeline *timeline, LatencyHistograms *latencies,
               AdmissionController *admission, BackendPool *pool,
               SuspectSync *suspects, MemoryBudget *budget,
               uint64_t incarnation)
{
    size_t share = budget->shares[Bdg_LEDGER];
    LedgerSettings ledger = {
        .short_retention = UNKEYED_RETENTION,
        .long_retention = UNKEYED_RETENTION,
        .kept_bytes_max = get_least(LEDGER_BYTES_MAX, share / 4),
        .answer_bytes_max = Callmsg_PIECE_BYTES,
        .entries_max = get_least(LEDGER_ENTRIES_MAX, share / 2 / ENTRY_BYTES),
        .origins_max = LEDGER_ORIGINS_MAX,
    };

    *runner = (AttemptRunner){
        .net = net,
        .counters = counters,
        .latencies = latencies,
        .logger = timeline->logger,
        .timeline = timeline,
        .admission = admission,
        .pool = pool,
        .suspects = suspects,
        .budget = budget,
        .incarnation = incarnation,
    };
    Sps_SetUpdateCallback(suspects, Crs_ReviewQueued, runner);
    Led_Init(&runner->ledger, &ledger, incarnation);
    Bck_SetResendCheck(pool, Run_MayResend, runner);
    Ldq_Init(&runner->load_query, pool, on_load_query_end, runner);
    Net_SetHandler(net, Wire_CALL, on_call, runner);
    Net_SetHandler(net, Wire_OFFER, on_offer, runner);
    Net_SetHandler(net, Wire_CANCEL, on_cancel, runner);
    Net_SetHandler(net, Wire_CREDIT, on_credit, runner);
    Net_SetHandler(net, Wire_PING, on_ping, runner);
    Net_SetOriginPongCallback(net, Run_OnOriginPong, runner);
}

void
Run_FinishRunner(AttemptRunner *runner)
{
    Ldq_Finish(&runner->load_query);
    BackendAttempt *attempt;

    while ((attempt = Lst_First(&runner->attempts))) {
        Lgr_Log(runner->logger, Lgr_INFO, Str_LIT("run_cut"),
                "request=%.*s runs=%d pieces=%u unsent=%zu uncredited=%u",
                Str_ARG(attempt->request_id), attempt->exchange != NULL,
                attempt->next_piece, attempt->unsent_body.len,
                attempt->uncredited_bytes);
        if (attempt->exchange) {
            Bck_Cancel(attempt->exchange);
        }
        Run_Free(attempt);
    }
    Cpr_Cancel(&runner->connect_probe);
    Rcp_Finish(&runner->receipts);
    Hsh_Finish(&runner->attempts_by_id);
    Led_Finish(&runner->ledger);
    Rcn_Finish(&runner->recent);
    Snt_Finish(&runner->sent_pieces);
}

void
Run_SetBackendLostCallback(AttemptRunner *runner,
                           void (*callback)(void *context, Instant now),
                           void *context)
{
    runner->on_backend_lost = callback;
    runner->backend_lost_context = context;
}

bool
Run_HasAttemptUntil(const AttemptRunner *runner, Instant deadline)
{
    for (const ListLink *link = runner->attempts.first; link;
         link = link->next) {
        const BackendAttempt *attempt = link->item;
        if (attempt->exchange &&
            attempt->call_deadline + DEADLINE_TOLERANCE >= deadline) {
            return true;
        }
    }
    return false;
}

/* Whether the rest of ATTEMPT's answer can follow what FENCE says has come:
 * pieces that were sent and have not come are kept.  A detached attempt may
 * have dropped a part of it. */
static bool
can_go_on(const BackendAttempt *attempt, const FenceMessage *fence)
{
    if (attempt->next_piece == fence->next_piece) {
        return !(fence->next_piece && attempt->detached);
    }
    return !attempt->detached && fence->next_piece < attempt->next_piece &&
           Snt_HasAll(&attempt->runner->sent_pieces, attempt->id,
                      fence->next_piece, attempt->next_piece);
}

FenceResult
Run_RedirectAnswer(AttemptRunner *runner, const NetOrigin *origin,
                   const FenceMessage *fence, Instant now)
{
    BackendAttempt *attempt = find_attempt(runner, fence->id);

    if (!attempt || !can_go_on(attempt, fence)) {
        return Fence_UNKNOWN;
    }
    if ((Run_IsQueued(attempt) || attempt->awaits_load) &&
        fence->cancel_if_queued) {
        Led_OnRefused(&runner->ledger, fence->id, now);
        Run_DequeueAndFree(attempt);
        return Fence_NEVER_RAN;
    }
    attempt->origin = *origin;
    attempt->detached = false;
    attempt->origin_lost = false;
    if (attempt->next_piece) {
        /* Credits may have been lost as well. */
        attempt->uncredited_bytes =
            fence->uncredited_bytes +
            Ans_SendAgain(runner, origin, fence, attempt->next_piece, now);
        Ans_SendMore(attempt, now);
    }
    return Fence_RUNNING;
}

void
Run_SetPreset(AttemptRunner *runner, const Preset *preset, Str service)
{
    const PresetService *own = Pst_FindService(preset, service);

    Led_SetLongRetention(&runner->ledger, preset->limits.key_retention);
    Ldq_SetPath(&runner->load_query,
                own ? StrBuf_View(&own->health_path) : (Str){0});
    Run_SetColdBound(runner, own);
}

/* An exclusive attempt gets no grace, since all others wait for it, unless the
 * backend server has fallen silent: its end would be blamed on the attempt. */
static Span
get_overrun_grace(const BackendAttempt *attempt)
{
    return attempt->exclusive && attempt->runner->admission->backend_present
               ? 0
               : OVERRUN_GRACE;
}

/* Refuses queued attempts that cannot start in time, and admits those whose
 * wait for the load is over.  Cancels attempts that run past their deadline:
 * no node takes their answer, and they would hold a slot of the backend
 * server. */
static void
drop_overdue(AttemptRunner *runner, Instant now)
{
    ListWalk walk;
    BackendAttempt *attempt;

    Lst_Begin(&walk, &runner->attempts);
    while ((attempt = Lst_Next(&walk))) {
        if (attempt->origin_lost && !attempt->detached) {
            Ans_Detach(attempt);
        }
        if (Run_IsQueued(attempt) && Adm_IsDraining(runner->admission)) {
            Run_Refuse(attempt, Reject_DRAINING, now);
            Run_DequeueAndFree(attempt);
        }
        else if (Run_IsQueued(attempt) && now >= attempt->deadline) {
            Run_Refuse(attempt, Reject_DEADLINE, now);
            Run_DequeueAndFree(attempt);
        }
        else if (Run_IsQueued(attempt) && attempt->queue_time_max &&
                 !attempt->exclusive && now >= attempt->queue_deadline) {
            Run_Refuse(attempt, Reject_FULL, now);
            Run_DequeueAndFree(attempt);
        }
        else if (attempt->awaits_load &&
                 now - attempt->load_requested_at >= LOAD_QUERY_TIMEOUT) {
            stop_awaiting_load(attempt);
            Run_Admit(attempt, now);
        }
        else if (attempt->exchange &&
                 now >= attempt->deadline + get_overrun_grace(attempt)) {
            cancel_attempt(attempt, now);
        }
    }
}

static bool
was_paused(const AttemptRunner *runner, Instant now)
{
    return runner->ticked_at && now - runner->ticked_at >= OWN_PAUSE_MIN;
}

bool
Run_HasJustResumed(const AttemptRunner *runner, Instant now)
{
    return was_paused(runner, now) ||
           (runner->resumed_at && now - runner->resumed_at < RESUMED_TIME);
}

/* Counts what is kept of attempts that have ended.  Pieces of answers go first
 * when it is too much: they are needed only where a connection is lost. */
static void
count_ended(AttemptRunner *runner)
{
    const AttemptLedger *ledger = &runner->ledger;
    size_t fixed = ledger->entries.count * ENTRY_BYTES + ledger->kept_bytes +
                   runner->recent.bytes;

    Bdg_Force(runner->budget, Bdg_LEDGER, &runner->ledger_held,
              fixed + runner->sent_pieces.bytes);
    if (Bdg_IsOver(runner->budget, Bdg_LEDGER)) {
        Snt_Finish(&runner->sent_pieces);
        Bdg_Force(runner->budget, Bdg_LEDGER, &runner->ledger_held, fixed);
    }
}

void
Run_Tick(AttemptRunner *runner, Instant now)
{
    RequestClass request_class;

    if (was_paused(runner, now)) {
        runner->resumed_at = now;
    }
    runner->ticked_at = now;
    Led_Expire(&runner->ledger, now);
    Rcn_Expire(&runner->recent, now);
    Snt_Expire(&runner->sent_pieces, now);
    count_ended(runner);
    Ofr_Expire(&runner->offers, runner->budget, now);
    Ans_CheckQueue(runner, now);
    drop_overdue(runner, now);
    Crs_Tick(runner, now);
    Run_TickCold(runner, now);
    while (Adm_StartNext(runner->admission, now, &request_class)) {
        Run_StartExchange(Run_FindNextQueued(runner, request_class, now), now);
    }
}
