#include "request/split.h"

/* The fractional part of the golden ratio, times 2^32. */
#define GOLDEN_RATIO_STEP 2654435769u

Str
Spl_ChooseService(const PstRoute *route)
{
    double total = 0;
    double point;

    if (route->part_count == 0) {
        return StrBuf_View(&route->service);
    }
    for (size_t i = 0; i < route->part_count; i++) {
        total += route->parts[i].weight;
    }
    *route->turn += GOLDEN_RATIO_STEP;
    point = *route->turn / 4294967296.0 * total;
    for (size_t i = 0; i < route->part_count; i++) {
        point -= route->parts[i].weight;
        if (point < 0) {
            return StrBuf_View(&route->parts[i].service);
        }
    }
    return (Str){0};
}

static bool
selects_same(const PstRoute *a, const PstRoute *b)
{
    return Str_Equal(StrBuf_View(&a->host), StrBuf_View(&b->host)) &&
           Str_Equal(StrBuf_View(&a->path), StrBuf_View(&b->path)) &&
           Str_Equal(StrBuf_View(&a->method), StrBuf_View(&b->method));
}

static const PstRoute *
find_previous(const Preset *previous, const PstRoute *route)
{
    for (size_t i = 0; previous && i < previous->route_count; i++) {
        if (previous->routes[i].turn &&
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
        const PstRoute *route = &preset->routes[i];
        const PstRoute *previous_route = find_previous(previous, route);
        if (route->turn) {
            *route->turn = previous_route ? *previous_route->turn
                                          : Rng_Below(rng, UINT32_MAX);
        }
    }
}
