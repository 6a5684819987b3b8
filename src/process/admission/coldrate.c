#include "process/admission/coldrate.h"

/* Parts of the excess over the stated rate that are used: the rest is for
 * clocks that differ and for requests that meet on their way. */
enum { EXCESS_USED = 4, EXCESS_PARTS = 5, PERMILLE = 1000 };

/* A server counts as cold this much longer than it said: its word is rounded
 * and was on its way. */
#define COLD_MARGIN Span_MS(50)

void
Cld_Init(ColdRate *rate, Instant now)
{
    *rate = (ColdRate){.opened_at = now, .newest = now / Cld_INTERVAL};
}

void
Cld_SetBound(ColdRate *rate, uint32_t limit, bool is_asked)
{
    rate->limit = limit;
    rate->is_asked = is_asked;
}

void
Cld_OnCold(ColdRate *rate, Span left, Instant now)
{
    rate->cold_said_at = now;
    rate->cold_until = now + left + COLD_MARGIN;
}

void
Cld_OnWarm(ColdRate *rate, Instant as_of)
{
    if (as_of > rate->warm_as_of) {
        rate->warm_as_of = as_of;
    }
    /* A word that was asked for after the server said that it is cold. */
    if (as_of >= rate->cold_said_at && as_of < rate->cold_until) {
        rate->cold_until = as_of;
    }
}

bool
Cld_IsCold(const ColdRate *rate, Instant now)
{
    return rate->limit && now < rate->cold_until;
}

/* Clears the intervals that are over since the last call. */
static void
advance(ColdRate *rate, Instant now)
{
    int64_t newest = now / Cld_INTERVAL;

    if (newest - rate->newest > Cld_INTERVALS) {
        rate->newest = newest - Cld_INTERVALS;
    }
    while (rate->newest < newest) {
        rate->counts[++rate->newest % Cld_INTERVALS] = 0;
    }
}

/* The first interval whose starts count. */
static int64_t
get_first_interval(const ColdRate *rate)
{
    int64_t first = rate->newest - Cld_INTERVALS + 1;
    int64_t warm = rate->warm_as_of / Cld_INTERVAL;

    return warm > first ? warm : first;
}

/* Until when the starts before this process count as many as the limit; 0:
 * they do not. */
static Instant
get_unknown_until(const ColdRate *rate)
{
    return rate->opened_at && rate->warm_as_of < rate->opened_at
               ? rate->opened_at + Span_S(1)
               : 0;
}

static uint32_t
count_starts(const ColdRate *rate)
{
    uint32_t count = 0;

    for (int64_t i = get_first_interval(rate); i <= rate->newest; i++) {
        count += rate->counts[i % Cld_INTERVALS];
    }
    return count;
}

static bool
is_bounded(const ColdRate *rate, Instant now)
{
    return rate->limit && (rate->is_asked || Cld_IsCold(rate, now));
}

bool
Cld_MayStart(ColdRate *rate, Instant now)
{
    if (!is_bounded(rate, now)) {
        return true;
    }
    advance(rate, now);
    return now >= get_unknown_until(rate) && count_starts(rate) < rate->limit;
}

void
Cld_OnStart(ColdRate *rate, Instant now)
{
    advance(rate, now);
    rate->counts[rate->newest % Cld_INTERVALS]++;
}

Span
Cld_EstimateWait(ColdRate *rate, uint32_t ahead, Instant now)
{
    Instant unknown_until = get_unknown_until(rate);
    uint32_t count;
    int64_t interval;

    if (!is_bounded(rate, now)) {
        return 0;
    }
    advance(rate, now);
    if (now < unknown_until) {
        return unknown_until - now;
    }
    count = count_starts(rate) + ahead;
    for (interval = get_first_interval(rate);
         count >= rate->limit && interval <= rate->newest; interval++) {
        count -= rate->counts[interval % Cld_INTERVALS];
        if (count < rate->limit) {
            return (interval + Cld_INTERVALS) * Cld_INTERVAL - now;
        }
    }
    return count < rate->limit ? 0 : Span_S(1);
}

bool
Cld_NeedsWord(ColdRate *rate, Instant now)
{
    if (!rate->limit || !rate->is_asked || Cld_IsCold(rate, now)) {
        return false;
    }
    advance(rate, now);
    return now < get_unknown_until(rate) ||
           2 * count_starts(rate) >= rate->limit;
}

uint32_t
Cld_MakeLimit(uint32_t per_s, uint32_t overage_permille, uint32_t slack)
{
    uint64_t most =
        (uint64_t)per_s *
            (overage_permille > PERMILLE ? overage_permille : PERMILLE) /
            PERMILLE +
        slack;

    return per_s ? (uint32_t)(per_s +
                              (most - per_s) * EXCESS_USED / EXCESS_PARTS)
                 : 0;
}
