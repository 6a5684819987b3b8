/* A backend server that fails, refuses or turns slow loses its share of the
 * load and gets it back by trials; one that announces too many slots keeps to
 * its share; when all are ill, calls still reach them.
 */
#include "fleet.h"
#include "support/suite.h"

static Str build;

/* Backend servers are in one region, whose nodes are 0, 1, 4 and 5; calls come
 * through every node. */
enum { VMS = 6, SERVERS = 4, CONTROL = 3, ILL = 3 };

static const int servers[SERVERS] = {0, 1, 4, 5};

#define WINDOW Span_MS(500)
#define NOTICE Span_S(1) /* stated: its share is lost after so long */
#define EVEN (1.0 / SERVERS)
#define LOST (EVEN / 4) /* no more than trials */
#define BACK (EVEN / 2)

static const Str preset =
    Str_LIT("{\"name\":\"ordinary\",\"limits\":{},\"routes\":["
            "{\"service\":\"visor\",\"route\":\"read\",\"path\":\"/visor/\","
            "\"interactive\":true,\"idempotent\":true}]}");

static const FleetLoad calls = {.method = Str_LIT("GET"),
                                .path = Str_LIT("/visor/a"),
                                .node_count = VMS,
                                .process_count = 8,
                                .pause = Span_MS(3)};

/* Attempts that reached each backend server, of one window. */
typedef struct {
    uint64_t work[SERVERS];
    uint64_t total;
} Window;

static void
start_fleet(Fleet *fleet, Str options)
{
    Fleet_Init(fleet, build, 64, VMS, CONTROL);
    Fleet_SetPreset(fleet, preset);
    for (int i = 0; i < VMS; i++) {
        Fleet_StartNode(fleet, i);
    }
    for (int i = 0; i < SERVERS; i++) {
        Fleet_StartBackend(fleet, servers[i], Str_LIT("visor"), options);
    }
    for (int i = 0; i < VMS; i++) {
        ck_assert(
            Fleet_WaitForPath(fleet, i, Str_LIT("/visor/ready"), Span_S(10)));
    }
    Fleet_Sleep(Span_S(1));
}

static uint64_t
work_of(Fleet *fleet, int vm)
{
    static const Str names[] = {Str_LIT("served"), Str_LIT("shed"),
                                Str_LIT("failed"), Str_LIT("late"),
                                Str_LIT("cancelled")};
    uint64_t work = 0;

    for (size_t i = 0; i < sizeof names / sizeof names[0]; i++) {
        work += Fleet_ReadBackendCount(fleet, vm, names[i]);
    }
    return work;
}

static Window
watch(Fleet *fleet, Span time)
{
    Window window = {0};

    for (int i = 0; i < SERVERS; i++) {
        window.work[i] = work_of(fleet, servers[i]);
    }
    Fleet_Sleep(time);
    for (int i = 0; i < SERVERS; i++) {
        window.work[i] = work_of(fleet, servers[i]) - window.work[i];
        window.total += window.work[i];
    }
    return window;
}

static double
share_of(const Window *window, int server)
{
    return window->total ? (double)window->work[server] / (double)window->total
                         : 0;
}

typedef struct {
    const char *name;
    Str knobs;
    Str well;
    Span back; /* after being well again, at most */
} IllCase;

static const IllCase ills[] = {
    {"fails everything at once", Str_LIT("fail=1"), Str_LIT("fail=0"),
     Span_S(5)},
    {"turns everything away", Str_LIT("silent_drain=1"),
     Str_LIT("silent_drain=0"), Span_S(10)},
    {"20 times slower", Str_LIT("slow=20"), Str_LIT("slow=1"), Span_S(5)},
};

enum { ILL_COUNT = sizeof ills / sizeof ills[0] };

/* Until its share is back; in no window does it get more than MOST. */
static Span
wait_for_share(Fleet *fleet, const IllCase *c, double most)
{
    for (Span took = WINDOW; took <= c->back; took += WINDOW) {
        Window window = watch(fleet, WINDOW);
        double share = share_of(&window, ILL);
        ck_assert_msg(share <= most, "%s: rush of %.2f", c->name, share);
        if (share >= BACK) {
            return took;
        }
    }
    return Instant_NEVER;
}

/* Its share while all are well, within 5 s on a busy machine. */
static double
share_before(Fleet *fleet)
{
    double share = 0;

    for (int i = 0; i < 5 && share < BACK; i++) {
        Window window = watch(fleet, 2 * WINDOW);
        share = share_of(&window, ILL);
    }
    return share;
}

