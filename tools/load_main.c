/* load: makes an open-loop HTTP load through nodes or, in the same run, in
 * turn through nodes and directly to backend servers.  Prints a line of JSON
 * for each of the two, and checks the outcomes that callers received against
 * the effects that the backend servers recorded.
 *
 * Exits with 1 if a call had two effects, if an outcome contradicts the
 * effects, if a group had no good answer, or if a file of effects cannot be
 * read.
 */
#include <argtable2.h>
#include <gsl/gsl_sort.h>
#include <gsl/gsl_statistics.h>
#include <jansson.h>
#include <signal.h>
#include <stdio.h>

#include "load_calls.h"
#include "process/settings/settings.h"
#include "value/mem.h"

enum { EFFECTS_FILES_MAX = 64, DEFAULT_BODY_BYTES = 5 };

typedef struct {
    size_t calls;
    size_t good;
    size_t not_run;
    size_t unanswered;
    size_t errors;
    size_t duplicated;
    size_t inconsistent; /* answered without an effect, or not run with one */
} Tally;

static bool
read_targets(LodGroup *group, const struct arg_str *args)
{
    for (int i = 0; i < args->count; i++) {
        if (!Addr_Parse(Str_FromC(args->sval[i]),
                        &group->targets[group->count++].addr)) {
            fprintf(stderr, "load: %s is not an IP:PORT address\n",
                    args->sval[i]);
            return false;
        }
    }
    return true;
}

/* Counts the effects in TEXT, whose lines read "load-RUN_ID-NUMBER
 * REQUEST-ID". */
static void
count_effects(Load *load, Str text)
{
    StrBuf start = {0};
    Str prefix;

    StrBuf_AppendFmt(&start, "load-%llu-", (unsigned long long)load->run_id);
    prefix = StrBuf_View(&start);
    while (text.len) {
        size_t end = Str_Find(text, '\n');
        Str line = Str_Slice(text, 0, end);
        Str key = Str_Slice(line, 0, Str_Find(line, ' '));
        uint64_t number = 0;
        if (Str_StartsWith(key, prefix) &&
            Str_ToU64(Str_Slice(key, prefix.len, key.len), &number) &&
            number < load->count) {
            load->calls[number].effects++;
        }
        text = Str_Slice(text, end + 1, text.len);
    }
    StrBuf_Finish(&start);
}

static bool
read_effects(Load *load, const struct arg_file *files)
{
    for (int i = 0; i < files->count; i++) {
        StrBuf text = {0};
        if (!Set_ReadFile(Str_FromC(files->filename[i]), &text, NULL)) {
            fprintf(stderr, "load: cannot read %s\n", files->filename[i]);
            return false;
        }
        count_effects(load, StrBuf_View(&text));
        StrBuf_Finish(&text);
    }
    return true;
}

static void
tally_call(Tally *tally, const LodCall *call, bool checked)
{
    bool good = call->status == 200;

    tally->calls++;
    tally->good += good;
    tally->not_run += call->not_run;
    tally->unanswered += call->status == 0;
    tally->errors += call->status >= 400 && !call->not_run;
    if (checked && call->kind == Lod_BOOKING) {
        tally->duplicated += call->effects > 1;
        tally->inconsistent += (good && call->effects == 0) ||
                               (call->not_run && call->effects > 0);
    }
}

/* Fills TIMES with the latencies of good answers to one kind of call, in
 * milliseconds and ascending, and returns their number. */
static size_t
collect_times(const Load *load, uint8_t group, LodCallKind kind, double *times)
{
    size_t count = 0;

    for (size_t i = 0; i < load->count; i++) {
        const LodCall *call = &load->calls[i];
        if (call->group == group && call->kind == kind &&
            call->status == 200) {
            times[count++] = (double)(call->ended_at - call->due_at) / 1e3;
        }
    }
    gsl_sort(times, 1, count);
    return count;
}

static json_t *
pack_times(const double *times, size_t count)
{
    static const double quantiles[] = {0.5, 0.99, 0.999};
    double values[3] = {0};

    for (int i = 0; count && i < 3; i++) {
        values[i] =
            gsl_stats_quantile_from_sorted_data(times, 1, count, quantiles[i]);
    }
    return json_pack("{s:I, s:f, s:f, s:f}", "whole", (json_int_t)count,
                     "p50_ms", values[0], "p99_ms", values[1], "p999_ms",
                     values[2]);
}

