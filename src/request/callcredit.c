#include "request/callstate.h"

/* Without a grantor a call waits for credit for this part of its objective:
 * the rest is for its run. */
enum { WAIT_DIVISOR = 2 };

/* The same for a call without an objective. */
#define WAIT_MAX Span_MS(200)

/* A grantor in another region has answered by then: so long waits a call that
 * misses its objective too. */
#define WAIT_MIN Span_MS(100)

static CreditHolder *
get_holder(const Call *call)
{
    return &call->dispatcher->quota->holder;
}

static Instant
get_wait_end(const Call *call, Instant now)
{
    Instant objective = call->route->latency_objective;
    Instant end =
        call->arrived_at + (objective ? objective / WAIT_DIVISOR : WAIT_MAX);

    if (call->start_by_objective && call->start_by_objective < end) {
        end = call->start_by_objective;
    }
    if (end < now + WAIT_MIN) {
        end = now + WAIT_MIN;
    }
    return end < call->deadline ? end : call->deadline;
}

void
Ccr_StopWaiting(Call *call)
{
    if (call->credit_wait_ends) {
        call->credit_wait_ends = 0;
        Lst_Drop(&call->dispatcher->credit_waiters, &call->credit_link);
        Crd_DropWaiting(get_holder(call), call->account_id);
    }
}

/* Says why CALL was refused, without its key. */
static void
log_refusal(const Call *call, CallReason reason, Span retry_after, Instant now)
{
    const QuotaSync *quota = call->dispatcher->quota;
    const CreditRow *row = Crd_Find(&quota->holder, call->account_id);
    StrBuf leader = {0};

    Addr_Print(quota->leader, &leader);
    Lgr_Log(call->dispatcher->logger, Lgr_INFO, Str_LIT("account_refused"),
            "request=%.*s account=%.*s why=%s per_s=%u burst=%u credit=%u "
            "credit_age_ms=%lld waiting=%u waited_ms=%lld retry_ms=%lld "
            "term=%llu grantor=%.*s",
            Str_ARG(call->request.request_id), Str_ARG(call->account->name),
            reason == Call_REASON_OVER_LIMIT ? "limit" : "no_grantor",
            call->account->per_s, call->account->burst,
            Crd_CountHeld(&quota->holder, call->account_id, now),
            row && row->granted_at
                ? (long long)((now - row->granted_at) / Span_MS(1))
                : -1LL,
            row ? row->waiting : 0,
            (long long)((now - call->arrived_at) / Span_MS(1)),
            (long long)(retry_after / Span_MS(1)),
            (unsigned long long)quota->holder.term, Str_ARG(leader));
    StrBuf_Finish(&leader);
}

static void
refuse(Call *call, CallReason reason, Instant now)
{
    CallDispatcher *dispatcher = call->dispatcher;
    Span retry_after =
        Crd_GetRetryAfter(get_holder(call), call->account_id, now);

    Ccr_StopWaiting(call);
    Cnt_Add(dispatcher->counters,
            reason == Call_REASON_OVER_LIMIT ? Cnt_CALLS_OVER_LIMIT
                                             : Cnt_CALLS_NO_GRANTOR,
            1);
    log_refusal(call, reason, retry_after, now);
    if (retry_after && call->sink.on_retry_after) {
        call->sink.on_retry_after(call->sink.context, retry_after);
    }
    Call_End(call, Call_NOT_RUN, reason, now);
}

static CreditAnswer
take(Call *call, Instant now)
{
    CreditAnswer answer =
        Crd_Take(get_holder(call), call->account_id, &call->credit, now);

    call->has_credit = answer == Crd_TAKEN;
    return answer;
}

bool
Ccr_Obtain(Call *call, Instant now)
{
    if (!call->account_id || call->has_credit) {
        return true;
    }
    switch (take(call, now)) {
    case Crd_TAKEN:
        return true;
    case Crd_REFUSED:
        refuse(call, Call_REASON_OVER_LIMIT, now);
        return false;
    case Crd_WAIT:
        break;
    }
    call->credit_wait_ends = get_wait_end(call, now);
    Lst_Append(&call->dispatcher->credit_waiters, &call->credit_link, call);
    Crd_AddWaiting(get_holder(call), call->account_id, now);
    Qsy_SendAsk(call->dispatcher->quota, now);
    return false;
}

bool
Ccr_MayRunAgain(Call *call, Instant now)
{
    Credit credit;

    if (!call->account_id) {
        return true;
    }
    switch (Crd_Take(get_holder(call), call->account_id, &credit, now)) {
    case Crd_TAKEN:
        Crd_PutBack(get_holder(call), call->account_id, &credit, now);
        return true;
    case Crd_WAIT:
        return Qsy_HasGrantor(call->dispatcher->quota);
    case Crd_REFUSED:
        break;
    }
    return false;
}

bool
Ccr_TakeForHedge(Call *call, Instant now)
{
    Credit credit;

    return !call->account_id || Crd_Take(get_holder(call), call->account_id,
                                         &credit, now) == Crd_TAKEN;
}

void
Ccr_OnSpent(Call *call)
{
    call->has_credit = false;
}

void
Ccr_PutBack(Call *call, Instant now)
{
    if (call->has_credit) {
        call->has_credit = false;
        Crd_PutBack(get_holder(call), call->account_id, &call->credit, now);
    }
}

static void
serve_waiting(Call *call, Instant now)
{
    switch (take(call, now)) {
    case Crd_TAKEN:
        Ccr_StopWaiting(call);
        Call_Proceed(call, now);
        break;
    case Crd_REFUSED:
        refuse(call, Call_REASON_OVER_LIMIT, now);
        break;
    case Crd_WAIT:
        if (now >= call->credit_wait_ends) {
            refuse(call,
                   Crd_GetRetryAfter(get_holder(call), call->account_id,
                                     call->arrived_at)
                       ? Call_REASON_OVER_LIMIT
                       : Call_REASON_NO_GRANTOR,
                   now);
        }
        break;
    }
}

void
Call_ServeCreditWaiters(void *dispatcher, Instant now)
{
    ListWalk walk;
    Call *call;

    Lst_Begin(&walk, &((CallDispatcher *)dispatcher)->credit_waiters);
    while ((call = Lst_Next(&walk))) {
        serve_waiting(call, now);
    }
}
