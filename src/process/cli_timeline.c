#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <time.h>

#include "process/cli.h"
#include "process/timeline.h"
#include "value/mem.h"

typedef struct {
    uint64_t stamp;
    json_t *event; /* borrowed from its answer */
    Str process;
} Line;

typedef struct {
    CliAsk *asks; /* by process */
    size_t ask_count;
    Line *lines;
    size_t line_count;
} Merge;

static void
ask_processes(Cli *cli, const json_t *members, Merge *merge)
{
    size_t index;
    const json_t *member;
    StrBuf path = {0};

    StrBuf_AppendFmt(&path, "/v1/timeline?since=%" PRIu64 "&limit=%" PRIu64,
                     cli->since, cli->since ? Tml_RING_EVENTS : cli->limit);
    merge->asks = Mem_Alloc(json_array_size(members), sizeof *merge->asks);
    json_array_foreach(members, index, member)
    {
        Addr addr = Addr_NONE;
        if (Addr_Parse(Cli_Text(member, "operators"), &addr)) {
            Cli_AskInit(&merge->asks[merge->ask_count++], addr,
                        StrBuf_View(&path));
        }
    }
    Cli_AskAll(cli, merge->asks, merge->ask_count);
    StrBuf_Finish(&path);
}

static size_t
count_events(const Merge *merge)
{
    size_t count = 0;

    for (size_t i = 0; i < merge->ask_count; i++) {
        count +=
            json_array_size(json_object_get(merge->asks[i].answer, "events"));
    }
    return count;
}

static int
compare(const void *a, const void *b)
{
    const Line *left = a;
    const Line *right = b;

    if (left->stamp != right->stamp) {
        return left->stamp < right->stamp ? -1 : 1;
    }
    return Str_Compare(left->process, right->process);
}

static void
merge_lines(Merge *merge)
{
    merge->lines = Mem_Alloc(count_events(merge), sizeof *merge->lines);
    for (size_t i = 0; i < merge->ask_count; i++) {
        const json_t *answer = merge->asks[i].answer;
        size_t index;
        json_t *event;
        json_array_foreach(json_object_get(answer, "events"), index, event)
        {
            Line *line = &merge->lines[merge->line_count++];
            *line =
                (Line){.event = event, .process = Cli_Text(answer, "name")};
            Str_ToU64(Cli_Text(event, "stamp"), &line->stamp);
        }
    }
    qsort(merge->lines, merge->line_count, sizeof *merge->lines, compare);
}

static void
print_line(const Line *line)
{
    int64_t ms = json_integer_value(json_object_get(line->event, "time_ms"));
    time_t seconds = (time_t)(ms / 1000);
    struct tm parts;
    char text[32];

    gmtime_r(&seconds, &parts);
    strftime(text, sizeof text, "%Y-%m-%dT%H:%M:%S", &parts);
    printf("%s.%03dZ %" PRIu64 " %-14.*s %-18.*s %.*s\n", text,
           (int)(ms % 1000), line->stamp, Str_ARG(line->process),
           Str_ARG(Cli_Text(line->event, "kind")),
           Str_ARG(Cli_Text(line->event, "detail")));
}

/* Which lines are shown: the last ones, or the first ones after a stamp. */
static void
choose(const Cli *cli, const Merge *merge, size_t *from, size_t *to)
{
    size_t count = merge->line_count;
    size_t limit = cli->limit < count ? (size_t)cli->limit : count;

    *from = cli->since ? 0 : count - limit;
    *to = *from + limit;
}

static json_t *
list_unreached(const Merge *merge)
{
    json_t *list = json_array();

    for (size_t i = 0; i < merge->ask_count; i++) {
        if (merge->asks[i].status != 200) {
            StrBuf addr = {0};
            Addr_Print(merge->asks[i].node, &addr);
            json_array_append_new(list, json_stringn(addr.ptr, addr.len));
            StrBuf_Finish(&addr);
        }
    }
    return list;
}

static void
print_json(const Cli *cli, const Merge *merge, json_t *unreached)
{
    json_t *events = json_array();
    json_t *all;
    size_t from;
    size_t to;

    choose(cli, merge, &from, &to);
    for (size_t i = from; i < to; i++) {
        const Line *line = &merge->lines[i];
        json_object_set_new(
            line->event, "process",
            json_stringn(line->process.ptr, line->process.len));
        json_array_append(events, line->event);
    }
    all = json_pack("{s:o, s:O}", "events", events, "unreached", unreached);
    Cli_PrintJson(all);
    json_decref(all);
}

static void
print_human(const Cli *cli, const Merge *merge, const json_t *unreached)
{
    size_t index;
    const json_t *node;
    size_t from;
    size_t to;

    choose(cli, merge, &from, &to);
    for (size_t i = from; i < to; i++) {
        print_line(&merge->lines[i]);
    }
    json_array_foreach(unreached, index, node)
    {
        printf("not reached: %.*s\n", (int)json_string_length(node),
               json_string_value(node));
    }
}

static void
show(Cli *cli, const json_t *members)
{
    Merge merge = {0};
    json_t *unreached;

    ask_processes(cli, members, &merge);
    merge_lines(&merge);
    unreached = list_unreached(&merge);
    if (cli->json) {
        print_json(cli, &merge, unreached);
    }
    else {
        print_human(cli, &merge, unreached);
    }
    json_decref(unreached);
    for (size_t i = 0; i < merge.ask_count; i++) {
        Cli_AskFinish(&merge.asks[i]);
    }
    Mem_Free(merge.asks);
    Mem_Free(merge.lines);
}

CliStatus
Cli_ShowTimeline(Cli *cli)
{
    CliAsk ask;
    CliStatus status = Cli_GOOD;

    Cli_AskAny(cli, Str_LIT("/v1/status"), (Str){0}, &ask);
    if (ask.status == 200) {
        show(cli, json_object_get(ask.answer, "members"));
    }
    else {
        status = Cli_Explain(&ask);
    }
    Cli_AskFinish(&ask);
    return status;
}
