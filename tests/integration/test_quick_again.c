/* Guards against the failure that a route whose calls took long once is
 * refused for good: "it could not run before its deadline", unsent, since
 * nothing that is sent corrects the estimate.
 */
#include <stdio.h>
#include <string.h>

#include "operators.h"
#include "request/duration.h"
#include "support/suite.h"

#define ROWS(table) (int)(sizeof(table) / sizeof(table)[0])

enum {
    SUBNET = 46,
    VMS = 2,
    OPERATORS_PORT = 8100,
    SLOW_CALLS = 3,
    CALLS = 10
};

#define SLOW_US "1500000"
#define APPLY_WAIT Span_MS(1500) /* until a change is in force everywhere */

static Str build;

typedef enum {
    STAYS,   /* no change of the configuration */
    ADDED,   /* the route is removed, and added again with the service */
    MOVED,   /* the route leads to the other service */
    LOWERED, /* the time-out is lowered */
    COLLIDES /* a route is added whose name shares a slot */
} ChangeKind;

typedef struct {
    const char *name;
    const char *kind; /* of the route */
    ChangeKind change;
    const char *slow_us;    /* time of the calls before the change */
    const char *deadline;   /* header field of the calls after it */
    const char *timeout_ms; /* of the route after it */
} QuickCase;

static const QuickCase cases[] = {
    {"never slow", "idempotent", STAYS, "1000", "900", "4000"},
    {"removed and added again", "idempotent", ADDED, SLOW_US, "900", "900"},
    {"removed and added, may run once", "non_idempotent", ADDED, SLOW_US,
     "900", "900"},
    {"moved to the other service", "idempotent", MOVED, SLOW_US, "900", "900"},
    {"the time-out is lowered", "idempotent", LOWERED, SLOW_US, "4000", "900"},
    {"callers have less time", "idempotent", STAYS, SLOW_US, "900", "4000"},
    {"callers have less time, may run once", "non_idempotent", STAYS, SLOW_US,
     "900", "4000"},
    {"another route of the same slot", "idempotent", COLLIDES, SLOW_US, "900",
     "900"},
};

static void
append_route(StrBuf *routes, const char *name, const char *kind,
             const char *timeout_ms, const char *service)
{
    StrBuf_AppendFmt(routes,
                     "%s{\"name\":\"%s\",\"host\":\"barns\","
                     "\"path\":\"/%s/\",\"kind\":\"%s\",\"deadline_ms\":%s,"
                     "\"objective_ms\":300,\"priority\":1,"
                     "\"service\":\"%s\"}",
                     routes->len ? "," : "", name, name, kind, timeout_ms,
                     service);
}

/* A name whose hash falls on that of "stock" where it is cut to the number of
 * slots. */
static void
find_colliding_name(char *name, size_t size)
{
    const uint64_t slots = Dur_SETS * Dur_SLOTS_PER_SET;
    uint64_t wanted = Str_Hash(Str_LIT("stock")) % slots;

    for (int i = 0; i == 0 || Str_Hash(Str_FromC(name)) % slots != wanted;
         i++) {
        snprintf(name, size, "other%d", i);
    }
}

/* Makes the change of C.  Sets NAME to the route that is called then. */
static void
change(Fleet *fleet, const QuickCase *c, char *name, size_t size)
{
    StrBuf routes = {0};
    const char *service =
        c->change == ADDED || c->change == MOVED ? "despachos" : "visor";

    snprintf(name, size, "stock");
    if (c->change == STAYS) {
        return;
    }
    if (c->change == ADDED) {
        append_route(&routes, "idle", c->kind, "900", "visor");
        Ops_PutRoutes(fleet, 2, 1, StrBuf_View(&routes));
        Fleet_Sleep(APPLY_WAIT);
    }
    if (c->change == COLLIDES) {
        find_colliding_name(name, size);
    }
    StrBuf_Clear(&routes);
    append_route(&routes, name, c->kind, c->timeout_ms, service);
    Ops_PutRoutes(fleet, 3, c->change == ADDED ? 2 : 1, StrBuf_View(&routes));
    StrBuf_Finish(&routes);
}

/* Sends COUNT calls, one after the other; returns how many got 200. */
static int
send_calls(Fleet *fleet, const char *name, const char *deadline,
           const char *time_us, int count)
{
    StrBuf path = {0};
    StrBuf headers = {0};
    int served = 0;

    StrBuf_AppendFmt(&path, "/%s/a", name);
    StrBuf_AppendFmt(&headers,
                     "Host: barns\nX-Lycheeridge-Deadline-Ms: %s\n"
                     "X-Fake-Time-Us: %s",
                     deadline, time_us);
    for (int i = 0; i < count; i++) {
        FleetRequest request = {.method = Str_LIT("GET"),
                                .path = StrBuf_View(&path),
                                .headers = StrBuf_View(&headers)};
        FleetAnswer answer;
        Fleet_Send(fleet, 0, &request, &answer);
        served += answer.status == 200;
        Fleet_FinishAnswer(&answer);
    }
    StrBuf_Finish(&path);
    StrBuf_Finish(&headers);
    return served;
}

START_TEST(serves_route_that_is_quick_again)
{
    const QuickCase *c = &cases[_i];
    Fleet fleet;
    StrBuf routes = {0};
    char name[32];
    int served;

    Fleet_Init(&fleet, build, SUBNET, VMS, 1);
    Fleet_SetExtraSettings(&fleet, Str_LIT("\"operators_open\":true"));
    Fleet_StartNode(&fleet, 0);
    Fleet_StartNode(&fleet, 1);
    Fleet_StartBackend(&fleet, 0, Str_LIT("visor"), (Str){0});
    Fleet_StartBackend(&fleet, 1, Str_LIT("despachos"), (Str){0});
    ck_assert(
        Fleet_WaitForPath(&fleet, 0, Str_LIT("/visor/ready"), Span_S(10)));
    append_route(&routes, "stock", c->kind, "4000", "visor");
    Ops_PutRoutes(&fleet, 1, 0, StrBuf_View(&routes));
    Fleet_Sleep(APPLY_WAIT);
    served = send_calls(&fleet, "stock", "4000", c->slow_us, SLOW_CALLS);
    ck_assert_msg(served == SLOW_CALLS, "%s: %d served at first", c->name,
                  served);
    change(&fleet, c, name, sizeof name);
    Fleet_Sleep(APPLY_WAIT);
    served = send_calls(&fleet, name, c->deadline, "1000", CALLS);
    ck_assert_msg(served == CALLS, "%s: %d of %d served", c->name, served,
                  CALLS);
    StrBuf_Finish(&routes);
    Fleet_Finish(&fleet);
}
END_TEST

int
main(int argc, char **argv)
{
    const SuiteTest tests[] = {
        {serves_route_that_is_quick_again, ROWS(cases)}};

    build = Suite_GetBuildFolder(argc, argv);
    return Suite_Run("quick again", tests, 1, 60);
}
