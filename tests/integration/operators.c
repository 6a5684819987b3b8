#include "operators.h"

#include <check.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

enum {
    OPERATOR_PORT = 8100,
    STATUS_OFFSET = 9 /* after "HTTP/1.1 " */
};

#define ANSWER_TIMEOUT Span_S(10)
#define POLL_INTERVAL Span_MS(20)

static Span
get_time(void)
{
    struct timespec time;

    clock_gettime(CLOCK_MONOTONIC, &time);
    return (Span)time.tv_sec * 1000000 + time.tv_nsec / 1000;
}

int
Ops_SendRequest(Fleet *fleet, int vm, const char *method, const char *path,
                Str body)
{
    StrBuf text = {0};
    int fd = Fleet_RawOpen(fleet, vm, OPERATOR_PORT);

    if (fd >= 0) {
        StrBuf_AppendFmt(&text,
                         "%s %s HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
                         "Authorization: Bearer test-key\r\n"
                         "Content-Length: %zu\r\n\r\n%.*s",
                         method, path, body.len, Str_ARG(body));
        Fleet_RawSend(fd, StrBuf_View(&text));
        StrBuf_Finish(&text);
    }
    return fd;
}

static void
parse_answer(Str text, OpsAnswer *answer)
{
    const char *body;
    size_t body_start;

    if (text.len < STATUS_OFFSET + 3) {
        return;
    }
    answer->status = atoi(text.ptr + STATUS_OFFSET);
    body = memmem(text.ptr, text.len, "\r\n\r\n", 4);
    if (body) {
        body_start = (size_t)(body - text.ptr) + 4;
        answer->body =
            json_loadb(text.ptr + body_start, text.len - body_start, 0, NULL);
    }
}

void
Ops_ReadAnswer(int fd, Span wait, OpsAnswer *answer)
{
    StrBuf text = {0};

    *answer = (OpsAnswer){0};
    if (fd < 0) {
        return;
    }
    if (Fleet_RawRead(fd, wait, &text)) {
        parse_answer(Str_FromC(StrBuf_CStr(&text)), answer);
    }
    Fleet_RawClose(fd);
    StrBuf_Finish(&text);
}

void
Ops_FinishAnswer(OpsAnswer *answer)
{
    json_decref(answer->body);
    *answer = (OpsAnswer){0};
}

void
Ops_Get(Fleet *fleet, int vm, const char *path, OpsAnswer *answer)
{
    Ops_ReadAnswer(Ops_SendRequest(fleet, vm, "GET", path, (Str){0}),
                   ANSWER_TIMEOUT, answer);
}

int
Ops_SendChange(Fleet *fleet, const OpsChange *change)
{
    StrBuf body = {0};
    int fd;

    StrBuf_AppendFmt(&body,
                     "{\"id\":\"%s\",\"base\":{\"term\":%llu,\"index\":%llu},"
                     "\"verb\":\"%s\",\"name\":\"%s\"",
                     change->id, (unsigned long long)change->base.term,
                     (unsigned long long)change->base.index, change->verb,
                     change->name);
    if (strcmp(change->verb, "put") == 0) {
        StrBuf_AppendFmt(&body,
                         ",\"preset\":{\"name\":\"%s\",\"limits\":{},"
                         "\"routes\":[%s]}",
                         change->name,
                         change->has_route
                             ? "{\"service\":\"visor\",\"route\":\"read\","
                               "\"path\":\"/visor/\",\"idempotent\":true}"
                             : "");
    }
    StrBuf_Append(&body, Str_LIT("}"));
    fd = Ops_SendRequest(fleet, change->vm, "POST", "/v1/change",
                         StrBuf_View(&body));
    StrBuf_Finish(&body);
    return fd;
}

void
Ops_Change(Fleet *fleet, const OpsChange *change, OpsAnswer *answer)
{
    Ops_ReadAnswer(Ops_SendChange(fleet, change), ANSWER_TIMEOUT, answer);
}

const char *
Ops_GetOutcome(const OpsAnswer *answer)
{
    const char *text =
        json_string_value(json_object_get(answer->body, "outcome"));

    return text ? text : "";
}

ConfigVersion
Ops_ParseVersion(const json_t *object)
{
    const json_t *version = json_object_get(object, "version");

    return (ConfigVersion){
        (uint64_t)json_integer_value(json_object_get(version, "term")),
        (uint64_t)json_integer_value(json_object_get(version, "index"))};
}

ConfigVersion
Ops_GetNewestVersion(Fleet *fleet, int vm)
{
    OpsAnswer answer;
    ConfigVersion version = {0};

    Ops_Get(fleet, vm, "/v1/presets", &answer);
    if (answer.status == 200) {
        version = Ops_ParseVersion(answer.body);
    }
    Ops_FinishAnswer(&answer);
    return version;
}

bool
Ops_RetryChange(Fleet *fleet, OpsChange *change, Span wait)
{
    Span end = get_time() + wait;

    for (int i = 0; get_time() < end; i++) {
        OpsAnswer answer;
        bool accepted;
        change->vm = (change->vm + i) % fleet->vm_count;
        if (!fleet->vms[change->vm].node) {
            continue;
        }
        if (change->base.term == 0) {
            change->base = Ops_GetNewestVersion(fleet, change->vm);
        }
        if (change->base.term == 0) {
            continue; /* no leader: a change on this base would be rejected */
        }
        Ops_Change(fleet, change, &answer);
        accepted = answer.status == 200;
        Ops_FinishAnswer(&answer);
        if (accepted) {
            return true;
        }
    }
    return false;
}

