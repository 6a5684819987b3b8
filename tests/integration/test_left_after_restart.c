/* Guards against the failure that a backend server that has left, by a notice
 * that its node acknowledged, is used again after processes were restarted,
 * because one of its announcements arrives late.
 */
#include <signal.h>
#include <stdio.h>

#include "operators.h"
#include "support/suite.h"

#define ROWS(table) (int)(sizeof(table) / sizeof(table)[0])

/* VMs 0 to 2 have control replicas; the backend server beside VM BESIDE
 * leaves. */
enum { SUBNET = 45, VMS = 4, CONTROL = 3, BESIDE = 3, PORT = 9000 };

enum { STEPS_MAX = 8, ANNOUNCEMENTS = 10 };

#define APPLY_WAIT Span_MS(400) /* until all nodes act on an announcement */

static Str build;

static const Str preset =
    Str_LIT("{\"name\":\"ordinary\",\"limits\":{},\"routes\":["
            "{\"service\":\"visor\",\"route\":\"read\",\"path\":\"/visor/\","
            "\"interactive\":true,\"idempotent\":true},"
            "{\"service\":\"despachos\",\"route\":\"list\",\"path\":"
            "\"/despachos/\",\"interactive\":true,\"idempotent\":true}]}");

typedef enum {
    END = 0,
    READY,        /* announcement of the start A, sequence 6 */
    READY_B,      /* of a later start, with another id */
    READY_A2,     /* of a later start with the same id, sequence 1 */
    DRAINING,     /* announcement of A, sequence 7 */
    LEAVE,        /* notice of A, with its start time */
    LEAVE_ID,     /* notice of A by its id alone */
    KILL,         /* the node is killed and starts again */
    TERM,         /* the node is stopped and starts again */
    KILL_CONTROL, /* all control replicas are killed and start again */
    KILL_ALL
} Step;

typedef struct {
    const char *name;
    Step steps[STEPS_MAX];
    bool is_used; /* calls reach the backend server at the end */
    Step last;    /* where it is used: announced until then */
} RestartCase;

static const RestartCase cases[] = {
    {"no change at all", {READY}, true, READY},
    {"killed, then announced", {READY, KILL, READY}, true, READY},
    {"leaves, killed", {READY, LEAVE, KILL, READY}, false, END},
    {"leaves, stopped", {READY, LEAVE, TERM, READY}, false, END},
    {"leaves by its id, killed", {READY, LEAVE_ID, KILL, READY}, false, END},
    {"drains, killed", {READY, DRAINING, KILL, READY}, false, END},
    {"leaves, killed twice", {READY, LEAVE, KILL, KILL, READY}, false, END},
    {"leaves, killed after an announcement came late",
     {READY, LEAVE, KILL, READY, KILL, READY},
     false,
     END},
    {"killed, leaves, killed", {READY, KILL, LEAVE, KILL, READY}, false, END},
    {"leaves, the control replicas are killed, then the node",
     {READY, LEAVE, KILL_CONTROL, KILL, READY},
     false,
     END},
    {"leaves, all are killed", {READY, LEAVE, KILL_ALL, READY}, false, END},
    {"leaves, killed, another starts",
     {READY, LEAVE, KILL, READY, READY_B},
     true,
     READY_B},
    {"leaves, killed, starts again with its id",
     {READY, LEAVE, KILL, READY_A2, READY},
     true,
     READY_A2},
    {"a late notice of an earlier start",
     {READY, READY_A2, LEAVE},
     true,
     READY_A2},
    {"a late notice of an earlier start, killed",
     {READY, READY_A2, LEAVE, KILL, READY_A2},
     true,
     READY_A2},
};

