/* The steps of a graceful stop, from tables of what is under way. */
#include "process/stop.h"
#include "support/suite.h"

enum { BOUND = 30000000, SETTLE = 1500000, STEPS_MAX = 6 };

typedef struct {
    Instant at; /* after the signal */
    StpLoad load;
    StpStep step;
} StopStep;

typedef struct {
    const char *name;
    StopStep steps[STEPS_MAX];
    Instant second_signal; /* 0: none */
    bool bounded;
} StopCase;

#define START 1000000
#define DURING(us) (START + (us))

static const StopCase cases[] = {
    {"idle",
     {{0, {0}, Stp_LEAVE},
      {1, {0}, Stp_NOTHING},
      {50000, {0}, Stp_STOP_LISTENING},
      {60000, {0}, Stp_NOTHING},
      {SETTLE - 1, {0}, Stp_NOTHING},
      {SETTLE, {0}, Stp_END}},
     .bounded = false},
    {"a call under way",
     {{0, {.calls = 1, .answers = 1, .callers = 1}, Stp_LEAVE},
      {50000, {.calls = 1, .answers = 1, .callers = 1}, Stp_STOP_LISTENING},
      {SETTLE, {.calls = 1, .answers = 1, .callers = 1}, Stp_NOTHING},
      {9000000, {.calls = 1, .answers = 1, .callers = 1}, Stp_NOTHING},
      {9000001, {0}, Stp_END}},
     .bounded = false},
    {"an answer not sent to its end",
     {{0, {0}, Stp_LEAVE},
      {50000, {0}, Stp_STOP_LISTENING},
      {SETTLE, {.answers = 1, .callers = 1}, Stp_NOTHING},
      {SETTLE + 1, {0}, Stp_END}},
     .bounded = false},
    {"an attempt at the backend server",
     {{0, {.runs = 1}, Stp_LEAVE},
      {50000, {.runs = 1}, Stp_STOP_LISTENING},
      {SETTLE, {.runs = 1}, Stp_NOTHING},
      {SETTLE + 1, {0}, Stp_END}},
     .bounded = false},
    {"connections without a request",
     {{0, {.callers = 3}, Stp_LEAVE},
      {50000, {.callers = 3}, Stp_STOP_LISTENING},
      {SETTLE - 1, {.callers = 3}, Stp_NOTHING},
      {SETTLE, {.callers = 3, .answers = 1}, Stp_CLOSE_IDLE},
      {SETTLE, {.callers = 1, .answers = 1}, Stp_NOTHING},
      {SETTLE + 1, {0}, Stp_END}},
     .bounded = false},
    {"others still ask",
     {{0, {0}, Stp_LEAVE},
      {50000, {0}, Stp_STOP_LISTENING},
      {SETTLE, {.asked_at = DURING(SETTLE - 10)}, Stp_NOTHING},
      {2 * SETTLE - 11, {.asked_at = DURING(SETTLE - 10)}, Stp_NOTHING},
      {2 * SETTLE - 10, {.asked_at = DURING(SETTLE - 10)}, Stp_END}},
     .bounded = false},
    {"at its bound",
     {{0, {.calls = 1}, Stp_LEAVE},
      {50000, {.calls = 1}, Stp_STOP_LISTENING},
      {BOUND - 1, {.calls = 1}, Stp_NOTHING},
      {BOUND, {.calls = 1}, Stp_END}},
     .bounded = true},
    {"a second signal",
     {{0, {.calls = 1}, Stp_LEAVE},
      {50000, {.calls = 1}, Stp_STOP_LISTENING},
      {60000, {.calls = 1}, Stp_NOTHING},
      {70000, {.calls = 1}, Stp_END}},
     .second_signal = 65000,
     .bounded = true},
};

enum { CASE_COUNT = sizeof cases / sizeof cases[0] };

START_TEST(takes_its_steps)
{
    const StopCase *c = &cases[_i];
    const StpSettings settings = {BOUND, SETTLE, 0};
    Stp stop;

    Stp_Init(&stop, &settings);
    ck_assert(Stp_Decide(&stop, &c->steps[0].load, START) == Stp_NOTHING);
    Stp_OnSignal(&stop, START);
    for (int i = 0; i < STEPS_MAX && (i == 0 || c->steps[i].at); i++) {
        const StopStep *step = &c->steps[i];
        if (c->second_signal && step->at > c->second_signal) {
            Stp_OnSignal(&stop, DURING(c->second_signal));
        }
        ck_assert_msg(Stp_Decide(&stop, &step->load, DURING(step->at)) ==
                          step->step,
                      "%s: step %d", c->name, i);
    }
    ck_assert(stop.bounded == c->bounded);
}
END_TEST

int
main(void)
{
    const SuiteTest tests[] = {{takes_its_steps, CASE_COUNT}};

    return Suite_Run("stop", tests, 1, 10);
}
