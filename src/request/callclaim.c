#include "request/callstate.h"

static void
run_placed(void *context, Instant now)
{
    Call *call = context;

    Call_StartAttempt(call, &call->place, now);
}

static bool
place_keyed(void *context, AttemptTarget *place, Instant now)
{
    Call *call = context;

    if (!Call_ChoosePlace(call, place, now)) {
        return false;
    }
    call->place = *place;
    return true;
}

static void
tell_first_answer(void *context, const AnswerMsg *answer, Instant now)
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
end_claim(void *context, ClaimAction step, Instant now)
{
    Call *call = context;

    call->keyed = NULL;
    switch (step) {
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
    KeyClaimCallbacks sink = {call, place_keyed, run_placed, tell_first_answer,
                              end_claim};

    call->keyed = Key_StartClaim(
        &hub->keys, claim, StrBuf_View(&call->route->service), key,
        call->digest, call->deadline + SETTLE_GRACE, &sink, now);
}
