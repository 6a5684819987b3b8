/* A backend server that fails, refuses or becomes slow loses its share of the
 * load and regains it through trial requests.  A backend server that announces
 * too many slots gets no more than its share.  When all backend servers are
 * faulty, calls still reach them.
 */
#include "fleet.h"
#include "support/suite.h"

static Str build;

/* The backend servers are in the region of nodes 0, 1, 4 and 5.  Calls go
 * through all nodes.  FAULTY is an index in servers. */
enum { VMS = 6, SERVERS = 4, CONTROL = 3, FAULTY = 3 };

static const int servers[SERVERS] = {0, 1, 4, 5};

#define WINDOW Span_MS(500)
/* Stated limit: a faulty backend server has lost its share after this time. */
#define DETECTION_TIME Span_S(1)
#define EVEN_SHARE (1.0 / SERVERS)
#define EJECTED_SHARE_MAX (EVEN_SHARE / 4) /* trial requests only */
#define RECOVERED_SHARE_MIN (EVEN_SHARE / 2)

static const Str preset =
    Str_LIT("{\"name\":\"ordinary\",\"limits\":{},\"routes\":["
            "{\"service\":\"visor\",\"route\":\"read\",\"path\":\"/visor/\","
            "\"interactive\":true,\"idempotent\":true}]}");

static const FleetLoad calls = {.method = Str_LIT("GET"),
                                .path = Str_LIT("/visor/a"),
                                .node_count = VMS,
                                .process_count = 8,
                                .pause = Span_MS(3)};