static void
start_backend(Fleet *fleet)
{
    StrBuf command = {0};
    Str ip = StrBuf_View(&fleet->vms[BESIDE].ip);

    /* Its own announcements go to a port without a listener, so that the node
     * gets only those of the test. */
    StrBuf_AppendFmt(&command,
                     "%.*s/fakeback --service visor --listen %.*s:%d "
                     "--node %.*s:9999",
                     Str_ARG(fleet->build_folder), Str_ARG(ip), PORT,
                     Str_ARG(ip));
    fleet->vms[BESIDE].backend =
        Fleet_StartProcess(fleet, &command, "backend");
    StrBuf_Finish(&command);
}

/* Sends a request of the backend server to the node beside it and checks that
 * it is acknowledged; a node that has just started is waited for. */
static void
send_notice(Fleet *fleet, const char *name, const char *path, Str body)
{
    int status = 0;

    for (int i = 0; i < 50 && status != 200; i++) {
        OpsAnswer answer;
        Ops_ReadAnswer(Ops_SendRequest(fleet, BESIDE, "POST", path, body),
                       Span_S(2), &answer);
        status = answer.status;
        Ops_FinishAnswer(&answer);
        if (status != 200) {
            Fleet_Sleep(Span_MS(100));
        }
    }
    ck_assert_msg(status == 200, "%s: %s got status %d", name, path, status);
}

static void
announce(Fleet *fleet, const char *name, const char *id, const char *state,
         int sequence, int started_at_ms)
{
    StrBuf path = {0};
    StrBuf body = {0};

    StrBuf_AppendFmt(&path, "/v1/backends/announce?id=%s", id);
    StrBuf_AppendFmt(&body,
                     "{\"service\":\"visor\",\"address\":\"%.*s:%d\","
                     "\"slots\":4,\"state\":\"%s\",\"sequence\":%d,"
                     "\"born\":%d}",
                     Str_ARG(fleet->vms[BESIDE].ip), PORT, state, sequence,
                     started_at_ms);
    send_notice(fleet, name, StrBuf_CStr(&path), StrBuf_View(&body));
    StrBuf_Finish(&path);
    StrBuf_Finish(&body);
}

static void
restart(Fleet *fleet, int first, int count, int signal_number)
{
    for (int i = first; i < first + count; i++) {
        kill(fleet->vms[i].node, signal_number);
    }
    for (int i = first; i < first + count; i++) {
        Fleet_Kill(&fleet->vms[i].node, signal_number);
    }
    for (int i = first; i < first + count; i++) {
        Fleet_StartNode(fleet, i);
    }
}

/* Waits until every node serves calls, to a backend server of another
 * service. */
static void
wait_until_served(Fleet *fleet)
{
    for (int vm = 0; vm < VMS; vm++) {
        ck_assert(Fleet_WaitForPath(fleet, vm, Str_LIT("/despachos/ready"),
                                    Span_S(10)));
    }
}

/* LATER is added to the sequence number of an announcement of a start that is
 * ready. */
static void
do_step(Fleet *fleet, const char *name, Step step, int later)
{
    switch (step) {
    case END:
        break;
    case READY:
        announce(fleet, name, "a", "ready", 6 + later, 1000);
        break;
    case READY_B:
        announce(fleet, name, "b", "ready", 1 + later, 2000);
        break;
    case READY_A2:
        announce(fleet, name, "a", "ready", 1 + later, 2000);
        break;
    case DRAINING:
        announce(fleet, name, "a", "draining", 7, 1000);
        break;
    case LEAVE:
        send_notice(fleet, name, "/v1/backends/leave?id=a",
                    Str_LIT("{\"born\":1000}"));
        break;
    case LEAVE_ID:
        send_notice(fleet, name, "/v1/backends/leave?id=a", Str_LIT("{}"));
        break;
    case KILL:
        restart(fleet, BESIDE, 1, SIGKILL);
        break;
    case TERM:
        restart(fleet, BESIDE, 1, SIGTERM);
        break;
    case KILL_CONTROL:
        restart(fleet, 0, CONTROL, SIGKILL);
        wait_until_served(fleet);
        break;
    case KILL_ALL:
        restart(fleet, 0, VMS, SIGKILL);
        wait_until_served(fleet);
        break;
    }
}

