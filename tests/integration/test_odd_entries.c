/* Malformed input to the operators' port: an announcement of a backend server
 * or a routing table.  The node answers 400, keeps running and still serves
 * calls with the backend servers that it had.
 */
#include <signal.h>
#include <stdio.h>
#include <string.h>

#include "fleet.h"
#include "support/suite.h"

#define ROWS(table) (int)(sizeof(table) / sizeof(table)[0])

enum { SUBNET = 35, OPERATORS_PORT = 8100, STATUS_OFFSET = 9 };

static Str build;

typedef struct {
    const char *name;
    Str path;
    Str prefix; /* the entry is prefix, repeat_count times repeated, suffix */
    Str repeated;
    int repeat_count;
    Str suffix;
} Case;

#define ANNOUNCE_PATH Str_LIT("/v1/announce")
#define BACKENDS_PATH Str_LIT("/v1/backends/announce?id=i-odd")
#define ROUTING_PATH Str_LIT("/v1/routing/put")

/* Valid entries without their last member. */
#define ANNOUNCE_ENTRY "{\"service\":\"visor\",\"port\":9000,\"slots\":9,"
#define BACKENDS_ENTRY                                                        \
    "{\"service\":\"visor\",\"address\":\"127.0.0.1:9000\",\"state\":"        \
    "\"ready\",\"slots\":9,\"sequence\":4,"
#define ROUTING_ENTRY "{\"revision\":1,\"routes\":[],\"services\":[],"

enum { REPEATS = 100000 };

static const Case cases[] = {
    {"deeply nested", ANNOUNCE_PATH, {0}, Str_LIT("["), REPEATS, {0}},
    {"deeply nested, with closing brackets", ANNOUNCE_PATH,
     Str_LIT(ANNOUNCE_ENTRY "\"x\":"), Str_LIT("{\"a\":"), REPEATS,
     Str_LIT("1}")},
    {"deeply nested", BACKENDS_PATH, {0}, Str_LIT("["), REPEATS, {0}},
    {"a deeply nested member", BACKENDS_PATH, Str_LIT(BACKENDS_ENTRY "\"x\":"),
     Str_LIT("["), REPEATS, Str_LIT("]}")},
    {"deeply nested objects", BACKENDS_PATH, Str_LIT(BACKENDS_ENTRY "\"x\":"),
     Str_LIT("{\"a\":"), REPEATS, Str_LIT("1}")},
    {"deeply nested", ROUTING_PATH, Str_LIT(ROUTING_ENTRY "\"x\":"),
     Str_LIT("["), REPEATS, Str_LIT("]}")},
    {"a number too large",
     ANNOUNCE_PATH,
     Str_LIT(ANNOUNCE_ENTRY "\"draining\":1e999}"),
     {0},
     0,
     {0}},
    {"a number too large",
     BACKENDS_PATH,
     Str_LIT(BACKENDS_ENTRY "\"born\":1e999}"),
     {0},
     0,
     {0}},
    {"a whole number too large",
     BACKENDS_PATH,
     Str_LIT(BACKENDS_ENTRY "\"born\":99999999999999999999999}"),
     {0},
     0,
     {0}},
    {"a number with 100,000 digits", BACKENDS_PATH,
     Str_LIT(BACKENDS_ENTRY "\"born\":"), Str_LIT("9"), REPEATS, Str_LIT("}")},
    {"a number too large in an unknown member",
     BACKENDS_PATH,
     Str_LIT(BACKENDS_ENTRY "\"x\":-1e999}"),
     {0},
     0,
     {0}},
    {"a fraction",
     BACKENDS_PATH,
     Str_LIT(BACKENDS_ENTRY "\"born\":1.5}"),
     {0},
     0,
     {0}},
    {"a number below 0",
     BACKENDS_PATH,
     Str_LIT(BACKENDS_ENTRY "\"born\":-1}"),
     {0},
     0,
     {0}},
    {"a number too large",
     ROUTING_PATH,
     Str_LIT(ROUTING_ENTRY "\"limits\":{\"header_bytes_max\":1e999}}"),
     {0},
     0,
     {0}},
    {"a port out of range",
     ANNOUNCE_PATH,
     Str_LIT("{\"service\":\"visor\",\"slots\":9,\"port\":70000}"),
     {0},
     0,
     {0}},
    {"a port out of range",
     BACKENDS_PATH,
     Str_LIT("{\"service\":\"visor\",\"state\":\"ready\",\"slots\":9,"
             "\"address\":\"127.0.0.1:70000\"}"),
     {0},
     0,
     {0}},
    {"port 0",
     BACKENDS_PATH,
     Str_LIT("{\"service\":\"visor\",\"state\":\"ready\",\"slots\":9,"
             "\"address\":\"127.0.0.1:0\"}"),
     {0},
     0,
     {0}},
    {"a port with 100,000 digits", BACKENDS_PATH,
     Str_LIT("{\"service\":\"visor\",\"state\":\"ready\",\"slots\":9,"
             "\"address\":\"127.0.0.1:"),
     Str_LIT("9"), REPEATS, Str_LIT("\"}")},
    {"no address",
     BACKENDS_PATH,
     Str_LIT("{\"service\":\"visor\",\"state\":\"ready\",\"slots\":9,"
             "\"address\":\":\"}"),
     {0},
     0,
     {0}},
    {"members of the wrong type",
     BACKENDS_PATH,
     Str_LIT("{\"service\":[\"visor\"],\"state\":{},\"slots\":\"9\","
             "\"address\":9000}"),
     {0},
     0,
     {0}},
    {"a very long name", BACKENDS_PATH,
     Str_LIT("{\"state\":\"ready\",\"slots\":9,"
             "\"address\":\"127.0.0.1:9000\",\"service\":\""),
     Str_LIT("v"), REPEATS, Str_LIT("\"}")},
    {"a NUL in a name",
     BACKENDS_PATH,
     Str_LIT("{\"state\":\"ready\",\"slots\":9,"
             "\"address\":\"127.0.0.1:9000\",\"service\":\"vi\\u0000sor\"}"),
     {0},
     0,
     {0}},
    {"bytes that are not UTF-8",
     BACKENDS_PATH,
     {0},
     Str_LIT("\xff\xfe\x01"),
     REPEATS,
     {0}},
};

