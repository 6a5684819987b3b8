#include "request/duration.h"

#define SMOOTHING 0.05

void
Dur_Record(RouteDurations *usual, Str route, Span took)
{
    DurationStats *time = &usual->slots[Str_Hash(route) % Dur_SLOTS];
    double error = (double)took - time->mean_us;

    if (time->mean_us <= 0) {
        *time = (DurationStats){(double)took, (double)took / 4};
        return;
    }
    time->mean_us += SMOOTHING * error;
    time->deviation_us +=
        SMOOTHING * ((error < 0 ? -error : error) - time->deviation_us);
}

Span
Dur_Estimate(const RouteDurations *usual, Str route, DurationEstimate share)
{
    static const double deviations[] = {
        [Dur_OPTIMISTIC] = -1.0, [Dur_TYPICAL] = 1.0, [Dur_PESSIMISTIC] = 2.0};
    const DurationStats *time = &usual->slots[Str_Hash(route) % Dur_SLOTS];
    double us = time->mean_us + time->deviation_us * deviations[share];

    return us > 0 ? (Span)us : 0;
}
