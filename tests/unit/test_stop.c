/* The steps of a graceful stop, from tables of what is under way. */
#include "process/stop.h"
#include "support/suite.h"

enum { BOUND = 30000000, SETTLE = 1500000, STEPS_MAX = 6 };

typedef struct {
    Instant at; /* after the signal */
    StopActivity load;
    StopAction action;
} StopStep;

typedef struct {
    const char *name;
    StopStep steps[STEPS_MAX];
    Instant second_signal; /* 0: none */
    bool timed_out;
} StopCase;

#define START 1000000
#define DURING(us) (START + (us))

static const StopCase cases[] = {
    {"idle",
     {{0, {0}, Stp_LEAVE},
      {1, {0}, Stp_WAIT},
      {50000, {0}, Stp_STOP_LISTENING},
      {60000, {0}, Stp_WAIT},
      {SETTLE - 1, {0}, Stp_WAIT},
      {SETTLE, {0}, Stp_EXIT}},
     .timed_out = false},
    {"a call under way",
     {{0,
       {.calls = 1, .http_exchanges = 1, .client_connections = 1},
       Stp_LEAVE},
      {50000,
       {.calls = 1, .http_exchanges = 1, .client_connections = 1},
       Stp_STOP_LISTENING},
      {SETTLE,
       {.calls = 1, .http_exchanges = 1, .client_connections = 1},
       Stp_WAIT},
      {9000000,
       {.calls = 1, .http_exchanges = 1, .client_connections = 1},
       Stp_WAIT},
      {9000001, {0}, Stp_EXIT}},
     .timed_out = false},
    {"an answer not sent to its end",
     {{0, {0}, Stp_LEAVE},
      {50000, {0}, Stp_STOP_LISTENING},
      {SETTLE, {.http_exchanges = 1, .client_connections = 1}, Stp_WAIT},
      {SETTLE + 1, {0}, Stp_EXIT}},
     .timed_out = false},
    {"an attempt at the backend server",
     {{0, {.local_attempts = 1}, Stp_LEAVE},
      {50000, {.local_attempts = 1}, Stp_STOP_LISTENING},
      {SETTLE, {.local_attempts = 1}, Stp_WAIT},
      {SETTLE + 1, {0}, Stp_EXIT}},
     .timed_out = false},
    {"connections without a request",
     {{0, {.client_connections = 3}, Stp_LEAVE},
      {50000, {.client_connections = 3}, Stp_STOP_LISTENING},
      {SETTLE - 1, {.client_connections = 3}, Stp_WAIT},
      {SETTLE,
       {.client_connections = 3, .http_exchanges = 1},
       Stp_CLOSE_IDLE_CONNECTIONS},
      {SETTLE, {.client_connections = 1, .http_exchanges = 1}, Stp_WAIT},
      {SETTLE + 1, {0}, Stp_EXIT}},
     .timed_out = false},
    {"others still ask",
     {{0, {0}, Stp_LEAVE},
      {50000, {0}, Stp_STOP_LISTENING},
      {SETTLE, {.last_peer_attempt_at = DURING(SETTLE - 10)}, Stp_WAIT},
      {2 * SETTLE - 11,
       {.last_peer_attempt_at = DURING(SETTLE - 10)},
       Stp_WAIT},
      {2 * SETTLE - 10,
       {.last_peer_attempt_at = DURING(SETTLE - 10)},
       Stp_EXIT}},
     .timed_out = false},
    {"at its bound",
     {{0, {.calls = 1}, Stp_LEAVE},
      {50000, {.calls = 1}, Stp_STOP_LISTENING},
      {BOUND - 1, {.calls = 1}, Stp_WAIT},
      {BOUND, {.calls = 1}, Stp_EXIT}},
     .timed_out = true},
    {"a second signal",
     {{0, {.calls = 1}, Stp_LEAVE},
      {50000, {.calls = 1}, Stp_STOP_LISTENING},
      {60000, {.calls = 1}, Stp_WAIT},
      {70000, {.calls = 1}, Stp_EXIT}},
     .second_signal = 65000,
     .timed_out = true},
};

enum { CASE_COUNT = sizeof cases / sizeof cases[0] };

START_TEST(takes_its_steps)
{
    const StopCase *c = &cases[_i];
    const StopSettings settings = {BOUND, SETTLE, 0};
    GracefulStop stop;

    Stp_Init(&stop, &settings);
    ck_assert(Stp_NextStep(&stop, &c->steps[0].load, START) == Stp_WAIT);
    Stp_OnSignal(&stop, START);
    for (int i = 0; i < STEPS_MAX && (i == 0 || c->steps[i].at); i++) {
        const StopStep *step = &c->steps[i];
        if (c->second_signal && step->at > c->second_signal) {
            Stp_OnSignal(&stop, DURING(c->second_signal));
        }
        ck_assert_msg(Stp_NextStep(&stop, &step->load, DURING(step->at)) ==
                          step->action,
                      "%s: step %d", c->name, i);
    }
    ck_assert(stop.timed_out == c->timed_out);
}
END_TEST

int
main(void)
{
    const SuiteTest tests[] = {{takes_its_steps, CASE_COUNT}};

    return Suite_Run("stop", tests, 1, 10);
}
