/* The hybrid logical clock never goes back, and follows what it hears. */
#include "support/suite.h"
#include "value/hlc.h"

enum { MS = 1000, MINUTE_MS = 60000 };

/* One step: hear a stamp of HEARD_MS (0: none), then stamp an event at the
 * wall clock WALL_MS. */
typedef struct {
    int64_t observed_ms;
    int64_t wall_ms;
    int64_t stamp_ms;
} ClockStep;

static const ClockStep steps[][3] = {
    {{0, 100, 100}, {0, 100, 100}, {0, 90, 100}},
    {{0, 100, 100}, {150, 101, 150}, {0, 151, 151}},
    {{100 + MINUTE_MS, 100, 100 + MINUTE_MS}, {0, 100, 100 + MINUTE_MS}, {0}},
    {{101 + MINUTE_MS, 100, 100}, {0, 102, 102}, {0}},
};

START_TEST(orders_events)
{
    Hlc clock = {0};
    HlcStamp previous = 0;

    for (int i = 0; i < 3 && steps[_i][i].wall_ms; i++) {
        const ClockStep *step = &steps[_i][i];
        HlcStamp observed = (HlcStamp)step->observed_ms << Hlc_COUNTER_BITS;
        HlcStamp stamp;
        if (step->observed_ms) {
            Hlc_Observe(&clock, observed, step->wall_ms * MS);
        }
        stamp = Hlc_Next(&clock, step->wall_ms * MS);
        ck_assert(stamp > previous);
        ck_assert_int_eq(Hlc_WallMs(stamp), step->stamp_ms);
        previous = stamp;
    }
}
END_TEST

int
main(void)
{
    const SuiteTest tests[] = {
        {orders_events, sizeof steps / sizeof steps[0]}};

    return Suite_Run("hlc", tests, 1, 10);
}
