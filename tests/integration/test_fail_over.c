/* A backend server answers with an error of its own.  An idempotent call is
 * retried at another backend server, within the retry budget; any other call
 * is not.
 */
#include <stdio.h>

#include "fleet.h"
#include "support/suite.h"

static Str build;

enum { VMS = 3, CALLS = 20, BACKENDS = 2 };

typedef struct {
    const char *name;
    Str method;
    Str key_prefix;       /* empty: calls without a key */
    int retry_permille;   /* retry budget, per mille of calls */
    bool fails[BACKENDS]; /* answers 500; beside VM 1 and VM 2 */
    bool expects_errors;  /* some calls get the error */
    bool expects_answers; /* some calls get 200 */
} FailOverCase;

static const FailOverCase cases[] = {
    {"read", Str_LIT("GET"), {0}, 1000, {true, false}, false, true},
    {"read, both fail", Str_LIT("GET"), {0}, 1000, {true, true}, true, false},
    {"read, no budget", Str_LIT("GET"), {0}, 0, {true, false}, true, true},
    {"booking", Str_LIT("POST"), {0}, 1000, {true, false}, true, true},
    {"keyed booking",
     Str_LIT("POST"),
     Str_LIT("k"),
     1000,
     {true, false},
     true,
     true},
};

enum { CASE_COUNT = sizeof cases / sizeof cases[0] };

static void
start_fleet(Fleet *fleet, const FailOverCase *c)
{
    StrBuf preset = {0};

    Fleet_Init(fleet, build, 70, VMS, VMS);
    StrBuf_AppendFmt(
        &preset,
        "{\"name\":\"ordinary\",\"limits\":{\"retry_permille\":%d},"
        "\"routes\":[{\"service\":\"visor\",\"route\":\"read\","
        "\"method\":\"GET\",\"path\":\"/visor/\",\"idempotent\":true},"
        "{\"service\":\"visor\",\"route\":\"book\",\"path\":\"/visor/\","
        "\"key_header\":\"Idempotency-Key\"}]}",
        c->retry_permille);
    Fleet_SetPreset(fleet, StrBuf_View(&preset));
    StrBuf_Finish(&preset);
    for (int i = 0; i < VMS; i++) {
        Fleet_StartNode(fleet, i);
    }
    for (int i = 0; i < BACKENDS; i++) {
        Fleet_StartBackend(fleet, i + 1, Str_LIT("visor"), (Str){0});
    }
    ck_assert(
        Fleet_WaitForPath(fleet, 0, Str_LIT("/visor/ready"), Span_S(10)));
    Fleet_Sleep(Span_S(1));
    for (int i = 0; i < BACKENDS; i++) {
        ck_assert(Fleet_ControlBackend(fleet, i + 1,
                                       c->fails[i] ? Str_LIT("fail=1")
                                                   : Str_LIT("fail=0")));
    }
}

/* Sends call NUMBER, with a key of its own if the case has keys, and returns
 * the status. */
static long
make_call(Fleet *fleet, const FailOverCase *c, int number)
{
    StrBuf key = {0};
    FleetAnswer answer = {0};
    long status;

    if (c->key_prefix.len) {
        StrBuf_AppendFmt(&key, "%.*s%d", Str_ARG(c->key_prefix), number);
    }
    Fleet_Call(fleet, 0, c->method, Str_LIT("/visor/a"), StrBuf_View(&key),
               Str_LIT(""), &answer);
    status = answer.status;
    /* The call ran, whatever its status. */
    ck_assert(Str_Equal(StrBuf_View(&answer.outcome), Str_LIT("ran")));
    Fleet_FinishAnswer(&answer);
    StrBuf_Finish(&key);
    return status;
}

START_TEST(retries_only_idempotent_calls)
{
    const FailOverCase *c = &cases[_i];
    Fleet fleet;
    int errors = 0;
    int answers = 0;

    start_fleet(&fleet, c);
    for (int i = 0; i < CALLS; i++) {
        long status = make_call(&fleet, c, i);
        errors += status == 500;
        answers += status == 200;
    }
    printf("%s: %d calls, %d errors, %d answers\n", c->name, CALLS, errors,
           answers);
    fflush(stdout);
    ck_assert_int_eq(errors + answers, CALLS);
    ck_assert_int_eq(errors > 0, c->expects_errors);
    ck_assert_int_eq(answers > 0, c->expects_answers);
    Fleet_Finish(&fleet);
}
END_TEST

int
main(int argc, char **argv)
{
    const SuiteTest tests[] = {{retries_only_idempotent_calls, CASE_COUNT}};

    build = Suite_GetBuildFolder(argc, argv);
    return Suite_Run("fail over", tests, 1, 60);
}
