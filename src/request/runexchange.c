#include "request/answer.h"
#include "request/crash.h"
#include "request/runstate.h"

enum {
    HTTP_SERVICE_UNAVAILABLE = 503,
    SILENCE_SERVICE_TIMES = 8, /* times the smoothed service time */
    /* one part in 4 of the time left until the deadline */
    SILENCE_DEADLINE_DIVISOR = 4,
    /* percent of the usual duration of work; above it work counts as slow */
    STEADY_PACE_PERCENT = 250
};

/* Converts TOOK to the time that the attempt would have taken at the usual
 * pace. */
static Span
normalize_time(const BackendAttempt *attempt, Span took)
{
    return attempt->start_pace
               ? took * Load_USUAL_PACE_PERCENT / attempt->start_pace
               : took;
}

/* Service times are compared within one kind of work only: all nested
 * attempts, or all other attempts of one priority, are similar enough. */
static uint32_t
get_work_kind(const BackendAttempt *attempt)
{
    return attempt->nested ? 0 : attempt->priority + 1;
}

void
Run_ReportEnd(const BackendAttempt *attempt, bool failed, Instant now)
{
    AttemptCompletion completion = {
        .normalized_time = normalize_time(attempt, now - attempt->started_at),
        .failed = failed,
        .concurrency =
            attempt->start_pace && attempt->start_pace <= STEADY_PACE_PERCENT
                ? attempt->start_concurrency
                : 0,
        .work_kind = get_work_kind(attempt),
    };

    Lat_Record(attempt->runner->latencies, Lat_RUN, now - attempt->started_at);
    Adm_OnAttemptEnd(attempt->runner->admission, &completion, now);
}

static void
on_exchange_end(void *context, BackendResult result)
{
    BackendAttempt *attempt = context;
    AttemptRunner *runner = attempt->runner;
    Instant now = Loop_Now();
    bool failed =
        result != Bck_COMPLETE || attempt->status >= Callmsg_SERVER_ERROR_MIN;

    Lgr_Log(runner->logger, Lgr_DEBUG, Str_LIT("run_ended"),
            "request=%.*s end=%d status=%u took_us=%lld pace=%u running=%u",
            Str_ARG(attempt->request_id), (int)result, attempt->status,
            (long long)(now - attempt->started_at), attempt->start_pace,
            runner->admission->running);
    Run_ReportEnd(attempt, failed, now);
    Crs_OnExchangeEnd(attempt, result, now);
    if (result == Bck_CONNECT_FAILED || result == Bck_REJECTED ||
        (result == Bck_COMPLETE &&
         attempt->status == HTTP_SERVICE_UNAVAILABLE)) {
        Adm_OnBackendReject(runner->admission, now);
    }
    else if (result == Bck_COMPLETE) {
        Adm_OnBackendAccept(runner->admission);
    }
    switch (result) {
    case Bck_COMPLETE:
        Ans_StoreInLedger(attempt, now);
        Ans_SendRest(attempt, now);
        break;
    case Bck_INTERRUPTED:
        attempt->exchange = NULL;
        Crs_OnInterrupted(attempt, now);
        return;
    case Bck_REJECTED:
        Run_Refuse(attempt, Reject_BY_BACKEND, now);
        break;
    case Bck_CONNECT_FAILED:
        Run_Refuse(attempt, Reject_NO_BACKEND, now);
        break;
    }
    Run_Free(attempt);
    Run_Tick(runner, now);
}

/* Asked before a request is sent to the backend server again. */
bool
Run_MayResend(void *context, bool may_still_run, Instant now)
{
    const AttemptRunner *runner = context;

    if (!Adm_TakesRepeat(runner->admission, may_still_run, now)) {
        return false;
    }
    Adm_OnRepeat(runner->admission, now);
    return true;
}

/* Returns the time without an answer over a reused connection after which the
 * request may have been lost and may be sent again over a new one: 8 service
 * times or a quarter of the time left, whichever is longer.  0: never, since
 * the request must not run twice. */
static Span
get_resend_delay(const BackendAttempt *attempt, Span left)
{
    Span usual =
        (Span)attempt->runner->admission->service_us * SILENCE_SERVICE_TIMES;

    if (!attempt->idempotent) {
        return 0;
    }
    return usual > left / SILENCE_DEADLINE_DIVISOR
               ? usual
               : left / SILENCE_DEADLINE_DIVISOR;
}

void
Run_StartExchange(BackendAttempt *attempt, Instant now)
{
    AttemptRunner *runner = attempt->runner;
    BackendRequest request = {
        .method = StrBuf_View(&attempt->method),
        .target = StrBuf_View(&attempt->target),
        .request_id = StrBuf_View(&attempt->request_id),
        .fields = attempt->fields,
        .body = attempt->body,
        .time_left = attempt->deadline - now,
        .resend_after = get_resend_delay(attempt, attempt->deadline - now),
        .work_kind = get_work_kind(attempt),
    };
    BackendCallbacks callbacks = {attempt, Ans_OnHead, Ans_OnBytes,
                                  on_exchange_end};

    Fsh_OnStart(&runner->shares, attempt->account,
                (Span)runner->admission->service_us, now);
    attempt->started_at = now;
    attempt->start_concurrency = runner->admission->running;
    attempt->start_pace = Adm_GetLoadReport(runner->admission, now).pace;
    attempt->exchange = Bck_Start(runner->pool, &request, &callbacks);
    if (attempt->exchange) {
        Cnt_Add(runner->counters, Cnt_RUNS, 1);
        return;
    }
    Run_ReportEnd(attempt, true, now);
    Run_Refuse(attempt, Reject_NO_BACKEND, now);
    Run_Free(attempt);
}
