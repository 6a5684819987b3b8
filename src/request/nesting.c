#include "request/nesting.h"

#define SMOOTHING 0.05
#define NESTED_SHARE_MIN 0.9

enum { CALLS_MIN = 8 };

void
Nst_OnCall(NestingDetector *nesting, Str route, bool has_enclosing_run)
{
    RouteNesting *slot = &nesting->slots[Str_Hash(route) % Nst_SLOTS];
    double weight = SMOOTHING;

    slot->call_count += slot->call_count < UINT32_MAX;
    if (1.0 / slot->call_count > weight) {
        weight = 1.0 / slot->call_count;
    }
    slot->nested_share +=
        weight * ((has_enclosing_run ? 1.0 : 0.0) - slot->nested_share);
}

bool
Nst_IsNested(const NestingDetector *nesting, Str route)
{
    const RouteNesting *slot = &nesting->slots[Str_Hash(route) % Nst_SLOTS];

    return slot->call_count >= CALLS_MIN &&
           slot->nested_share >= NESTED_SHARE_MIN;
}
