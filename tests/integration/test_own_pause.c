/* Guards against two failures around a node that does not run for a moment.
 * When it went on, it took other nodes for silent and gave up the calls that
 * they were running for it.  And another node gave up the look-ups that it was
 * running where no retry was left, though it could have been asked.  And a
 * node that had been asked over several connections sent the answer over one
 * that had ended.  Nor may the time for which a request lies unread be given
 * to a backend server. */
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/ptrace.h>
#include <sys/wait.h>

#include "fleet_mix.h"
#include "process/settings/settings.h"
#include "support/suite.h"

#define ROWS(table) (int)(sizeof(table) / sizeof(table)[0])

enum { SUBNET = 65, VMS = 2, INGRESS_VM = 0, SERVING_VM = 1, CALLERS = 4 };

static Str build;

static const Str preset =
    Str_LIT("{\"name\":\"ordinary\",\"limits\":{\"retry_permille\":0,"
            "\"retry_burst\":0},\"routes\":["
            "{\"service\":\"visor\",\"route\":\"look\",\"path\":\"/look/\","
            "\"idempotent\":true,\"deadline_ms\":10000},"
            "{\"service\":\"visor\",\"route\":\"book\",\"path\":\"/book/\","
            "\"deadline_ms\":10000}]}");

typedef struct {
    const char *name;
    bool is_booking;
    bool only_loop; /* the threads that serve its connections run on */
    int paused_vm;
    Span paused_at;
    Span pause;
    Span work;
} PauseCase;

/* Each pause is longer than the time after which a connection counts as
 * silent; that of a loop alone is twice as long, so that questions lie unread
 * on two connections. */
static const PauseCase cases[] = {
    {"the ingress node, look-ups", false, false, INGRESS_VM, Span_MS(300),
     Span_MS(700), Span_MS(1200)},
    {"the ingress node, bookings", true, false, INGRESS_VM, Span_MS(300),
     Span_MS(700), Span_MS(1200)},
    {"the ingress node, after the answers", false, false, INGRESS_VM,
     Span_MS(300), Span_MS(1500), Span_MS(1200)},
    {"the serving node, look-ups", false, false, SERVING_VM, Span_MS(300),
     Span_MS(700), Span_MS(1200)},
    {"the serving node, bookings", true, false, SERVING_VM, Span_MS(300),
     Span_MS(700), Span_MS(1200)},
    {"the serving node, before it can pass the answers on", false, false,
     SERVING_VM, Span_MS(300), Span_MS(700), Span_MS(400)},
    {"the loop of the serving node, bookings", true, true, SERVING_VM,
     Span_MS(300), Span_MS(900), Span_MS(2500)},
    {"the serving node, silent twice, look-ups", false, false, SERVING_VM,
     Span_MS(300), Span_MS(850), Span_MS(1200)},
    {"the serving node, silent twice, before it can pass the answers on",
     false, false, SERVING_VM, Span_MS(300), Span_MS(850), Span_MS(400)},
};

typedef struct {
    const PauseCase *c;
    Fleet *fleet;
    bool is_paused;
    bool is_over;
} Pause;

/* Stops NODE, or the thread that it began with, which runs its loop. */
static void
stop(pid_t node, bool only_loop)
{
    if (!only_loop) {
        kill(node, SIGSTOP);
        return;
    }
    ck_assert_int_eq(ptrace(PTRACE_SEIZE, node, NULL, NULL), 0);
    ck_assert_int_eq(ptrace(PTRACE_INTERRUPT, node, NULL, NULL), 0);
}

static void
go_on(pid_t node, bool only_loop)
{
    if (!only_loop) {
        kill(node, SIGCONT);
        return;
    }
    ck_assert_int_eq(waitpid(node, NULL, __WALL), node);
    ck_assert_int_eq(ptrace(PTRACE_DETACH, node, NULL, NULL), 0);
}

