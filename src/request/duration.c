#include "request/duration.h"

#define SMOOTHING 0.05

void
Dur_Record(RouteDurations *durations, Str route, Span duration)
{
    DurationStats *stats = &durations->slots[Str_Hash(route) % Dur_SLOTS];
    double error = (double)duration - stats->mean_us;

    if (stats->mean_us <= 0) {
        *stats = (DurationStats){(double)duration, (double)duration / 4};
        return;
    }
    stats->mean_us += SMOOTHING * error;
    stats->deviation_us +=
        SMOOTHING * ((error < 0 ? -error : error) - stats->deviation_us);
}

Span
Dur_Estimate(const RouteDurations *durations, Str route,
             DurationEstimate estimate)
{
    static const double deviations[] = {
        [Dur_OPTIMISTIC] = -1.0, [Dur_TYPICAL] = 1.0, [Dur_PESSIMISTIC] = 2.0};
    const DurationStats *stats =
        &durations->slots[Str_Hash(route) % Dur_SLOTS];
    double us = stats->mean_us + stats->deviation_us * deviations[estimate];

    return us > 0 ? (Span)us : 0;
}
