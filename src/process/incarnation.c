#include "process/incarnation.h"

enum { STEP_BITS = 14, CHANCE_BITS = 26 };

uint64_t
Inc_Make(int64_t wall_us, uint64_t entropy)
{
    uint64_t chance = entropy & ((UINT64_C(1) << CHANCE_BITS) - 1);

    return (uint64_t)wall_us >> STEP_BITS << CHANCE_BITS | chance;
}
