/* The actions of a graceful stop, for sequences of a node's activity. */
#include "process/lifecycle/stop.h"
#include "support/suite.h"

/* Times in this file are in microseconds. */
enum { TIME_LIMIT = 30000000, PROPAGATION_TIME = 1500000, STEPS_MAX = 6 };

typedef struct {
    Instant at; /* after the signal */
    StopActivity activity;
    StopAction action;
} StopStep;

typedef struct {
    const char *name;
    StopStep steps[STEPS_MAX];
    Instant second_signal; /* 0: none */
    Instant resumed;       /* the end of a pause; 0: none */
    Span pause;
    Span notice;
    bool timed_out;
} StopCase;

#define START 1000000
#define AFTER_SIGNAL(us) (START + (us))

static const StopCase cases[] = {
    {"idle",
     {{0, {0}, Stp_LEAVE},
      {1, {0}, Stp_WAIT},
      {50000, {0}, Stp_STOP_LISTENING},
      {60000, {0}, Stp_WAIT},
      {PROPAGATION_TIME - 1, {0}, Stp_WAIT},
      {PROPAGATION_TIME, {0}, Stp_EXIT}},
     .timed_out = false},
    {"an active call",
     {{0,
       {.calls = 1, .http_exchanges = 1, .caller_connections = 1},
       Stp_LEAVE},
      {50000,
       {.calls = 1, .http_exchanges = 1, .caller_connections = 1},
       Stp_STOP_LISTENING},
      {PROPAGATION_TIME,
       {.calls = 1, .http_exchanges = 1, .caller_connections = 1},
       Stp_WAIT},
      {9000000,
       {.calls = 1, .http_exchanges = 1, .caller_connections = 1},
       Stp_WAIT},
      {9000001, {0}, Stp_EXIT}},
     .timed_out = false},
    {"an answer that is still being sent",
     {{0, {0}, Stp_LEAVE},
      {50000, {0}, Stp_STOP_LISTENING},
      {PROPAGATION_TIME,
       {.http_exchanges = 1, .caller_connections = 1},
       Stp_WAIT},
      {PROPAGATION_TIME + 1, {0}, Stp_EXIT}},
     .timed_out = false},
    {"an attempt at the backend server",
     {{0, {.local_attempts = 1}, Stp_LEAVE},
      {50000, {.local_attempts = 1}, Stp_STOP_LISTENING},
      {PROPAGATION_TIME, {.local_attempts = 1}, Stp_WAIT},
      {PROPAGATION_TIME + 1, {0}, Stp_EXIT}},
     .timed_out = false},
    {"an answer that another node has not confirmed",
     {{0, {.local_attempts = 1}, Stp_LEAVE},
      {50000, {.local_attempts = 1}, Stp_STOP_LISTENING},
      {PROPAGATION_TIME, {.unconfirmed_peers = 1}, Stp_WAIT},
      {PROPAGATION_TIME + 1, {0}, Stp_EXIT}},
     .timed_out = false},
    {"connections without a request",
     {{0, {.caller_connections = 3}, Stp_LEAVE},
      {50000, {.caller_connections = 3}, Stp_STOP_LISTENING},
      {PROPAGATION_TIME - 1, {.caller_connections = 3}, Stp_WAIT},
      {PROPAGATION_TIME,
       {.caller_connections = 3, .http_exchanges = 1},
       Stp_CLOSE_IDLE_CONNECTIONS},
      {PROPAGATION_TIME,
       {.caller_connections = 1, .http_exchanges = 1},
       Stp_WAIT},
      {PROPAGATION_TIME + 1, {0}, Stp_EXIT}},
     .timed_out = false},
    {"a request of which the rest does not come",
     {{0, {.caller_connections = 1, .partial_requests = 1}, Stp_LEAVE},
      {50000,
       {.caller_connections = 1, .partial_requests = 1},
       Stp_STOP_LISTENING},
      {TIME_LIMIT / 2 - 1,
       {.caller_connections = 1, .partial_requests = 1},
       Stp_CLOSE_IDLE_CONNECTIONS},
      {TIME_LIMIT / 2,
       {.caller_connections = 1, .partial_requests = 1},
       Stp_REJECT_PARTIAL},
      {TIME_LIMIT / 2 + 1, {0}, Stp_EXIT}},
     .timed_out = false},
    {"other nodes still send attempts",
     {{0, {0}, Stp_LEAVE},
      {50000, {0}, Stp_STOP_LISTENING},
      {PROPAGATION_TIME,
       {.last_peer_attempt_at = AFTER_SIGNAL(PROPAGATION_TIME - 10)},
       Stp_WAIT},
      {2 * PROPAGATION_TIME - 11,
       {.last_peer_attempt_at = AFTER_SIGNAL(PROPAGATION_TIME - 10)},
       Stp_WAIT},
      {2 * PROPAGATION_TIME - 10,
       {.last_peer_attempt_at = AFTER_SIGNAL(PROPAGATION_TIME - 10)},
       Stp_EXIT}},
     .timed_out = false},
    {"at its time limit",
     {{0, {.calls = 1}, Stp_LEAVE},
      {50000, {.calls = 1}, Stp_STOP_LISTENING},
      {TIME_LIMIT - 1, {.calls = 1}, Stp_WAIT},
      {TIME_LIMIT, {.calls = 1}, Stp_EXIT}},
     .timed_out = true},
    {"a second signal",
     {{0, {.calls = 1}, Stp_LEAVE},
      {50000, {.calls = 1}, Stp_STOP_LISTENING},
      {60000, {.calls = 1}, Stp_WAIT},
      {70000, {.calls = 1}, Stp_EXIT}},
     .second_signal = 65000,
     .timed_out = true},
    {"a pause beyond the propagation time",
     {{0, {0}, Stp_LEAVE},
      {50000, {0}, Stp_STOP_LISTENING},
      {2000000, {0}, Stp_WAIT},
      {2000000 + PROPAGATION_TIME - 1, {0}, Stp_WAIT},
      {2000000 + PROPAGATION_TIME, {0}, Stp_EXIT}},
     .resumed = 2000000,
     .pause = 1940000},
    {"a pause, after which attempts are read",
     {{0, {0}, Stp_LEAVE},
      {50000, {0}, Stp_STOP_LISTENING},
      {2000000, {0}, Stp_WAIT},
      {2000000 + PROPAGATION_TIME,
       {.last_peer_attempt_at = AFTER_SIGNAL(2000100)},
       Stp_WAIT},
      {2000100 + PROPAGATION_TIME,
       {.last_peer_attempt_at = AFTER_SIGNAL(2000100)},
       Stp_EXIT}},
     .resumed = 2000000,
     .pause = 1940000},
    {"a pause too short to count",
     {{0, {0}, Stp_LEAVE},
      {50000, {0}, Stp_STOP_LISTENING},
      {PROPAGATION_TIME, {0}, Stp_EXIT}},
     .resumed = PROPAGATION_TIME,
     .pause = PROPAGATION_TIME / 8 - 1},
    {"a pause over the time limit",
     {{0, {.calls = 1}, Stp_LEAVE},
      {50000, {.calls = 1}, Stp_STOP_LISTENING},
      {TIME_LIMIT, {.calls = 1}, Stp_EXIT}},
     .resumed = TIME_LIMIT,
     .pause = TIME_LIMIT / 2,
     .timed_out = true},
    {"a notice ends during a pause",
     {{0, {0}, Stp_LEAVE},
      {2400000, {0}, Stp_WAIT},
      {2600000, {0}, Stp_DISABLE_KEEP_ALIVE},
      {2649999, {0}, Stp_WAIT},
      {2650000, {0}, Stp_STOP_LISTENING}},
     .notice = 2500000},
    {"connections that were accepted at the end of a notice",
     {{0, {0}, Stp_LEAVE},
      {2500000, {0}, Stp_DISABLE_KEEP_ALIVE},
      {2550000, {.caller_connections = 1}, Stp_STOP_LISTENING},
      {2560000, {.caller_connections = 1}, Stp_WAIT},
      {2799999, {.caller_connections = 1}, Stp_WAIT},
      {2800000, {.caller_connections = 1}, Stp_CLOSE_IDLE_CONNECTIONS}},
     .notice = 2500000},
};