static void
on_tick(void *context, Span elapsed)
{
    Pause *pause = context;
    pid_t node = pause->fleet->vms[pause->c->paused_vm].node;

    if (!pause->is_paused && elapsed >= pause->c->paused_at) {
        stop(node, pause->c->only_loop);
        pause->is_paused = true;
    }
    if (!pause->is_over && elapsed >= pause->c->paused_at + pause->c->pause) {
        go_on(node, pause->c->only_loop);
        pause->is_over = true;
    }
}

START_TEST(paused_node_gives_up_no_call)
{
    const PauseCase *c = &cases[_i];
    Fleet fleet;
    Mix mix;
    MixPlan plans[CALLERS];
    Pause pause = {.c = c, .fleet = &fleet};
    StrBuf text = {0};
    int lost = 0;

    Fleet_Init(&fleet, build, SUBNET, VMS, 1);
    Fleet_SetPreset(&fleet, preset);
    for (int i = 0; i < VMS; i++) {
        Fleet_StartNode(&fleet, i);
    }
    Fleet_StartBackend(&fleet, SERVING_VM, Str_LIT("visor"), (Str){0});
    ck_assert(Fleet_WaitForPath(&fleet, INGRESS_VM, Str_LIT("/look/ready"),
                                Span_S(10)));
    Fleet_Sleep(Span_S(1));
    for (int i = 0; i < CALLERS; i++) {
        plans[i] = (MixPlan){.vm = INGRESS_VM,
                             .request_count = 1,
                             .requests = {{.send_at = Span_MS(100 + 40 * i),
                                           .is_booking = c->is_booking,
                                           .work = c->work,
                                           .answer_bytes = 40}}};
    }
    Mix_Init(&mix, &fleet, plans, CALLERS);
    mix.context = &pause;
    mix.on_tick = on_tick;
    Mix_Run(&mix, Span_S(8));
    for (int i = 0; i < CALLERS; i++) {
        Mix_Print(&mix, i, &text);
        lost += Mix_GetResult(&mix, i, 0)->outcome != Mix_ANSWERED;
    }
    ck_assert_msg(lost == 0, "%s:\n%.*s", c->name, Str_ARG(text));
    if (c->paused_vm == INGRESS_VM) {
        ck_assert_uint_eq(
            Fleet_ReadCounter(&fleet, INGRESS_VM,
                              Str_LIT("lycheeridge_silent_connections_total")),
            0);
    }
    StrBuf_Finish(&text);
    Mix_Finish(&mix);
    Fleet_Finish(&fleet);
}
END_TEST

typedef struct {
    const char *name;
    Span pause; /* of the node beside the backend server */
} ExpiryCase;

/* An announcement is valid for 1.5 s. */
static const ExpiryCase expiry_cases[] = {
    {"longer than an announcement is valid", Span_MS(2500)},
    {"much longer", Span_MS(4000)},
};

START_TEST(paused_node_keeps_its_backend_server)
{
    const ExpiryCase *c = &expiry_cases[_i];
    const Str gone = Str_LIT("backend_gone");
    Fleet fleet;
    StrBuf path = {0};
    StrBuf log = {0};

    Fleet_Init(&fleet, build, SUBNET, 1, 1);
    Fleet_SetPreset(&fleet, preset);
    Fleet_StartNode(&fleet, 0);
    Fleet_StartBackend(&fleet, 0, Str_LIT("visor"), (Str){0});
    ck_assert(
        Fleet_WaitForPath(&fleet, 0, Str_LIT("/look/ready"), Span_S(10)));
    kill(fleet.vms[0].node, SIGSTOP);
    Fleet_Sleep(c->pause);
    kill(fleet.vms[0].node, SIGCONT);
    Fleet_Sleep(Span_S(1));
    StrBuf_AppendFmt(&path, "%.*s/node0.json.log", Str_ARG(fleet.folder));
    ck_assert(Set_ReadFile(StrBuf_View(&path), &log, NULL));
    ck_assert_msg(!memmem(log.ptr, log.len, gone.ptr, gone.len), "%s",
                  c->name);
    StrBuf_Finish(&path);
    StrBuf_Finish(&log);
    Fleet_Finish(&fleet);
}
END_TEST

