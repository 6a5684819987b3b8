/* All VMs lose power at the same moment and have it again together, some
 * control replicas without their disks: how soon requests are served again.
 */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <time.h>

#include "fleet.h"
#include "support/suite.h"

#define ROWS(table) (int)(sizeof(table) / sizeof(table)[0])

/* Time from power to a served request, of the median round.  Where it is
 * longer, requests sent at the return of power miss their deadlines. */
#define SERVED_WITHIN Span_S(1)

#define START_WAIT Span_S(10)

enum { SUBNET = 230, VMS = 7, REPLICAS = 5, ROUNDS = 5 };

static Str build;

typedef struct {
    const char *name;
    int folders_lost; /* of the first replicas */
    int link_ms; /* delay of each message through the proxy; 0: no proxy */
} PowerCase;

static const PowerCase cases[] = {
    {"all disks are there", 0, 0},
    {"two disks are lost", 2, 0},
    {"two disks are lost, slow links", 2, 15},
};

static Instant
read_clock(void)
{
    struct timespec t;

    clock_gettime(CLOCK_MONOTONIC, &t);
    return Span_S(t.tv_sec) + t.tv_nsec / 1000;
}

static void
start_all(Fleet *fleet)
{
    for (int vm = 0; vm < VMS; vm++) {
        Fleet_StartNode(fleet, vm);
    }
    for (int vm = REPLICAS; vm < VMS; vm++) {
        Fleet_StartBackend(fleet, vm, Str_LIT("visor"),
                           Str_LIT("--service-us 5000"));
    }
}

static void
kill_all(Fleet *fleet, int folders_lost)
{
    for (int vm = 0; vm < VMS; vm++) {
        Fleet_Kill(&fleet->vms[vm].node, SIGKILL);
        Fleet_Kill(&fleet->vms[vm].backend, SIGKILL);
    }
    for (int vm = 0; vm < folders_lost; vm++) {
        Fleet_LoseDataFolder(fleet, vm);
    }
}

static void
set_links(Fleet *fleet, int link_ms)
{
    StrBuf command = {0};

    StrBuf_AppendFmt(&command, "delay * %d\n", link_ms * 1000);
    ck_assert(Fleet_SendProxyCommand(fleet, StrBuf_View(&command)));
    StrBuf_Finish(&command);
}

static int
compare_spans(const void *a, const void *b)
{
    Span x = *(const Span *)a;
    Span y = *(const Span *)b;

    return (x > y) - (x < y);
}

START_TEST(serves_soon_after_a_loss_of_power)
{
    const PowerCase *c = &cases[_i];
    Span took[ROUNDS];
    Fleet fleet;

    Fleet_Init(&fleet, build, SUBNET, VMS, REPLICAS);
    Fleet_UseSeeds(&fleet, Str_LIT("234"), true);
    if (c->link_ms) {
        Fleet_UseProxy(&fleet);
        set_links(&fleet, c->link_ms);
    }
    start_all(&fleet);
    ck_assert(
        Fleet_WaitForPath(&fleet, VMS - 1, Str_LIT("/visor/x"), START_WAIT));
    Fleet_UseSeeds(&fleet, Str_LIT("234"), false);
    for (int round = 0; round < ROUNDS; round++) {
        Instant began;
        /* Replicas that lost their disks are voters again. */
        Fleet_Sleep(Span_S(4));
        kill_all(&fleet, c->folders_lost);
        began = read_clock();
        start_all(&fleet);
        ck_assert(Fleet_WaitForPath(&fleet, VMS - 1, Str_LIT("/visor/x"),
                                    START_WAIT));
        took[round] = read_clock() - began;
        printf("%s: first request served after %d ms\n", c->name,
               (int)(took[round] / 1000));
        fflush(stdout);
    }
    Fleet_Finish(&fleet);
    qsort(took, ROUNDS, sizeof *took, compare_spans);
    ck_assert_int_le(took[ROUNDS / 2], SERVED_WITHIN);
}
END_TEST

int
main(int argc, char **argv)
{
    const SuiteTest tests[] = {
        {serves_soon_after_a_loss_of_power, ROWS(cases)}};

    build = Suite_GetBuildFolder(argc, argv);
    return Suite_Run("power", tests, 1, 90);
}