static void
append_body(const Case *c, StrBuf *body)
{
    StrBuf_Append(body, c->prefix);
    for (int i = 0; i < c->repeat_count; i++) {
        StrBuf_Append(body, c->repeated);
    }
    StrBuf_Append(body, c->suffix);
}

/* Posts ENTRY to PATH of the operators' port.  Returns the status of the
 * answer; 0: none. */
static int
post(Fleet *fleet, Str path, Str entry)
{
    StrBuf request = {0};
    StrBuf answer = {0};
    int fd = Fleet_RawOpen(fleet, 0, OPERATORS_PORT);
    int status = 0;

    StrBuf_AppendFmt(&request,
                     "POST %.*s HTTP/1.1\r\nHost: n\r\nConnection: close\r\n"
                     "Authorization: Bearer test-key\r\nIf-Match: 0\r\n"
                     "Content-Length: %zu\r\n\r\n",
                     Str_ARG(path), entry.len);
    StrBuf_Append(&request, entry);
    Fleet_RawSend(fd, StrBuf_View(&request));
    Fleet_RawRead(fd, Span_S(2), &answer);
    if (answer.len > STATUS_OFFSET) {
        sscanf(StrBuf_CStr(&answer) + STATUS_OFFSET, "%d", &status);
    }
    Fleet_RawClose(fd);
    StrBuf_Finish(&request);
    StrBuf_Finish(&answer);
    return status;
}

