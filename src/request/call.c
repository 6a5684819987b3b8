#include "request/call.h"

#include "request/callstate.h"
#include "request/credential.h"
#include "request/depth.h"
#include "request/split.h"
#include "value/mem.h"

enum { KEY_BYTES_MAX = 1024 };

static void
free_call(Call *call)
{
    CallDispatcher *dispatcher = call->dispatcher;

    *call->handle = NULL;
    Ccr_StopWaiting(call);
    Lst_Drop(&dispatcher->calls, &call->link);
    for (size_t i = 0; i < Call_ATTEMPTS_MAX; i++) {
        if (call->attempts[i].id.counter) {
            Hsh_Drop(&dispatcher->attempts_by_id, &call->attempts[i].link);
        }
    }
    Shp_Release(call->in_force);
    Mem_Free(call);
}

static void
log_end(const Call *call, CallOutcome outcome, CallReason reason, Instant now)
{
    static const char *const outcomes[] = {"answered", "not_run", "unknown",
                                           "cut", "ran"};
    static const char *const reasons[] = {
        "-",      "no_route", "nobody",  "full",    "late",
        "key",    "mismatch", "suspect", "version", "account",
        "region", "stopping", "limit",   "credit"};

    Lgr_Log(
        call->dispatcher->logger,
        outcome == Call_ANSWERED ? Lgr_DEBUG : Lgr_INFO, Str_LIT("call_ended"),
        "request=%.*s route=%.*s service=%.*s outcome=%s why=%s "
        "attempts=%u asked=%u took_us=%lld sent_us=%lld left_us=%lld "
        "slack_us=%lld version=%llu.%llu fingerprint=%016llx",
        Str_ARG(call->request.request_id), Str_ARG(call->route->name),
        Str_ARG(call->service->name), outcomes[outcome], reasons[reason],
        call->retry.attempt_count, call->sent_count,
        (long long)(now - call->arrived_at),
        call->last_sent_at ? (long long)(call->last_sent_at - call->arrived_at)
                           : -1LL,
        (long long)(call->deadline - now),
        (long long)(call->start_by_objective - now),
        (unsigned long long)call->in_force->version.term,
        (unsigned long long)call->in_force->version.index,
        (unsigned long long)call->fingerprint);
}

/* Whether CALL ends with a good answer that meets its objective. */
static bool
is_in_time(const Call *call, CallOutcome outcome, Instant now)
{
    Span objective = call->route->latency_objective;

    return outcome == Call_ANSWERED && !call->backend_error &&
           (!objective || now - call->arrived_at <= objective);
}

void
Call_End(Call *call, CallOutcome outcome, CallReason reason, Instant now)
{
    static const CounterId ids[] = {
        [Call_ANSWERED] = Cnt_CALLS_ANSWERED,
        [Call_NOT_RUN] = Cnt_CALLS_NOT_RUN,
        [Call_UNKNOWN] = Cnt_CALLS_UNKNOWN,
        [Call_TRUNCATED] = Cnt_CALLS_CUT,
        [Call_ANSWER_NOT_KEPT] = Cnt_CALLS_RAN,
    };
    CallSink sink = call->sink;

    if (outcome == Call_NOT_RUN && call->may_have_run) {
        outcome = Call_UNKNOWN; /* an earlier attempt may have run */
    }
    if (outcome == Call_NOT_RUN) {
        Ccr_PutBack(call, now);
    }
    log_end(call, outcome, reason, now);
    if (call->sent_count || reason == Call_REASON_OVERLOAD ||
        reason == Call_REASON_DEADLINE) {
        Hdg_OnCallEnd(&call->service->hedge_gate,
                      is_in_time(call, outcome, now));
    }
    Lat_Record(call->dispatcher->latencies, Lat_CALL, now - call->arrived_at);
    Cnt_Add(call->dispatcher->counters, ids[outcome], 1);
    if (outcome == Call_UNKNOWN || reason == Call_REASON_OVERLOAD) {
        Tml_Record(call->dispatcher->timeline,
                   outcome == Call_UNKNOWN ? Tml_UNKNOWN
                                           : Tml_PLACEMENT_REFUSED,
                   "request=%.*s", Str_ARG(call->request.request_id));
    }
    free_call(call);
    sink.on_end(sink.context, outcome, reason);
}

