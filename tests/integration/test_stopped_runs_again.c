/* A request that crashes each backend server that runs it is stopped by the
 * fleet.  The request has to stay stopped after events that do not release it:
 * a change, a restart, another service for its route, copies of the request.
 */
#include <signal.h>
#include <stdio.h>
#include <sys/wait.h>

#include "fleet_keyed.h"
#include "operators.h"
#include "support/suite.h"

#define ROWS(table) (int)(sizeof(table) / sizeof(table)[0])

enum {
    SUBNET = 33,
    VMS = 7,
    REPLICAS = 3, /* these VMs have no backend servers */
    ROUNDS = 6,   /* the request is sent once in each */
    COPIES = 8,
    LOSSES_MAX = 2, /* required limit for one request */
    REVISION = 5    /* of the routing table at the start */
};

#define SETTLE_TIME Span_S(2)
#define ANSWER_WAIT Span_S(6)
#define EXPIRY_WAIT Span_MS(2700) /* longer than the default member expiry */
#define FREEZE_TIME Span_MS(1500)
#define CRASH Str_LIT("X-Fake-Crash: before\r\n")
/* The connections end after the deadline of the request has passed. */
#define SLOW_CRASH Str_LIT("X-Fake-Crash: slowly\r\n")
/* The connection ends before the listening socket is closed. */
#define CLOSING_CRASH Str_LIT("X-Fake-Crash: closing\r\n")

static Str build;

/* A preset with one route; TARGET is the member that names its services. */
#define PRESET(target)                                                        \
    Str_LIT(                                                                  \
        "{\"name\":\"ordinary\","                                             \
        "\"limits\":{\"suspect_release_ms\":120000},\"routes\":[],"           \
        "\"routing\":{\"revision\":5,\"services\":[{\"name\":\"visor\"},"     \
        "{\"name\":\"despachos\"}],\"routes\":[{\"name\":\"note\","           \
        "\"host\":\"x\",\"path\":\"/notes/\",\"kind\":\"non_idempotent\","    \
        "\"deadline_ms\":3000,\"objective_ms\":1000,\"priority\":1,"          \
        "\"attempts_max\":2," target "}]}}")

#define VISOR_TARGET "\"service\":\"visor\""
#define DESPACHOS_TARGET "\"service\":\"despachos\""
#define SPLIT_TARGET                                                          \
    "\"split\":[{\"service\":\"visor\",\"weight\":1},"                        \
    "{\"service\":\"despachos\",\"weight\":1}]"

typedef enum {
    NO_DISTURBANCE,
    CHANGE_OTHER_PRESET, /* a preset that is not in force */
    MOVE_ROUTE,          /* to the other service, and back the next time */
    RESTART_ONE,         /* kill the node of one backend server */
    RESTART_ALL,         /* kill all nodes at once */
    LOSE_FOLDER,  /* as RESTART_ALL; one control replica loses its folder */
    REPLACE_NODE, /* a new node of the service joins */
    FREEZE_NODE,  /* stop the node of one backend server for FREEZE_TIME */
    ANSWER_ERROR, /* send the request once more; the answer is 500 */
    END_SLOWLY,   /* none, but the request is sent with SLOW_CRASH */
    END_CLOSING   /* none, but the request is sent with CLOSING_CRASH */
} Disturbance;

typedef struct {
    const char *name;
    Str preset;
    Disturbance disturbance;
    int despachos_count; /* the last so many backend servers run despachos,
                          * the others visor */
} Case;

static const Case cases[] = {
    {"nothing happens", PRESET(VISOR_TARGET), NO_DISTURBANCE, 0},
    {"another preset is changed", PRESET(VISOR_TARGET), CHANGE_OTHER_PRESET,
     0},
    {"its route is moved", PRESET(VISOR_TARGET), MOVE_ROUTE, 2},
    {"a node of the service is restarted", PRESET(VISOR_TARGET), RESTART_ONE,
     0},
    {"all nodes are restarted", PRESET(VISOR_TARGET), RESTART_ALL, 0},
    {"all nodes are restarted, one replica without its folder",
     PRESET(VISOR_TARGET), LOSE_FOLDER, 0},
    {"its route is split", PRESET(SPLIT_TARGET), NO_DISTURBANCE, 2},
    {"a node joins", PRESET(VISOR_TARGET), REPLACE_NODE, 0},
    {"a node of the service is frozen", PRESET(VISOR_TARGET), FREEZE_NODE, 0},
    {"it is answered an error once", PRESET(VISOR_TARGET), ANSWER_ERROR, 0},
    {"backend servers end slowly", PRESET(VISOR_TARGET), END_SLOWLY, 0},
    {"backend servers close their connections first", PRESET(VISOR_TARGET),
     END_CLOSING, 0},
};

static PostOutcome
post(Fleet *fleet, int vm, Str path, Str headers)
{
    StrBuf answer = {0};
    PostOutcome outcome = Fleet_Post(fleet, vm, path, (Str){0}, headers,
                                     Str_LIT("bad"), ANSWER_WAIT, &answer);

    StrBuf_Finish(&answer);
    return outcome;
}