/* Attempts that reached each backend server during one window. */
typedef struct {
    uint64_t attempts[SERVERS];
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

/* Returns the attempts that reached the backend server of VM so far. */
static uint64_t
count_attempts(Fleet *fleet, int vm)
{
    static const Str names[] = {Str_LIT("served"), Str_LIT("shed"),
                                Str_LIT("failed"), Str_LIT("late"),
                                Str_LIT("cancelled")};
    uint64_t attempts = 0;

    for (size_t i = 0; i < sizeof names / sizeof names[0]; i++) {
        attempts += Fleet_ReadBackendCount(fleet, vm, names[i]);
    }
    return attempts;
}

/* Counts the attempts during the next TIME. */
static Window
measure_window(Fleet *fleet, Span time)
{
    Window window = {0};

    for (int i = 0; i < SERVERS; i++) {
        window.attempts[i] = count_attempts(fleet, servers[i]);
    }
    Fleet_Sleep(time);
    for (int i = 0; i < SERVERS; i++) {
        window.attempts[i] =
            count_attempts(fleet, servers[i]) - window.attempts[i];
        window.total += window.attempts[i];
    }
    return window;
}

static double
get_share(const Window *window, int server)
{
    return window->total
               ? (double)window->attempts[server] / (double)window->total
               : 0;
}

typedef struct {
    const char *name;
    Str parameters;       /* make the backend server faulty */
    Str reset_parameters; /* end the fault */
    Span recovery_max;    /* longest time until its share is back */
} FaultCase;

static const FaultCase faults[] = {
    {"fails every request at once", Str_LIT("fail=1"), Str_LIT("fail=0"),
     Span_S(5)},
    {"refuses everything", Str_LIT("silent_drain=1"),
     Str_LIT("silent_drain=0"), Span_S(10)},
    {"20 times slower", Str_LIT("slow=20"), Str_LIT("slow=1"), Span_S(5)},
};

enum { FAULT_COUNT = sizeof faults / sizeof faults[0] };

/* Waits until the share of FAULTY is back and checks that it exceeds SHARE_MAX
 * in no window.  Returns the time it took; Instant_NEVER: not back within
 * recovery_max. */
static Span
wait_for_share(Fleet *fleet, const FaultCase *c, double share_max)
{
    for (Span elapsed = WINDOW; elapsed <= c->recovery_max;
         elapsed += WINDOW) {
        Window window = measure_window(fleet, WINDOW);
        double share = get_share(&window, FAULTY);
        ck_assert_msg(share <= share_max, "%s: too large a share of %.2f",
                      c->name, share);
        if (share >= RECOVERED_SHARE_MIN) {
            return elapsed;
        }
    }
    return Instant_NEVER;
}

/* Returns the share of FAULTY before the fault.  On a busy machine the load
 * may take up to 5 s to spread evenly. */
static double
measure_share_before(Fleet *fleet)
{
    double share = 0;

    for (int i = 0; i < 5 && share < RECOVERED_SHARE_MIN; i++) {
        Window window = measure_window(fleet, 2 * WINDOW);
        share = get_share(&window, FAULTY);
    }
    return share;
}

START_TEST(faulty_server_loses_its_share)
{
    const FaultCase *c = &faults[_i];
    FleetLoad load = calls;
    Window window;
    Fleet fleet;
    double before;

    start_fleet(&fleet, (Str){0});
    Fleet_StartLoad(&fleet, &load);
    Fleet_Sleep(WINDOW);
    before = measure_share_before(&fleet);
    ck_assert_msg(before >= RECOVERED_SHARE_MIN, "%s: %.3f before", c->name,
                  before);
    ck_assert(Fleet_ControlBackend(&fleet, servers[FAULTY], c->parameters));
    Fleet_Sleep(DETECTION_TIME);
    for (int i = 0; i < 4; i++) {
        window = measure_window(&fleet, WINDOW);
        ck_assert_msg(get_share(&window, FAULTY) <= EJECTED_SHARE_MAX,
                      "%s: %.3f of %d in window %d", c->name,
                      get_share(&window, FAULTY), (int)window.total, i);
    }
    ck_assert(
        Fleet_ControlBackend(&fleet, servers[FAULTY], c->reset_parameters));
    ck_assert_msg(wait_for_share(&fleet, c, 2 * EVEN_SHARE) != Instant_NEVER,
                  "%s: share not regained", c->name);
    Fleet_StopLoad(&fleet, &load);
    Fleet_Finish(&fleet);
}
END_TEST

static const FaultCase all_faults[] = {
    {"all 20 times slower", Str_LIT("slow=20"), Str_LIT("slow=1"), Span_S(5)},
    {"all fail every request at once", Str_LIT("fail=1"), Str_LIT("fail=0"),
     Span_S(5)},
};

enum { ALL_FAULT_COUNT = sizeof all_faults / sizeof all_faults[0] };

static void
set_all(Fleet *fleet, Str parameters)
{
    for (int i = 0; i < SERVERS; i++) {
        ck_assert(Fleet_ControlBackend(fleet, servers[i], parameters));
    }
}

START_TEST(never_all_ejected)
{
    const FaultCase *c = &all_faults[_i];
    FleetLoad load = calls;
    FleetTotals totals;
    Fleet fleet;

    start_fleet(&fleet, (Str){0});
    Fleet_StartLoad(&fleet, &load);
    Fleet_Sleep(WINDOW);
    set_all(&fleet, c->parameters);
    for (int i = 0; i < 6; i++) {
        Window window = measure_window(&fleet, WINDOW);
        ck_assert_msg(window.total > 0, "%s: no work in window %d", c->name,
                      i);
    }
    set_all(&fleet, c->reset_parameters);
    ck_assert_msg(wait_for_share(&fleet, c, 1) != Instant_NEVER,
                  "%s: share not regained", c->name);
    totals = Fleet_StopLoad(&fleet, &load);
    ck_assert_int_gt(totals.calls, 0);
    /* Error answers count as answers. */
    ck_assert_msg(totals.ran == totals.calls, "%s: %d of %d", c->name,
                  totals.ran, totals.calls);
    Fleet_Finish(&fleet);
}
END_TEST

START_TEST(overstated_slots_attract_no_rush)
{
    const Str parameters[] = {Str_LIT("boast=4"), Str_LIT("boast=4&lie=1")};
    FleetLoad load = calls;
    FleetTotals totals;
    Fleet fleet;

    /* Overstated slots matter only when there are few. */
    start_fleet(&fleet, Str_LIT("--slots 2"));
    ck_assert(Fleet_ControlBackend(&fleet, servers[FAULTY], parameters[_i]));
    Fleet_StartLoad(&fleet, &load);
    Fleet_Sleep(DETECTION_TIME);
    for (int i = 0; i < 4; i++) {
        Window window = measure_window(&fleet, WINDOW);
        ck_assert_msg(get_share(&window, FAULTY) <= 2 * EVEN_SHARE,
                      "%.3f of %d", get_share(&window, FAULTY),
                      (int)window.total);
    }
    totals = Fleet_StopLoad(&fleet, &load);
    ck_assert_int_gt(totals.calls, 0);
    ck_assert_int_eq(totals.ran, totals.calls);
    Fleet_Finish(&fleet);
}
END_TEST

enum { OVERSTATED_COUNT = 2 };

int
main(int argc, char **argv)
{
    const SuiteTest tests[] = {
        {faulty_server_loses_its_share, FAULT_COUNT},
        {never_all_ejected, ALL_FAULT_COUNT},
        {overstated_slots_attract_no_rush, OVERSTATED_COUNT}};

    build = Suite_GetBuildFolder(argc, argv);
    return Suite_Run("slow servers", tests, 3, 60);
}
