/* Measuring stays under its budget at peak, and calls need none of it. */
#include "fleet.h"
#include "support/suite.h"

/* Between calls: so few that reports which ride on answers grow stale. */
#define PAUSE Span_MS(25)

static Str build;

typedef struct {
    Str limits; /* of the preset */
    uint64_t bytes_per_s;
    bool probes; /* some are sent */
} BudgetCase;

static const BudgetCase cases[] = {
    {Str_LIT("\"measure_bytes_per_s\":300"), 300, true},
    {Str_LIT("\"measure_bytes_per_s\":0"), 0, false},
    {Str_LIT("\"measure_cpu_permille\":0"), 2000, false},
};

enum { CASE_COUNT = sizeof cases / sizeof cases[0], VMS = 4, CALLS = 160 };

static void
set_preset(Fleet *fleet, Str limits)
{
    StrBuf json = {0};

    StrBuf_AppendFmt(&json,
                     "{\"name\":\"peak\",\"limits\":{%.*s},\"routes\":[{"
                     "\"service\":\"visor\",\"route\":\"read\",\"path\":"
                     "\"/visor/\",\"interactive\":true,\"idempotent\":true}]}",
                     Str_ARG(limits));
    Fleet_SetPreset(fleet, StrBuf_View(&json));
    StrBuf_Finish(&json);
}

static void
start_fleet(Fleet *fleet, Str limits)
{
    Fleet_Init(fleet, build, 40, VMS, 3);
    set_preset(fleet, limits);
    for (int i = 0; i < VMS; i++) {
        Fleet_StartNode(fleet, i);
    }
    Fleet_Sleep(Span_MS(200));
    for (int i = 0; i < VMS; i++) {
        Fleet_StartBackend(fleet, i, Str_LIT("visor"),
                           Str_LIT("--service-us 1000"));
    }
    for (int i = 0; i < VMS; i++) {
        ck_assert(Fleet_WaitFor(fleet, i, Str_LIT("/visor/a"), Span_S(10)));
    }
    Fleet_Sleep(Span_MS(500));
}

START_TEST(stays_under_its_budget)
{
    const BudgetCase *c = &cases[_i];
    uint64_t before[VMS];
    uint64_t bytes;
    uint64_t sent = 0;
    Span took = 0;
    Fleet fleet;

    start_fleet(&fleet, c->limits);
    for (int vm = 0; vm < VMS; vm++) {
        before[vm] = Fleet_Counter(&fleet, vm,
                                   Str_LIT("lycheeridge_measure_bytes_total"));
    }
    for (int i = 0; i < CALLS; i++) {
        FleetAnswer answer;
        Fleet_Call(&fleet, i % VMS, Str_LIT("GET"), Str_LIT("/visor/a"),
                   (Str){0}, (Str){0}, &answer);
        ck_assert_int_eq(answer.status, 200);
        ck_assert(answer.whole);
        took += answer.took;
        Fleet_FinishAnswer(&answer);
        Fleet_Sleep(PAUSE);
        took += PAUSE;
    }
    for (int vm = 0; vm < VMS; vm++) {
        bytes = Fleet_Counter(&fleet, vm,
                              Str_LIT("lycheeridge_measure_bytes_total")) -
                before[vm];
        /* One second's worth may be spent at once; counters are read within
         * another. */
        ck_assert_msg(bytes <= c->bytes_per_s * (uint64_t)(took / 1000000 + 3),
                      "%d bytes in %d ms", (int)bytes, (int)(took / 1000));
        sent += bytes;
    }
    ck_assert_int_eq(sent > 0, c->probes);
    Fleet_Finish(&fleet);
}
END_TEST

int
main(int argc, char **argv)
{
    const SuiteTest tests[] = {{stays_under_its_budget, CASE_COUNT}};

    build = Suite_Build(argc, argv);
    return Suite_Run("measure budget", tests, 1, 60);
}
