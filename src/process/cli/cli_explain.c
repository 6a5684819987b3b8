#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "process/cli/cli.h"
#include "value/mem.h"

enum {
    LINES_MAX = 10000, /* shown; the others are counted */
    US_PER_S = 1000000
};

/* Lines of the same nodes that name no request (on the state of members and
 * backend servers) are shown when they are at most this long before or after
 * the request. */
#define CONTEXT_SPAN Span_MS(100)

typedef struct {
    int64_t time_us;
    json_t *line;
    bool names_request;
} Line;

typedef struct {
    Str id;             /* request id */
    StrBuf fingerprint; /* empty: no line gives it */
    json_t *nodes;      /* a set: the nodes with lines that name the request */
    /* time span of the lines that name the request, us since 1970 */
    int64_t from_us;
    int64_t until_us;
    Line *lines;
    size_t count;
    size_t omitted_count; /* lines over LINES_MAX */
} RequestLog;

/* The value of the word NAME=VALUE in DETAIL; empty when there is none. */
static Str
find_value(Str detail, Str name)
{
    while (detail.len) {
        size_t end = Str_Find(detail, ' ');
        Str word = Str_Slice(detail, 0, end);
        if (Str_StartsWith(word, name) && word.len > name.len &&
            word.ptr[name.len] == '=') {
            return Str_Slice(word, name.len + 1, word.len);
        }
        detail = Str_Slice(detail, end + 1, detail.len);
    }
    return (Str){0};
}

static void
add_line(RequestLog *log, json_t *line, int64_t time_us, bool names_request)
{
    if (log->count == LINES_MAX) {
        log->omitted_count++;
        return;
    }
    log->lines[log->count++] = (Line){.time_us = time_us,
                                      .line = json_incref(line),
                                      .names_request = names_request};
}

static bool
does_name_request(const RequestLog *log, Str detail)
{
    return Str_Equal(find_value(detail, Str_LIT("request")), log->id);
}

/* First pass: collects the lines that name the request, and determines its
 * nodes, its fingerprint and its time span. */
static void
collect_matching(RequestLog *log, json_t *line, int64_t time_us, Str detail)
{
    Str fingerprint = find_value(detail, Str_LIT("fingerprint"));
    uint64_t took_us = 0;

    if (!does_name_request(log, detail)) {
        return;
    }
    add_line(log, line, time_us, true);
    json_object_set_new(log->nodes,
                        json_string_value(json_object_get(line, "node")),
                        json_true());
    if (fingerprint.len) {
        StrBuf_Set(&log->fingerprint, fingerprint);
    }
    Str_ToU64(find_value(detail, Str_LIT("took_us")), &took_us);
    if (log->from_us == 0 || time_us - (int64_t)took_us < log->from_us) {
        log->from_us = time_us - (int64_t)took_us;
    }
    if (time_us > log->until_us) {
        log->until_us = time_us;
    }
}

/* Second pass: collects the other lines with the fingerprint, and the lines of
 * the nodes in the time span that name no request. */
static void
collect_context(RequestLog *log, json_t *line, int64_t time_us, Str detail)
{
    Str fingerprint = find_value(detail, Str_LIT("fingerprint"));
    const char *node = json_string_value(json_object_get(line, "node"));
    bool same_fingerprint =
        fingerprint.len &&
        Str_Equal(fingerprint, StrBuf_View(&log->fingerprint));
    bool during_request = json_object_get(log->nodes, node) &&
                          time_us >= log->from_us - CONTEXT_SPAN &&
                          time_us <= log->until_us + CONTEXT_SPAN;

    if (!does_name_request(log, detail) &&
        (same_fingerprint ||
         (during_request && !find_value(detail, Str_LIT("request")).len))) {
        add_line(log, line, time_us, false);
    }
}

typedef void (*LineHandler)(RequestLog *log, json_t *line, int64_t time_us,
                            Str detail);

