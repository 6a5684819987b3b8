/* Requests are served from end to end by separate processes: node, control
 * replicas and backend servers.  Every node gives the same answer. */
#include "fleet.h"
#include "support/suite.h"

static Str build;

typedef struct {
    Str method;
    Str path;
    Str body;
    long status;
    Str outcome;
} PathCase;

static const PathCase cases[] = {
    {Str_LIT("GET"), Str_LIT("/visor/barn/7"), {0}, 200, Str_LIT("ran")},
    {Str_LIT("POST"), Str_LIT("/despachos/orders"), Str_LIT("lot=4"), 200,
     Str_LIT("ran")},
    {Str_LIT("GET"), Str_LIT("/nowhere"), {0}, 404, Str_LIT("not-run")},
};

enum { CASE_COUNT = sizeof cases / sizeof cases[0], VMS = 4 };

static void
start_fleet(Fleet *fleet)
{
    Fleet_Init(fleet, build, 11, VMS, 3);
    for (int i = 0; i < VMS; i++) {
        Fleet_StartNode(fleet, i);
    }
    Fleet_Sleep(Span_MS(200));
    Fleet_StartBackend(fleet, 0, Str_LIT("visor"), (Str){0});
    Fleet_StartBackend(fleet, 1, Str_LIT("despachos"), (Str){0});
    ck_assert(
        Fleet_WaitForPath(fleet, 3, Str_LIT("/visor/ready"), Span_S(10)));
    Fleet_Sleep(Span_MS(500));
}

START_TEST(request_is_served_through_every_node)
{
    Fleet fleet;

    start_fleet(&fleet);
    for (int vm = 0; vm < VMS; vm++) {
        const PathCase *c = &cases[_i];
        FleetAnswer answer;
        Fleet_Call(&fleet, vm, c->method, c->path, (Str){0}, c->body, &answer);
        ck_assert_int_eq(answer.status, c->status);
        ck_assert(answer.is_complete);
        ck_assert(Str_Equal(StrBuf_View(&answer.outcome), c->outcome));
        Fleet_FinishAnswer(&answer);
    }
    Fleet_Finish(&fleet);
}
END_TEST

int
main(int argc, char **argv)
{
    const SuiteTest tests[] = {
        {request_is_served_through_every_node, CASE_COUNT}};

    build = Suite_GetBuildFolder(argc, argv);
    return Suite_Run("whole path", tests, 1, 60);
}