static void
wait_until_served(Fleet *fleet, int vm)
{
    for (int i = 0; i < 100; i++) {
        if (post(fleet, vm, Str_LIT("/notes/ready"), (Str){0}) ==
            Post_ANSWERED) {
            return;
        }
        Fleet_Sleep(Span_MS(100));
    }
    ck_abort_msg("VM %d does not answer", vm);
}

static void
wait_until_all_serve(Fleet *fleet)
{
    for (int i = 0; i < VMS; i++) {
        wait_until_served(fleet, i);
    }
}

static void
start_backend(Fleet *fleet, int vm, int despachos_count, Str options)
{
    Fleet_StartBackend(fleet, vm,
                       vm >= VMS - despachos_count ? Str_LIT("despachos")
                                                   : Str_LIT("visor"),
                       options);
}

static void
start_fleet(Fleet *fleet, Str preset, int despachos_count, Str options)
{
    Fleet_Init(fleet, build, SUBNET, VMS, REPLICAS);
    Fleet_SetPreset(fleet, preset);
    for (int i = 0; i < VMS; i++) {
        Fleet_StartNode(fleet, i);
    }
    for (int i = REPLICAS; i < VMS; i++) {
        start_backend(fleet, i, despachos_count, options);
    }
    wait_until_all_serve(fleet);
    Fleet_Sleep(SETTLE_TIME);
}

/* Returns how many backend servers exited since the last call, and starts them
 * again. */
static int
count_losses(Fleet *fleet, int despachos_count, Str options)
{
    int losses = 0;

    for (int i = REPLICAS; i < VMS; i++) {
        pid_t *backend = &fleet->vms[i].backend;
        if (*backend > 0 && waitpid(*backend, NULL, WNOHANG) == *backend) {
            *backend = 0;
            losses++;
            start_backend(fleet, i, despachos_count, options);
        }
    }
    return losses;
}

static void
change_other_preset(Fleet *fleet, int round)
{
    char id[32];
    OpsChange change = {.id = id, .verb = "put", .name = "peak"};

    snprintf(id, sizeof id, "peak-%d", round);
    ck_assert(Ops_RetryChange(fleet, &change, Span_S(5)));
}

/* Moves the route to despachos in even rounds, back to visor in odd ones. */
static void
move_route(Fleet *fleet, int round)
{
    StrBuf text = {0};
    StrBuf body = {0};
    int fd = Fleet_RawOpen(fleet, 0, 8100);

    StrBuf_AppendFmt(
        &body,
        "{\"revision\":%d,\"upsert\":{\"routes\":[{\"name\":\"note\","
        "\"host\":\"x\",\"path\":\"/notes/\",\"kind\":\"non_idempotent\","
        "\"deadline_ms\":3000,\"objective_ms\":1000,\"priority\":1,"
        "\"attempts_max\":2,%s}]}}",
        REVISION + round + 1, round % 2 ? VISOR_TARGET : DESPACHOS_TARGET);
    StrBuf_AppendFmt(&text,
                     "POST /v1/routing/patch HTTP/1.1\r\nHost: x\r\n"
                     "Connection: close\r\nIf-Match: %d\r\n"
                     "Authorization: Bearer test-key\r\n"
                     "Content-Length: %zu\r\n\r\n%.*s",
                     REVISION + round, body.len, Str_ARG(body));
    Fleet_RawSend(fd, StrBuf_View(&text));
    StrBuf_Clear(&text);
    Fleet_RawRead(fd, Span_S(5), &text);
    ck_assert_msg(Str_StartsWith(StrBuf_View(&text), Str_LIT("HTTP/1.1 200")),
                  "%.*s", Str_ARG(text));
    Fleet_RawClose(fd);
    StrBuf_Finish(&text);
    StrBuf_Finish(&body);
}

static void
restart_all(Fleet *fleet, bool lose_folder)
{
    for (int i = 0; i < VMS; i++) {
        if (lose_folder && i == 0) {
            Fleet_LoseDataFolder(fleet, i);
        }
        else {
            Fleet_Kill(&fleet->vms[i].node, SIGKILL);
        }
    }
    for (int i = 0; i < VMS; i++) {
        Fleet_StartNode(fleet, i);
    }
}

/* Kills the node and its backend server and deletes the data folder, so that
 * the node joins as a new one at the same address. */
static void
replace_node(Fleet *fleet, int vm, int despachos_count)
{
    Fleet_Kill(&fleet->vms[vm].backend, SIGKILL);
    Fleet_LoseDataFolder(fleet, vm);
    Fleet_Sleep(EXPIRY_WAIT);
    Fleet_StartNode(fleet, vm);
    start_backend(fleet, vm, despachos_count, (Str){0});
}

static void
freeze_node(Fleet *fleet, int vm)
{
    ck_assert_int_eq(kill(fleet->vms[vm].node, SIGSTOP), 0);
    post(fleet, 0, Str_LIT("/notes/bad"), CRASH);
    Fleet_Sleep(FREEZE_TIME);
    ck_assert_int_eq(kill(fleet->vms[vm].node, SIGCONT), 0);
}

