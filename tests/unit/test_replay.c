/* Traces recorded in real runs give the same outcomes when they are replayed,
 * and invalid traces are reported.  tests/traces/README.md describes them. */
#include "process/observe/replay.h"
#include "process/settings/settings.h"
#include "support/suite.h"

typedef struct {
    const char *name;
    Str file;
    size_t events_min;  /* events in the trace, at least */
    size_t refused_min; /* refused attempts, at least */
} TraceCase;

static const TraceCase traces[] = {
    {"drain announced", Str_LIT("tests/traces/announced-drain.jsonl"), 20, 0},
    {"backend server rejects all", Str_LIT("tests/traces/turns-away.jsonl"),
     50, 1},
    {"node shuts down", Str_LIT("tests/traces/node-stops.jsonl"), 20, 0},
    {"announcements end", Str_LIT("tests/traces/no-announcement.jsonl"), 50,
     1},
    {"ledger, serving node suspended",
     Str_LIT("tests/traces/ledger-serving-stopped.jsonl"), 90, 0},
    {"ledger, answers held", Str_LIT("tests/traces/ledger-frozen-back.jsonl"),
     110, 0},
    {"ledger, connections held", Str_LIT("tests/traces/ledger-cut-off.jsonl"),
     80, 0},
    {"ledger, repeats of a key", Str_LIT("tests/traces/ledger-repeats.jsonl"),
     15, 0},
    {"ledger, attempt of an earlier start",
     Str_LIT("tests/traces/ledger-restarted.jsonl"), 8, 0},
    {"ledger, answer not kept", Str_LIT("tests/traces/ledger-not-kept.jsonl"),
     10, 0},
};

enum { TRACE_COUNT = sizeof traces / sizeof traces[0] };

START_TEST(reproduces_recorded_outcomes)
{
    const TraceCase *c = &traces[_i];
    StrBuf text = {0};
    StrBuf report = {0};
    FindingList findings;
    ReplayResult result;
    bool all_match;

    Fnd_Init(&findings);
    ck_assert_msg(Set_ReadFile(c->file, &text, NULL),
                  "%s: cannot read the trace", c->name);
    all_match = Rpl_Run(StrBuf_View(&text), &result, &findings);
    Fnd_Print(&findings, &report);
    ck_assert_msg(all_match, "%s: %.*s", c->name, Str_ARG(report));
    ck_assert_uint_ge(result.events, c->events_min);
    ck_assert_uint_ge(result.refused, c->refused_min);
    StrBuf_Finish(&text);
    StrBuf_Finish(&report);
    Fnd_Finish(&findings);
}
END_TEST

/* Valid first lines of the invalid traces. */
#define ADMISSION_HEADER "{\"trace\":1,\"decider\":\"admission\"}\n"
#define LEDGER_HEADER                                                         \
    "{\"trace\":1,\"decider\":\"ledger\"}\n"                                  \
    "{\"at\":0,\"do\":\"settings\",\"args\":[9,9,9,9,9,9],\"outcome\":0}\n"   \
    "{\"at\":0,\"do\":\"start\",\"args\":[7,0,0,0,0,0],\"outcome\":0}\n"      \
    "{\"at\":1,\"do\":\"fence\",\"args\":[3,1,7,0,0,0],\"outcome\":0}\n"

typedef struct {
    const char *name;
    Str text;
} InvalidTraceCase;

static const InvalidTraceCase invalid_traces[] = {
    {"different outcome",
     Str_LIT(ADMISSION_HEADER "{\"at\":1,\"do\":\"announce\",\"args\":[2,0,0],"
                              "\"outcome\":0}\n"
                              "{\"at\":2,\"do\":\"ask\",\"args\":[0,9,0],"
                              "\"outcome\":1}\n")},
    {"not JSON", Str_LIT(ADMISSION_HEADER "{\"at\":1,")},
    {"unknown event",
     Str_LIT(ADMISSION_HEADER "{\"at\":1,\"do\":\"melt\",\"args\":"
                              "[0,0,0],\"outcome\":0}\n")},
    {"arguments missing",
     Str_LIT(ADMISSION_HEADER "{\"at\":1,\"do\":\"ask\",\"args\":"
                              "[0],\"outcome\":0}\n")},
    {"ledger, different outcome",
     Str_LIT(LEDGER_HEADER "{\"at\":2,\"do\":\"attempt\","
                           "\"args\":[3,1,7,0,0,0],\"outcome\":0}\n")},
    {"ledger, event of another decider",
     Str_LIT(LEDGER_HEADER "{\"at\":2,\"do\":\"ask\",\"args\":[0,9,0],"
                           "\"outcome\":1}\n")},
    {"ledger, arguments missing",
     Str_LIT(LEDGER_HEADER "{\"at\":2,\"do\":\"attempt\",\"args\":[3,1,7],"
                           "\"outcome\":2}\n")},
    {"unknown version", Str_LIT("{\"trace\":2,\"decider\":\"admission\"}\n")},
    {"unknown decider", Str_LIT("{\"trace\":1,\"decider\":\"oracle\"}\n")},
};

enum {
    INVALID_TRACE_COUNT = sizeof invalid_traces / sizeof invalid_traces[0]
};

START_TEST(reports_invalid_traces)
{
    FindingList findings;
    ReplayResult result;

    Fnd_Init(&findings);
    ck_assert_msg(!Rpl_Run(invalid_traces[_i].text, &result, &findings), "%s",
                  invalid_traces[_i].name);
    ck_assert_uint_eq(findings.count, 1);
    Fnd_Finish(&findings);
}
END_TEST

int
main(void)
{
    const SuiteTest tests[] = {{reproduces_recorded_outcomes, TRACE_COUNT},
                               {reports_invalid_traces, INVALID_TRACE_COUNT}};

    return Suite_Run("replay", tests, 2, 10);
}
