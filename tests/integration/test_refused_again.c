/* A faulty backend server writes a refusal twice on a persistent connection,
 * the second time while the next request runs there.  The outcome of that
 * next request must not be "not run" when the request was started.
 */
#include <stdio.h>

#include "fleet_keyed.h"
#include "support/suite.h"

#define ROWS(table) (int)(sizeof(table) / sizeof(table)[0])

enum { SUBNET = 36, ROUNDS = 5 };

#define ANSWER_WAIT Span_S(4)

static Str build;

static const Str preset =
    Str_LIT("{\"name\":\"ordinary\",\"limits\":{},\"routes\":["
            "{\"service\":\"visor\",\"route\":\"note\",\"path\":\"/notes/\"},"
            "{\"service\":\"visor\",\"route\":\"look\",\"path\":\"/visor/\","
            "\"idempotent\":true}]}");

typedef struct {
    const char *name;
    Str replay_header;   /* says which of the two refusals name a request */
    Str duration_header; /* of the next request */
    PostOutcome
        allowed; /* outcomes of the next request that are correct.  "Not run"
                  * is correct only when the request was not started: a backend
                  * server that refuses much is taken for one that leaves, so a
                  * node may refuse the request itself. */
} Case;

#define QUICK Str_LIT("X-Fake-Time-Us: 1000\r\n")
#define SLOW Str_LIT("X-Fake-Time-Us: 200000\r\n")

static const Case cases[] = {
    {"refusals name the earlier request", Str_LIT("X-Fake-Again: named\r\n"),
     QUICK, Post_ANSWERED},
    {"refusals name the earlier request, the next one runs",
     Str_LIT("X-Fake-Again: named\r\n"), SLOW, Post_ANSWERED},
    {"no refusal names a request", Str_LIT("X-Fake-Again: unnamed\r\n"), QUICK,
     Post_ANSWERED | Post_UNKNOWN | Post_NOT_RUN},
    {"no refusal names a request, the next one runs",
     Str_LIT("X-Fake-Again: unnamed\r\n"), SLOW,
     Post_ANSWERED | Post_UNKNOWN | Post_NOT_RUN},
    {"only the second refusal names no request",
     Str_LIT("X-Fake-Again: plain\r\n"), SLOW,
     Post_ANSWERED | Post_UNKNOWN | Post_NOT_RUN},
};

static PostOutcome
post(Fleet *fleet, Str key, Str headers)
{
    StrBuf answer = {0};
    PostOutcome outcome =
        Fleet_Post(fleet, 0, Str_LIT("/notes/a"), key, headers, Str_LIT("x"),
                   ANSWER_WAIT, &answer);

    StrBuf_Finish(&answer);
    return outcome;
}

static uint64_t
count_started(Fleet *fleet)
{
    return Fleet_ReadBackendCount(fleet, 0, Str_LIT("started"));
}

START_TEST(replayed_refusal_does_not_answer_next_request)
{
    const Case *c = &cases[_i];
    Fleet fleet;

    Fleet_Init(&fleet, build, SUBNET, 1, 1);
    Fleet_SetPreset(&fleet, preset);
    Fleet_StartNode(&fleet, 0);
    Fleet_StartBackend(&fleet, 0, Str_LIT("visor"), (Str){0});
    ck_assert(
        Fleet_WaitForPath(&fleet, 0, Str_LIT("/visor/ready"), Span_S(10)));
    for (int round = 0; round < ROUNDS; round++) {
        StrBuf key = {0};
        PostOutcome outcome;
        int effects;
        uint64_t started;
        StrBuf_AppendFmt(&key, "lot-%d", round);
        /* For the first request on a connection the refusal is genuine. */
        outcome = post(&fleet, (Str){0}, c->replay_header);
        ck_assert_msg(outcome & (Post_NOT_RUN | Post_UNKNOWN),
                      "%s: the refused request had outcome %d", c->name,
                      outcome);
        started = count_started(&fleet);
        outcome = post(&fleet, StrBuf_View(&key), c->duration_header);
        Fleet_Sleep(Span_MS(250));
        started = count_started(&fleet) - started;
        effects = Fleet_CountEffects(&fleet, StrBuf_View(&key));
        ck_assert_msg(outcome & c->allowed, "%s: outcome %d, %d effects",
                      c->name, outcome, effects);
        ck_assert_msg(outcome != Post_NOT_RUN || !started,
                      "%s: reported \"not run\", but was started", c->name);
        ck_assert_int_le(effects, 1);
        ck_assert(effects == 1 || outcome != Post_ANSWERED);
        StrBuf_Finish(&key);
    }
    printf("%s: %d refusals were repeated\n", c->name,
           (int)Fleet_ReadBackendCount(&fleet, 0, Str_LIT("again")));
    fflush(stdout);
    Fleet_Finish(&fleet);
}
END_TEST

int
main(int argc, char **argv)
{
    const SuiteTest tests[] = {
        {replayed_refusal_does_not_answer_next_request, ROWS(cases)}};

    build = Suite_GetBuildFolder(argc, argv);
    return Suite_Run("refused again", tests, 1, 40);
}
