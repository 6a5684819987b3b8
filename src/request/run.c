#include "request/run.h"

#include "request/answer.h"
#include "request/crash.h"

#include "value/mem.h"
#include "version/preset.h"

#define LEDGER_BRIEF Span_S(10)
#define STALL_GRACE Span_S(10)

/* Deadlines are told in whole milliseconds, and on the way. */
#define CLOCK_SLACK Span_MS(5)

/* The backend server's word is awaited so long. */
#define ASK_WAIT Span_MS(50)

enum {
    LEDGER_ANSWERS = 8 * 1024 * 1024,
    LEDGER_ENTRIES = 131072,
    LEDGER_ORIGINS = 4096,
    TURNED_AWAY = 503, /* status of HTTP */
    USUAL_FACTOR = 8,  /* times the usual service time */
    REPEAT_PART = 4,   /* part of the time until the deadline */
    STEADY_PACE = 250  /* percent of the usual: not slow */
};

static void
link_run(AttemptRunner *hub, BackendAttempt *run)
{
    run->hub = hub;
    Hsh_Add(&hub->attempts_by_id, &run->link, AttemptId_Hash(run->id));
    run->previous = hub->last;
    if (hub->last) {
        hub->last->next = run;
    }
    else {
        hub->first = run;
    }
    hub->last = run;
    hub->count++;
}

