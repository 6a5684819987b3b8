/* The bytes that the link between regions carries for a change of the routing:
 * not one copy for each node of the other region.
 */
#include <stdio.h>

#include "operators.h"
#include "support/suite.h"

#define ROWS(table) (int)(sizeof(table) / sizeof(table)[0])

enum { SUBNET = 92, VMS = 16, REPLICAS = 5, CHANGES = 10, ROUTES = 100 };

/* The copies of a change that may cross, both ways: to at most three replicas
 * of the other region, and from one to a leader there. */
enum { COPIES_MAX = 4 };

static Str build;

static const Str preset =
    Str_LIT("{\"name\":\"ordinary\",\"limits\":{},\"routes\":[]}");

static const int gaps_ms[] = {100, 700}; /* between two changes */

static void
append_routes(StrBuf *out)
{
    for (int i = 0; i < ROUTES; i++) {
        StrBuf_AppendFmt(out,
                         "%s{\"name\":\"r%d\",\"host\":\"a.example\","
                         "\"path\":\"/n%d/\",\"kind\":\"idempotent\","
                         "\"deadline_ms\":300,\"objective_ms\":100,"
                         "\"priority\":1,\"service\":\"visor\","
                         "\"attempts_max\":2}",
                         i ? "," : "", i, i);
    }
}

static uint64_t
read_bytes(Fleet *fleet)
{
    return Fleet_ReadPipeBytes(fleet, Str_LIT("norte>litoral")) +
           Fleet_ReadPipeBytes(fleet, Str_LIT("litoral>norte"));
}

static void
start_fleet(Fleet *fleet)
{
    OpsVersionWatch watch = {0};

    Fleet_Init(fleet, build, SUBNET, VMS, REPLICAS);
    Fleet_SetPreset(fleet, preset);
    Fleet_SetExtraSettings(fleet, Str_LIT("\"operators_open\":true"));
    Fleet_UseProxy(fleet);
    Fleet_SendProxyCommand(fleet, Str_LIT("delay norte>litoral 12000\n"
                                          "delay litoral>norte 12000"));
    for (int vm = 0; vm < VMS; vm++) {
        Fleet_StartNode(fleet, vm);
    }
    ck_assert_int_ge(
        Ops_WaitForVersion(fleet, &watch, (ConfigVersion){1, 1}, Span_S(10)),
        0);
}

START_TEST(each_node_of_the_other_region_gets_its_own_copy)
{
    Fleet fleet;
    StrBuf routes = {0};
    uint64_t carried;
    uint64_t idle; /* bytes in such a time without changes */

    start_fleet(&fleet);
    append_routes(&routes);
    carried = read_bytes(&fleet);
    Fleet_Sleep(Span_S(1));
    idle = (read_bytes(&fleet) - carried) * CHANGES * (uint64_t)gaps_ms[_i] /
           1000;
    carried = read_bytes(&fleet);
    for (int i = 1; i <= CHANGES; i++) {
        Ops_PutRoutes(&fleet, i, i - 1, StrBuf_View(&routes));
        Fleet_Sleep(Span_MS(gaps_ms[_i]));
    }
    carried = read_bytes(&fleet) - carried;
    ck_assert_msg(
        carried < 2 * idle + (uint64_t)COPIES_MAX * CHANGES * routes.len,
        "%lu bytes, %lu without changes, for %d changes of %zu bytes",
        (unsigned long)carried, (unsigned long)idle, CHANGES, routes.len);
    StrBuf_Finish(&routes);
    Fleet_Finish(&fleet);
}
END_TEST

int
main(int argc, char **argv)
{
    const SuiteTest tests[] = {
        {each_node_of_the_other_region_gets_its_own_copy, ROWS(gaps_ms)}};

    build = Suite_GetBuildFolder(argc, argv);
    return Suite_Run("region bytes", tests, 1, 60);
}
