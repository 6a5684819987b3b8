/* A backend server that fails, refuses or turns slow loses its share of the
 * load and gets it back by trials; one that announces too many slots keeps to
 * its share; when all are ill, calls still reach them.
 */
#include "fleet.h"
#include "support/suite.h"

static Str build;

/* Backend servers are in one region, whose nodes are 0, 1, 4 and 5; calls come
 * through every node. */
enum { VMS = 6, SERVERS = 4, CONTROL = 3, FAULTY = 3 };

static const int servers[SERVERS] = {0, 1, 4, 5};

#define WINDOW Span_MS(500)
#define DETECTION_TIME Span_S(1) /* stated: its share is lost after so long   \
                                  */
#define EVEN_SHARE (1.0 / SERVERS)
#define EJECTED_SHARE_MAX (EVEN_SHARE / 4) /* no more than trials */
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

/* Attempts that reached each backend server, of one window. */
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
    Str parameters;
    Str reset_parameters;
    Span recovery_max; /* after being well again, at most */
} FaultCase;

static const FaultCase faults[] = {
    {"fails everything at once", Str_LIT("fail=1"), Str_LIT("fail=0"),
     Span_S(5)},
    {"turns everything away", Str_LIT("silent_drain=1"),
     Str_LIT("silent_drain=0"), Span_S(10)},
    {"20 times slower", Str_LIT("slow=20"), Str_LIT("slow=1"), Span_S(5)},
};

enum { FAULT_COUNT = sizeof faults / sizeof faults[0] };

/* Until its share is back; in no window does it get more than MOST. */
static Span
wait_for_share(Fleet *fleet, const FaultCase *c, double share_max)
{
    for (Span elapsed = WINDOW; elapsed <= c->recovery_max;
         elapsed += WINDOW) {
        Window window = measure_window(fleet, WINDOW);
        double share = get_share(&window, FAULTY);
        ck_assert_msg(share <= share_max, "%s: rush of %.2f", c->name, share);
        if (share >= RECOVERED_SHARE_MIN) {
            return elapsed;
        }
    }
    return Instant_NEVER;
}

/* Its share while all are well, within 5 s on a busy machine. */
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
                  "%s: not back", c->name);
    Fleet_StopLoad(&fleet, &load);
    Fleet_Finish(&fleet);
}
END_TEST

static const FaultCase all_faults[] = {
    {"all 20 times slower", Str_LIT("slow=20"), Str_LIT("slow=1"), Span_S(5)},
    {"all fail everything at once", Str_LIT("fail=1"), Str_LIT("fail=0"),
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
                  "%s: not back", c->name);
    totals = Fleet_StopLoad(&fleet, &load);
    ck_assert_int_gt(totals.calls, 0);
    /* An answer that is an error is an answer. */
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

    /* So few slots that a boast matters. */
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
