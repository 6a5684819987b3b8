/* The second attempt of a call, sent while the first has not answered. */
#include "request/callstate.h"
#include "request/depth.h"

void
Call_InitHedge(Call *call, Instant now)
{
    const DurationHistogram *durations =
        Dur_FindHistogram(&call->dispatcher->durations, call->duration_key);
    bool allowed = call->route->is_idempotent && !call->nested &&
                   !call->route->key_header.len;
    Span delay = 0;

    Rty_BudgetOnCall(&call->service->hedge_budget, now);
    if (allowed && durations) {
        delay = Hdg_ChooseDelay(durations, call->route->latency_objective,
                                call->in_force->preset.limits.hedge_permille);
    }
    Hdg_Init(&call->hedge, allowed, Dep_Read(&call->request.fields), delay,
             call->deadline, now);
}

/* Finds a node of this region, other than that of FIRST, with room to spare.
 */
static bool
choose_hedge_target(Call *call, const Attempt *first, AttemptTarget *target,
                    Instant now)
{
    return Call_ChooseTarget(call, target, now) && !target->cross_region &&
           target->node != first->node &&
           Plc_HasSpareRoom(&call->service->placement, target->node);
}

static HedgeVerdict
decide_hedge(Call *call, const Attempt *first, AttemptTarget *target,
             Instant now)
{
    HedgeQuestion question = {
        .gate = &call->service->hedge_gate,
        .durations = Dur_FindHistogram(&call->dispatcher->durations,
                                       call->duration_key),
        .objective = call->route->latency_objective,
        .waited = now - call->arrived_at,
        .attempt_age = now - first->sent_at,
        .has_attempts = call->retry.attempt_count < call->retry.attempts_max,
    };
    HedgeVerdict verdict =
        question.durations ? Hdg_Decide(&question) : Hdg_NO_GAIN;

    if (verdict != Hdg_SEND) {
        return verdict;
    }
    if (!choose_hedge_target(call, first, target, now)) {
        return Hdg_NO_ROOM;
    }
    if (!Rty_BudgetTake(&call->service->hedge_budget)) {
        return Hdg_OVER_BUDGET;
    }
    if (!Ccr_TakeForHedge(call, now)) {
        Rty_BudgetPutBack(&call->service->hedge_budget);
        return Hdg_OVER_QUOTA;
    }
    return Hdg_SEND;
}

static void
log_hedge(const Call *call, const Attempt *first, HedgeVerdict verdict,
          Instant now)
{
    static const char *const names[] = {
        [Hdg_SEND] = "sent",        [Hdg_NO_ATTEMPT] = "attempts",
        [Hdg_MANY_LATE] = "late",   [Hdg_NO_GAIN] = "gain",
        [Hdg_NO_ROOM] = "room",     [Hdg_OVER_BUDGET] = "budget",
        [Hdg_OVER_QUOTA] = "quota",
    };

    Lgr_Log(call->dispatcher->logger, Lgr_DEBUG, Str_LIT("hedge_due"),
            "request=%.*s route=%.*s verdict=%s waited_us=%lld age_us=%lld",
            Str_ARG(call->request.request_id), Str_ARG(call->route->name),
            names[verdict], (long long)(now - call->arrived_at),
            (long long)(now - first->sent_at));
}

/* Whether a hedge that is withheld for VERDICT will never be sent. */
static bool
is_final(const Call *call, HedgeVerdict verdict, Instant now)
{
    Span objective = call->route->latency_objective;

    return verdict == Hdg_NO_ATTEMPT ||
           (objective && now - call->arrived_at >= objective);
}

void
Call_HedgeIfDue(Call *call, Instant now)
{
    static const CounterId counters[] = {
        [Hdg_SEND] = Cnt_HEDGES,
        [Hdg_NO_ATTEMPT] = Cnt_HEDGES_NO_ATTEMPT,
        [Hdg_MANY_LATE] = Cnt_HEDGES_MANY_LATE,
        [Hdg_NO_GAIN] = Cnt_HEDGES_NO_GAIN,
        [Hdg_NO_ROOM] = Cnt_HEDGES_NO_ROOM,
        [Hdg_OVER_BUDGET] = Cnt_HEDGES_OVER_BUDGET,
        [Hdg_OVER_QUOTA] = Cnt_HEDGES_OVER_QUOTA,
    };
    const Attempt *first = Call_ActiveAttempt(call);
    AttemptTarget target;
    HedgeVerdict verdict;

    if (!Hdg_IsDue(&call->hedge, now) || !first || call->claim_session ||
        Call_IsTooLate(call)) {
        return;
    }
    verdict = decide_hedge(call, first, &target, now);
    if (verdict == Hdg_SEND || !call->hedge_withheld) {
        Cnt_Add(call->dispatcher->counters, counters[verdict], 1);
        log_hedge(call, first, verdict, now);
    }
    if (verdict == Hdg_SEND) {
        Hdg_End(&call->hedge);
        Call_StartAttempt(call, &target, now);
        return;
    }
    call->hedge_withheld = true;
    if (is_final(call, verdict, now)) {
        Hdg_End(&call->hedge);
    }
    else {
        Hdg_Postpone(&call->hedge, now);
    }
}

void
Call_OnHedgeRejected(Call *call, Instant now)
{
    Rty_BudgetPutBack(&call->service->hedge_budget);
    Hdg_Postpone(&call->hedge, now);
}