enum { CASE_COUNT = sizeof cases / sizeof cases[0] };

START_TEST(gives_expected_actions)
{
    const StopCase *c = &cases[_i];
    const StopSettings settings = {TIME_LIMIT, PROPAGATION_TIME, c->notice};
    GracefulStop stop;

    Stp_Init(&stop, &settings);
    ck_assert(Stp_NextStep(&stop, &c->steps[0].activity, START) == Stp_WAIT);
    Stp_OnSignal(&stop, START);
    for (int i = 0; i < STEPS_MAX && (i == 0 || c->steps[i].at); i++) {
        const StopStep *step = &c->steps[i];
        if (c->second_signal && step->at > c->second_signal) {
            Stp_OnSignal(&stop, AFTER_SIGNAL(c->second_signal));
        }
        if (c->resumed && step->at == c->resumed) {
            Stp_OnOwnPause(&stop, c->pause, AFTER_SIGNAL(c->resumed));
        }
        ck_assert_msg(Stp_NextStep(&stop, &step->activity,
                                   AFTER_SIGNAL(step->at)) == step->action,
                      "%s: step %d", c->name, i);
    }
    ck_assert(stop.timed_out == c->timed_out);
}
END_TEST

typedef struct {
    const char *name;
    Span time_limit;
    Instant signals[2]; /* 0: none */
    Instant at;
    bool may_start;
    bool may_start_nested;
} StartCase;