void
Call_DispatcherInit(CallDispatcher *dispatcher, Net *net, Counters *counters,
                    Timeline *timeline, LatencyHistograms *latencies,
                    Services *services, const SuspectSync *suspects,
                    const Settings *settings, uint64_t incarnation)
{
    *dispatcher = (CallDispatcher){
        .net = net,
        .counters = counters,
        .latencies = latencies,
        .logger = timeline->logger,
        .timeline = timeline,
        .services = services,
        .suspects = suspects,
        .settings = settings,
        .incarnation = incarnation,
    };
    Key_InitClient(&dispatcher->key_claims, net, counters, timeline,
                   settings->replicas, settings->replica_count);
    Call_RegisterHandlers(dispatcher);
}

void
Call_DispatcherFinish(CallDispatcher *dispatcher)
{
    Call *call;

    while ((call = Lst_First(&dispatcher->calls))) {
        free_call(call);
    }
    Key_FinishClient(&dispatcher->key_claims);
    Hsh_Finish(&dispatcher->attempts_by_id);
}

static Str
path_of(Str target)
{
    return Str_Slice(target, 0, Str_Find(target, '?'));
}

/* The fingerprint, a hash that identifies the request: a key must always come
 * with the same request, and a request that crashes backend servers is
 * recognized by it, also when its route leads to another service later.  HOST
 * is the host of the route, not of the request, since callers may name any
 * node. */
static uint64_t
compute_fingerprint(const CallRequest *request, Str host)
{
    uint64_t parts[] = {Str_Hash(host), Str_Hash(request->method),
                        Str_Hash(request->target), Str_Hash(request->body)};

    return Str_Hash(Str_From((const char *)parts, sizeof parts));
}

/* The idempotency key; empty: none. */
static Str
get_key(const Call *call)
{
    Str header = StrBuf_View(&call->route->key_header);

    return header.len ? Field_Get(&call->request.fields, header) : (Str){0};
}

static void
start_call(Call *call, Instant now)
{
    Str key = get_key(call);

    if (Call_IsTooLate(call)) {
        Call_End(call, Call_NOT_RUN, Call_REASON_STOPPING, now);
    }
    else if (key.len > KEY_BYTES_MAX) {
        Call_End(call, Call_NOT_RUN, Call_REASON_KEY_TOO_LONG, now);
    }
    else if (!key.len &&
             Sps_GetVerdict(call->dispatcher->suspects, call->fingerprint,
                            now) == Sus_STOPPED) {
        Cnt_Add(call->dispatcher->counters, Cnt_SUSPECTS_STOPPED, 1);
        Call_End(call, Call_NOT_RUN, Call_REASON_SUSPECT, now);
    }
    else if (!key.len && call->cannot_finish) {
        Call_End(call, Call_NOT_RUN, Call_REASON_DEADLINE, now);
    }
    else if (Ccr_Obtain(call, now)) {
        Call_Proceed(call, now);
    }
}

void
Call_Proceed(Call *call, Instant now)
{
    Str key = get_key(call);

    if (key.len && !call->sent_count) {
        Ccl_Start(call, key, now);
    }
    else {
        Call_Dispatch(call, now);
    }
}

bool
Call_IsIdempotent(const CallDispatcher *dispatcher, Str host, Str method,
                  Str target)
{
    const PresetRoute *route = Pst_FindRoute(&dispatcher->in_force->preset,
                                             host, method, path_of(target));

    return route && route->is_idempotent;
}

/* Returns the time by which the call must be answered.  For a route with a
 * host, the timeout of the route is an upper bound of the caller's timeout. */
static Instant
compute_deadline(const CallRequest *request, const PresetRoute *route,
                 Instant now)
{
    bool stated = request->timeout &&
                  (!route->host.len || request->timeout < route->deadline);

    return now + (stated ? request->timeout : route->deadline);
}

/* Whether less time is left than all but few calls of the route take.  When it
 * is unknown whether that still holds, CALL is sent as a trial. */
static bool
is_hopeless(Call *call, Instant now)
{
    RouteDurations *durations = &call->dispatcher->durations;

    if (call->deadline -
            Dur_Estimate(durations, call->duration_key, Dur_OPTIMISTIC) >
        now) {
        return false;
    }
    call->is_trial = Dur_StartTrial(durations, call->duration_key, now);
    return !call->is_trial;
}

/* Computes the latest starts that meet the objective and the deadline, from
 * the usual durations of the route; a trial tells them anew.  A call with a
 * key does not wait, because its claim names one node. */
