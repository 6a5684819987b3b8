/* demo: calls a fleet, then compares what the callers were told with the
 * effects that the fake backend servers wrote; see scripts/demo. */
#include <argtable2.h>
#include <signal.h>
#include <stdio.h>

#include "demo_calls.h"

enum { FILES_MAX = 32, SECONDS = 20, RATE = 100, SEED = 7 };

typedef struct {
    size_t whole;
    size_t not_run;
    size_t unknown;
    size_t doubled;
    size_t wrong;
} Verdict;

static bool
is_wrong(const DmoCall *call)
{
    if (call->foreign) {
        return true;
    }
    if (call->kind == Dmo_READ) {
        return false;
    }
    return (call->outcome == Dmo_WHOLE && call->effects == 0) ||
           (call->outcome == Dmo_NOT_RUN && call->effects > 0);
}

static void
judge(const DmoCall *call, Verdict *verdict)
{
    static const char *const kinds[] = {"read", "dispatch", "weighing"};
    static const char *const told[] = {"nothing", "a whole answer", "not run",
                                       "unknown"};
    bool wrong = is_wrong(call);
    bool doubled = call->effects > 1;

    verdict->whole += call->outcome == Dmo_WHOLE;
    verdict->not_run += call->outcome == Dmo_NOT_RUN;
    verdict->unknown += call->outcome == Dmo_UNKNOWN;
    verdict->wrong += wrong;
    verdict->doubled += doubled;
    if (wrong || doubled) {
        printf("demo: %s demo-%zu: told %s%s, %u effects\n", kinds[call->kind],
               call->number, told[call->outcome],
               call->foreign ? " (to another call)" : "", call->effects);
    }
}

static int
conclude(const Demo *demo)
{
    Verdict verdict = {0};

    for (size_t i = 0; i < demo->started; i++) {
        judge(&demo->calls[i], &verdict);
    }
    printf("demo: %zu calls, %zu whole answers, %zu not run, %zu unknown, "
           "%zu doubled\n",
           demo->started, verdict.whole, verdict.not_run, verdict.unknown,
           verdict.doubled);
    return verdict.doubled || verdict.wrong || verdict.whole == 0;
}

static int
run(Demo *demo, int seconds, int rate, struct arg_file *effects)
{
    int status = 0;

    Rng_Init(&demo->rng, SEED);
    if (!Loop_Init(&demo->loop, NULL)) {
        return 1;
    }
    Dmo_Run(demo, (size_t)seconds * (size_t)rate, Span_S(1) / rate);
    for (int i = 0; i < effects->count; i++) {
        if (!Dmo_CountEffects(demo, Str_FromC(effects->filename[i]))) {
            fprintf(stderr, "demo: cannot read %s\n", effects->filename[i]);
            status = 1;
        }
    }
    status |= conclude(demo);
    Dmo_Finish(demo);
    Loop_Finish(&demo->loop);
    Rng_Finish(&demo->rng);
    return status;
}

int
main(int argc, char **argv)
{
    struct arg_str *nodes = arg_strn(NULL, "node", "IP:PORT", 1, Dmo_NODES_MAX,
                                     "callers' address of a node");
    struct arg_file *effects = arg_filen(NULL, "effects", "FILE", 1, FILES_MAX,
                                         "effects of a backend server");
    struct arg_int *seconds = arg_int0(NULL, "seconds", "S", "length (20)");
    struct arg_int *rate = arg_int0(NULL, "rate", "N", "calls a second (100)");
    struct arg_end *end = arg_end(8);
    void *table[] = {nodes, effects, seconds, rate, end};
    static Demo demo;
    int errors = arg_parse(argc, argv, table);

    signal(SIGPIPE, SIG_IGN);
    for (int i = 0; !errors && i < nodes->count; i++) {
        errors += !Addr_Parse(Str_FromC(nodes->sval[i]), &demo.nodes[i]);
    }
    if (errors) {
        arg_print_errors(stderr, end, "demo");
        arg_print_glossary(stderr, table, "  %-24s %s\n");
        return 2;
    }
    demo.node_count = (size_t)nodes->count;
    return run(&demo, seconds->count ? seconds->ival[0] : SECONDS,
               rate->count ? rate->ival[0] : RATE, effects);
}
