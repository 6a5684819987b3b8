/* The fault proxy applies its commands to connections, and rejects wrong
 * ones. */
#include "fleet.h"
#include "support/suite.h"

static Str build;

typedef struct {
    Str command;
    Str headers;
    long status;       /* 0: no complete answer within the timeout */
    Span duration_min; /* until the complete answer, or the timeout */
    Span duration_max;
} ProxyCase;

static const ProxyCase cases[] = {
    {Str_LIT("pass *"), Str_LIT(""), 200, 0, Span_MS(500)},
    {Str_LIT("delay norte>* 150000"), Str_LIT(""), 200, Span_MS(300),
     Span_MS(900)},
    {Str_LIT("rate norte>norte 200000"), Str_LIT("X-Fake-Size: 100000"), 200,
     Span_MS(400), Span_MS(1500)},
    {Str_LIT("delay b1* 200000"), Str_LIT(""), 200, Span_MS(400),
     Span_MS(1200)},
    {Str_LIT("hold n0-1 back"), Str_LIT(""), 0, Span_MS(1400), Span_S(3)},
    {Str_LIT("hold n0-1 forward"), Str_LIT(""), 0, Span_MS(1400), Span_S(3)},
    {Str_LIT("hold b1 both"), Str_LIT(""), 0, Span_MS(1400), Span_S(3)},
};

enum { CASE_COUNT = sizeof cases / sizeof cases[0] };

START_TEST(applies_commands_to_connections)
{
    const ProxyCase *c = &cases[_i];
    FleetRequest request = {
        .method = Str_LIT("GET"),
        .path = Str_LIT("/visor/barn/7"),
        .headers = c->headers,
        .timeout = Span_MS(1500),
    };
    Fleet fleet;
    FleetAnswer answer;

    Fleet_Init(&fleet, build, 50, 2, 1);
    Fleet_SetExtraSettings(&fleet, Str_LIT("\"silence_ms\":5000"));
    Fleet_UseProxy(&fleet);
    Fleet_StartNode(&fleet, 0);
    Fleet_StartNode(&fleet, 1);
    Fleet_StartBackend(&fleet, 1, Str_LIT("visor"), (Str){0});
    ck_assert(
        Fleet_WaitForPath(&fleet, 0, Str_LIT("/visor/ready"), Span_S(10)));
    ck_assert(Fleet_SendProxyCommand(&fleet, c->command));
    Fleet_Send(&fleet, 0, &request, &answer);
    ck_assert_int_eq(answer.is_complete ? answer.status : 0, c->status);
    ck_assert_int_ge(answer.duration, c->duration_min);
    ck_assert_int_le(answer.duration, c->duration_max);
    Fleet_FinishAnswer(&answer);
    ck_assert(Fleet_SendProxyCommand(&fleet, Str_LIT("pass *")));
    ck_assert(
        Fleet_WaitForPath(&fleet, 0, Str_LIT("/visor/ready"), Span_S(10)));
    Fleet_Finish(&fleet);
}
END_TEST

START_TEST(rejects_invalid_commands)
{
    static const Str invalid[] = {
        Str_LIT("melt n0-1 both"),     Str_LIT("freeze n0-1"),
        Str_LIT("freeze n0-9 both"),   Str_LIT("delay norte>norte soon"),
        Str_LIT("freeze n0-1 inside"), Str_LIT("add x 127.0.50.200:1"),
    };
    Fleet fleet;

    Fleet_Init(&fleet, build, 50, 2, 1);
    Fleet_UseProxy(&fleet);
    for (size_t i = 0; i < sizeof invalid / sizeof invalid[0]; i++) {
        ck_assert(!Fleet_SendProxyCommand(&fleet, invalid[i]));
    }
    Fleet_Finish(&fleet);
}
END_TEST

int
main(int argc, char **argv)
{
    const SuiteTest tests[] = {{applies_commands_to_connections, CASE_COUNT},
                               {rejects_invalid_commands, 1}};

    build = Suite_GetBuildFolder(argc, argv);
    return Suite_Run("fault proxy", tests, 2, 60);
}
