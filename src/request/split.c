#include "request/split.h"

/* The fractional part of the golden ratio, times 2 to the 32nd power. */
#define STEP 2654435769u

Str
Spl_Choose(const PstRoute *route)
{
    double total = 0;
    double point;

    if (route->part_count == 0) {
        return StrBuf_View(&route->service);
    }
    for (size_t i = 0; i < route->part_count; i++) {
        total += route->parts[i].weight;
    }
    *route->turn += STEP;
    point = *route->turn / 4294967296.0 * total;
    for (size_t i = 0; i < route->part_count; i++) {
        point -= route->parts[i].weight;
        if (point < 0) {
            return StrBuf_View(&route->parts[i].service);
        }
    }
    return (Str){0};
}
