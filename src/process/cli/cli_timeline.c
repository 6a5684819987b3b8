#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <time.h>

#include "process/cli/cli.h"
#include "process/observe/timeline.h"
#include "value/mem.h"

typedef struct {
    uint64_t stamp;
    json_t *event; /* owned by the answer that holds it */
    Str process;   /* its name */
} MergedEvent;

typedef struct {
    CliRequest *requests; /* one for each process */
    size_t request_count;
    MergedEvent *events;
    size_t event_count;
} MergedTimeline;

static void
request_timelines(Cli *cli, const json_t *members, MergedTimeline *merged)
{
    size_t index;
    const json_t *member;
    StrBuf path = {0};

    StrBuf_AppendFmt(&path, "/v1/timeline?since=%" PRIu64 "&limit=%" PRIu64,
                     cli->since_stamp,
                     cli->since_stamp ? Tml_RING_EVENTS : cli->limit);
    merged->requests =
        Mem_Alloc(json_array_size(members), sizeof *merged->requests);
    json_array_foreach(members, index, member)
    {
        Addr addr = Addr_NONE;
        if (Addr_Parse(Cli_GetText(member, "operators"), &addr)) {
            Cli_InitRequest(&merged->requests[merged->request_count++], addr,
                            StrBuf_View(&path));
        }
    }
    Cli_SendAll(cli, merged->requests, merged->request_count);
    StrBuf_Finish(&path);
}

static size_t
count_events(const MergedTimeline *merged)
{
    size_t count = 0;

    for (size_t i = 0; i < merged->request_count; i++) {
        count += json_array_size(
            json_object_get(merged->requests[i].answer, "events"));
    }
    return count;
}

static int
compare_events(const void *a, const void *b)
{
    const MergedEvent *left = a;
    const MergedEvent *right = b;

    if (left->stamp != right->stamp) {
        return left->stamp < right->stamp ? -1 : 1;
    }
    return Str_Compare(left->process, right->process);
}

static void
merge_events(MergedTimeline *merged)
{
    merged->events = Mem_Alloc(count_events(merged), sizeof *merged->events);
    for (size_t i = 0; i < merged->request_count; i++) {
        const json_t *answer = merged->requests[i].answer;
        size_t index;
        json_t *event;
        json_array_foreach(json_object_get(answer, "events"), index, event)
        {
            MergedEvent *entry = &merged->events[merged->event_count++];
            *entry = (MergedEvent){.event = event,
                                   .process = Cli_GetText(answer, "name")};
            Str_ToU64(Cli_GetText(event, "stamp"), &entry->stamp);
        }
    }
    qsort(merged->events, merged->event_count, sizeof *merged->events,
          compare_events);
}

static void
print_event(const MergedEvent *entry)
{
    int64_t ms = json_integer_value(json_object_get(entry->event, "time_ms"));
    time_t seconds = (time_t)(ms / 1000);
    struct tm parts;
    char text[32];

    gmtime_r(&seconds, &parts);
    strftime(text, sizeof text, "%Y-%m-%dT%H:%M:%S", &parts);
    printf("%s.%03dZ %" PRIu64 " %-14.*s %-18.*s %.*s\n", text,
           (int)(ms % 1000), entry->stamp, Str_ARG(entry->process),
           Str_ARG(Cli_GetText(entry->event, "kind")),
           Str_ARG(Cli_GetText(entry->event, "detail")));
}

/* Sets the range of events to show: the first ones after the given stamp, or
 * the last ones without a stamp. */
static void
choose_range(const Cli *cli, const MergedTimeline *merged, size_t *from,
             size_t *to)
{
    size_t count = merged->event_count;
    size_t limit = cli->limit < count ? (size_t)cli->limit : count;

    *from = cli->since_stamp ? 0 : count - limit;
    *to = *from + limit;
}

static json_t *
list_unreached(const MergedTimeline *merged)
{
    json_t *list = json_array();

    for (size_t i = 0; i < merged->request_count; i++) {
        if (merged->requests[i].status != 200) {
            StrBuf addr = {0};
            Addr_Print(merged->requests[i].node, &addr);
            json_array_append_new(list, json_stringn(addr.ptr, addr.len));
            StrBuf_Finish(&addr);
        }
    }
    return list;
}

static void
print_json(const Cli *cli, const MergedTimeline *merged, json_t *unreached)
{
    json_t *events = json_array();
    json_t *all;
    size_t from;
    size_t to;

    choose_range(cli, merged, &from, &to);
    for (size_t i = from; i < to; i++) {
        const MergedEvent *entry = &merged->events[i];
        json_object_set_new(
            entry->event, "process",
            json_stringn(entry->process.ptr, entry->process.len));
        json_array_append(events, entry->event);
    }
    all = json_pack("{s:o, s:O}", "events", events, "unreached", unreached);
    Cli_PrintJson(all);
    json_decref(all);
}

static void
print_text(const Cli *cli, const MergedTimeline *merged,
           const json_t *unreached)
{
    size_t index;
    const json_t *node;
    size_t from;
    size_t to;

    choose_range(cli, merged, &from, &to);
    for (size_t i = from; i < to; i++) {
        print_event(&merged->events[i]);
    }
    json_array_foreach(unreached, index, node)
    {
        printf("not reached: %.*s\n", (int)json_string_length(node),
               json_string_value(node));
    }
}

static void
print_timelines(Cli *cli, const json_t *members)
{
    MergedTimeline merged = {0};
    json_t *unreached;

    request_timelines(cli, members, &merged);
    merge_events(&merged);
    unreached = list_unreached(&merged);
    if (cli->json) {
        print_json(cli, &merged, unreached);
    }
    else {
        print_text(cli, &merged, unreached);
    }
    json_decref(unreached);
    for (size_t i = 0; i < merged.request_count; i++) {
        Cli_FinishRequest(&merged.requests[i]);
    }
    Mem_Free(merged.requests);
    Mem_Free(merged.events);
}

CliStatus
Cli_ShowTimeline(Cli *cli)
{
    CliRequest request;
    CliStatus status = Cli_GOOD;

    Cli_SendToAny(cli, Str_LIT("/v1/status"), (Str){0}, &request);
    if (request.status == 200) {
        print_timelines(cli, json_object_get(request.answer, "members"));
    }
    else {
        status = Cli_ReportFailure(&request);
    }
    Cli_FinishRequest(&request);
    return status;
}