static const StartCase start_cases[] = {
    {"no signal", TIME_LIMIT, {0, 0}, START, true, true},
    {"just signaled", TIME_LIMIT, {START, 0}, START, true, true},
    {"before half of the time",
     TIME_LIMIT,
     {START, 0},
     AFTER_SIGNAL(TIME_LIMIT / 2 - 1),
     true,
     true},
    {"half of the time",
     TIME_LIMIT,
     {START, 0},
     AFTER_SIGNAL(TIME_LIMIT / 2),
     false,
     true},
    {"before the last sixth",
     TIME_LIMIT,
     {START, 0},
     AFTER_SIGNAL(TIME_LIMIT / 6 * 5 - 1),
     false,
     true},
    {"the last sixth",
     TIME_LIMIT,
     {START, 0},
     AFTER_SIGNAL(TIME_LIMIT / 6 * 5),
     false,
     false},
    {"at the time limit",
     TIME_LIMIT,
     {START, 0},
     AFTER_SIGNAL(TIME_LIMIT),
     false,
     false},
    {"a second signal",
     TIME_LIMIT,
     {START, START + 5},
     START + 5,
     false,
     false},
    {"no time at all", 0, {START, 0}, START, false, false},
};

enum { START_COUNT = sizeof start_cases / sizeof start_cases[0] };

START_TEST(starts_calls_in_first_half)
{
    const StartCase *c = &start_cases[_i];
    const StopSettings settings = {c->time_limit, PROPAGATION_TIME, 0};
    GracefulStop stop;

    Stp_Init(&stop, &settings);
    for (int i = 0; i < 2 && c->signals[i]; i++) {
        Stp_OnSignal(&stop, c->signals[i]);
    }
    ck_assert_msg(Stp_MayStartCalls(&stop, false, c->at) == c->may_start, "%s",
                  c->name);
    ck_assert_msg(Stp_MayStartCalls(&stop, true, c->at) == c->may_start_nested,
                  "%s", c->name);
}
END_TEST

int
main(void)
{
    const SuiteTest tests[] = {{gives_expected_actions, CASE_COUNT},
                               {starts_calls_in_first_half, START_COUNT}};

    return Suite_Run("stop", tests, 2, 10);
}
