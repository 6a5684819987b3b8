#include "fleet_mix_check.h"

int
Mck_CountFaults(const MixCheck *check)
{
    return check->wrong + check->answered_unrun + check->rejected_run +
           check->run_twice;
}

static void
check_request(Fleet *fleet, const Mix *mix, int caller, int request,
              MixCheck *check)
{
    const MixResult *result = Mix_GetResult(mix, caller, request);
    int runs = Fleet_CountEffects(fleet, Str_FromC(result->id));

    check->by_outcome[result->outcome]++;
    check->sent += result->outcome != Mix_UNSENT;
    check->wrong += result->outcome == Mix_WRONG;
    check->answered_unrun += result->outcome == Mix_ANSWERED && runs == 0;
    check->rejected_run += result->says_not_run && runs > 0;
    if (result->repeat_caller) {
        runs += Fleet_CountEffects(
            fleet, Str_FromC(Mix_GetResult(mix, result->repeat_caller,
                                           result->repeat_request)
                                 ->id));
    }
    check->run_twice +=
        Mix_GetPlan(mix, caller)->requests[request].is_booking && runs > 1;
}

MixCheck
Mck_Check(Fleet *fleet, const Mix *mix, StrBuf *out)
{
    MixCheck check = {0};

    for (int i = 0; i < mix->count; i++) {
        int before = Mck_CountFaults(&check);
        for (int k = 0; k < Mix_GetPlan(mix, i)->request_count; k++) {
            check_request(fleet, mix, i, k, &check);
        }
        if (Mck_CountFaults(&check) > before) {
            Mix_Print(mix, i, out);
        }
    }
    return check;
}

void
Mck_Print(const MixCheck *check, StrBuf *out)
{
    const int *by = check->by_outcome;

    StrBuf_AppendFmt(out,
                     "unsent %d, answered %d, rejected %d, failed %d, cut %d, "
                     "silent %d, wrong %d; answered without a run %d, "
                     "rejected with a run %d, run twice %d\n",
                     by[Mix_UNSENT], by[Mix_ANSWERED], by[Mix_REJECTED],
                     by[Mix_FAILED], by[Mix_CUT], by[Mix_SILENT],
                     by[Mix_WRONG], check->answered_unrun, check->rejected_run,
                     check->run_twice);
}
