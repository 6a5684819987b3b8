/* demo: calls a fleet, then compares the outcomes that the callers received
 * with the effects that the fake backend servers recorded; see scripts/demo.
 *
 * Exits with 1 if a call had two effects, if an outcome contradicts the
 * effects, if an answer belongs to another call, if no call was answered, or
 * if a file of effects cannot be read.
 */
#include <argtable2.h>
#include <signal.h>
#include <stdio.h>

#include "demo_calls.h"

enum {
    EFFECTS_FILES_MAX = 32,
    DEFAULT_SECONDS = 20,
    DEFAULT_RATE = 100,
    SEED = 7
};

typedef struct {
    size_t answered;
    size_t not_run;
    size_t unknown;
    size_t duplicated;   /* calls with more than one effect */
    size_t inconsistent; /* see is_inconsistent */
} Summary;

/* Returns whether the outcome contradicts the effects or the answer belongs to
 * another call.  A read has no effects. */
static bool
is_inconsistent(const DmoCall *call)
{
    if (call->mismatched) {
        return true;
    }
    if (call->kind == Dmo_READ) {
        return false;
    }
    return (call->outcome == Dmo_ANSWERED && call->effects == 0) ||
           (call->outcome == Dmo_NOT_RUN && call->effects > 0);
}

static void
check_call(const DmoCall *call, Summary *summary)
{
    static const char *const kinds[] = {"read", "dispatch", "weighing"};
    static const char *const outcomes[] = {"nothing", "a whole answer",
                                           "not run", "unknown"};
    bool inconsistent = is_inconsistent(call);
    bool duplicated = call->effects > 1;

    summary->answered += call->outcome == Dmo_ANSWERED;
    summary->not_run += call->outcome == Dmo_NOT_RUN;
    summary->unknown += call->outcome == Dmo_UNKNOWN;
    summary->inconsistent += inconsistent;
    summary->duplicated += duplicated;
    if (inconsistent || duplicated) {
        printf("demo: %s demo-%zu: told %s%s, %u effects\n", kinds[call->kind],
               call->number, outcomes[call->outcome],
               call->mismatched ? " (to another call)" : "", call->effects);
    }
}

static int
summarize(const Demo *demo)
{
    Summary summary = {0};

    for (size_t i = 0; i < demo->started_count; i++) {
        check_call(&demo->calls[i], &summary);
    }
    printf("demo: %zu calls, %zu whole answers, %zu not run, %zu unknown, "
           "%zu doubled\n",
           demo->started_count, summary.answered, summary.not_run,
           summary.unknown, summary.duplicated);
    return summary.duplicated || summary.inconsistent || summary.answered == 0;
}

static int
run(Demo *demo, int duration_s, int rate, struct arg_file *effects)
{
    int status = 0;

    Rng_Init(&demo->rng, SEED);
    if (!Loop_Init(&demo->loop, NULL)) {
        return 1;
    }
    Dmo_Run(demo, (size_t)duration_s * (size_t)rate, Span_S(1) / rate);
    for (int i = 0; i < effects->count; i++) {
        if (!Dmo_CountEffects(demo, Str_FromC(effects->filename[i]))) {
            fprintf(stderr, "demo: cannot read %s\n", effects->filename[i]);
            status = 1;
        }
    }
    status |= summarize(demo);
    Dmo_Finish(demo);
    Loop_Finish(&demo->loop);
    Rng_Finish(&demo->rng);
    return status;
}

int
main(int argc, char **argv)
{
    struct arg_str *nodes = arg_strn(NULL, "node", "IP:PORT", 1, Dmo_NODES_MAX,
                                     "caller address of a node");
    struct arg_file *effects =
        arg_filen(NULL, "effects", "FILE", 1, EFFECTS_FILES_MAX,
                  "effects file of a backend server");
    struct arg_int *duration_s =
        arg_int0(NULL, "seconds", "S", "duration in seconds (default: 20)");
    struct arg_int *rate =
        arg_int0(NULL, "rate", "N", "calls per second (default: 100)");
    struct arg_end *end = arg_end(8);
    void *table[] = {nodes, effects, duration_s, rate, end};
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
    return run(&demo,
               duration_s->count ? duration_s->ival[0] : DEFAULT_SECONDS,
               rate->count ? rate->ival[0] : DEFAULT_RATE, effects);
}
