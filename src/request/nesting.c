#include "request/nesting.h"

#define SMOOTHING 0.05
#define SURE 0.9

enum { SEEN_MIN = 8 };

void
Nst_OnCall(NestingDetector *nesting, Str route, bool inside)
{
    RouteNesting *place = &nesting->slots[Str_Hash(route) % Nst_SLOTS];
    double weight = SMOOTHING;

    place->call_count += place->call_count < UINT32_MAX;
    if (1.0 / place->call_count > weight) {
        weight = 1.0 / place->call_count;
    }
    place->nested_share +=
        weight * ((inside ? 1.0 : 0.0) - place->nested_share);
}

bool
Nst_IsNested(const NestingDetector *nesting, Str route)
{
    const RouteNesting *place = &nesting->slots[Str_Hash(route) % Nst_SLOTS];

    return place->call_count >= SEEN_MIN && place->nested_share >= SURE;
}
