/* A request that a slow backend server runs isn't sent to it again: not while
 * the backend server drains, its node stops or its slots are taken, and not
 * when other work shows that it is slow.  A request whose idle connection was
 * lost is still sent again.
 */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>

#include "fleet.h"
#include "support/suite.h"

#define ROWS(table) (int)(sizeof(table) / sizeof(table)[0])

enum {
    SUBNET = 63,
    DEADLINE_MS = 6000,
    WORK_US = 150000, /* the usual duration of the work */
    LONG_WORK_US = 2400000,
    CALLS_MAX = 40,
    CHANGE_MS = 300, /* from the calls to the change */
    HANG_AFTER_MS = 50,
    HANG_MS = 3000,
    PAUSE_MS = 100, /* between later calls */
    LATER_CALLS = 20,
    FEW_LATER_CALLS = 5,
    ROUNDS = 6
};

static Str build;

typedef enum {
    NOTHING,
    DRAINS,
    DRAINS_LATER, /* after the later calls, when another one is there */
    NODE_STOPS,
    HANGS
} Change;

typedef struct {
    const char *name;
    Str knobs;       /* of the backend server; set before the calls */
    Str freeze;      /* the fault of its connections, while they are idle */
    int calls;       /* made at once */
    int later_calls; /* made after them, one at a time */
    int work_us;     /* of the calls made at once; 0: as usual */
    Change change;
    int again_max; /* runs beside the first one, of all calls together */
} SlowCase;

/* Where nothing else runs, a slow backend server can't be told from a lost
 * connection: there, one request of all is sent again. */
static const SlowCase cases[] = {
    {.name = "slow, drains",
     .knobs = Str_LIT("slow=16"),
     .calls = 4,
     .change = DRAINS},
    {.name = "slow, one call, drains",
     .knobs = Str_LIT("slow=16"),
     .calls = 1,
     .change = DRAINS},
    {.name = "slow, its node stops",
     .knobs = Str_LIT("slow=16"),
     .calls = 4,
     .change = NODE_STOPS},
    {.name = "slow, all slots taken",
     .knobs = Str_LIT("slow=16&slots=4"),
     .calls = 4},
    {.name = "slow, other calls come",
     .knobs = Str_LIT("slow=16&slots=40"),
     .calls = 4,
     .later_calls = LATER_CALLS},
    {.name = "slow, no other call",
     .knobs = Str_LIT("slow=16"),
     .calls = 4,
     .again_max = 1},
    {.name = "hangs",
     .knobs = Str_LIT("slow=1"),
     .calls = 4,
     .change = HANGS,
     .again_max = 1},
    {.name = "long work beside short",
     .knobs = Str_LIT("slots=40"),
     .calls = 4,
     .work_us = LONG_WORK_US,
     .later_calls = LATER_CALLS},
    {.name = "idle loss, forward",
     .knobs = Str_LIT("slow=1"),
     .freeze = Str_LIT("freeze b1 forward"),
     .calls = 1},
    {.name = "idle loss, back",
     .knobs = Str_LIT("slow=1"),
     .freeze = Str_LIT("freeze b1 back"),
     .calls = 1,
     .again_max = 1},
    {.name = "idle loss of four, forward",
     .knobs = Str_LIT("slow=1"),
     .freeze = Str_LIT("freeze b1 forward"),
     .calls = 4},
    {.name = "idle loss of four, back",
     .knobs = Str_LIT("slow=1"),
     .freeze = Str_LIT("freeze b1 back"),
     .calls = 4,
     .again_max = 4},
    {.name = "idle loss of four, one slot left",
     .knobs = Str_LIT("slots=5"),
     .freeze = Str_LIT("freeze b1 back"),
     .calls = 4,
     .again_max = 4},
    {.name = "idle loss of four, other calls come",
     .knobs = Str_LIT("slow=1&slots=40"),
     .freeze = Str_LIT("freeze b1 both"),
     .calls = 4,
     .later_calls = LATER_CALLS},
    {.name = "idle loss of four, then drains",
     .knobs = Str_LIT("slots=40"),
     .freeze = Str_LIT("freeze b1 both"),
     .calls = 4,
     .later_calls = FEW_LATER_CALLS,
     .change = DRAINS_LATER},
};

static const Str preset =
    Str_LIT("{\"name\":\"ordinary\",\"limits\":{},\"routes\":["
            "{\"service\":\"visor\",\"route\":\"read\",\"path\":\"/visor/\","
            "\"method\":\"GET\",\"interactive\":true,\"idempotent\":true}]}");

static void
start_fleet(Fleet *fleet)
{
    Fleet_Init(fleet, build, SUBNET, 2, 1);
    Fleet_SetPreset(fleet, preset);
    Fleet_UseProxy(fleet);
    Fleet_StartNode(fleet, 0);
    Fleet_StartNode(fleet, 1);
    Fleet_StartBackend(fleet, 1, Str_LIT("visor"), (Str){0});
    ck_assert(
        Fleet_WaitForPath(fleet, 0, Str_LIT("/visor/ready"), Span_S(10)));
}

