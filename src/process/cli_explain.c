#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "process/cli.h"
#include "value/mem.h"

enum {
    LINES_MAX = 10000, /* shown; more are counted */
    US = 1000000
};

/* Around what names the request, also what its nodes say of others' state. */
#define AROUND Span_MS(100)

typedef struct {
    int64_t time_us;
    json_t *line;
    bool own; /* it names the request */
} Line;

typedef struct {
    Str id;
    StrBuf fingerprint; /* empty: no line names it */
    json_t *nodes;      /* those that name the request */
    int64_t from_us;
    int64_t until_us;
    Line *lines;
    size_t count;
    size_t left_out;
} Story;

/* The value of "NAME=VALUE" among the words of DETAIL; empty: none. */
static Str
value_of(Str detail, Str name)
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
add_line(Story *story, json_t *line, int64_t time_us, bool own)
{
    if (story->count == LINES_MAX) {
        story->left_out++;
        return;
    }
    story->lines[story->count++] =
        (Line){.time_us = time_us, .line = json_incref(line), .own = own};
}

static bool
names_request(const Story *story, Str detail)
{
    return Str_Equal(value_of(detail, Str_LIT("request")), story->id);
}

/* First reading: what names the request, and from when to when. */
static void
take_own(Story *story, json_t *line, int64_t time_us, Str detail)
{
    Str fingerprint = value_of(detail, Str_LIT("fingerprint"));
    uint64_t took_us = 0;

    if (!names_request(story, detail)) {
        return;
    }
    add_line(story, line, time_us, true);
    json_object_set_new(story->nodes,
                        json_string_value(json_object_get(line, "node")),
                        json_true());
    if (fingerprint.len) {
        StrBuf_Set(&story->fingerprint, fingerprint);
    }
    Str_ToU64(value_of(detail, Str_LIT("took_us")), &took_us);
    if (story->from_us == 0 || time_us - (int64_t)took_us < story->from_us) {
        story->from_us = time_us - (int64_t)took_us;
    }
    if (time_us > story->until_us) {
        story->until_us = time_us;
    }
}

/* Second reading: the same request's other times, and what its nodes said
 * meanwhile that is of no request. */
static void
take_around(Story *story, json_t *line, int64_t time_us, Str detail)
{
    Str fingerprint = value_of(detail, Str_LIT("fingerprint"));
    const char *node = json_string_value(json_object_get(line, "node"));
    bool same = fingerprint.len &&
                Str_Equal(fingerprint, StrBuf_View(&story->fingerprint));
    bool meanwhile = json_object_get(story->nodes, node) &&
                     time_us >= story->from_us - AROUND &&
                     time_us <= story->until_us + AROUND;

    if (!names_request(story, detail) &&
        (same || (meanwhile && !value_of(detail, Str_LIT("request")).len))) {
        add_line(story, line, time_us, false);
    }
}

typedef void (*Take)(Story *story, json_t *line, int64_t time_us, Str detail);

static bool
is_log_line(const json_t *line)
{
    return json_is_integer(json_object_get(line, "time_us")) &&
           json_is_string(json_object_get(line, "node")) &&
           json_is_string(json_object_get(line, "event")) &&
           json_is_string(json_object_get(line, "detail"));
}

/* A collector may have written words of its own before the object. */
static void
read_line(Story *story, Take take, const char *text)
{
    const char *object = strchr(text, '{');
    json_t *line = object ? json_loads(object, 0, NULL) : NULL;

    if (line && is_log_line(line)) {
        take(story, line, json_integer_value(json_object_get(line, "time_us")),
             Cli_Text(line, "detail"));
    }
    json_decref(line);
}

static bool
read_file(Story *story, Take take, Str name)
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
        read_line(story, take, text);
    }
    if (file) {
        fclose(file);
    }
    free(text);
    StrBuf_Finish(&path);
    return file != NULL;
}

static bool
read_files(const Cli *cli, Story *story, Take take)
{
    for (size_t i = 2; i < cli->word_count; i++) {
        if (!read_file(story, take, cli->words[i])) {
            return false;
        }
    }
    return true;
}

static int
compare(const void *a, const void *b)
{
    const Line *left = a;
    const Line *right = b;

    if (left->time_us != right->time_us) {
        return left->time_us < right->time_us ? -1 : 1;
    }
    return Str_Compare(Cli_Text(left->line, "node"),
                       Cli_Text(right->line, "node"));
}

static void
print_line(const Line *line)
{
    printf("%c %" PRId64 ".%06d %.*s %.*s %.*s\n", line->own ? '>' : ' ',
           line->time_us / US, (int)(line->time_us % US),
           Str_ARG(Cli_Text(line->line, "node")),
           Str_ARG(Cli_Text(line->line, "event")),
           Str_ARG(Cli_Text(line->line, "detail")));
}

static void
print_story(const Cli *cli, const Story *story)
{
    for (size_t i = 0; i < story->count; i++) {
        if (cli->json) {
            json_dumpf(story->lines[i].line, stdout, JSON_COMPACT);
            printf("\n");
        }
        else {
            print_line(&story->lines[i]);
        }
    }
    if (story->left_out) {
        fprintf(stderr, "lycheeridge: %zu more lines left out\n",
                story->left_out);
    }
}

static CliStatus
tell(const Cli *cli, Story *story)
{
    if (!read_files(cli, story, take_own)) {
        return Cli_INPUT;
    }
    if (story->count == 0) {
        fprintf(stderr, "lycheeridge: no line names request %.*s\n",
                Str_ARG(story->id));
        return Cli_INPUT;
    }
    if (!read_files(cli, story, take_around)) {
        return Cli_INPUT;
    }
    qsort(story->lines, story->count, sizeof *story->lines, compare);
    print_story(cli, story);
    return Cli_GOOD;
}

CliStatus
Cli_ExplainRequest(Cli *cli)
{
    Story story = {
        .id = cli->words[1],
        .nodes = json_object(),
        .lines = Mem_Alloc(LINES_MAX, sizeof *story.lines),
    };
    CliStatus status = tell(cli, &story);

    for (size_t i = 0; i < story.count; i++) {
        json_decref(story.lines[i].line);
    }
    Mem_Free(story.lines);
    json_decref(story.nodes);
    StrBuf_Finish(&story.fingerprint);
    return status;
}
