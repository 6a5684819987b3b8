/* The timeline: limits the events of each kind per second, so that many events
 * of one kind leave room for others, and keeps the order of the stamps. */
#include "process/observe/timeline.h"
#include "support/suite.h"

static int64_t wall_us;

static int64_t
read_wall_us(void)
{
    return wall_us;
}

typedef struct {
    int retries; /* in each second */
    int changes;
    int seconds;
    uint64_t expected_count;
} FloodCase;

static const FloodCase cases[] = {
    {1, 1, 1, 2},
    {Tml_MAX_PER_SECOND, 0, 1, Tml_MAX_PER_SECOND},
    {Tml_MAX_PER_SECOND + 1, 0, 1, Tml_MAX_PER_SECOND},
    {10 * Tml_MAX_PER_SECOND, 3, 1, Tml_MAX_PER_SECOND + 3},
    {10 * Tml_MAX_PER_SECOND, 3, 4, 4 * (Tml_MAX_PER_SECOND + 3)},
};

START_TEST(limits_events_of_one_kind_per_second)
{
    const FloodCase *c = &cases[_i];
    static Timeline timeline;
    Logger logger;

    Lgr_Init(&logger, Lgr_ERROR, Str_LIT("vm1"), read_wall_us);
    Tml_Init(&timeline, &logger);
    for (int second = 1; second <= c->seconds; second++) {
        wall_us = (int64_t)second * 1000000;
        for (int i = 0; i < c->retries; i++) {
            Tml_Record(&timeline, Tml_RETRY, "%d", i);
        }
        for (int i = 0; i < c->changes; i++) {
            Tml_Record(&timeline, Tml_CHANGE, "%d", i);
        }
    }
    ck_assert_uint_eq(timeline.recorded_count, c->expected_count);
    for (uint64_t i = 1; i < timeline.recorded_count; i++) {
        ck_assert(timeline.ring[i].stamp > timeline.ring[i - 1].stamp);
    }
    Lgr_Finish(&logger);
}
END_TEST

int
main(void)
{
    const SuiteTest tests[] = {{limits_events_of_one_kind_per_second,
                                sizeof cases / sizeof cases[0]}};

    return Suite_Run("timeline", tests, 1, 10);
}