static int
send_call(Fleet *fleet, int work_us)
{
    StrBuf request = {0};
    int fd = Fleet_RawOpen(fleet, 0, 8000);

    StrBuf_AppendFmt(&request,
                     "GET /visor/a HTTP/1.1\r\nHost: barns\r\n"
                     "X-Lycheeridge-Deadline-Ms: %d\r\n"
                     "X-Fake-Time-Us: %d\r\nConnection: close\r\n\r\n",
                     DEADLINE_MS, work_us);
    Fleet_RawSend(fd, StrBuf_View(&request));
    StrBuf_Finish(&request);
    return fd;
}

/* Returns how many of the calls FDS were answered 200. */
static int
count_served(const int *fds, int count)
{
    int served = 0;

    for (int i = 0; i < count; i++) {
        StrBuf answer = {0};
        if (Fleet_RawRead(fds[i], Span_MS(DEADLINE_MS + 500), &answer) &&
            Str_StartsWith(StrBuf_View(&answer), Str_LIT("HTTP/1.1 200 "))) {
            served++;
        }
        else {
            fprintf(stderr, "  %.*s\n", Str_ARG(answer));
        }
        StrBuf_Finish(&answer);
        Fleet_RawClose(fds[i]);
    }
    return served;
}

/* The usual duration becomes known, and COUNT connections to the backend
 * server are open and idle. */
static void
use_connections(Fleet *fleet, int count, int first_work_us)
{
    int fds[CALLS_MAX] = {0};

    for (int round = 0; round < ROUNDS; round++) {
        for (int i = 0; i < count; i++) {
            fds[i] = send_call(fleet, round ? WORK_US : first_work_us);
        }
        ck_assert_int_eq(count_served(fds, count), count);
    }
}

static void
change(Fleet *fleet, Change what)
{
    switch (what) {
    case NOTHING:
        break;
    case DRAINS_LATER:
        Fleet_StartBackend(fleet, 0, Str_LIT("visor"), (Str){0});
        Fleet_Sleep(Span_MS(CHANGE_MS));
        ck_assert(Fleet_ControlBackend(fleet, 1, Str_LIT("draining=1")));
        break;
    case DRAINS:
        ck_assert(Fleet_ControlBackend(fleet, 1, Str_LIT("draining=1")));
        break;
    case NODE_STOPS:
        kill(fleet->vms[1].node, SIGTERM);
        break;
    case HANGS:
        kill(fleet->vms[1].backend, SIGSTOP);
        Fleet_Sleep(Span_MS(HANG_MS));
        kill(fleet->vms[1].backend, SIGCONT);
        break;
    }
}

/* Requests that reached the backend server, run or turned away. */
static int
count_arrived(Fleet *fleet)
{
    return (int)(Fleet_ReadBackendCount(fleet, 1, Str_LIT("started")) +
                 Fleet_ReadBackendCount(fleet, 1, Str_LIT("shed")));
}

START_TEST(slow_work_is_not_sent_again)
{
    const SlowCase *c = &cases[_i];
    int total = c->calls + c->later_calls;
    int work_us = c->work_us ? c->work_us : WORK_US;
    int fds[CALLS_MAX] = {0};
    Fleet fleet;
    int arrived;
    int served;

    start_fleet(&fleet);
    use_connections(&fleet, c->calls, work_us);
    ck_assert(Fleet_ControlBackend(&fleet, 1, c->knobs));
    arrived = count_arrived(&fleet);
    if (c->freeze.len) {
        ck_assert(Fleet_SendProxyCommand(&fleet, c->freeze));
    }
    for (int i = 0; i < c->calls; i++) {
        fds[i] = send_call(&fleet, work_us);
    }
    Fleet_Sleep(Span_MS(c->change == HANGS ? HANG_AFTER_MS : CHANGE_MS));
    if (c->change != DRAINS_LATER) {
        change(&fleet, c->change);
    }
    for (int i = c->calls; i < total; i++) {
        fds[i] = send_call(&fleet, WORK_US);
        Fleet_Sleep(Span_MS(PAUSE_MS));
    }
    if (c->change == DRAINS_LATER) {
        change(&fleet, c->change);
    }
    served = count_served(fds, total);
    Fleet_Sleep(Span_MS(300));
    arrived = count_arrived(&fleet) - arrived;
    fprintf(stderr, "%s: %d calls, %d served, %d arrived\n", c->name, total,
            served, arrived);
    ck_assert_msg(served == total, "%s: %d of %d served", c->name, served,
                  total);
    ck_assert_msg(arrived <= total + c->again_max,
                  "%s: %d calls, but %d arrived", c->name, total, arrived);
    Fleet_Finish(&fleet);
}
END_TEST

int
main(int argc, char **argv)
{
    const SuiteTest tests[] = {{slow_work_is_not_sent_again, ROWS(cases)}};

    build = Suite_GetBuildFolder(argc, argv);
    return Suite_Run("slow, not sent again", tests, 1, 60);
}