START_TEST(loses_its_share)
{
    const IllCase *c = &ills[_i];
    FleetLoad load = calls;
    Window window;
    Fleet fleet;
    double before;

    start_fleet(&fleet, (Str){0});
    Fleet_StartLoad(&fleet, &load);
    Fleet_Sleep(WINDOW);
    before = share_before(&fleet);
    ck_assert_msg(before >= BACK, "%s: %.3f before", c->name, before);
    ck_assert(Fleet_ControlBackend(&fleet, servers[ILL], c->knobs));
    Fleet_Sleep(NOTICE);
    for (int i = 0; i < 4; i++) {
        window = watch(&fleet, WINDOW);
        ck_assert_msg(share_of(&window, ILL) <= LOST,
                      "%s: %.3f of %d in window %d", c->name,
                      share_of(&window, ILL), (int)window.total, i);
    }
    ck_assert(Fleet_ControlBackend(&fleet, servers[ILL], c->well));
    ck_assert_msg(wait_for_share(&fleet, c, 2 * EVEN) != Instant_NEVER,
                  "%s: not back", c->name);
    Fleet_StopLoad(&fleet, &load);
    Fleet_Finish(&fleet);
}
END_TEST

static const IllCase all_ill[] = {
    {"all 20 times slower", Str_LIT("slow=20"), Str_LIT("slow=1"), Span_S(5)},
    {"all fail everything at once", Str_LIT("fail=1"), Str_LIT("fail=0"),
     Span_S(5)},
};

enum { ALL_ILL_COUNT = sizeof all_ill / sizeof all_ill[0] };

static void
set_all(Fleet *fleet, Str knobs)
{
    for (int i = 0; i < SERVERS; i++) {
        ck_assert(Fleet_ControlBackend(fleet, servers[i], knobs));
    }
}

START_TEST(never_all_ejected)
{
    const IllCase *c = &all_ill[_i];
    FleetLoad load = calls;
    FleetTotals totals;
    Fleet fleet;

    start_fleet(&fleet, (Str){0});
    Fleet_StartLoad(&fleet, &load);
    Fleet_Sleep(WINDOW);
    set_all(&fleet, c->knobs);
    for (int i = 0; i < 6; i++) {
        Window window = watch(&fleet, WINDOW);
        ck_assert_msg(window.total > 0, "%s: no work in window %d", c->name,
                      i);
    }
    set_all(&fleet, c->well);
    ck_assert_msg(wait_for_share(&fleet, c, 1) != Instant_NEVER,
                  "%s: not back", c->name);
    totals = Fleet_StopLoad(&fleet, &load);
    ck_assert_int_gt(totals.calls, 0);
    /* An answer that is an error is an answer. */
    ck_assert_msg(totals.ran == totals.calls, "%s: %d of %d", c->name,
                  totals.ran, totals.calls);
    Fleet_Finish(&fleet);
}
END_TEST

START_TEST(boasting_attracts_no_rush)
{
    const Str knobs[] = {Str_LIT("boast=4"), Str_LIT("boast=4&lie=1")};
    FleetLoad load = calls;
    FleetTotals totals;
    Fleet fleet;

    /* So few slots that a boast matters. */
    start_fleet(&fleet, Str_LIT("--slots 2"));
    ck_assert(Fleet_ControlBackend(&fleet, servers[ILL], knobs[_i]));
    Fleet_StartLoad(&fleet, &load);
    Fleet_Sleep(NOTICE);
    for (int i = 0; i < 4; i++) {
        Window window = watch(&fleet, WINDOW);
        ck_assert_msg(share_of(&window, ILL) <= 2 * EVEN, "%.3f of %d",
                      share_of(&window, ILL), (int)window.total);
    }
    totals = Fleet_StopLoad(&fleet, &load);
    ck_assert_int_gt(totals.calls, 0);
    ck_assert_int_eq(totals.ran, totals.calls);
    Fleet_Finish(&fleet);
}
END_TEST

enum { BOASTS = 2 };

int
main(int argc, char **argv)
{
    const SuiteTest tests[] = {{loses_its_share, ILL_COUNT},
                               {never_all_ejected, ALL_ILL_COUNT},
                               {boasting_attracts_no_rush, BOASTS}};

    build = Suite_GetBuildFolder(argc, argv);
    return Suite_Run("slow servers", tests, 3, 60);
}
