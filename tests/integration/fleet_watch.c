#include "fleet_watch.h"

#include <jansson.h>
#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>

enum { CALLERS_PORT = 8000, OPERATORS_PORT = 8100, STATUS_AT = 9 };
enum { OPERATOR = Fleet_VMS_MAX, READER }; /* in FleetWatch.queries */

#define IN_FORCE_BOUND Span_S(2)
#define ACKNOWLEDGE_BOUND Span_S(4) /* also of a read, by any replica */
#define UNSETTLED Span_S(3)         /* after a fault, and after the start */
#define STRETCH Span_S(5)           /* of IN_FORCE_BOUND, beside a fault */
#define QUERY_TIMEOUT Span_S(1)
#define QUERY_PAUSE Span_MS(50)
#define TICK_MS 5

static Span
get_elapsed(const FleetWatch *watch)
{
    struct timespec time;

    clock_gettime(CLOCK_MONOTONIC, &time);
    return Span_S(time.tv_sec) + time.tv_nsec / 1000 - watch->started_at;
}

void
Fwt_Init(FleetWatch *watch, Fleet *fleet, uint64_t seed, Span change_gap)
{
    *watch = (FleetWatch){
        .fleet = fleet, .change_gap = change_gap, .calm_from = UNSETTLED};
    watch->started_at = get_elapsed(watch);
    Rng_Init(&watch->rng, seed);
    for (int i = 0; i < Fwt_QUERIES; i++) {
        watch->queries[i].fd = -1;
    }
}

void
Fwt_Finish(FleetWatch *watch)
{
    for (int i = 0; i < Fwt_QUERIES; i++) {
        if (watch->queries[i].fd >= 0) {
            Fleet_RawClose(watch->queries[i].fd);
        }
        StrBuf_Finish(&watch->queries[i].text);
    }
    StrBuf_Finish(&watch->faults);
    Rng_Finish(&watch->rng);
}

void
Fwt_Disturb(FleetWatch *watch, Span length)
{
    watch->calm_from = get_elapsed(watch) + length + UNSETTLED;
}

static void
add_fault(FleetWatch *watch, const char *what, int vm, int change, Span since)
{
    StrBuf_AppendFmt(&watch->faults,
                     "at %.3f: %s: VM %d, change %d, since %.3f\n",
                     (double)get_elapsed(watch) / 1e6, what, vm, change,
                     (double)since / 1e6);
    watch->fault_count++;
}

/* The newest change acknowledged AGE or longer before NOW; 0: none. */
static int
find_due(const FleetWatch *watch, Span age, Span now)
{
    int change = watch->acknowledged;

    while (change > 0 && watch->acknowledged_at[change] > now - age) {
        change--;
    }
    return change;
}

static void
send_query(FleetWatch *watch, WatchQuery *query, int vm, int port, Str text)
{
    StrBuf_Clear(&query->text);
    query->vm = vm;
    query->sent_at = get_elapsed(watch);
    query->fd = Fleet_RawOpen(watch->fleet, vm, port);
    if (query->fd >= 0) {
        Fleet_RawSend(query->fd, text);
    }
}

static void
append_routes(int last, StrBuf *out)
{
    for (int i = 1; i <= last; i++) {
        StrBuf_AppendFmt(out,
                         "%s{\"name\":\"r%d\",\"host\":\"a.example\","
                         "\"path\":\"/n%d/\",\"kind\":\"idempotent\","
                         "\"deadline_ms\":300,\"objective_ms\":100,"
                         "\"priority\":1,\"service\":\"visor\","
                         "\"attempts_max\":2}",
                         i > 1 ? "," : "", i, i);
    }
}

static int
draw_replica(FleetWatch *watch)
{
    return (int)Rng_Below(&watch->rng, (uint32_t)watch->fleet->control_count);
}

