#include "request/duration.h"

#define SMOOTHING 0.05

uint64_t
Dur_MakeKey(Str route, Str service)
{
    uint64_t parts[] = {Str_Hash(route), Str_Hash(service)};
    uint64_t key = Str_Hash(Str_From((const char *)parts, sizeof parts));

    return key ? key : 1;
}

/* The slot of KEY; NULL when it has none. */
static DurationStats *
find_slot(const RouteDurations *durations, uint64_t key)
{
    const DurationStats *set = durations->slots[key % Dur_SETS];

    for (int i = 0; i < Dur_SLOTS_PER_SET; i++) {
        if (set[i].key == key) {
            return (DurationStats *)&set[i];
        }
    }
    return NULL;
}

/* An unused slot for KEY, or the one with the oldest answer. */
static DurationStats *
take_slot(RouteDurations *durations, uint64_t key)
{
    DurationStats *set = durations->slots[key % Dur_SETS];
    DurationStats *taken = &set[0];

    for (int i = 1; i < Dur_SLOTS_PER_SET && taken->key; i++) {
        if (!set[i].key || set[i].recorded_at < taken->recorded_at) {
            taken = &set[i];
        }
    }
    return taken;
}

void
Dur_Record(RouteDurations *durations, uint64_t key, Span duration,
           bool is_trial, Instant now)
{
    DurationStats *stats = find_slot(durations, key);
    double error;

    if (!stats || is_trial) {
        stats = stats ? stats : take_slot(durations, key);
        *stats = (DurationStats){.key = key,
                                 .mean_us = (double)duration,
                                 .deviation_us = (double)duration / 4};
    }
    else {
        error = (double)duration - stats->mean_us;
        stats->mean_us += SMOOTHING * error;
        stats->deviation_us +=
            SMOOTHING * ((error < 0 ? -error : error) - stats->deviation_us);
    }
    stats->recorded_at = now;
    Dhi_Record(&stats->histogram, duration);
}

void
Dur_RecordAtLeast(RouteDurations *durations, uint64_t key, Span duration)
{
    DurationStats *stats = find_slot(durations, key);

    if (stats) {
        Dhi_RecordAtLeast(&stats->histogram, duration);
    }
}

const DurationHistogram *
Dur_FindHistogram(const RouteDurations *durations, uint64_t key)
{
    const DurationStats *stats = find_slot(durations, key);

    return stats ? &stats->histogram : NULL;
}

Span
Dur_Estimate(const RouteDurations *durations, uint64_t key,
             DurationEstimate estimate)
{
    static const double deviations[] = {
        [Dur_OPTIMISTIC] = -1.0, [Dur_TYPICAL] = 1.0, [Dur_PESSIMISTIC] = 2.0};
    const DurationStats *stats = find_slot(durations, key);
    double us;

    if (!stats) {
        return 0;
    }
    us = stats->mean_us + stats->deviation_us * deviations[estimate];
    return us > 0 ? (Span)us : 0;
}

bool
Dur_StartTrial(RouteDurations *durations, uint64_t key, Instant now)
{
    DurationStats *stats = find_slot(durations, key);

    if (!stats || now - stats->recorded_at < Dur_TRIAL_INTERVAL ||
        (stats->tried_at && now - stats->tried_at < Dur_TRIAL_INTERVAL)) {
        return false;
    }
    stats->tried_at = now;
    return true;
}
