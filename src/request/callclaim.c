#include "request/callstate.h"

static void
start_attempt(void *context, Instant now)
{
    Call *call = context;

    Call_StartAttempt(call, &call->place, now);
}

static bool
choose_target(void *context, AttemptTarget *target, Instant now)
{
    Call *call = context;

    if (!Call_ChoosePlace(call, target, now)) {
        return false;
    }
    call->place = *target;
    return true;
}

static void
return_first_answer(void *context, const AnswerMsg *answer, Instant now)
{
    Call *call = context;

    call->keyed = NULL;
    call->sink.head(call->sink.context, answer->status, &answer->fields);
    if (answer->bytes.len) {
        call->sink.bytes(call->sink.context, answer->bytes);
    }
    Call_End(call, Call_ANSWERED, Call_WHY_NONE, now);
}

static void
on_claim_end(void *context, ClaimAction result, Instant now)
{
    Call *call = context;

    call->keyed = NULL;
    switch (result) {
    case Clm_END_NOT_RUN:
        Call_End(call, Call_NOT_RUN, call->why ? call->why : Call_WHY_FULL,
                 now);
        break;
    case Clm_END_MISMATCH:
        Call_End(call, Call_NOT_RUN, Call_WHY_MISMATCH, now);
        break;
    case Clm_END_RAN:
        Call_End(call, Call_RAN, Call_WHY_NONE, now);
        break;
    default:
        Call_End(call, Call_UNKNOWN, Call_WHY_NONE, now);
        break;
    }
}

void
Ccl_Start(Call *call, Str key, Instant now)
{
    CallHub *hub = call->hub;
    AttemptId claim = {hub->incarnation, ++hub->counter};
    KeyClaimCallbacks callbacks = {call, choose_target, start_attempt,
                                   return_first_answer, on_claim_end};

    call->keyed = Key_StartClaim(
        &hub->keys, claim, StrBuf_View(&call->route->service), key,
        call->digest, call->deadline + SETTLE_GRACE, &callbacks, now);
}
