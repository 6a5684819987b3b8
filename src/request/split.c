#include "request/split.h"

/* The fractional part of the golden ratio, times 2^32. */
#define GOLDEN_RATIO_STEP 2654435769u

Str
Spl_ChooseService(const PresetRoute *route)
{
    double total = 0;
    double point;

    if (route->split_target_count == 0) {
        return StrBuf_View(&route->service);
    }
    for (size_t i = 0; i < route->split_target_count; i++) {
        total += route->split_targets[i].weight;
    }
    *route->split_position += GOLDEN_RATIO_STEP;
    point = *route->split_position / 4294967296.0 * total;
    for (size_t i = 0; i < route->split_target_count; i++) {
        point -= route->split_targets[i].weight;
        if (point < 0) {
            return StrBuf_View(&route->split_targets[i].service);
        }
    }
    return (Str){0};
}

static bool
selects_same(const PresetRoute *a, const PresetRoute *b)
{
    return Str_Equal(StrBuf_View(&a->host), StrBuf_View(&b->host)) &&
           Str_Equal(StrBuf_View(&a->path), StrBuf_View(&b->path)) &&
           Str_Equal(StrBuf_View(&a->method), StrBuf_View(&b->method));
}

static const PresetRoute *
find_previous(const Preset *previous, const PresetRoute *route)
{
    for (size_t i = 0; previous && i < previous->route_count; i++) {
        if (previous->routes[i].split_position &&
            selects_same(&previous->routes[i], route)) {
            return &previous->routes[i];
        }
    }
    return NULL;
}

void
Spl_ContinueFrom(const Preset *preset, const Preset *previous, Rng *rng)
{
    for (size_t i = 0; i < preset->route_count; i++) {
        const PresetRoute *route = &preset->routes[i];
        const PresetRoute *previous_route = find_previous(previous, route);
        if (route->split_position) {
            *route->split_position = previous_route
                                         ? *previous_route->split_position
                                         : Rng_Below(rng, UINT32_MAX);
        }
    }
}
