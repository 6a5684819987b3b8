#include "request/usual.h"

#define SMOOTHING 0.05

void
Usl_OnTime(Usual *usual, Str route, Span took)
{
    UslTime *time = &usual->places[Str_Hash(route) % Usl_PLACES];
    double error = (double)took - time->mean_us;

    if (time->mean_us <= 0) {
        *time = (UslTime){(double)took, (double)took / 4};
        return;
    }
    time->mean_us += SMOOTHING * error;
    time->deviation_us +=
        SMOOTHING * ((error < 0 ? -error : error) - time->deviation_us);
}

Span
Usl_Get(const Usual *usual, Str route, UslShare share)
{
    static const double deviations[] = {
        [Usl_FEW] = -1.0, [Usl_MOST] = 1.0, [Usl_NEARLY_ALL] = 2.0};
    const UslTime *time = &usual->places[Str_Hash(route) % Usl_PLACES];
    double us = time->mean_us + time->deviation_us * deviations[share];

    return us > 0 ? (Span)us : 0;
}