static void
init_start_limits(Call *call, Instant now)
{
    const RouteDurations *durations = &call->dispatcher->durations;
    uint64_t key = Dur_MakeKey(StrBuf_View(&call->route->name),
                               StrBuf_View(&call->service->name));
    Span objective = call->route->latency_objective;

    call->duration_key = key;
    if (objective && !call->route->key_header.len) {
        call->cannot_finish = is_hopeless(call, now);
        call->start_by_objective = now + objective;
        call->start_by_deadline = call->deadline;
        if (!call->is_trial) {
            call->start_by_objective -=
                Dur_Estimate(durations, key, Dur_TYPICAL);
            call->start_by_deadline -=
                Dur_Estimate(durations, key, Dur_PESSIMISTIC);
        }
        if (call->nested) {
            call->start_by_objective = call->start_by_deadline;
        }
    }
}

static const char *const reject_reason_names[] = {
    [Call_REASON_NO_ROUTE] = "no_route",
    [Call_REASON_VERSION] = "version",
    [Call_REASON_NO_ACCOUNT] = "no_account",
};

/* Rejects REQUEST before a call is started, because no route matches or this
 * node's configuration version is not confirmed. */
static void
reject_request(CallDispatcher *dispatcher, const CallRequest *request,
               const CallSink *sink, CallReason reason, Instant now)
{
    ConfigVersion version = dispatcher->in_force->version;
    const VersionWord *word = dispatcher->version_word;
    Span age = Vwd_Age(word, now);
    StrBuf from = {0};

    Addr_Print(word->from, &from);
    Lgr_Log(dispatcher->logger, Lgr_INFO, Str_LIT("call_refused"),
            "request=%.*s why=%s method=%.*s host=%.*s path=%.*s "
            "version=%llu.%llu known_ms=%lld from=%.*s",
            Str_ARG(request->request_id), reject_reason_names[reason],
            Str_ARG(request->method), Str_ARG(request->host),
            Str_ARG(path_of(request->target)),
            (unsigned long long)version.term,
            (unsigned long long)version.index,
            age == Vwd_NOT_KNOWN ? -1 : (long long)(age / Span_MS(1)),
            Str_ARG(from));
    StrBuf_Finish(&from);
    sink->on_end(sink->context, Call_NOT_RUN, reason);
}

/* A route that this node lacks may have been added since it last heard of its
 * version. */
static void
reject_unrouted(CallDispatcher *dispatcher, const CallRequest *request,
                const CallSink *sink, Instant now)
{
    bool is_absent = Vwd_ProvesAbsence(dispatcher->version_word,
                                       dispatcher->apply_bound, now);

    Cnt_Add(dispatcher->counters,
            is_absent ? Cnt_CALLS_NO_ROUTE : Cnt_CALLS_NOT_RUN, 1);
    reject_request(dispatcher, request, sink,
                   is_absent ? Call_REASON_NO_ROUTE : Call_REASON_VERSION,
                   now);
}

/* Whether a call of ROUTE needs the key of an account. */
static bool
needs_account(const CallDispatcher *dispatcher, const PresetRoute *route)
{
    return dispatcher->in_force->preset.account_count && !route->is_public;
}

/* Finds the account of REQUEST; the reason says why it can't be served. */
static CallReason
find_account(const CallDispatcher *dispatcher, const CallRequest *request,
             const PresetAccount **account, Instant now)
{
    const CredentialBounds bounds = {dispatcher->apply_bound,
                                     dispatcher->revoke_bound};

    switch (Cdt_FindAccount(&dispatcher->in_force->account_keys,
                            request->credential, dispatcher->version_word,
                            &bounds, account, now)) {
    case Cdt_KNOWN:
        return Call_REASON_NONE;
    case Cdt_UNKNOWN:
        return Call_REASON_NO_ACCOUNT;
    default:
        return Call_REASON_VERSION;
    }
}

static void
reject_without_account(CallDispatcher *dispatcher, const CallRequest *request,
                       const CallSink *sink, CallReason reason, Instant now)
{
    Cnt_Add(dispatcher->counters,
            reason == Call_REASON_NO_ACCOUNT ? Cnt_CALLS_NO_ACCOUNT
                                             : Cnt_CALLS_NOT_RUN,
            1);
    reject_request(dispatcher, request, sink, reason, now);
}

