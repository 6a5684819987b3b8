/* bench: compares placement policies in a simulation of the deciders.
 *
 * A set is a table of cases that differ in one parameter.  Each case is run
 * under each policy in turn, within one run of the program.  Prints a table to
 * standard output and writes one line of JSON per case and policy to the file
 * of --json.
 */
#include <argtable2.h>
#include <jansson.h>
#include <stdio.h>

#include "bench.h"

#define ARRAY_COUNT(table) (sizeof(table) / sizeof(table)[0])

typedef struct {
    PlacementPolicy policy;
    const char *name;
} PolicyName;

static const PolicyName policies[] = {
    {Plc_RANDOM, "random"},
    {Plc_ROUND_ROBIN, "round-robin"},
    {Plc_LEAST_IN_FLIGHT, "least-mine"},
    {Plc_TWO_CHOICES, "two-choices"},
    {Plc_LEAST_WAIT, "ours"},
};

static const char *const disturbance_names[Bnc_DISTURBANCE_COUNT] = {
    "quiet", "noisy", "cold", "drain", "fail", "lie", "slow"};

static const BncFleet fleets[] = {
    {Str_LIT("visor"), 5, 9, 13},
    {Str_LIT("dossiers"), 6, 6, 14},
    {Str_LIT("target"), 13, 9, 68},
};

/* The parameters that sets vary, besides the policy. */
typedef struct {
    const char *name;
    double load;
    Span hedge_delay;
    uint32_t fleet_index; /* index in fleets */
    uint32_t regions;
    BncDisturbance disturbance;
    uint32_t hedge_permille;
    bool exponential_service;
    bool default_policy_only; /* skip all but Plc_LEAST_WAIT */
} BenchRow;

static const BenchRow loads[] = {
#define LOADS(fleet, regions)                                                 \
    {"loads", 0.50, 0, fleet, regions, Bnc_NOISY, 0, false, false},           \
        {"loads", 0.80, 0, fleet, regions, Bnc_NOISY, 0, false, false},       \
        {"loads", 0.95, 0, fleet, regions, Bnc_NOISY, 0, false, false},       \
    {                                                                         \
        "loads", 1.20, 0, fleet, regions, Bnc_NOISY, 0, false, false          \
    }
    LOADS(0, 1), LOADS(1, 1), LOADS(0, 2), LOADS(1, 2), LOADS(2, 2),
};

static const BenchRow disturbances[] = {
#define DISTURBED(disturbance)                                                \
    {"disturbances", 0.80, 0, 0, 1, disturbance, 0, false, false},            \
    {                                                                         \
        "disturbances", 0.80, 0, 1, 2, disturbance, 0, false, false           \
    }
    DISTURBED(Bnc_UNDISTURBED),
    DISTURBED(Bnc_COLD_START),
    DISTURBED(Bnc_DRAIN),
    DISTURBED(Bnc_FAIL),
    DISTURBED(Bnc_OVERSTATED_SLOTS),
    DISTURBED(Bnc_SLOW),
};

static const BenchRow spreads[] = {
    {"spread", 0.80, 0, 0, 1, Bnc_NOISY, 0, true, false},
    {"spread", 0.80, 0, 1, 2, Bnc_NOISY, 0, true, false},
};

static const BenchRow hedges[] = {
#define HEDGED(load, permille, delay)                                         \
    {"hedges", load, delay, 0, 1, Bnc_NOISY, permille, false, true},          \
    {                                                                         \
        "hedges", load, delay, 0, 1, Bnc_NOISY, permille, true, true          \
    }
    HEDGED(0.80, 0, 0),
    HEDGED(0.80, 50, Span_MS(15)),
    HEDGED(0.80, 50, Span_MS(25)),
    HEDGED(1.20, 0, 0),
    HEDGED(1.20, 50, Span_MS(15)),
    HEDGED(1.20, 50, Span_MS(25)),
};

typedef struct {
    const char *name;
    const BenchRow *rows;
    size_t count;
} BenchSet;

static const BenchSet sets[] = {
    {"loads", loads, ARRAY_COUNT(loads)},
    {"disturbances", disturbances, ARRAY_COUNT(disturbances)},
    {"spread", spreads, ARRAY_COUNT(spreads)},
    {"hedges", hedges, ARRAY_COUNT(hedges)},
};

typedef struct {
    FILE *json_file; /* NULL: no JSON is written */
    uint64_t seed;
    Span duration;
    int sample_size;
    int retry_permille;
} BenchOptions;

static void
write_json(const BenchOptions *options, const BenchRow *row, const BncCase *c,
           const char *policy, const BncResult *r)
{
    json_t *shares = json_array();
    json_t *line;

    for (int i = 0; i < Bnc_SHARE_STEPS; i++) {
        json_array_append_new(shares, json_real(r->first_server_share[i]));
    }
    line = json_pack(
        "{s:s, s:s%, s:i, s:s, s:f, s:s, s:s, s:I, s:f, s:f, s:f, s:I, s:I,"
        " s:I, s:I, s:I, s:I, s:I, s:I, s:I, s:I, s:I, s:I, s:f, s:i, s:I,"
        " s:o}",
        "set", row->name, "fleet", c->fleet.name.ptr, c->fleet.name.len,
        "regions", (int)c->regions, "service",
        c->exponential_service ? "exponential" : "uniform", "load", c->load,
        "disturbance", disturbance_names[c->disturbance], "policy", policy,
        "seed", (json_int_t)c->seed, "p50_ms", r->p50_ms, "p99_ms", r->p99_ms,
        "p999_ms", r->p999_ms, "interactive_calls",
        (json_int_t)r->calls[Adm_INTERACTIVE], "interactive_good",
        (json_int_t)r->good[Adm_INTERACTIVE], "patient_calls",
        (json_int_t)r->calls[Adm_PATIENT], "patient_good",
        (json_int_t)r->good[Adm_PATIENT], "failed", (json_int_t)r->failed,
        "not_run", (json_int_t)r->not_run, "shed", (json_int_t)r->shed,
        "refusals", (json_int_t)r->refusals, "attempts",
        (json_int_t)r->attempts, "retries", (json_int_t)r->retries, "hedges",
        (json_int_t)r->hedges, "crossings",
        (json_int_t)r->cross_region_attempts, "measure_link_bytes_s",
        r->report_link_bytes_per_s, "ejected_max", (int)r->ejected_max,
        "hedge_delay_us", (json_int_t)c->hedge_delay, "share_of_first",
        shares);
    json_dumpf(line, options->json_file, JSON_COMPACT);
    fputc('\n', options->json_file);
    json_decref(line);
}