static bool
is_used(Fleet *fleet)
{
    FleetRequest request = {.method = Str_LIT("GET"),
                            .path = Str_LIT("/visor/a"),
                            .headers =
                                Str_LIT("X-Lycheeridge-Deadline-Ms: 500"),
                            .timeout = Span_S(2)};
    uint64_t before = Fleet_ReadBackendCount(fleet, BESIDE, Str_LIT("served"));

    for (int vm = 0; vm < VMS; vm++) {
        FleetAnswer answer;
        Fleet_Send(fleet, vm, &request, &answer);
        Fleet_FinishAnswer(&answer);
    }
    return Fleet_ReadBackendCount(fleet, BESIDE, Str_LIT("served")) > before;
}

static void
start_fleet(Fleet *fleet)
{
    Fleet_Init(fleet, build, SUBNET, VMS, CONTROL);
    Fleet_SetPreset(fleet, preset);
    for (int vm = 0; vm < VMS; vm++) {
        Fleet_StartNode(fleet, vm);
    }
    StrBuf_Set(&fleet->vms[BESIDE].service, Str_LIT("visor"));
    start_backend(fleet);
    Fleet_StartBackend(fleet, 0, Str_LIT("despachos"), (Str){0});
    wait_until_served(fleet);
}

START_TEST(backend_that_left_stays_unused)
{
    const RestartCase *c = &cases[_i];
    Fleet fleet;
    bool used;

    start_fleet(&fleet);
    for (int i = 0; i < STEPS_MAX && c->steps[i]; i++) {
        do_step(&fleet, c->name, c->steps[i], 0);
    }
    wait_until_served(&fleet);
    Fleet_Sleep(APPLY_WAIT);
    used = is_used(&fleet);
    /* One that is ready announces itself again and again. */
    for (int i = 1; i <= ANNOUNCEMENTS && c->is_used && !used; i++) {
        do_step(&fleet, c->name, c->last, i);
        Fleet_Sleep(APPLY_WAIT);
        used = is_used(&fleet);
    }
    ck_assert_msg(used == c->is_used, "%s: the backend server is%s used",
                  c->name, c->is_used ? " not" : "");
    Fleet_Finish(&fleet);
}
END_TEST

typedef struct {
    const char *name;
    int killed; /* control replicas, before the notice */
    int status; /* of the notice */
} MajorityCase;

static const MajorityCase majority_cases[] = {
    {"all run", 0, 200},
    {"a majority runs", 1, 200},
    {"no majority runs", 2, 503},
};

/* A notice is acknowledged only when it can be remembered; nothing more is
 * sent to the backend server in either case. */
START_TEST(notice_needs_majority)
{
    const MajorityCase *c = &majority_cases[_i];
    Fleet fleet;
    OpsAnswer answer;

    start_fleet(&fleet);
    do_step(&fleet, c->name, READY, 0);
    Fleet_Sleep(APPLY_WAIT);
    for (int i = 0; i < c->killed; i++) {
        Fleet_Kill(&fleet.vms[CONTROL - 1 - i].node, SIGKILL);
    }
    Ops_ReadAnswer(Ops_SendRequest(&fleet, BESIDE, "POST",
                                   "/v1/backends/leave?id=a",
                                   Str_LIT("{\"born\":1000}")),
                   Span_S(1), &answer);
    ck_assert_msg(answer.status == c->status, "%s: status %d", c->name,
                  answer.status);
    Ops_FinishAnswer(&answer);
    ck_assert_msg(!is_used(&fleet), "%s: the backend server is used", c->name);
    Fleet_Finish(&fleet);
}
END_TEST

int
main(int argc, char **argv)
{
    const SuiteTest tests[] = {{backend_that_left_stays_unused, ROWS(cases)},
                               {notice_needs_majority, ROWS(majority_cases)}};

    build = Suite_GetBuildFolder(argc, argv);
    return Suite_Run("left after restart", tests, 2, 30);
}
