/* Latency histograms: each duration is counted in its bucket, and buckets are
 * printed cumulatively. */
#include <string.h>

#include "process/observe/latency.h"
#include "support/suite.h"

typedef struct {
    Span durations[4];
    const char *lines[5]; /* expected in the output */
    LatencyKind kind;
    int count; /* of durations */
} LatencyCase;

static const LatencyCase cases[] = {
    {{0},
     {"# TYPE lycheeridge_call_seconds histogram\n",
      "lycheeridge_call_seconds_bucket{le=\"0.001\"} 0\n",
      "lycheeridge_call_seconds_bucket{le=\"+Inf\"} 0\n",
      "lycheeridge_call_seconds_count 0\n"},
     Lat_CALL,
     0},
    {{0, 999, 1000, 1999},
     {"lycheeridge_call_seconds_bucket{le=\"0.001\"} 2\n",
      "lycheeridge_call_seconds_bucket{le=\"0.002\"} 4\n",
      "lycheeridge_call_seconds_sum 0.003998\n",
      "lycheeridge_run_seconds_count 0\n"},
     Lat_CALL,
     4},
    {{Span_MS(500), Span_S(60), Span_S(3600)},
     {"lycheeridge_run_seconds_bucket{le=\"0.512\"} 1\n",
      "lycheeridge_run_seconds_bucket{le=\"32.768\"} 1\n",
      "lycheeridge_run_seconds_bucket{le=\"65.536\"} 2\n",
      "lycheeridge_run_seconds_bucket{le=\"+Inf\"} 3\n"},
     Lat_RUN,
     3},
    /* A negative duration, as after a clock step, counts as 0. */
    {{-5}, {"lycheeridge_run_seconds_bucket{le=\"0.001\"} 1\n"}, Lat_RUN, 1},
};

START_TEST(counts_by_duration)
{
    const LatencyCase *c = &cases[_i];
    LatencyHistograms latency;
    StrBuf text = {0};

    Lat_Init(&latency);
    for (int i = 0; i < c->count; i++) {
        Lat_Record(&latency, c->kind, c->durations[i]);
    }
    Lat_Print(&latency, &text);
    for (int i = 0; i < 5 && c->lines[i]; i++) {
        ck_assert_msg(strstr(StrBuf_CStr(&text), c->lines[i]) != NULL,
                      "no %s in\n%s", c->lines[i], StrBuf_CStr(&text));
    }
    StrBuf_Finish(&text);
    Lat_Finish(&latency);
}
END_TEST

int
main(void)
{
    const SuiteTest tests[] = {
        {counts_by_duration, sizeof cases / sizeof cases[0]}};

    return Suite_Run("latency", tests, 1, 10);
}