static void
print_header(void)
{
    printf("%-9s %s %-7s %4s %-6s %-11s %7s %7s %8s %9s %9s %7s %7s %7s %6s "
           "%7s %8s\n",
           "fleet", "rg", "service", "load", "dist", "policy", "p50 ms",
           "p99 ms", "p99.9 ms", "int.good/s", "pat.good/s", "failed",
           "refused", "retries", "hedges", "across", "meas.B/s");
}

static void
print_row(const BncCase *c, const char *policy, const BncResult *r)
{
    double seconds = (double)c->duration / 1e6;

    printf("%-9.*s %2u %-7.7s %3.0f%% %-6s %-11s %7.2f %7.2f %8.2f %9.0f "
           "%9.0f %7llu %7llu %7llu %6llu %7llu %8.0f\n",
           Str_ARG(c->fleet.name), c->regions,
           c->exponential_service ? "exponential" : "uniform", c->load * 100,
           disturbance_names[c->disturbance], policy, r->p50_ms, r->p99_ms,
           r->p999_ms, (double)r->good[Adm_INTERACTIVE] / seconds,
           (double)r->good[Adm_PATIENT] / seconds,
           (unsigned long long)r->failed, (unsigned long long)r->refusals,
           (unsigned long long)r->retries, (unsigned long long)r->hedges,
           (unsigned long long)r->cross_region_attempts,
           r->report_link_bytes_per_s);
}

static void
run_case(const BenchOptions *options, const BenchRow *row,
         const PolicyName *policy)
{
    BncResult result;
    BncCase c = {
        .fleet = fleets[row->fleet_index],
        .regions = row->regions,
        .exponential_service = row->exponential_service,
        .load = row->load,
        .patient_permille = 300,
        .duration = options->duration,
        .policy = policy->policy,
        .disturbance = row->disturbance,
        .retry_permille = (uint32_t)options->retry_permille,
        .hedge_permille = row->hedge_permille,
        .hedge_delay = row->hedge_delay,
        .sample_size = (uint32_t)options->sample_size,
        .seed = options->seed,
    };

    Bnc_Run(&c, &result);
    print_row(&c, policy->name, &result);
    if (options->json_file) {
        write_json(options, row, &c, policy->name, &result);
    }
}

static void
run_set(const BenchOptions *options, const BenchSet *set)
{
    printf("\nset %s, seed %llu, %.0f s a case\n", set->name,
           (unsigned long long)options->seed, (double)options->duration / 1e6);
    print_header();
    for (size_t i = 0; i < set->count; i++) {
        for (size_t k = 0; k < ARRAY_COUNT(policies); k++) {
            if (!set->rows[i].default_policy_only ||
                policies[k].policy == Plc_LEAST_WAIT) {
                run_case(options, &set->rows[i], &policies[k]);
            }
        }
    }
}

int
main(int argc, char **argv)
{
    struct arg_str *set_name =
        arg_str0(NULL, "set", "NAME",
                 "set to run: loads, disturbances, spread or hedges");
    struct arg_int *seed =
        arg_int0(NULL, "seed", "N", "random seed (default: 1)");
    struct arg_int *seconds = arg_int0(
        NULL, "seconds", "N", "simulated seconds per case (default: 20)");
    struct arg_int *sample_size = arg_int0(
        NULL, "sample", "N", "rows that our policy compares (default: 4)");
    struct arg_int *retries =
        arg_int0(NULL, "retry-permille", "N", "retry budget (default: 100)");
    struct arg_file *file = arg_file0(NULL, "json", "FILE",
                                      "write one JSON line per case to FILE");
    struct arg_end *end = arg_end(8);
    void *table[] = {set_name, seed, seconds, sample_size, retries, file, end};
    BenchOptions options = {.seed = 1,
                            .duration = Span_S(20),
                            .sample_size = 4,
                            .retry_permille = 100};

    if (arg_parse(argc, argv, table)) {
        arg_print_errors(stderr, end, "bench");
        arg_print_glossary(stderr, table, "  %-24s %s\n");
        return 2;
    }
    options.seed = seed->count ? (uint64_t)seed->ival[0] : options.seed;
    options.duration =
        seconds->count ? Span_S(seconds->ival[0]) : options.duration;
    options.sample_size =
        sample_size->count ? sample_size->ival[0] : options.sample_size;
    options.retry_permille =
        retries->count ? retries->ival[0] : options.retry_permille;
    if (file->count) {
        options.json_file = fopen(file->filename[0], "w");
    }
    for (size_t i = 0; i < ARRAY_COUNT(sets); i++) {
        if (!set_name->count ||
            Str_Equal(Str_FromC(set_name->sval[0]), Str_FromC(sets[i].name))) {
            run_set(&options, &sets[i]);
        }
    }
    if (options.json_file) {
        fclose(options.json_file);
    }
    arg_freetable(table, ARRAY_COUNT(table));
    return 0;
}
