#include "request/callstate.h"

static void
start_attempt(void *context, Instant now)
{
    Call *call = context;

    Call_StartAttempt(call, &call->next_target, now);
}

static bool
choose_target(void *context, AttemptTarget *target, Instant now)
{
    Call *call = context;

    if (!Call_ChooseTarget(call, target, now)) {
        return false;
    }
    call->next_target = *target;
    return true;
}

static void
return_first_answer(void *context, const StoredAnswer *answer, Instant now)
{
    Call *call = context;

    call->claim_session = NULL;
    call->sink.on_head(call->sink.context, answer->status, &answer->fields);
    if (answer->body.len) {
        call->sink.on_body(call->sink.context, answer->body);
    }
    Call_End(call, Call_ANSWERED, Call_REASON_NONE, now);
}

static void
on_claim_end(void *context, ClaimAction result, Instant now)
{
    Call *call = context;

    call->claim_session = NULL;
    switch (result) {
    case Clm_END_NOT_RUN:
        Call_End(call, Call_NOT_RUN,
                 call->not_run_reason ? call->not_run_reason
                                      : Call_REASON_OVERLOAD,
                 now);
        break;
    case Clm_END_MISMATCH:
        Call_End(call, Call_NOT_RUN, Call_REASON_KEY_MISMATCH, now);
        break;
    case Clm_END_RAN:
        Call_End(call, Call_ANSWER_NOT_KEPT, Call_REASON_NONE, now);
        break;
    default:
        Call_End(call, Call_UNKNOWN, Call_REASON_NONE, now);
        break;
    }
}

void
Ccl_Start(Call *call, Str key, Instant now)
{
    CallDispatcher *dispatcher = call->dispatcher;
    AttemptId claim = {dispatcher->incarnation, ++dispatcher->attempt_counter};
    KeyClaimCallbacks callbacks = {call, choose_target, start_attempt,
                                   return_first_answer, on_claim_end};

    call->claim_session = Key_StartClaim(
        &dispatcher->key_claims, claim, StrBuf_View(&call->route->service),
        key, call->fingerprint, call->deadline + SETTLE_GRACE, &callbacks,
        now);
}
