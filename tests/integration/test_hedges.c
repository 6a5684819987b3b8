/* Reads while one backend server is frozen or slow: a second attempt answers
 * them, within the hedge budget, once the node knows how long they usually
 * take.  Calls that may not run twice are not hedged.
 */
#include <signal.h>
#include <stdio.h>

#include "fleet.h"
#include "support/suite.h"

static Str build;

enum {
    VMS = 4,
    BACKENDS = 2,
    INGRESS = 0,
    FAULTY = 0, /* VM of the backend server that becomes frozen or slow: the
                   faster one, which calls prefer */
    SERVICE_MS = 20,
    HEDGE_AFTER_MS = 80, /* at the latest: some usual durations */
    TICK_MS = 10,        /* between two ticks of a node */
    SLACK_MS = 20,       /* between the caller and its node, both ways */
    BODY_PERIOD = 4096,  /* bytes after which the letters of a body repeat */
    USUAL_CALLS = 20,    /* before the fault, from which durations are known */
    HEDGE_BURST = 1      /* hedges that the budget of a service allows a node
                            before any call */
};

typedef enum { ONE_FROZEN, ONE_SLOW, ONE_LATE, BOTH_SLOW } Fault;

typedef enum {
    IN_TIME,  /* every answer arrives in time */
    COMPLETE, /* complete answers, though two attempts begin to answer */
    LIMITED,  /* the budget allows fewer hedges than calls need */
    NO_HEDGE  /* no call is hedged */
} Expected;

typedef struct {
    const char *name;
    Fault fault;
    Expected expected;
    int hedge_permille; /* hedge budget, per mille of calls */
    int calls;
    Str method;
    Str path;
    Str headers;
    size_t answer_bytes; /* of the answer's body; 0: any */
} HedgeCase;

#define GET Str_LIT("GET")
#define READ_PATH Str_LIT("/visor/x")
#define NO_HEADERS Str_LIT("")

static const HedgeCase cases[] = {
    {"frozen", ONE_FROZEN, IN_TIME, 1000, 8, GET, READ_PATH, NO_HEADERS, 0},
    {"slow", ONE_SLOW, IN_TIME, 1000, 20, GET, READ_PATH, NO_HEADERS, 0},
    {"slow, large answers", ONE_SLOW, COMPLETE, 1000, 20, GET, READ_PATH,
     Str_LIT("X-Fake-Size: 300000"), 300000},
    {"both answer", ONE_LATE, COMPLETE, 1000, 12, GET, READ_PATH,
     Str_LIT("X-Fake-Size: 30000000"), 30000000},
    {"budget", BOTH_SLOW, LIMITED, 10, 30, GET, READ_PATH, NO_HEADERS, 0},
    {"no budget", ONE_SLOW, NO_HEDGE, 0, 10, GET, READ_PATH, NO_HEADERS, 0},
    {"below the root", ONE_SLOW, NO_HEDGE, 1000, 10, GET, READ_PATH,
     Str_LIT("X-Lycheeridge-Depth: 1"), 0},
    {"not idempotent", ONE_SLOW, NO_HEDGE, 1000, 10, Str_LIT("POST"),
     Str_LIT("/notes/x"), NO_HEADERS, 0},
};

enum { CASE_COUNT = sizeof cases / sizeof cases[0] };

static void
start_fleet(Fleet *fleet, const HedgeCase *c)
{
    StrBuf json = {0};

    StrBuf_AppendFmt(
        &json,
        "{\"name\":\"ordinary\",\"limits\":{\"hedge_permille\":%d},"
        "\"routes\":["
        "{\"service\":\"visor\",\"route\":\"read\",\"path\":\"/visor/\","
        "\"interactive\":true,\"idempotent\":true},"
        "{\"service\":\"visor\",\"route\":\"note\",\"path\":\"/notes/\"}]}",
        c->hedge_permille);
    Fleet_Init(fleet, build, 69, VMS, 3);
    Fleet_SetPreset(fleet, StrBuf_View(&json));
    StrBuf_Finish(&json);
    for (int vm = 0; vm < VMS; vm++) {
        Fleet_StartNode(fleet, vm);
    }
    for (int vm = 0; vm < BACKENDS; vm++) {
        Fleet_StartBackend(fleet, vm, Str_LIT("visor"),
                           vm == FAULTY ? Str_LIT("--service-us 8000")
                                        : Str_LIT("--service-us 20000"));
    }
    /* Both backend servers have served calls, so that their latencies are
     * known. */
    for (int i = 0; i < USUAL_CALLS; i++) {
        ck_assert(Fleet_WaitForPath(fleet, INGRESS, READ_PATH, Span_S(10)));
    }
    Fleet_Sleep(Span_MS(700));
}