START_TEST(malformed_entry_is_refused)
{
    const Case *c = &cases[_i];
    StrBuf entry = {0};
    FleetRequest request = {.method = Str_LIT("GET"),
                            .path = Str_LIT("/visor/a")};
    FleetAnswer answer;
    Fleet fleet;
    int status;

    Fleet_Init(&fleet, build, SUBNET, 1, 1);
    Fleet_StartNode(&fleet, 0);
    Fleet_StartBackend(&fleet, 0, Str_LIT("visor"), (Str){0});
    ck_assert(
        Fleet_WaitForPath(&fleet, 0, Str_LIT("/visor/ready"), Span_S(10)));
    append_body(c, &entry);
    for (int i = 0; i < 3; i++) {
        status = post(&fleet, c->path, StrBuf_View(&entry));
        ck_assert_msg(status == 400, "%s: answered %d", c->name, status);
        Fleet_Send(&fleet, 0, &request, &answer);
        ck_assert_msg(answer.status == 200, "%s: a call was answered %ld",
                      c->name, answer.status);
        Fleet_FinishAnswer(&answer);
    }
    /* The node is still the same process. */
    ck_assert_msg(kill(fleet.vms[0].node, 0) == 0 &&
                      Fleet_Kill(&fleet.vms[0].node, SIGKILL) == SIGKILL,
                  "%s: the node had exited", c->name);
    StrBuf_Finish(&entry);
    Fleet_Finish(&fleet);
}
END_TEST

/* All JSON readers of a node must have the same limit of nesting: a routing
 * table that the operators' port accepts must also come into force. */
enum { DEPTH_FIRST = 2040, DEPTH_COUNT = 12 };

static void
append_routing(int revision, int depth, Str path, StrBuf *out)
{
    StrBuf_AppendFmt(out,
                     "{\"revision\":%d,\"services\":[{\"name\":\"visor\"}],"
                     "\"routes\":[{\"name\":\"look\",\"host\":\"x\","
                     "\"path\":\"%.*s\",\"kind\":\"idempotent\","
                     "\"service\":\"visor\"}],\"x\":",
                     revision, Str_ARG(path));
    for (int i = 0; i < depth; i++) {
        StrBuf_Append(out, Str_LIT("["));
    }
    for (int i = 0; i < depth; i++) {
        StrBuf_Append(out, Str_LIT("]"));
    }
    StrBuf_Append(out, Str_LIT("}"));
}

/* Returns the status that the callers' port answers to GET PATH; 0: none. */
static int
get_status(Fleet *fleet, Str path)
{
    StrBuf request = {0};
    StrBuf answer = {0};
    int fd = Fleet_RawOpen(fleet, 0, 8000);
    int status = 0;

    StrBuf_AppendFmt(&request,
                     "GET %.*s HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
                     "\r\n",
                     Str_ARG(path));
    Fleet_RawSend(fd, StrBuf_View(&request));
    Fleet_RawRead(fd, Span_S(2), &answer);
    if (answer.len > STATUS_OFFSET) {
        sscanf(StrBuf_CStr(&answer) + STATUS_OFFSET, "%d", &status);
    }
    Fleet_RawClose(fd);
    StrBuf_Finish(&request);
    StrBuf_Finish(&answer);
    return status;
}

START_TEST(accepted_nesting_comes_into_force)
{
    int depth = DEPTH_FIRST + _i;
    StrBuf body = {0};
    Fleet fleet;
    int status;

    Fleet_Init(&fleet, build, SUBNET, 1, 1);
    Fleet_StartNode(&fleet, 0);
    Fleet_StartBackend(&fleet, 0, Str_LIT("visor"), (Str){0});
    ck_assert(
        Fleet_WaitForPath(&fleet, 0, Str_LIT("/visor/ready"), Span_S(10)));
    append_routing(1, depth, Str_LIT("/odd/"), &body);
    status = post(&fleet, ROUTING_PATH, StrBuf_View(&body));
    ck_assert_msg(status == 200 || status == 400, "depth %d: answered %d",
                  depth, status);
    Fleet_Sleep(Span_MS(500));
    ck_assert_msg(get_status(&fleet, Str_LIT("/odd/a")) ==
                      (status == 200 ? 200 : 404),
                  "depth %d was answered %d, but is %sin force", depth, status,
                  status == 200 ? "not " : "");
    StrBuf_Finish(&body);
    Fleet_Finish(&fleet);
}
END_TEST

int
main(int argc, char **argv)
{
    const SuiteTest tests[] = {
        {malformed_entry_is_refused, ROWS(cases)},
        {accepted_nesting_comes_into_force, DEPTH_COUNT}};

    build = Suite_GetBuildFolder(argc, argv);
    return Suite_Run("odd entries", tests, 2, 30);
}
