#include "process/lifecycle/incarnation.h"

enum { TIME_SHIFT_BITS = 14, RANDOM_BITS = 26 };

uint64_t
Inc_Make(int64_t wall_us, uint64_t entropy)
{
    uint64_t random_part = entropy & ((UINT64_C(1) << RANDOM_BITS) - 1);

    return (uint64_t)wall_us >> TIME_SHIFT_BITS << RANDOM_BITS | random_part;
}