static void
inject_fault(Fleet *fleet, Fault fault)
{
    switch (fault) {
    case ONE_FROZEN:
        kill(fleet->vms[FAULTY].backend, SIGSTOP);
        break;
    case ONE_LATE:
        ck_assert(Fleet_ControlBackend(fleet, FAULTY, Str_LIT("slow=15")));
        break;
    case BOTH_SLOW:
        ck_assert(Fleet_ControlBackend(fleet, FAULTY, Str_LIT("slow=25")));
        ck_assert(Fleet_ControlBackend(fleet, 1, Str_LIT("slow=10")));
        break;
    default:
        ck_assert(Fleet_ControlBackend(fleet, FAULTY, Str_LIT("slow=75")));
        break;
    }
}

static bool
is_in_time(const FleetAnswer *answer)
{
    return answer->duration <=
           Span_MS(HEDGE_AFTER_MS + SERVICE_MS + TICK_MS + SLACK_MS);
}

/* Whether BODY is the fake backend server's body of SIZE bytes, without bytes
 * of another answer. */
static bool
is_expected_body(const StrBuf *body, size_t size)
{
    for (size_t i = 0; i < body->len; i++) {
        if (body->ptr[i] != (char)('a' + i % BODY_PERIOD % 26)) {
            return false;
        }
    }
    return body->len == size;
}

/* Sends call NUMBER, with a key that serves only to count its effects.
 * Returns whether the answer arrived in time; raises *DURATION_MAX. */
static bool
call_once(Fleet *fleet, const HedgeCase *c, int number, Span *duration_max)
{
    StrBuf key = {0};
    FleetRequest request = {
        .method = c->method, .path = c->path, .headers = c->headers};
    FleetAnswer answer;
    bool in_time;

    StrBuf_AppendFmt(&key, "call-%d", number);
    request.key = StrBuf_View(&key);
    Fleet_Send(fleet, INGRESS, &request, &answer);
    ck_assert_int_eq(answer.status, 200);
    ck_assert(answer.is_complete);
    ck_assert(c->answer_bytes == 0 ||
              is_expected_body(&answer.body, c->answer_bytes));
    in_time = is_in_time(&answer);
    *duration_max =
        answer.duration > *duration_max ? answer.duration : *duration_max;
    Fleet_FinishAnswer(&answer);
    StrBuf_Finish(&key);
    return in_time;
}

/* Checks that every call ran once, as without a hedge. */
static void
check_effects(Fleet *fleet, const HedgeCase *c)
{
    StrBuf key = {0};

    Fleet_Sleep(Span_MS(700)); /* requests under way record their effects */
    for (int i = 0; i < c->calls; i++) {
        StrBuf_Clear(&key);
        StrBuf_AppendFmt(&key, "call-%d", i);
        ck_assert_int_eq(Fleet_CountEffects(fleet, StrBuf_View(&key)), 1);
    }
    StrBuf_Finish(&key);
}

static void
check_hedges(Fleet *fleet, const HedgeCase *c, int hedges, int late_count)
{
    if (c->expected == NO_HEDGE) {
        ck_assert_int_eq(hedges, 0);
        ck_assert_int_ge(late_count, 1);
        check_effects(fleet, c);
        return;
    }
    ck_assert_int_ge(hedges, 1);
    if (c->expected == LIMITED) {
        ck_assert_int_lt(hedges, c->calls);
        ck_assert_int_le(hedges, HEDGE_BURST + (USUAL_CALLS + c->calls) *
                                                   c->hedge_permille / 1000);
    }
    else if (c->expected == IN_TIME) {
        ck_assert_int_eq(late_count, 0);
        /* A backend server that hedges overtake does not stay the first
         * choice. */
        ck_assert_int_lt(hedges, c->calls);
    }
}

START_TEST(answers_from_another)
{
    const HedgeCase *c = &cases[_i];
    Fleet fleet;
    int late_count = 0;
    Span duration_max = 0;
    int hedges;

    start_fleet(&fleet, c);
    inject_fault(&fleet, c->fault);
    for (int i = 0; i < c->calls; i++) {
        late_count += !call_once(&fleet, c, i, &duration_max);
    }
    hedges = (int)Fleet_ReadCounter(&fleet, INGRESS,
                                    Str_LIT("lycheeridge_hedges_total"));
    printf("%s: %d calls, %d hedges, %d not in time, longest %d ms\n", c->name,
           c->calls, hedges, late_count, (int)(duration_max / 1000));
    fflush(stdout);
    check_hedges(&fleet, c, hedges, late_count);
    kill(fleet.vms[FAULTY].backend, SIGCONT);
    Fleet_Finish(&fleet);
}
END_TEST

int
main(int argc, char **argv)
{
    const SuiteTest tests[] = {{answers_from_another, CASE_COUNT}};

    build = Suite_GetBuildFolder(argc, argv);
    return Suite_Run("hedges", tests, 1, 40);
}