static size_t
print_group(const Load *load, uint8_t group, const char *label, bool checked)
{
    static const char *const names[] = {"nodes", "straight"};
    double *times = Mem_Alloc(load->count + 1, sizeof *times);
    Tally tally = {0};
    json_t *reads;
    json_t *bookings;
    json_t *line;

    for (size_t i = 0; i < load->count; i++) {
        if (load->calls[i].group == group) {
            tally_call(&tally, &load->calls[i], checked);
        }
    }
    reads = pack_times(times, collect_times(load, group, Lod_READ, times));
    bookings =
        pack_times(times, collect_times(load, group, Lod_BOOKING, times));
    line = json_pack(
        "{s:s, s:s, s:I, s:I, s:I, s:I, s:I, s:I, s:I, s:I, s:o, s:o}",
        "label", label, "way", names[group], "seed", (json_int_t)load->seed,
        "calls", (json_int_t)tally.calls, "good", (json_int_t)tally.good,
        "not_run", (json_int_t)tally.not_run, "errors",
        (json_int_t)tally.errors, "unanswered", (json_int_t)tally.unanswered,
        "doubled", (json_int_t)tally.duplicated, "wrong",
        (json_int_t)tally.inconsistent, "reads", reads, "bookings", bookings);
    json_dumpf(line, stdout, JSON_COMPACT | JSON_REAL_PRECISION(6));
    printf("\n");
    json_decref(line);
    Mem_Free(times);
    return tally.duplicated + tally.inconsistent + (tally.good == 0);
}

static void
fill_body(StrBuf *body, int bytes)
{
    for (int i = 0; i < bytes; i++) {
        StrBuf_Append(body, Str_LIT("x"));
    }
}

int
main(int argc, char **argv)
{
    struct arg_str *nodes = arg_strn(NULL, "node", "IP:PORT", 0,
                                     Lod_TARGETS_MAX, "nodes to call in turn");
    struct arg_str *direct =
        arg_strn(NULL, "straight", "IP:PORT", 0, Lod_TARGETS_MAX,
                 "backend servers, sent every other call");
    struct arg_str *read = arg_str1(NULL, "read", "PATH", "path of a GET");
    struct arg_str *book = arg_str0(NULL, "book", "PATH", "path of a POST");
    struct arg_int *share =
        arg_int0(NULL, "bookings", "PERMILLE", "share of POSTs (default: 0)");
    struct arg_int *body =
        arg_int0(NULL, "body", "BYTES", "length of a POST body (default: 5)");
    struct arg_dbl *rate = arg_dbl1(NULL, "rate", "N", "calls per second");
    struct arg_int *seconds =
        arg_int1(NULL, "seconds", "N", "duration in seconds");
    struct arg_int *seed =
        arg_int0(NULL, "seed", "N", "random seed (default: 1)");
    struct arg_str *label =
        arg_str0(NULL, "label", "TEXT", "label in the output");
    struct arg_file *effects =
        arg_filen(NULL, "effects", "FILE", 0, EFFECTS_FILES_MAX,
                  "effects files of backend servers to check");
    struct arg_end *end = arg_end(8);
    void *table[] = {nodes, direct,  read, book,  share,   body,
                     rate,  seconds, seed, label, effects, end};
    StrBuf body_text = {0};
    static Load load;
    size_t faults = 0;

    signal(SIGPIPE, SIG_IGN);
    if (arg_parse(argc, argv, table) ||
        !read_targets(&load.groups[0], nodes) ||
        !read_targets(&load.groups[1], direct) || load.groups[0].count == 0) {
        arg_print_errors(stderr, end, "load");
        arg_print_glossary(stderr, table, "  %-24s %s\n");
        return 2;
    }
    load.group_count = load.groups[1].count ? 2 : 1;
    load.paths[Lod_READ] = read->sval[0];
    load.paths[Lod_BOOKING] = book->count ? book->sval[0] : read->sval[0];
    load.booking_permille = share->count ? (uint32_t)share->ival[0] : 0;
    fill_body(&body_text, body->count ? body->ival[0] : DEFAULT_BODY_BYTES);
    load.booking_body = StrBuf_View(&body_text);
    load.mean_gap_us = 1e6 / rate->dval[0];
    load.seed = seed->count ? (uint64_t)seed->ival[0] : 1;
    load.run_id = (uint64_t)Loop_WallClock();
    Rng_Init(&load.rng, load.seed);
    if (!Loop_Init(&load.loop, NULL)) {
        return 1;
    }
    Lod_Run(&load, Span_S(seconds->ival[0]),
            (size_t)(2 * rate->dval[0] * seconds->ival[0]) + 100);
    if (!read_effects(&load, effects)) {
        return 1;
    }
    for (size_t i = 0; i < load.group_count; i++) {
        faults +=
            print_group(&load, (uint8_t)i, label->count ? label->sval[0] : "",
                        effects->count > 0);
    }
    Rng_Finish(&load.rng);
    Mem_Free(load.calls);
    StrBuf_Finish(&body_text);
    Loop_Finish(&load.loop);
    arg_freetable(table, sizeof table / sizeof table[0]);
    return faults ? 1 : 0;
}