static bool
is_log_line(const json_t *line)
{
    return json_is_integer(json_object_get(line, "time_us")) &&
           json_is_string(json_object_get(line, "node")) &&
           json_is_string(json_object_get(line, "event")) &&
           json_is_string(json_object_get(line, "detail"));
}

/* Reads the JSON object in TEXT.  A log collector may have put a prefix of its
 * own before the object. */
static void
read_line(RequestLog *log, LineHandler handle, const char *text)
{
    const char *object = strchr(text, '{');
    json_t *line = object ? json_loads(object, 0, NULL) : NULL;

    if (line && is_log_line(line)) {
        handle(log, line, json_integer_value(json_object_get(line, "time_us")),
               Cli_GetText(line, "detail"));
    }
    json_decref(line);
}

static bool
read_file(RequestLog *log, LineHandler handle, Str name)
{
    StrBuf path = {0};
    char *text = NULL;
    size_t size = 0;
    FILE *file;

    StrBuf_Set(&path, name);
    file = fopen(StrBuf_CStr(&path), "r");
    if (!file) {
        fprintf(stderr, "lycheeridge: cannot open %.*s\n", Str_ARG(name));
    }
    while (file && getline(&text, &size, file) > 0) {
        read_line(log, handle, text);
    }
    if (file) {
        fclose(file);
    }
    free(text);
    StrBuf_Finish(&path);
    return file != NULL;
}

static bool
read_files(const Cli *cli, RequestLog *log, LineHandler handle)
{
    for (size_t i = 2; i < cli->word_count; i++) {
        if (!read_file(log, handle, cli->words[i])) {
            return false;
        }
    }
    return true;
}

static int
compare_lines(const void *a, const void *b)
{
    const Line *left = a;
    const Line *right = b;

    if (left->time_us != right->time_us) {
        return left->time_us < right->time_us ? -1 : 1;
    }
    return Str_Compare(Cli_GetText(left->line, "node"),
                       Cli_GetText(right->line, "node"));
}

static void
print_line(const Line *line)
{
    printf("%c %" PRId64 ".%06d %.*s %.*s %.*s\n",
           line->names_request ? '>' : ' ', line->time_us / US_PER_S,
           (int)(line->time_us % US_PER_S),
           Str_ARG(Cli_GetText(line->line, "node")),
           Str_ARG(Cli_GetText(line->line, "event")),
           Str_ARG(Cli_GetText(line->line, "detail")));
}

static void
print_lines(const Cli *cli, const RequestLog *log)
{
    for (size_t i = 0; i < log->count; i++) {
        if (cli->json) {
            json_dumpf(log->lines[i].line, stdout, JSON_COMPACT);
            printf("\n");
        }
        else {
            print_line(&log->lines[i]);
        }
    }
    if (log->omitted_count) {
        fprintf(stderr, "lycheeridge: %zu more lines omitted\n",
                log->omitted_count);
    }
}

static CliStatus
explain(const Cli *cli, RequestLog *log)
{
    if (!read_files(cli, log, collect_matching)) {
        return Cli_INPUT;
    }
    if (log->count == 0) {
        fprintf(stderr, "lycheeridge: no log line mentions request %.*s\n",
                Str_ARG(log->id));
        return Cli_INPUT;
    }
    if (!read_files(cli, log, collect_context)) {
        return Cli_INPUT;
    }
    qsort(log->lines, log->count, sizeof *log->lines, compare_lines);
    print_lines(cli, log);
    return Cli_GOOD;
}

CliStatus
Cli_ExplainRequest(Cli *cli)
{
    RequestLog log = {
        .id = cli->words[1],
        .nodes = json_object(),
        .lines = Mem_Alloc(LINES_MAX, sizeof *log.lines),
    };
    CliStatus status = explain(cli, &log);

    for (size_t i = 0; i < log.count; i++) {
        json_decref(log.lines[i].line);
    }
    Mem_Free(log.lines);
    json_decref(log.nodes);
    StrBuf_Finish(&log.fingerprint);
    return status;
}
