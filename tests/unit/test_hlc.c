/* Stamps of the hybrid logical clock increase strictly and exceed the observed
 * ones, except those too far ahead of the wall clock. */
#include "support/suite.h"
#include "value/hlc.h"

enum { US_PER_MS = 1000, MINUTE_MS = 60000 };

/* One step: observe a stamp of OBSERVED_MS (0: none), then take the stamp of
 * an event at the wall clock time WALL_MS (0: no further step). */
typedef struct {
    int64_t observed_ms;
    int64_t wall_ms;
    int64_t stamp_ms; /* expected */
} ClockStep;

static const ClockStep steps[][3] = {
    /* The wall clock stands still, then goes back. */
    {{0, 100, 100}, {0, 100, 100}, {0, 90, 100}},
    /* An observed stamp ahead of the wall clock sets the clock. */
    {{0, 100, 100}, {150, 101, 150}, {0, 151, 151}},
    /* A stamp one minute ahead is still accepted. */
    {{100 + MINUTE_MS, 100, 100 + MINUTE_MS}, {0, 100, 100 + MINUTE_MS}, {0}},
    /* A stamp further ahead is ignored. */
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
            Hlc_Observe(&clock, observed, step->wall_ms * US_PER_MS);
        }
        stamp = Hlc_Next(&clock, step->wall_ms * US_PER_MS);
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
