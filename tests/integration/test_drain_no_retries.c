/* Calls that reach a node just as its backend server leaves go to another one,
 * also when no retry is left: the node rejects them before they ran, so that
 * sending them on is no retry.
 */
#include <signal.h>
#include <stdio.h>

#include "fleet.h"
#include "support/suite.h"

#define ROWS(table) (int)(sizeof(table) / sizeof(table)[0])

enum { SUBNET = 57, VMS = 4, ROUNDS = 6, LEAVING_VM = VMS - 1 };

static Str build;

/* There is no budget of retries. */
static const Str preset =
    Str_LIT("{\"name\":\"ordinary\",\"limits\":{\"retry_permille\":0,"
            "\"retry_burst\":0},\"routes\":["
            "{\"service\":\"visor\",\"route\":\"read\",\"path\":\"/visor/\","
            "\"method\":\"GET\",\"interactive\":true,\"idempotent\":true},"
            "{\"service\":\"visor\",\"route\":\"book\",\"method\":\"POST\","
            "\"path\":\"/visor/\"}]}");

typedef enum { DRAINS, STOPS } Departure;

typedef struct {
    const char *name;
    Str method;
    Departure departure; /* of a backend server, or of the node beside it */
} DrainCase;

static const DrainCase cases[] = {
    {"reads, drained", Str_LIT("GET"), DRAINS},
    {"bookings, drained", Str_LIT("POST"), DRAINS},
    {"reads, node stopped", Str_LIT("GET"), STOPS},
    {"bookings, node stopped", Str_LIT("POST"), STOPS},
};

static void
start_fleet(Fleet *fleet)
{
    Fleet_Init(fleet, build, SUBNET, VMS, 3);
    Fleet_SetPreset(fleet, preset);
    for (int i = 0; i < VMS; i++) {
        Fleet_StartNode(fleet, i);
        Fleet_StartBackend(fleet, i, Str_LIT("visor"), (Str){0});
    }
    for (int i = 0; i < VMS; i++) {
        ck_assert(
            Fleet_WaitForPath(fleet, i, Str_LIT("/visor/ready"), Span_S(10)));
    }
    Fleet_Sleep(Span_S(1));
}

/* The backend server of LEAVING_VM leaves and comes back. */
static void
leave_and_return(Fleet *fleet, Departure departure)
{
    if (departure == DRAINS) {
        ck_assert(
            Fleet_ControlBackend(fleet, LEAVING_VM, Str_LIT("draining=1")));
        Fleet_Sleep(Span_MS(600));
        ck_assert(
            Fleet_ControlBackend(fleet, LEAVING_VM, Str_LIT("draining=0")));
    }
    else {
        Fleet_Kill(&fleet->vms[LEAVING_VM].node, SIGTERM);
        Fleet_StartNode(fleet, LEAVING_VM);
    }
    ck_assert(Fleet_WaitForPath(fleet, LEAVING_VM, Str_LIT("/visor/ready"),
                                Span_S(10)));
    Fleet_Sleep(Span_MS(600));
}

START_TEST(moves_on_without_retries)
{
    const DrainCase *c = &cases[_i];
    Fleet fleet;
    FleetLoad load = {.method = c->method,
                      .path = Str_LIT("/visor/a"),
                      .node_count = VMS - 1,
                      .process_count = 6,
                      .pause = Span_MS(2)};
    FleetTotals totals;
    int turned_away;

    start_fleet(&fleet);
    Fleet_StartLoad(&fleet, &load);
    for (int round = 0; round < ROUNDS; round++) {
        leave_and_return(&fleet, c->departure);
    }
    totals = Fleet_StopLoad(&fleet, &load);
    /* A backend server that rejects a call before its node knows that it
     * drains was sent it: sending that call on is a retry. */
    turned_away =
        (int)Fleet_ReadBackendCount(&fleet, LEAVING_VM, Str_LIT("shed"));
    fprintf(stderr,
            "%s: %d calls, %d not run, %d of them by the backend server, "
            "%d unknown, %d incomplete\n",
            c->name, totals.calls, totals.not_run, turned_away, totals.unknown,
            totals.incomplete);
    ck_assert_int_gt(totals.ran, 100);
    ck_assert_int_le(totals.not_run, turned_away);
    ck_assert_int_eq(totals.unknown, 0);
    ck_assert_int_eq(totals.incomplete, 0);
    ck_assert_int_eq(totals.duplicated, 0);
    ck_assert_int_eq(totals.contradicted, 0);
    Fleet_Finish(&fleet);
}
END_TEST

int
main(int argc, char **argv)
{
    const SuiteTest tests[] = {{moves_on_without_retries, ROWS(cases)}};

    build = Suite_GetBuildFolder(argc, argv);
    return Suite_Run("drain, no retries", tests, 1, 60);
}