/* How much time a backend server is given for a request that lay unread while
 * a node did not run. */
typedef struct {
    const char *name;
    Span pause;  /* from before the request is sent */
    Span behind; /* time that a booking before it on its connection takes */
    int paused_vm;
    int stated_ms; /* by the caller */
    int given_min; /* ms; not positive: the request is not run */
    int given_max;
} UnreadCase;

static const UnreadCase unread_cases[] = {
    {"no pause", 0, 0, INGRESS_VM, 4000, 3800, 4000},
    {"the ingress node", Span_MS(700), 0, INGRESS_VM, 4000, 3000, 3320},
    {"the serving node", Span_MS(400), 0, SERVING_VM, 4000, 3400, 3620},
    {"the ingress node, longer than the caller waits", Span_MS(700), 0,
     INGRESS_VM, 600, 0, 0},
    {"behind a booking", 0, Span_MS(700), INGRESS_VM, 4000, 3000, 3310},
};

/* Returns the milliseconds that ANSWER says the backend server was given; 0
 * when it did not run the request. */
static int
read_given_ms(Str answer)
{
    static const char name[] = "X-Lycheeridge-Deadline-Ms=";
    const char *at = memmem(answer.ptr, answer.len, name, sizeof name - 1);

    return at ? atoi(at + sizeof name - 1) : 0;
}

START_TEST(pause_is_not_given_away)
{
    const UnreadCase *c = &unread_cases[_i];
    Fleet fleet;
    StrBuf text = {0};
    pid_t paused;
    int given_ms;
    int fd;

    Fleet_Init(&fleet, build, SUBNET, VMS, 1);
    Fleet_SetPreset(&fleet, preset);
    for (int i = 0; i < VMS; i++) {
        Fleet_StartNode(&fleet, i);
    }
    Fleet_StartBackend(&fleet, SERVING_VM, Str_LIT("visor"), (Str){0});
    ck_assert(Fleet_WaitForPath(&fleet, INGRESS_VM, Str_LIT("/look/ready"),
                                Span_S(10)));
    paused = fleet.vms[c->paused_vm].node;
    if (c->pause) {
        kill(paused, SIGSTOP);
    }
    fd = Fleet_RawOpen(&fleet, INGRESS_VM, 8000);
    if (c->behind) {
        StrBuf_AppendFmt(&text,
                         "POST /book/a HTTP/1.1\r\nHost: barns\r\n"
                         "X-Fake-Time-Us: %lld\r\n"
                         "Content-Length: 0\r\n\r\n",
                         (long long)c->behind);
    }
    StrBuf_AppendFmt(&text,
                     "POST /book/a HTTP/1.1\r\nHost: barns\r\n"
                     "X-Fake-Show: X-Lycheeridge-Deadline-Ms\r\n"
                     "X-Lycheeridge-Deadline-Ms: %d\r\n"
                     "Content-Length: 0\r\nConnection: close\r\n\r\n",
                     c->stated_ms);
    Fleet_RawSend(fd, StrBuf_View(&text));
    Fleet_Sleep(c->pause);
    kill(paused, SIGCONT);
    StrBuf_Clear(&text);
    Fleet_RawRead(fd, Span_S(3), &text);
    given_ms = read_given_ms(StrBuf_View(&text));
    ck_assert_msg(given_ms >= c->given_min && given_ms <= c->given_max,
                  "%s: %d ms given: %.*s", c->name, given_ms,
                  Str_ARG(StrBuf_View(&text)));
    Fleet_RawClose(fd);
    StrBuf_Finish(&text);
    Fleet_Finish(&fleet);
}
END_TEST

int
main(int argc, char **argv)
{
    const SuiteTest tests[] = {
        {paused_node_gives_up_no_call, ROWS(cases)},
        {paused_node_keeps_its_backend_server, ROWS(expiry_cases)},
        {pause_is_not_given_away, ROWS(unread_cases)}};

    build = Suite_GetBuildFolder(argc, argv);
    return Suite_Run("own pause", tests, 3, 40);
}
