/* The rate of a cold backend server: joins the load query, admission and what
 * operators see. */
#include "request/runstate.h"

void
Run_SetColdBound(AttemptRunner *runner, const PresetService *service)
{
    const ColdBounds *bounds = &runner->cold_bounds;
    uint32_t limit =
        service ? Cld_MakeLimit(service->cold_per_s, bounds->overage_permille,
                                bounds->slack)
                : 0;

    Adm_SetColdBound(runner->admission, limit,
                     Ldq_TellsCold(&runner->load_query));
}

void
Run_OnColdWord(AttemptRunner *runner, Instant now)
{
    const LoadQuery *query = &runner->load_query;

    if (query->has_cold_word) {
        Adm_OnColdWord(runner->admission, query->asked_at, query->cold_left,
                       now);
    }
}

/* The server is not asked again at once where its last answer did not settle
 * whether it is cold. */
bool
Run_NeedsColdWord(const AttemptRunner *runner, Instant now)
{
    return now - runner->load_query.asked_at >= Cld_INTERVAL &&
           Adm_NeedsColdWord(runner->admission, now);
}

static void
log_change(AttemptRunner *runner, bool is_cold, Instant now)
{
    const ColdRate *rate = &runner->admission->cold;

    Cnt_Add(runner->counters, Cnt_COLD_PERIODS, is_cold);
    Lgr_Log(runner->logger, Lgr_INFO,
            is_cold ? Str_LIT("backend_cold") : Str_LIT("backend_warm"),
            "limit=%u left_ms=%lld running=%u", rate->limit,
            is_cold ? (long long)((rate->cold_until - now) / Span_MS(1)) : 0,
            runner->admission->running);
}

void
Run_TickCold(AttemptRunner *runner, Instant now)
{
    bool is_cold = Cld_IsCold(&runner->admission->cold, now);

    if (is_cold != runner->was_cold) {
        runner->was_cold = is_cold;
        log_change(runner, is_cold, now);
    }
    if (runner->attempts.count && Run_NeedsColdWord(runner, now)) {
        Ldq_Start(&runner->load_query, now);
    }
}
