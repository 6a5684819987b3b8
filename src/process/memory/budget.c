#include "process/memory/budget.h"

/* For the program, its tables and what the allocator loses. */
enum { PROCESS_BYTES = 20 * 1024 * 1024 };

/* No kind needs more than one body of the largest size and the reserve. */
enum { SHARE_BYTES_MAX = 72 * 1024 * 1024 };

/* One part in 16 of the whole, and of each share, is for small holders. */
enum { RESERVE_DIVISOR = 16 };

enum { SLACK_DIVISOR = 8 };

/* For the sockets between nodes, files, and the backend server. */
enum { PROCESS_DESCRIPTORS = 64 };

/* One part in 16 of the descriptors is the most that operators get. */
enum { OPERATORS_DIVISOR = 16, OPERATORS_MIN = 4 };

/* Of what is left, callers get 3 parts in 4: other nodes the rest. */
enum { CALLERS_PARTS = 3, CALLERS_DIVISOR = 4 };

/* One part in so many of the whole. */
static const size_t share_divisors[Bdg_KINDS] = {
    [Bdg_CONNECTIONS] = 4, [Bdg_CALLERS] = 2, [Bdg_ANSWERS] = 4,
    [Bdg_ATTEMPTS] = 2,    [Bdg_LEDGER] = 4,  [Bdg_OPERATORS] = 8,
};

void
Bdg_Init(MemoryBudget *budget, size_t memory)
{
    *budget = (MemoryBudget){0};
    budget->max = memory > 2 * (size_t)PROCESS_BYTES ? memory - PROCESS_BYTES
                                                     : memory / 2;
    for (int kind = 0; kind < Bdg_KINDS; kind++) {
        size_t share = budget->max / share_divisors[kind];
        budget->shares[kind] =
            share < SHARE_BYTES_MAX ? share : SHARE_BYTES_MAX;
    }
}

/* Whether USED of MAX leaves room for GROWTH more of a holder. */
static bool
has_room(size_t used, size_t max, size_t growth, bool is_small)
{
    size_t limit = is_small ? max : max - max / RESERVE_DIVISOR;

    return used <= limit && growth <= limit - used;
}

bool
Bdg_Resize(MemoryBudget *budget, BudgetKind kind, size_t *held, size_t bytes)
{
    bool is_small = bytes <= Bdg_SMALL_BYTES;

    if (bytes > *held && budget->max &&
        !(has_room(budget->used, budget->max, bytes - *held, is_small) &&
          has_room(budget->used_by[kind], budget->shares[kind], bytes - *held,
                   is_small))) {
        return false;
    }
    Bdg_Force(budget, kind, held, bytes);
    return true;
}

void
Bdg_Force(MemoryBudget *budget, BudgetKind kind, size_t *held, size_t bytes)
{
    budget->used += bytes - *held;
    budget->used_by[kind] += bytes - *held;
    *held = bytes;
}

bool
Bdg_IsOver(const MemoryBudget *budget, BudgetKind kind)
{
    size_t used = budget->used_by[kind];

    return budget->max &&
           (used > budget->shares[kind] ||
            (budget->used > budget->max && used > budget->shares[kind] / 2));
}

bool
Bdg_HasSlack(const MemoryBudget *budget, BudgetKind kind)
{
    size_t share = budget->shares[kind];

    return budget->used <= budget->max - budget->max / SLACK_DIVISOR &&
           budget->used_by[kind] <= share - share / SLACK_DIVISOR;
}

void
Bdg_Consider(BudgetChoice *choice, void *item, size_t bytes, Span age)
{
    uint64_t time = age > 0 ? (uint64_t)age + 1 : 1;
    uint64_t size = bytes < UINT64_MAX ? (uint64_t)bytes + 1 : bytes;
    uint64_t weight = time > UINT64_MAX / size ? UINT64_MAX : size * time;

    if (!choice->item || weight > choice->weight) {
        *choice = (BudgetChoice){item, weight};
    }
}

DescriptorShares
Bdg_ShareDescriptors(uint32_t descriptors, uint32_t operators_max)
{
    uint32_t operators = descriptors / OPERATORS_DIVISOR;
    uint32_t left;

    if (operators > operators_max) {
        operators = operators_max;
    }
    if (operators < OPERATORS_MIN) {
        operators = OPERATORS_MIN;
    }
    left = PROCESS_DESCRIPTORS + 2 * operators;
    left = descriptors > left ? descriptors - left : 1;
    return (DescriptorShares){
        .callers = 1 + left / CALLERS_DIVISOR * CALLERS_PARTS,
        .operators = operators,
    };
}