void
Run_Free(BackendAttempt *run)
{
    AttemptRunner *hub = run->hub;

    if (run->previous) {
        run->previous->next = run->next;
    }
    else {
        hub->first = run->next;
    }
    if (run->next) {
        run->next->previous = run->previous;
    }
    else {
        hub->last = run->previous;
    }
    hub->count--;
    hub->awaiting_load_count -= run->awaits_load;
    Hsh_Drop(&hub->attempts_by_id, &run->link);
    hub->exclusive_count -= run->exclusive;
    StrBuf_Finish(&run->method);
    StrBuf_Finish(&run->target);
    StrBuf_Finish(&run->request_id);
    StrBuf_Finish(&run->body);
    StrBuf_Finish(&run->field_text);
    StrBuf_Finish(&run->answer_field_text);
    StrBuf_Finish(&run->unsent_body);
    Mem_Free(run);
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
Run_IncludesLoadReport(AttemptRunner *hub, const NetOrigin *origin,
                       bool crosses, Instant now)
{
    uint64_t node = Str_Hash(Str_From(origin->id, origin->id_len));

    return Rpt_ShouldAttach(&hub->report_throttle, node, crosses, now);
}

static void
refuse(AttemptRunner *hub, const NetOrigin *origin, AttemptId id, bool crosses,
       Refusal reason, Instant now)
{
    RefusedMsg msg = {
        .id = id,
        .reason = reason,
        .load = Adm_GetLoadReport(hub->admission, now),
        .bare = !Run_IncludesLoadReport(hub, origin, crosses, now),
    };
    Pack pack;

    Cnt_Add(hub->counters, Cnt_REFUSED, 1);
    Callmsg_PackRefused(&pack, &msg);
    Net_Answer(hub->net, origin, Pack_View(&pack), now);
    Pack_Finish(&pack);
}

void
Run_RefuseCall(AttemptRunner *hub, const NetOrigin *origin, const CallMsg *msg,
               Refusal reason, Instant now)
{
    refuse(hub, origin, msg->id, msg->crosses, reason, now);
}

static Str
name_of(Refusal reason)
{
    static const Str names[Refusal_KINDS] = {
        [Refusal_FULL] = Str_LIT("full"),
        [Refusal_LATE] = Str_LIT("late"),
        [Refusal_DRAINING] = Str_LIT("draining"),
        [Refusal_ABSENT] = Str_LIT("absent"),
        [Refusal_FENCED] = Str_LIT("fenced"),
        [Refusal_SUSPECT] = Str_LIT("suspect"),
        [Refusal_INCARNATION] = Str_LIT("incarnation"),
        [Refusal_CUT] = Str_LIT("cut"),
        [Refusal_SLOW] = Str_LIT("slow"),
        [Refusal_TURNED_AWAY] = Str_LIT("turned_away"),
        [Refusal_EXPIRED] = Str_LIT("expired"),
        [Refusal_ELSEWHERE] = Str_LIT("elsewhere"),
    };

    return names[reason];
}

void
Run_Refuse(BackendAttempt *run, Refusal reason, Instant now)
{
    const AdmissionController *adm = run->hub->admission;

    Lgr_Log(run->hub->logger, Lgr_DEBUG, Str_LIT("run_refused"),
            "request=%.*s reason=%.*s running=%u queued=%u pace=%u "
            "pace_age_us=%lld",
            Str_ARG(run->request_id), Str_ARG(name_of(reason)), adm->running,
            adm->queued[Adm_INTERACTIVE], adm->pace,
            (long long)(now - adm->pace_reported_at));
    Led_OnRefused(&run->hub->ledger, run->id, now);
    if (!run->detached) {
        refuse(run->hub, &run->origin, run->id, run->cross_region, reason,
               now);
    }
}

void
Run_ReportLost(BackendAttempt *run, Instant now)
{
    Led_OnLost(&run->hub->ledger, run->id, now);
    if (!run->detached) {
        refuse(run->hub, &run->origin, run->id, run->cross_region, Refusal_CUT,
               now);
    }
}

bool
Run_IsQueued(const BackendAttempt *run)
{
    return !run->exchange && !run->interrupted && !run->awaits_load;
}

/* What the run would have taken at the usual pace. */
static Span
usual_time(const BackendAttempt *run, Span took)
{
    return run->start_pace ? took * Load_USUAL / run->start_pace : took;
}

/* Work of one priority, or from inside runs, is alike enough. */
static uint32_t
kind_of(const BackendAttempt *run)
{
    return run->nested ? 0 : run->priority + 1;
}

static void
end_at_admission(const BackendAttempt *run, bool failed, Instant now)
{
    AttemptCompletion end = {
        .normalized_time = usual_time(run, now - run->started_at),
        .failed = failed,
        .concurrency = run->start_pace && run->start_pace <= STEADY_PACE
                           ? run->start_concurrency
                           : 0,
        .work_kind = kind_of(run),
    };

    Lat_Record(run->hub->latencies, Lat_RUN, now - run->started_at);
    Adm_OnAttemptEnd(run->hub->admission, &end, now);
}

static void
on_end(void *context, BckEnd end)
{
    BackendAttempt *run = context;
    AttemptRunner *hub = run->hub;
    Instant now = Loop_Now();
    bool failed = end != Bck_WHOLE || run->status >= Callmsg_FAILED;

    Lgr_Log(hub->logger, Lgr_DEBUG, Str_LIT("run_ended"),
            "request=%.*s end=%d status=%u took_us=%lld pace=%u running=%u",
            Str_ARG(run->request_id), (int)end, run->status,
            (long long)(now - run->started_at), run->start_pace,
            hub->admission->running);
    end_at_admission(run, failed, now);
    Crs_OnExchangeEnd(run, end, now);
    if (end == Bck_UNREACHED || end == Bck_REJECTED ||
        (end == Bck_WHOLE && run->status == TURNED_AWAY)) {
        Adm_OnBackendReject(hub->admission, now);
    }
    else if (end == Bck_WHOLE) {
        Adm_OnBackendAccept(hub->admission);
    }
    switch (end) {
    case Bck_WHOLE:
        Ans_StoreInLedger(run, now);
        Ans_SendRest(run, now);
        break;
    case Bck_CUT:
        run->exchange = NULL;
        Crs_OnInterrupted(run);
        return;
    case Bck_REJECTED:
        Run_Refuse(run, Refusal_TURNED_AWAY, now);
        break;
    case Bck_UNREACHED:
        Run_Refuse(run, Refusal_ABSENT, now);
        break;
    }
    Run_Free(run);
    Run_Tick(hub, now);
}

/* When a connection to the backend server that brings nothing is taken for
 * silent; 0 for a request that may not run again. */
static Span
repeat_after(const BackendAttempt *run, Span left)
{
    Span usual = (Span)run->hub->admission->service_us * USUAL_FACTOR;

    if (!run->idempotent) {
        return 0;
    }
    return usual > left / REPEAT_PART ? usual : left / REPEAT_PART;
}

void
Run_StartExchange(BackendAttempt *run, Instant now)
{
    AttemptRunner *hub = run->hub;
    BckRequest request = {
        .method = StrBuf_View(&run->method),
        .target = StrBuf_View(&run->target),
        .request_id = StrBuf_View(&run->request_id),
        .fields = run->fields,
        .body = StrBuf_View(&run->body),
        .left = run->deadline - now,
        .repeat_after = repeat_after(run, run->deadline - now),
    };
    BckSink sink = {run, Ans_OnHead, Ans_OnBytes, on_end};

    run->started_at = now;
    run->start_concurrency = hub->admission->running;
    run->start_pace = Adm_GetLoadReport(hub->admission, now).pace;
    run->exchange = Bck_Start(hub->pool, &request, &sink);
    if (run->exchange) {
        Cnt_Add(hub->counters, Cnt_RUNS, 1);
        return;
    }
    end_at_admission(run, true, now);
    Run_Refuse(run, Refusal_ABSENT, now);
    Run_Free(run);
}

BackendAttempt *
Run_Add(AttemptRunner *hub, const NetOrigin *origin, const CallMsg *msg,
        Instant now)
{
    BackendAttempt *run = Mem_Alloc(1, sizeof *run);

    run->id = msg->id;
    link_run(hub, run);
    run->origin = *origin;
    run->idempotent = msg->idempotent;
    run->keyed = msg->keyed;
    run->cross_region = msg->crosses;
    run->fingerprint = msg->fingerprint;
    run->request_class = msg->interactive ? Adm_INTERACTIVE : Adm_PATIENT;
    run->deadline = now + msg->left;
    run->queue_deadline = now + msg->slack;
    run->priority = msg->priority;
    run->nested = msg->nested;
    run->misses_objective = msg->late;
    run->queue_time_max = msg->slack;
    StrBuf_Set(&run->method, msg->method);
    StrBuf_Set(&run->target, msg->target);
    StrBuf_Set(&run->request_id, msg->request_id);
    StrBuf_Set(&run->body, msg->body);
    Run_CopyFields(&run->fields, &run->field_text, &msg->fields);
    return run;
}

static Refusal
refusal_of(AdmissionVerdict verdict)
{
    switch (verdict) {
    case Adm_REFUSE_LATE:
        return Refusal_LATE;
    case Adm_REFUSE_DRAINING:
        return Refusal_DRAINING;
    case Adm_REFUSE_ABSENT:
        return Refusal_ABSENT;
    case Adm_REFUSE_SLOW:
        return Refusal_SLOW;
    default:
        return Refusal_FULL;
    }
}

/* True when the ledger lets the attempt run. */
static bool
ask_ledger(AttemptRunner *hub, const NetOrigin *origin, const CallMsg *msg,
           Instant now)
{
    switch (Led_OnAttempt(&hub->ledger, msg->id, msg->incarnation, msg->keyed,
                          now)) {
    case Led_FIRST:
        return true;
    case Led_SEEN:
        /* The first one's answer is on its way. */
        Cnt_Add(hub->counters, Cnt_DUPLICATES, 1);
        break;
    case Led_FENCED:
        Run_RefuseCall(hub, origin, msg, Refusal_FENCED, now);
        break;
    case Led_EXPIRED:
        Run_RefuseCall(hub, origin, msg, Refusal_EXPIRED, now);
        break;
    case Led_FULL:
        Run_RefuseCall(hub, origin, msg, Refusal_FULL, now);
        break;
    case Led_WRONG_INCARNATION:
        Run_RefuseCall(hub, origin, msg, Refusal_INCARNATION, now);
        break;
    }
    return false;
}

static AdmissionVerdict
ask_admission(BackendAttempt *run, Instant now)
{
    AdmissionRequest ask = {
        .cls = run->request_class,
        .time_left = run->deadline - now,
        .queue_time_max = run->queue_time_max,
        .nested = run->nested,
        .misses_objective = run->misses_objective,
    };

    return Adm_Admit(run->hub->admission, &ask, now);
}

void
Run_Admit(BackendAttempt *run, Instant now)
{
    AdmissionVerdict verdict = ask_admission(run, now);

    if (verdict == Adm_RUN) {
        Run_StartExchange(run, now);
    }
    else if (verdict != Adm_QUEUE) {
        Run_Refuse(run, refusal_of(verdict), now);
        Run_Free(run);
    }
}

static void
stop_asking(BackendAttempt *run)
{
    run->hub->awaiting_load_count -= run->awaits_load;
    run->awaits_load = false;
}

/* The backend server said how it is, or does not say. */
static void
on_pulse(void *context, Instant now)
{
    AttemptRunner *hub = context;
    BackendAttempt *next;

    for (BackendAttempt *run = hub->first; run && hub->awaiting_load_count;
         run = next) {
        next = run->next;
        if (run->awaits_load) {
            stop_asking(run);
            Run_Admit(run, now);
        }
    }
    Run_Tick(hub, now);
}

/* True when RUN waits for the backend server's word. */
static bool
asks_first(BackendAttempt *run, Instant now)
{
    AttemptRunner *hub = run->hub;

    if (!hub->admission->backend_present ||
        !Adm_IsPaceStale(hub->admission, now) ||
        !Pls_Ask(&hub->load_query, now)) {
        return false;
    }
    run->awaits_load = true;
    run->load_requested_at = now;
    hub->awaiting_load_count++;
    return true;
}

static void
on_call(void *context, const NetOrigin *origin, Unpack *in, Instant now)
{
    AttemptRunner *hub = context;
    CallMsg msg;
    Err err = {0};
    BackendAttempt *run;

    hub->last_call_at = now;
    if (!Callmsg_ReadCall(in, &msg, &err)) {
        Cnt_Add(hub->counters, Cnt_MALFORMED, 1);
        Lgr_LogErr(hub->logger, Lgr_WARNING, Str_LIT("message_refused"), &err);
        return;
    }
    if (!ask_ledger(hub, origin, &msg, now) ||
        Crs_FilterCall(hub, origin, &msg, now)) {
        return;
    }
    run = Run_Add(hub, origin, &msg, now);
    if (!asks_first(run, now)) {
        Run_Admit(run, now);
    }
}

static BackendAttempt *
find_run(const AttemptRunner *hub, AttemptId id)
{
    HshLink *link = Hsh_First(&hub->attempts_by_id, AttemptId_Hash(id));

    while (link && !AttemptId_Equal(((BackendAttempt *)link)->id, id)) {
        link = Hsh_Next(link);
    }
    return (BackendAttempt *)link;
}

void
Run_Dequeue(BackendAttempt *run)
{
    if (run->awaits_load) {
        stop_asking(run);
    }
    else if (run->exclusive) {
        Adm_OnSuspectCancel(run->hub->admission);
        run->hub->exclusive_count--;
        run->exclusive = false;
    }
    else {
        Adm_OnQueueCancel(run->hub->admission, run->request_class);
    }
}

void
Run_DequeueAndFree(BackendAttempt *run)
{
    Run_Dequeue(run);
    Run_Free(run);
}

/* Its connection to the backend server is closed: it may have run. */
static void
cancel_run(BackendAttempt *run, Instant now)
{
    Bck_Cancel(run->exchange);
    end_at_admission(run, true, now);
    Run_ReportLost(run, now);
    Run_Free(run);
}

static void
on_cancel(void *context, const NetOrigin *origin, Unpack *in, Instant now)
{
    AttemptRunner *hub = context;
    AttemptId id;
    BackendAttempt *run;

    (void)origin;
    if (!Callmsg_ReadId(in, &id, NULL)) {
        Cnt_Add(hub->counters, Cnt_MALFORMED, 1);
        return;
    }
    run = find_run(hub, id);
    if (!run) {
        return;
    }
    if (run->interrupted) {
        run->detached = true;
    }
    else if (!run->exchange) {
        Led_OnRefused(&hub->ledger, id, now);
        Run_DequeueAndFree(run);
    }
    else if (run->keyed) {
        Ans_Detach(run); /* a repeat will want its outcome */
    }
    else {
        run->detached = true;
        cancel_run(run, now);
        Run_Tick(hub, now);
    }
}

static void
on_credit(void *context, const NetOrigin *origin, Unpack *in, Instant now)
{
    AttemptRunner *hub = context;
    CreditMsg msg;
    BackendAttempt *run;

    (void)origin;
    if (!Callmsg_ReadCredit(in, &msg, NULL)) {
        Cnt_Add(hub->counters, Cnt_MALFORMED, 1);
        return;
    }
    run = find_run(hub, msg.id);
    if (run) {
        run->uncredited_bytes -= msg.bytes < run->uncredited_bytes
                                     ? msg.bytes
                                     : run->uncredited_bytes;
        Ans_SendFullPieces(run, now);
        if (run->exchange && run->unsent_body.len < Callmsg_WINDOW_BYTES) {
            Bck_Resume(run->exchange);
        }
    }
}

static void
on_ping(void *context, const NetOrigin *origin, Unpack *in, Instant now)
{
    AttemptRunner *hub = context;
    LoadReport load = Adm_GetLoadReport(hub->admission, now);
    Pack pack;

    (void)in;
    Callmsg_PackPong(&pack, &load);
    Net_Answer(hub->net, origin, Pack_View(&pack), now);
    Pack_Finish(&pack);
}

void
Run_InitRunner(AttemptRunner *hub, Net *net, Counters *counters,
               Timeline *timeline, LatencyHistograms *latencies,
               AdmissionController *admission, BckPool *pool,
               SuspectSync *suspects, uint64_t incarnation)
{
    LedSettings ledger = {
        .brief = LEDGER_BRIEF,
        .retention = LEDGER_BRIEF,
        .bytes_max = LEDGER_ANSWERS,
        .answer_max = Callmsg_PIECE_BYTES,
        .entries_max = LEDGER_ENTRIES,
        .origins_max = LEDGER_ORIGINS,
    };

    *hub = (AttemptRunner){
        .net = net,
        .counters = counters,
        .latencies = latencies,
        .logger = timeline->logger,
        .timeline = timeline,
        .admission = admission,
        .pool = pool,
        .suspects = suspects,
        .incarnation = incarnation,
    };
    Sps_SetUpdateCallback(suspects, Crs_ReviewQueued, hub);
    Led_Init(&hub->ledger, &ledger, incarnation);
    Pls_Init(&hub->load_query, pool, on_pulse, hub);
    Net_On(net, Wire_CALL, on_call, hub);
    Net_On(net, Wire_CANCEL, on_cancel, hub);
    Net_On(net, Wire_CREDIT, on_credit, hub);
    Net_On(net, Wire_PING, on_ping, hub);
}

void
Run_FinishRunner(AttemptRunner *hub)
{
    Pls_Finish(&hub->load_query);
    while (hub->first) {
        if (hub->first->exchange) {
            Bck_Cancel(hub->first->exchange);
        }
        Run_Free(hub->first);
    }
    Knk_Cancel(&hub->connect_probe);
    Hsh_Finish(&hub->attempts_by_id);
    Led_Finish(&hub->ledger);
}

void
Run_SetBackendLostCallback(AttemptRunner *hub,
                           void (*lost)(void *context, Instant now),
                           void *context)
{
    hub->on_backend_lost = lost;
    hub->backend_lost_context = context;
}

bool
Run_HasAttemptUntil(const AttemptRunner *hub, Instant deadline)
{
    for (const BackendAttempt *run = hub->first; run; run = run->next) {
        if (run->exchange && run->deadline + CLOCK_SLACK >= deadline) {
            return true;
        }
    }
    return false;
}

FencedState
Run_RedirectAnswer(AttemptRunner *hub, const NetOrigin *origin, AttemptId id,
                   bool stop, Instant now)
{
    BackendAttempt *run = find_run(hub, id);

    if (!run || run->next_piece > 0) {
        return Fenced_LOST;
    }
    if ((Run_IsQueued(run) || run->awaits_load) && stop) {
        Led_OnRefused(&hub->ledger, id, now);
        Run_DequeueAndFree(run);
        return Fenced_NEVER;
    }
    run->origin = *origin;
    run->detached = false;
    return Fenced_RUNNING;
}

void
Run_SetPreset(AttemptRunner *hub, const Preset *preset, Str service)
{
    const PstService *own = Pst_FindService(preset, service);

    Led_SetRetention(&hub->ledger, preset->limits.key_retention);
    Pls_SetPath(&hub->load_query,
                own ? StrBuf_View(&own->health_path) : (Str){0});
}

/* The most urgent first; of these, the one that can wait least. */
static bool
goes_before(const BackendAttempt *a, const BackendAttempt *b)
{
    if (a->nested != b->nested) {
        return a->nested;
    }
    if (a->priority != b->priority) {
        return a->priority < b->priority;
    }
    return a->queue_deadline < b->queue_deadline;
}

static BackendAttempt *
first_waiting(AttemptRunner *hub, RequestClass cls)
{
    BackendAttempt *first = NULL;

    for (BackendAttempt *run = hub->first; run; run = run->next) {
        if (Run_IsQueued(run) && !run->exclusive &&
            run->request_class == cls && (!first || goes_before(run, first))) {
            first = run;
        }
    }
    return first;
}

/* A suspect keeps all others waiting. */
static Span
grace_of(const BackendAttempt *run)
{
    return run->exclusive ? 0 : STALL_GRACE;
}

/* What runs past its deadline, and nobody takes its answer, holds a slot of
 * the backend server for nothing. */
static void
drop_late(AttemptRunner *hub, Instant now)
{
    BackendAttempt *next;

    for (BackendAttempt *run = hub->first; run; run = next) {
        next = run->next;
        if (Run_IsQueued(run) && Adm_IsDraining(hub->admission)) {
            Run_Refuse(run, Refusal_DRAINING, now);
            Run_DequeueAndFree(run);
        }
        else if (Run_IsQueued(run) && now >= run->deadline) {
            Run_Refuse(run, Refusal_LATE, now);
            Run_DequeueAndFree(run);
        }
        else if (Run_IsQueued(run) && run->queue_time_max && !run->exclusive &&
                 now >= run->queue_deadline) {
            Run_Refuse(run, Refusal_FULL, now);
            Run_DequeueAndFree(run);
        }
        else if (run->awaits_load &&
                 now - run->load_requested_at >= ASK_WAIT) {
            stop_asking(run);
            Run_Admit(run, now);
        }
        else if (run->exchange && now >= run->deadline + grace_of(run)) {
            cancel_run(run, now);
        }
    }
}

void
Run_Tick(AttemptRunner *hub, Instant now)
{
    RequestClass cls;

    Led_Expire(&hub->ledger, now);
    drop_late(hub, now);
    Crs_Tick(hub, now);
    while (Adm_StartNext(hub->admission, now, &cls)) {
        Run_StartExchange(first_waiting(hub, cls), now);
    }
}