static void
post(FleetWatch *watch, WatchQuery *query, const char *path, int base,
     Str body)
{
    StrBuf text = {0};

    StrBuf_AppendFmt(&text,
                     "POST %s HTTP/1.1\r\nHost: a\r\nConnection: close\r\n"
                     "Authorization: Bearer test-key\r\nIf-Match: %d\r\n"
                     "Content-Length: %zu\r\n\r\n%.*s",
                     path, base, body.len, Str_ARG(body));
    send_query(watch, query, draw_replica(watch), OPERATORS_PORT,
               StrBuf_View(&text));
    StrBuf_Finish(&text);
}

static void
send_change(FleetWatch *watch, WatchQuery *query, Span now)
{
    int change = watch->acknowledged + 1;
    StrBuf body = {0};

    if (change > watch->wanted ||
        (watch->acknowledged &&
         now < watch->acknowledged_at[change - 1] + watch->change_gap)) {
        return;
    }
    if (!watch->first_sent_at) {
        watch->first_sent_at = now;
    }
    StrBuf_AppendFmt(&body, "{\"revision\":%d,\"routes\":[", change);
    append_routes(change, &body);
    StrBuf_AppendFmt(&body, "],\"services\":[{\"name\":\"visor\"}]}");
    query->due = change;
    post(watch, query, "/v1/routing/put", change - 1, StrBuf_View(&body));
    StrBuf_Finish(&body);
}

static void
send_read(FleetWatch *watch, WatchQuery *query, Span now)
{
    query->due = find_due(watch, IN_FORCE_BOUND, now);
    post(watch, query, "/v1/routing/read", 0, (Str){0});
}

/* Asks for the newest route that must be in force, until the node knows it,
 * else for the newest. */
static void
send_call(FleetWatch *watch, WatchQuery *query, int vm, Span now)
{
    Span bound = IN_FORCE_BOUND + (now < watch->calm_from ? STRETCH : 0);
    StrBuf text = {0};
    int route;

    query->due = find_due(watch, bound, now);
    route = query->due > watch->asked[vm] ? query->due : watch->acknowledged;
    if (route > watch->asked[vm] && watch->fleet->vms[vm].node) {
        StrBuf_AppendFmt(&text,
                         "GET /n%d/x HTTP/1.1\r\nHost: a.example\r\n"
                         "Connection: close\r\n\r\n",
                         route);
        query->due = route;
        send_query(watch, query, vm, CALLERS_PORT, StrBuf_View(&text));
    }
    StrBuf_Finish(&text);
}

static int
read_revision(Str text)
{
    const char *body = memmem(text.ptr, text.len, "\r\n\r\n", 4);
    json_t *root =
        body ? json_loadb(body + 4, text.len - (size_t)(body + 4 - text.ptr),
                          0, NULL)
             : NULL;
    int revision = (int)json_integer_value(json_object_get(root, "revision"));

    json_decref(root);
    return revision;
}

static void
end_change(FleetWatch *watch, const WatchQuery *query, int status, Span now)
{
    if (status == 200) {
        watch->acknowledged = query->due;
        watch->acknowledged_at[query->due] = now;
        watch->first_sent_at = 0;
    }
    else if (status >= 400 && status < 500) {
        add_fault(watch, "refused", query->vm, query->due, query->sent_at);
    }
}

static void
end_read(FleetWatch *watch, const WatchQuery *query, int status, Span now)
{
    int revision;

    if (status != 200) {
        return;
    }
    watch->read_at = now;
    revision = read_revision(StrBuf_View(&query->text));
    if (revision < query->due) {
        add_fault(watch, "older read", query->vm, revision, query->sent_at);
    }
}

/* No backend server runs: what a node answers for a route that it knows does
 * not matter, but for "no such route" and "no configuration yet". */
static void
end_call(FleetWatch *watch, const WatchQuery *query, int status)
{
    Span bound =
        IN_FORCE_BOUND + (query->sent_at < watch->calm_from ? STRETCH : 0);

    if (status == 404) {
        if (query->due <= find_due(watch, bound, query->sent_at)) {
            add_fault(watch, "not in force", query->vm, query->due,
                      watch->acknowledged_at[query->due]);
        }
    }
    else if (status) {
        watch->asked[query->vm] = query->due;
    }
}