ConfigVersion
Ops_GetVersionInForce(Fleet *fleet, int vm)
{
    OpsAnswer answer;
    ConfigVersion version;

    Ops_ReadAnswer(Ops_SendRequest(fleet, vm, "GET", "/v1/status", (Str){0}),
                   Span_S(1), &answer);
    version = Ops_ParseVersion(answer.body);
    Ops_FinishAnswer(&answer);
    return version;
}

static bool
is_leading(Fleet *fleet, int vm)
{
    OpsAnswer answer;
    bool current;

    if (!fleet->vms[vm].node) {
        return false;
    }
    Ops_ReadAnswer(Ops_SendRequest(fleet, vm, "GET", "/v1/replicas", (Str){0}),
                   Span_S(1), &answer);
    current = json_is_true(json_object_get(answer.body, "current"));
    Ops_FinishAnswer(&answer);
    return current;
}

int
Ops_FindLeader(Fleet *fleet)
{
    for (int vm = 0; vm < fleet->control_count; vm++) {
        if (is_leading(fleet, vm)) {
            return vm;
        }
    }
    return -1;
}

int
Ops_WaitForLeader(Fleet *fleet, Span wait)
{
    Span end = get_time() + wait;
    int leader;

    while ((leader = Ops_FindLeader(fleet)) < 0 && get_time() < end) {
        Fleet_Sleep(POLL_INTERVAL);
    }
    return leader;
}

int
Ops_CountVoters(Fleet *fleet, bool genesis)
{
    int leader = Ops_FindLeader(fleet);
    OpsAnswer answer;
    const json_t *replica;
    size_t index;
    int count = 0;

    if (leader < 0) {
        return 0;
    }
    Ops_Get(fleet, leader, "/v1/replicas", &answer);
    json_array_foreach(json_object_get(answer.body, "replicas"), index,
                       replica)
    {
        count +=
            json_is_true(json_object_get(replica, "voter")) &&
            (!genesis || json_is_true(json_object_get(replica, "genesis")));
    }
    Ops_FinishAnswer(&answer);
    return count;
}

/* A node that has just started has no version in force and serves no call, so
 * no version is not a regression. */
static ConfigVersion
observe_node(Fleet *fleet, OpsVersionWatch *watch, int vm)
{
    ConfigVersion version = Ops_GetVersionInForce(fleet, vm);

    if (version.term == 0) {
        return version;
    }
    if (Cfg_CompareVersions(version, watch->last_seen[vm]) < 0) {
        watch->regression_count++;
    }
    watch->last_seen[vm] = version;
    return version;
}

void
Ops_ObserveVersions(Fleet *fleet, OpsVersionWatch *watch)
{
    for (int vm = 0; vm < fleet->vm_count; vm++) {
        if (fleet->vms[vm].node) {
            observe_node(fleet, watch, vm);
        }
    }
}

/* Observes each node that runs.  Returns whether all have VERSION or a newer
 * one in force. */
static bool
have_all_reached(Fleet *fleet, OpsVersionWatch *watch, ConfigVersion version)
{
    bool all = true;

    for (int vm = 0; vm < fleet->vm_count; vm++) {
        if (fleet->vms[vm].node) {
            ConfigVersion in_force = observe_node(fleet, watch, vm);
            all = all && Cfg_CompareVersions(in_force, version) >= 0;
        }
    }
    return all;
}

Span
Ops_WaitForVersion(Fleet *fleet, OpsVersionWatch *watch, ConfigVersion version,
                   Span wait)
{
    Span start = get_time();

    while (!have_all_reached(fleet, watch, version)) {
        if (get_time() - start > wait) {
            return -1;
        }
        Fleet_Sleep(POLL_INTERVAL);
    }
    return get_time() - start;
}

void
Ops_PutRoutes(Fleet *fleet, int revision, int base, Str routes)
{
    StrBuf body = {0};
    StrBuf request = {0};
    StrBuf answer = {0};
    int fd = Fleet_RawOpen(fleet, 0, OPERATOR_PORT);

    StrBuf_AppendFmt(&body,
                     "{\"revision\":%d,\"routes\":[%.*s],\"services\":["
                     "{\"name\":\"visor\"},{\"name\":\"despachos\"}]}",
                     revision, Str_ARG(routes));
    StrBuf_AppendFmt(&request,
                     "POST /v1/routing/put HTTP/1.1\r\nHost: a\r\n"
                     "If-Match: %d\r\nConnection: close\r\n"
                     "Content-Length: %zu\r\n\r\n%.*s",
                     base, body.len, Str_ARG(body));
    ck_assert_int_ge(fd, 0);
    Fleet_RawSend(fd, StrBuf_View(&request));
    Fleet_RawRead(fd, Span_S(5), &answer);
    Fleet_RawClose(fd);
    ck_assert_msg(
        Str_StartsWith(StrBuf_View(&answer), Str_LIT("HTTP/1.1 200 ")),
        "revision %d: %.*s", revision, Str_ARG(answer));
    StrBuf_Finish(&body);
    StrBuf_Finish(&request);
    StrBuf_Finish(&answer);
}
