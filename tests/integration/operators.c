#include "operators.h"

#include <stdlib.h>
#include <string.h>
#include <time.h>

enum { PORT = 8100, STATUS_AT = 9 };

#define ANSWER_WAIT Span_S(10)
#define POLL Span_MS(20)

static Span
now(void)
{
    struct timespec time;

    clock_gettime(CLOCK_MONOTONIC, &time);
    return (Span)time.tv_sec * 1000000 + time.tv_nsec / 1000;
}

int
Ops_Send(Fleet *fleet, int vm, const char *method, const char *path, Str body)
{
    StrBuf text = {0};
    int fd = Fleet_RawOpen(fleet, vm, PORT);

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
parse(Str text, OpsAnswer *answer)
{
    const char *body;
    size_t at;

    if (text.len < STATUS_AT + 3) {
        return;
    }
    answer->status = atoi(text.ptr + STATUS_AT);
    body = memmem(text.ptr, text.len, "\r\n\r\n", 4);
    if (body) {
        at = (size_t)(body - text.ptr) + 4;
        answer->body = json_loadb(text.ptr + at, text.len - at, 0, NULL);
    }
}

void
Ops_Read(int fd, Span wait, OpsAnswer *answer)
{
    StrBuf text = {0};

    *answer = (OpsAnswer){0};
    if (fd < 0) {
        return;
    }
    if (Fleet_RawRead(fd, wait, &text)) {
        parse(Str_FromC(StrBuf_CStr(&text)), answer);
    }
    Fleet_RawClose(fd);
    StrBuf_Finish(&text);
}

void
Ops_Finish(OpsAnswer *answer)
{
    json_decref(answer->body);
    *answer = (OpsAnswer){0};
}

void
Ops_Get(Fleet *fleet, int vm, const char *path, OpsAnswer *answer)
{
    Ops_Read(Ops_Send(fleet, vm, "GET", path, (Str){0}), ANSWER_WAIT, answer);
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
                         change->serves
                             ? "{\"service\":\"visor\",\"route\":\"read\","
                               "\"path\":\"/visor/\",\"idempotent\":true}"
                             : "");
    }
    StrBuf_Append(&body, Str_LIT("}"));
    fd = Ops_Send(fleet, change->vm, "POST", "/v1/change", StrBuf_View(&body));
    StrBuf_Finish(&body);
    return fd;
}

void
Ops_Change(Fleet *fleet, const OpsChange *change, OpsAnswer *answer)
{
    Ops_Read(Ops_SendChange(fleet, change), ANSWER_WAIT, answer);
}

const char *
Ops_Outcome(const OpsAnswer *answer)
{
    const char *text =
        json_string_value(json_object_get(answer->body, "outcome"));

    return text ? text : "";
}

ConfigVersion
Ops_Version(const json_t *object)
{
    const json_t *version = json_object_get(object, "version");

    return (ConfigVersion){
        (uint64_t)json_integer_value(json_object_get(version, "term")),
        (uint64_t)json_integer_value(json_object_get(version, "index"))};
}

ConfigVersion
Ops_Newest(Fleet *fleet, int vm)
{
    OpsAnswer answer;
    ConfigVersion version = {0};

    Ops_Get(fleet, vm, "/v1/presets", &answer);
    if (answer.status == 200) {
        version = Ops_Version(answer.body);
    }
    Ops_Finish(&answer);
    return version;
}

bool
Ops_MustChange(Fleet *fleet, OpsChange *change, Span wait)
{
    Span end = now() + wait;

    for (int i = 0; now() < end; i++) {
        OpsAnswer answer;
        bool accepted;
        change->vm = (change->vm + i) % fleet->count;
        if (!fleet->vms[change->vm].node) {
            continue;
        }
        if (change->base.term == 0) {
            change->base = Ops_Newest(fleet, change->vm);
        }
        if (change->base.term == 0) {
            continue; /* no leader: the change would lose on this base */
        }
        Ops_Change(fleet, change, &answer);
        accepted = answer.status == 200;
        Ops_Finish(&answer);
        if (accepted) {
            return true;
        }
    }
    return false;
}

ConfigVersion
Ops_InForce(Fleet *fleet, int vm)
{
    OpsAnswer answer;
    ConfigVersion version;

    Ops_Read(Ops_Send(fleet, vm, "GET", "/v1/status", (Str){0}), Span_S(1),
             &answer);
    version = Ops_Version(answer.body);
    Ops_Finish(&answer);
    return version;
}

static bool
leads(Fleet *fleet, int vm)
{
    OpsAnswer answer;
    bool current;

    if (!fleet->vms[vm].node) {
        return false;
    }
    Ops_Read(Ops_Send(fleet, vm, "GET", "/v1/replicas", (Str){0}), Span_S(1),
             &answer);
    current = json_is_true(json_object_get(answer.body, "current"));
    Ops_Finish(&answer);
    return current;
}

int
Ops_Leader(Fleet *fleet)
{
    for (int vm = 0; vm < fleet->control; vm++) {
        if (leads(fleet, vm)) {
            return vm;
        }
    }
    return -1;
}

int
Ops_WaitForLeader(Fleet *fleet, Span wait)
{
    Span end = now() + wait;
    int leader;

    while ((leader = Ops_Leader(fleet)) < 0 && now() < end) {
        Fleet_Sleep(POLL);
    }
    return leader;
}

int
Ops_CountVoters(Fleet *fleet, bool genesis)
{
    int leader = Ops_Leader(fleet);
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
    Ops_Finish(&answer);
    return count;
}

/* A node that has just started has none in force, and serves no call. */
static ConfigVersion
observe_one(Fleet *fleet, OpsWatch *watch, int vm)
{
    ConfigVersion version = Ops_InForce(fleet, vm);

    if (version.term == 0) {
        return version;
    }
    if (Cfg_CompareVersions(version, watch->seen[vm]) < 0) {
        watch->backwards++;
    }
    watch->seen[vm] = version;
    return version;
}

void
Ops_Observe(Fleet *fleet, OpsWatch *watch)
{
    for (int vm = 0; vm < fleet->count; vm++) {
        if (fleet->vms[vm].node) {
            observe_one(fleet, watch, vm);
        }
    }
}

static bool
all_have(Fleet *fleet, OpsWatch *watch, ConfigVersion version)
{
    bool all = true;

    for (int vm = 0; vm < fleet->count; vm++) {
        if (fleet->vms[vm].node) {
            ConfigVersion there = observe_one(fleet, watch, vm);
            all = all && Cfg_CompareVersions(there, version) >= 0;
        }
    }
    return all;
}

Span
Ops_WaitForAll(Fleet *fleet, OpsWatch *watch, ConfigVersion version, Span wait)
{
    Span start = now();

    while (!all_have(fleet, watch, version)) {
        if (now() - start > wait) {
            return -1;
        }
        Fleet_Sleep(POLL);
    }
    return now() - start;
}