static void
disturb(Fleet *fleet, Disturbance disturbance, int round)
{
    int vm = REPLICAS + round % (VMS - REPLICAS);

    switch (disturbance) {
    case NO_DISTURBANCE:
    case END_SLOWLY:
    case END_CLOSING:
        break;
    case CHANGE_OTHER_PRESET:
        change_other_preset(fleet, round);
        break;
    case MOVE_ROUTE:
        move_route(fleet, round);
        break;
    case RESTART_ONE:
        Fleet_Kill(&fleet->vms[vm].node, SIGKILL);
        Fleet_StartNode(fleet, vm);
        break;
    case RESTART_ALL:
        restart_all(fleet, false);
        break;
    case LOSE_FOLDER:
        restart_all(fleet, round == 1);
        break;
    case REPLACE_NODE:
        replace_node(fleet, vm, 0);
        break;
    case FREEZE_NODE:
        freeze_node(fleet, vm);
        break;
    case ANSWER_ERROR:
        post(fleet, round % REPLICAS, Str_LIT("/notes/bad"),
             Str_LIT("X-Fake-Status: 500\r\n"));
        break;
    }
}

START_TEST(stopped_request_runs_again_after)
{
    const Case *c = &cases[_i];
    Str crash = c->disturbance == END_SLOWLY    ? SLOW_CRASH
                : c->disturbance == END_CLOSING ? CLOSING_CRASH
                                                : CRASH;
    Fleet fleet;
    PostOutcome outcome = Post_NO_ANSWER;
    int losses = 0;

    start_fleet(&fleet, c->preset, c->despachos_count, (Str){0});
    for (int round = 0; round < ROUNDS; round++) {
        outcome = post(&fleet, round % REPLICAS, Str_LIT("/notes/bad"), crash);
        Fleet_Sleep(Span_MS(200));
        losses += count_losses(&fleet, c->despachos_count, (Str){0});
        ck_assert_msg(!(outcome & (Post_ANSWERED | Post_NO_ANSWER)),
                      "%s: round %d had outcome %d", c->name, round, outcome);
        disturb(&fleet, c->disturbance, round);
        wait_until_all_serve(&fleet);
        Fleet_Sleep(SETTLE_TIME);
    }
    printf("%s: sent %d times, %d losses\n", c->name, ROUNDS, losses);
    fflush(stdout);
    ck_assert_int_ge(losses, 1);
    ck_assert_int_le(losses, LOSSES_MAX);
    ck_assert_int_eq(outcome, Post_NOT_RUN);
    Fleet_Finish(&fleet);
}
END_TEST

/* Takes the single slot of each backend server; the slot of the first becomes
 * free earlier. */
static void
fill_slots(Fleet *fleet, int *fds)
{
    for (int i = 0; i < VMS - REPLICAS; i++) {
        Str time = i ? Str_LIT("X-Fake-Time-Us: 900000\r\n")
                     : Str_LIT("X-Fake-Time-Us: 300000\r\n");
        fds[i] = Fleet_StartPost(fleet, REPLICAS + i, Str_LIT("/notes/ok"),
                                 (Str){0}, time, Str_LIT("x"));
        Fleet_Sleep(Span_MS(30));
    }
}

/* Copies of the crashing request wait for slots before the first of them
 * crashes a backend server. */
START_TEST(queued_copies_respect_the_loss_limit)
{
    static const Str one_slot = Str_LIT("--slots 1");
    Fleet fleet;
    StrBuf answer = {0};
    int work[VMS - REPLICAS];
    int copies[COPIES];
    int losses = 0;

    start_fleet(&fleet, cases[0].preset, 0, one_slot);
    fill_slots(&fleet, work);
    for (int i = 0; i < COPIES; i++) {
        copies[i] = Fleet_StartPost(&fleet, i % VMS, Str_LIT("/notes/bad"),
                                    (Str){0}, CRASH, Str_LIT("bad"));
    }
    for (int i = 0; i < VMS - REPLICAS; i++) {
        ck_assert_int_eq(Fleet_FinishPost(work[i], ANSWER_WAIT, &answer),
                         Post_ANSWERED);
    }
    for (int i = 0; i < COPIES; i++) {
        PostOutcome outcome =
            Fleet_FinishPost(copies[i], ANSWER_WAIT, &answer);
        ck_assert_msg(!(outcome & (Post_ANSWERED | Post_NO_ANSWER)),
                      "copy %d had outcome %d", i, outcome);
    }
    Fleet_Sleep(Span_MS(500));
    losses = count_losses(&fleet, 0, one_slot);
    printf("%d copies at once, %d losses\n", COPIES, losses);
    fflush(stdout);
    ck_assert_int_ge(losses, 1);
    ck_assert_int_le(losses, LOSSES_MAX);
    StrBuf_Finish(&answer);
    Fleet_Finish(&fleet);
}
END_TEST

int
main(int argc, char **argv)
{
    const SuiteTest tests[] = {{stopped_request_runs_again_after, ROWS(cases)},
                               {queued_copies_respect_the_loss_limit, 1}};

    build = Suite_GetBuildFolder(argc, argv);
    return Suite_Run("stopped runs again", tests, 2, 90);
}
