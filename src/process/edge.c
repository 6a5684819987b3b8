#include "process/edge.h"

#include "connection/httprule.h"

enum { HTTP_SERVICE_UNAVAILABLE = 503 };

static bool
can_run_early(void *context, const CallerRequest *request)
{
    const Edge *edge = context;

    return Call_IsIdempotent(edge->exchanges.dispatcher,
                             Htr_HostWithoutPort(&request->fields),
                             request->method, Htr_OriginForm(request->target));
}

static void
on_request(void *context, CallerRequest *request, Instant now)
{
    Xch_Start(&((Edge *)context)->exchanges, request, now);
}

static void
on_consumed(void *context, CallerRequest *request, uint32_t bytes)
{
    (void)context;
    Xch_OnConsumed(request, bytes, Loop_Now());
}

static void
on_disconnect(void *context, CallerRequest *request)
{
    (void)context;
    Xch_OnDisconnect(request, Loop_Now());
}

/* The request id; of a request that was not passed on, the one that the caller
 * gave. */
static Str
get_request_id(const Edge *edge, const CallerRequest *request)
{
    const HeaderFieldNames *names = &edge->settings->header_fields;

    return request->id.len
               ? StrBuf_View(&request->id)
               : Field_Get(&request->fields, StrBuf_View(&names->request_id));
}

static const char *
get_stage(const CallerRequest *request)
{
    if (!request->is_dispatched) {
        return "waits_behind";
    }
    if (request->answer_ended) {
        return "answered";
    }
    return request->head_sent ? "answer_begun" : "no_answer_yet";
}

/* Logs what the end of the connection cuts off.  That a caller leaves is
 * usual, unless it leaves a node that stops. */
static void
on_cut(void *context, const CallerRequest *request, CallerEnd reason,
       size_t unsent)
{
    static const char *const reasons[] = {"caller_left",    "caller_stalled",
                                          "answer_aborted", "behind_close",
                                          "exit",           "no_room"};
    const Edge *edge = context;
    bool is_usual = !edge->caller_listener.is_draining &&
                    (reason == Ccn_CALLER_LEFT || reason == Ccn_BEHIND_CLOSE);

    Lgr_Log(edge->exchanges.dispatcher->logger,
            is_usual ? Lgr_DEBUG : Lgr_INFO, Str_LIT("answer_cut"),
            "request=%.*s why=%s stage=%s unsent=%zu since_read_us=%lld",
            Str_ARG(get_request_id(edge, request)), reasons[reason],
            get_stage(request), unsent,
            (long long)(Loop_Now() - request->received_at));
}

static void
add_error_fields(void *context, uint16_t status, FieldList *fields)
{
    const Edge *edge = context;
    Str outcome = StrBuf_View(&edge->settings->header_fields.outcome);

    Lgr_Log(edge->exchanges.dispatcher->logger, Lgr_INFO,
            Str_LIT("request_not_read"), "status=%u", status);
    if (outcome.len) {
        Field_Add(fields, outcome, Str_LIT("not-run"));
    }
    if (status == HTTP_SERVICE_UNAVAILABLE) {
        Field_Add(fields, Str_LIT("Retry-After"), Str_LIT("1"));
    }
}

/* The settings' limits hold where the preset has none. */
static CallerLimits
choose_limits(const Settings *settings, const PresetCallerLimits *callers)
{
    return (CallerLimits){
        .head_bytes_max = callers->header_bytes_max
                              ? callers->header_bytes_max
                              : settings->header_bytes_max,
        .body_bytes_max = callers->body_bytes_max ? callers->body_bytes_max
                                                  : settings->body_bytes_max,
        .head_timeout = callers->header_timeout ? callers->header_timeout
                                                : settings->header_wait,
        .idle_timeout = callers->idle_timeout ? callers->idle_timeout
                                              : settings->callers_idle,
    };
}

void
Edge_SetPreset(Edge *edge, const Preset *preset)
{
    CallerLimits limits =
        choose_limits(edge->settings, &preset->caller_limits);

    Ccn_SetLimits(&edge->caller_listener, &limits);
}

bool
Edge_Init(Edge *edge, Loop *loop, const Settings *settings,
          CallDispatcher *dispatcher, MemoryBudget *budget,
          size_t connections_max, Err *err)
{
    CallerCallbacks callbacks = {
        edge,          can_run_early, on_request,      on_consumed,
        on_disconnect, on_cut,        add_error_fields};
    PresetCallerLimits no_limits = {0};
    CallerLimits limits = choose_limits(settings, &no_limits);

    *edge = (Edge){.settings = settings};
    edge->exchanges.dispatcher = dispatcher;
    edge->exchanges.names = &settings->header_fields;
    if (!Ccn_Listen(&edge->caller_listener, loop->base, Loop_Now,
                    settings->callers, &callbacks, err)) {
        return false;
    }
    Ccn_SetLimits(&edge->caller_listener, &limits);
    Ccn_SetBudget(&edge->caller_listener, budget, dispatcher->counters,
                  connections_max);
    return true;
}

void
Edge_StartAccepting(Edge *edge)
{
    Ccn_StartAccepting(&edge->caller_listener);
}

void
Edge_Finish(Edge *edge)
{
    Ccn_Finish(&edge->caller_listener);
    Xch_ListFinish(&edge->exchanges);
}

void
Edge_StartDraining(Edge *edge)
{
    Ccn_StartDraining(&edge->caller_listener);
}

void
Edge_StopListening(Edge *edge)
{
    Ccn_StopListening(&edge->caller_listener);
}

void
Edge_CloseIdle(Edge *edge)
{
    Ccn_CloseIdle(&edge->caller_listener);
}

void
Edge_RejectPartialRequests(Edge *edge, Instant now)
{
    Ccn_RejectPartial(&edge->caller_listener, HTTP_SERVICE_UNAVAILABLE, now);
}

void
Edge_PushOutput(Edge *edge)
{
    Ccn_PushOutput(&edge->caller_listener);
}

void
Edge_CheckTimeouts(Edge *edge, Instant now)
{
    Ccn_CheckTimeouts(&edge->caller_listener, now);
}

size_t
Edge_CountRequests(const Edge *edge)
{
    return edge->caller_listener.active_requests;
}

size_t
Edge_CountConnections(const Edge *edge)
{
    return edge->caller_listener.connections.count;
}

size_t
Edge_CountPartialRequests(Edge *edge, Instant now)
{
    return Ccn_CountPartial(&edge->caller_listener, now);
}

size_t
Edge_CountUnsentBytes(Edge *edge)
{
    return Ccn_CountUnsentBytes(&edge->caller_listener);
}