/* The regions in which a call of ROUTE and ACCOUNT may not run: both bind. */
static RegionMask
find_barred_regions(const Settings *settings, const PresetRoute *route,
                    const PresetAccount *account)
{
    RegionMask barred = 0;

    if (!route->regions.count && !(account && account->regions.count)) {
        return 0;
    }
    for (size_t i = 0; i < settings->domain_count; i++) {
        const FailureDomain *domain = &settings->domains[i];
        Str region = StrBuf_View(&domain->region);
        if (!Pst_AllowsRegion(&route->regions, region) ||
            (account && !Pst_AllowsRegion(&account->regions, region))) {
            barred |= Rgm_Bit(domain->region_number);
        }
    }
    return barred;
}

void
Call_Start(CallDispatcher *dispatcher, const CallRequest *request,
           const CallSink *sink, Call **handle, Instant now)
{
    const PresetRoute *route =
        Pst_FindRoute(&dispatcher->in_force->preset, request->host,
                      request->method, path_of(request->target));
    uint32_t attempts_max = dispatcher->in_force->preset.limits.attempts_max;
    const PresetAccount *account = NULL;
    CallReason reason = Call_REASON_NONE;
    Call *call;

    *handle = NULL;
    Cnt_Add(dispatcher->counters, Cnt_CALLS, 1);
    if (!dispatcher->version_confirmed) {
        Cnt_Add(dispatcher->counters, Cnt_CALLS_NOT_RUN, 1);
        reject_request(dispatcher, request, sink, Call_REASON_VERSION, now);
        return;
    }
    if (!route) {
        reject_unrouted(dispatcher, request, sink, now);
        return;
    }
    if (needs_account(dispatcher, route)) {
        reason = find_account(dispatcher, request, &account, now);
    }
    if (reason) {
        reject_without_account(dispatcher, request, sink, reason, now);
        return;
    }
    call = Mem_Alloc(1, sizeof *call);
    call->dispatcher = dispatcher;
    call->handle = handle;
    *handle = call;
    Lst_Prepend(&dispatcher->calls, &call->link, call);
    for (size_t i = 0; i < Call_ATTEMPTS_MAX; i++) {
        call->attempts[i].call = call;
    }
    call->request = *request;
    call->account = account;
    if (account) {
        if (dispatcher->quota && account->per_s) {
            call->account_id = Grt_GetId(StrBuf_View(&account->name));
        }
        Field_Add(&call->request.fields, dispatcher->account_field,
                  StrBuf_View(&account->name));
    }
    call->sink = *sink;
    call->arrived_at = now;
    call->in_force = Shp_Retain(dispatcher->in_force);
    call->route = route;
    call->service =
        Svc_FindOrAdd(dispatcher->services, Spl_ChooseService(route));
    call->barred = find_barred_regions(dispatcher->settings, route, account);
    call->deadline = compute_deadline(request, route, now);
    if (route->attempts_max) {
        attempts_max = route->attempts_max;
    }
    Rty_BudgetOnCall(&call->service->retry_budget, now);
    /* Only the root of a call tree retries. */
    Rty_Init(&call->retry, route->is_idempotent,
             Dep_Read(&request->fields) ? 1 : attempts_max, call->deadline);
    if (dispatcher->has_enclosing_run) {
        Nst_OnCall(&dispatcher->nesting, StrBuf_View(&route->name),
                   dispatcher->has_enclosing_run(
                       dispatcher->enclosing_run_context, call->deadline));
    }
    call->nested =
        Nst_IsNested(&dispatcher->nesting, StrBuf_View(&route->name));
    init_start_limits(call, now);
    Call_InitHedge(call, now);
    call->fingerprint =
        compute_fingerprint(request, StrBuf_View(&route->host));
    start_call(call, now); /* may free the call */
}

static void
send_credit(const Attempt *attempt, uint32_t bytes, Instant now)
{
    CreditMessage msg = {.id = attempt->id, .bytes = bytes};
    Pack pack;

    Callmsg_PackCredit(&pack, &msg);
    Net_Send(attempt->call->dispatcher->net, attempt->node, Pack_View(&pack),
             now);
    Pack_Finish(&pack);
}

/* A credit of an earlier connection may reach the node after a fence that
 * counted it, and let the node send more than a window ahead. */
