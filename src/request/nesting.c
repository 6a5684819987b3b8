#include "request/nesting.h"

#define SMOOTHING 0.05
#define SURE 0.9

enum { SEEN_MIN = 8 };

void
Nst_OnCall(Nst *nesting, Str route, bool inside)
{
    NstRoute *place = &nesting->places[Str_Hash(route) % Nst_PLACES];
    double weight = SMOOTHING;

    place->seen += place->seen < UINT32_MAX;
    if (1.0 / place->seen > weight) {
        weight = 1.0 / place->seen;
    }
    place->share += weight * ((inside ? 1.0 : 0.0) - place->share);
}

bool
Nst_IsNested(const Nst *nesting, Str route)
{
    const NstRoute *place = &nesting->places[Str_Hash(route) % Nst_PLACES];

    return place->seen >= SEEN_MIN && place->share >= SURE;
}