static void
end_query(FleetWatch *watch, WatchQuery *query, Span now)
{
    int status = 0;

    if (query->text.len > STATUS_AT + 3) {
        status = atoi(StrBuf_CStr(&query->text) + STATUS_AT);
    }
    Fleet_RawClose(query->fd);
    query->fd = -1;
    if (query == &watch->queries[OPERATOR]) {
        end_change(watch, query, status, now);
    }
    else if (query == &watch->queries[READER]) {
        end_read(watch, query, status, now);
    }
    else {
        end_call(watch, query, status);
    }
    query->sent_at = now;
}

static void
begin_query(FleetWatch *watch, int number, Span now)
{
    WatchQuery *query = &watch->queries[number];

    if (now < query->sent_at + QUERY_PAUSE) {
        return;
    }
    if (number == OPERATOR) {
        send_change(watch, query, now);
    }
    else if (number == READER) {
        send_read(watch, query, now);
    }
    else if (number >= watch->fleet->control_count &&
             number < watch->fleet->vm_count) {
        send_call(watch, query, number, now);
    }
}

/* Reads what has come.  Returns whether the answer has ended. */
static bool
read_query(WatchQuery *query)
{
    char bytes[16384];
    ssize_t got;

    while ((got = recv(query->fd, bytes, sizeof bytes, MSG_DONTWAIT)) > 0) {
        StrBuf_Append(&query->text, Str_From(bytes, (size_t)got));
    }
    return got == 0;
}

/* Counts what should have been answered by now once, not at each tick. */
static void
check_bounds(FleetWatch *watch, Span now)
{
    Span sent_at = watch->first_sent_at;

    sent_at = sent_at > watch->calm_from ? sent_at : watch->calm_from;
    if (watch->first_sent_at && now > sent_at + ACKNOWLEDGE_BOUND) {
        add_fault(watch, "not acknowledged", -1, watch->acknowledged + 1,
                  watch->first_sent_at);
        watch->first_sent_at = now;
    }
    sent_at =
        watch->read_at > watch->calm_from ? watch->read_at : watch->calm_from;
    if (watch->acknowledged && now > sent_at + ACKNOWLEDGE_BOUND) {
        add_fault(watch, "no read answered", -1, watch->acknowledged,
                  watch->read_at);
        watch->read_at = now;
    }
}

static void
act(FleetWatch *watch)
{
    struct pollfd items[Fwt_QUERIES] = {0};
    Span now = get_elapsed(watch);

    for (int i = 0; i < Fwt_QUERIES; i++) {
        if (watch->queries[i].fd < 0) {
            begin_query(watch, i, now);
        }
        items[i] = (struct pollfd){watch->queries[i].fd, POLLIN, 0};
    }
    poll(items, Fwt_QUERIES, TICK_MS);
    now = get_elapsed(watch);
    for (int i = 0; i < Fwt_QUERIES; i++) {
        WatchQuery *query = &watch->queries[i];
        if (query->fd >= 0 && ((items[i].revents && read_query(query)) ||
                               now > query->sent_at + QUERY_TIMEOUT)) {
            end_query(watch, query, now);
        }
    }
    check_bounds(watch, now);
}

static bool
is_known_everywhere(const FleetWatch *watch)
{
    const Fleet *fleet = watch->fleet;

    for (int vm = fleet->control_count; vm < fleet->vm_count; vm++) {
        if (watch->asked[vm] < watch->wanted) {
            return false;
        }
    }
    return watch->acknowledged == watch->wanted;
}

void
Fwt_Run(FleetWatch *watch, int count, Span limit)
{
    Span end = get_elapsed(watch) + limit;

    watch->wanted += count;
    while (!is_known_everywhere(watch)) {
        if (get_elapsed(watch) > end) {
            add_fault(watch, "not known everywhere", -1, watch->acknowledged,
                      end - limit);
            return;
        }
        act(watch);
    }
}

void
Fwt_Pass(FleetWatch *watch, Span length)
{
    Span end = get_elapsed(watch) + length;

    while (get_elapsed(watch) < end) {
        act(watch);
    }
}