void
Call_OnConsumed(Call *call, uint32_t bytes, Instant now)
{
    Attempt *attempt = Call_ActiveAttempt(call);

    if (!attempt) {
        return;
    }
    attempt->uncredited_bytes -=
        bytes < attempt->uncredited_bytes ? bytes : attempt->uncredited_bytes;
    while (bytes > Callmsg_WINDOW_BYTES) {
        send_credit(attempt, Callmsg_WINDOW_BYTES, now);
        bytes -= Callmsg_WINDOW_BYTES;
    }
    send_credit(attempt, bytes, now);
}

static const char *
get_state(Call *call)
{
    const Attempt *attempt = Call_ActiveAttempt(call);

    if (attempt) {
        return attempt->pieces.next_sequence ? "answer_begun" : "sent";
    }
    if (call->credit_wait_ends) {
        return "asks_credit";
    }
    return call->retry_at ? "waits" : "claims";
}

/* While the node stops, its exit may be what cancels the call. */
static void
log_cancel(Call *call, Instant now)
{
    Lgr_Log(
        call->dispatcher->logger,
        call->dispatcher->stops_starting ? Lgr_INFO : Lgr_DEBUG,
        Str_LIT("call_cancelled"),
        "request=%.*s state=%s attempts=%u asked=%u nested=%d took_us=%lld "
        "left_us=%lld",
        Str_ARG(call->request.request_id), get_state(call),
        call->retry.attempt_count, call->sent_count, call->nested,
        (long long)(now - call->arrived_at),
        (long long)(call->deadline - now));
}

void
Call_Cancel(Call *call, Instant now)
{
    log_cancel(call, now);
    Cnt_Add(call->dispatcher->counters, Cnt_CALLS_HUNG_UP, 1);
    if (!Call_ActiveAttempt(call)) {
        Ccr_PutBack(call, now);
    }
    Call_CancelAttempts(call, now);
    if (call->claim_session) {
        Key_CancelClaim(call->claim_session, now);
    }
    free_call(call);
}

/* The deadline passed.  For SETTLE_GRACE a fence may still prove that the
 * attempt did not run.  A claim without an attempt ends by its own
 * deadline. */
static void
on_deadline(Call *call, Instant now)
{
    Attempt *attempt = Call_ActiveAttempt(call);

    if (!attempt) {
        return;
    }
    if (call->route->is_idempotent || attempt->pieces.next_sequence ||
        now >= call->deadline + SETTLE_GRACE) {
        Call_EndLate(call, now);
    }
    else if (!call->settling) {
        call->settling = true;
        Call_SendFence(attempt, now);
    }
}

/* Ends CALL if it waits for a target.  If its attempt may wait in a queue,
 * asks the node to drop it: the answer of a running one still comes.  A call
 * with a key goes on, since its repeat will find it. */
static void
stop_waiting_call(Call *call, Instant now)
{
    if (!Call_IsTooLate(call) || call->claim_session) {
        return;
    }
    if (call->retry_at || call->credit_wait_ends) {
        Call_End(call, Call_NOT_RUN, Call_REASON_STOPPING, now);
        return;
    }
    for (size_t i = 0; i < Call_ATTEMPTS_MAX; i++) {
        Attempt *attempt = &call->attempts[i];
        if (attempt->id.counter && !attempt->pieces.next_sequence &&
            !attempt->asked_at) {
            Call_SendFence(attempt, now);
        }
    }
}

void
Call_StopStarting(CallDispatcher *dispatcher, bool nested_too, Instant now)
{
    bool *stops =
        nested_too ? &dispatcher->stops_nested : &dispatcher->stops_starting;
    ListWalk walk;
    Call *call;

    if (*stops) {
        return;
    }
    *stops = true;
    Lst_Begin(&walk, &dispatcher->calls);
    while ((call = Lst_Next(&walk))) {
        stop_waiting_call(call, now);
    }
}

void
Call_DispatcherTick(CallDispatcher *dispatcher, Instant now)
{
    ListWalk walk;
    Call *call;

    Key_Tick(&dispatcher->key_claims, now);
    Call_ServeCreditWaiters(dispatcher, now);
    Lst_Begin(&walk, &dispatcher->calls);
    while ((call = Lst_Next(&walk))) {
        if (call->credit_wait_ends) {
            continue;
        }
        if (call->retry_at) {
            Call_TickWaiting(call, now);
        }
        else if (now >= call->deadline) {
            on_deadline(call, now);
        }
        else if (!Call_SendUngranted(call, now)) {
            Call_AskAgain(call, now);
            Call_HedgeIfDue(call, now);
        }
    }
}
