/* Crowds of clients that nobody controls, at one node: what they make it keep
 * stays within the memory that the settings give it, so do its descriptors, no
 * process ends, and an ordinary request is answered while the crowd stays
 * open and after it has left.  The limits are small so that a small crowd goes
 * over them; no row judges times, or how many of the crowd are served.
 */
#include <stdio.h>
#include <string.h>

#include "crowd.h"
#include "support/suite.h"

#define ROWS(table) (int)(sizeof(table) / sizeof(table)[0])

enum {
    SUBNET = 200,
    CALLERS_PORT = 8000,
    OPERATORS_PORT = 8100,
    MEMORY_MB = 48,
    DESCRIPTORS_MAX = 700,
    KB = 1024,
    PART_BYTES = 16 * KB,
    GROUPS_MAX = 6,
    MANY_VMS = 16,
    STEADY_TRIES_MAX = 10
};

#define ANSWER_TIMEOUT Span_S(60)

#define HEAD                                                                  \
    "PUT /visor/a HTTP/1.1\r\nHost: x\r\n"                                    \
    "X-Lycheeridge-Deadline-Ms: 8000\r\n"
#define OPERATORS_HEAD                                                        \
    "POST /v1/announce HTTP/1.1\r\nHost: x\r\nContent-Length: "
#define CHUNKED HEAD "Transfer-Encoding: chunked\r\n\r\n"
#define FILL_16 "0123456789abcdef"
#define FILL_256                                                              \
    FILL_16 FILL_16 FILL_16 FILL_16 FILL_16 FILL_16 FILL_16 FILL_16 FILL_16   \
        FILL_16 FILL_16 FILL_16 FILL_16 FILL_16 FILL_16 FILL_16
#define FILL_1024 FILL_256 FILL_256 FILL_256 FILL_256
#define FILL_8192                                                             \
    FILL_1024 FILL_1024 FILL_1024 FILL_1024 FILL_1024 FILL_1024 FILL_1024     \
        FILL_1024

static Str build;

/* One kind of client: how many, to which port, and what they send. */
typedef struct {
    int count;
    int port;
    CrowdScript script;
} CrowdGroup;

typedef struct {
    const char *name;
    CrowdGroup groups[GROUPS_MAX];
    /* the crowd may take all slots, so that an ordinary request is answered
     * once it has left */
    bool takes_slots;
    Str backend; /* options of the backend server */
} CrowdCase;

#define SCRIPT(prefix, unit, units, suffix)                                   \
    {                                                                         \
        Str_LIT(prefix), Str_LIT(unit), units, Str_LIT(suffix), PART_BYTES    \
    }

#define SHORT(count)                                                          \
    {                                                                         \
        count, CALLERS_PORT,                                                  \
            SCRIPT(HEAD "Content-Length: 250001\r\n\r\n", FILL_1024, 244, "") \
    }
#define LARGE_SHORT(count)                                                    \
    {                                                                         \
        count, CALLERS_PORT,                                                  \
            SCRIPT(HEAD "Content-Length: 4194304\r\n\r\n", FILL_1024, 4095,   \
                   "")                                                        \
    }
#define LARGE_CHUNKS(count)                                                   \
    {                                                                         \
        count, CALLERS_PORT,                                                  \
            SCRIPT(CHUNKED, "2000\r\n" FILL_8192 "\r\n", 30, "")              \
    }
#define SMALL_CHUNKS(count)                                                   \
    {                                                                         \
        count, CALLERS_PORT,                                                  \
            SCRIPT(CHUNKED, "10\r\n" FILL_16 "\r\n", 15000, "")               \
    }
#define TINY_CHUNKS(count)                                                    \
    {                                                                         \
        count, CALLERS_PORT, SCRIPT(CHUNKED, "1\r\nx\r\n", 60000, "")         \
    }
#define OVER_ANNOUNCED(count)                                                 \
    {                                                                         \
        count, CALLERS_PORT,                                                  \
            SCRIPT(HEAD "Content-Length: 900000000\r\n\r\n", FILL_1024, 250,  \
                   "")                                                        \
    }
#define OVER_SENT(count)                                                      \
    {                                                                         \
        count, CALLERS_PORT,                                                  \
            SCRIPT(CHUNKED, "2000\r\n" FILL_8192 "\r\n", 1200, "")            \
    }
#define ENDLESS_HEADS(count)                                                  \
    {                                                                         \
        count, CALLERS_PORT, SCRIPT(HEAD "X-Fill: ", FILL_1024, 250, "")      \
    }
#define WHOLE(count)                                                          \
    {                                                                         \
        count, CALLERS_PORT,                                                  \
            SCRIPT(HEAD "Content-Length: 250000\r\n\r\n", FILL_1024, 244,     \
                   FILL_16 FILL_16 FILL_16 FILL_16 FILL_16 FILL_16 FILL_16    \
                       FILL_16 FILL_16)                                       \
    }
#define PIPELINED(count)                                                      \
    {                                                                         \
        count, CALLERS_PORT,                                                  \
            SCRIPT(                                                           \
                "",                                                           \
                HEAD                                                          \
                "Content-Length: 65536\r\n\r\n" FILL_8192 FILL_8192 FILL_8192 \
                    FILL_8192 FILL_8192 FILL_8192 FILL_8192 FILL_8192,        \
                10, "")                                                       \
    }
#define NEVER_READING(count)                                                  \
    {                                                                         \
        count, CALLERS_PORT,                                                  \
            SCRIPT("",                                                        \
                   HEAD "X-Fake-Size: 250000\r\n"                             \
                        "Content-Length: 0\r\n\r\n",                          \
                   16, "")                                                    \
    }

static const CrowdCase crowd_cases[] = {
    {"announced, short of the end", {SHORT(400)}, false, {0}},
    {"announced large, short of the end", {LARGE_SHORT(40)}, false, {0}},
    {"large chunks, short of the end", {LARGE_CHUNKS(480)}, false, {0}},
    {"small chunks, short of the end", {SMALL_CHUNKS(300)}, false, {0}},
    {"tiny chunks, short of the end", {TINY_CHUNKS(480)}, false, {0}},
    {"over the limit, announced", {OVER_ANNOUNCED(300)}, false, {0}},
    {"over the limit, just sent", {OVER_SENT(40)}, false, {0}},
    {"heads without end", {ENDLESS_HEADS(480)}, false, {0}},
    {"whole, waiting for a slot",
     {WHOLE(480)},
     true,
     Str_LIT("--service-us 20000")},
    {"pipelined, waiting for a slot",
     {PIPELINED(480)},
     true,
     Str_LIT("--service-us 20000")},
    {"never reading",
     {NEVER_READING(480)},
     false,
     Str_LIT("--service-us 1000 --slots 1000")},
    {"at the operators' port",
     {{300, OPERATORS_PORT,
       SCRIPT(OPERATORS_HEAD "4000000\r\n\r\n", FILL_1024, 3000, "")}},
     false,
     {0}},
    {"all of them",
     {SHORT(100), LARGE_CHUNKS(100), TINY_CHUNKS(100), OVER_ANNOUNCED(50),
      ENDLESS_HEADS(100), LARGE_SHORT(10)},
     false,
     {0}},
};

static void
start_fleet(Fleet *fleet, int vms, Str options)
{
    StrBuf extra = {0};

    Fleet_Init(fleet, build, SUBNET, vms, 1);
    StrBuf_AppendFmt(&extra,
                     "\"body_bytes_max\":8388608,\"header_bytes_max\":262144,"
                     "\"memory_mb\":%d,\"descriptors_max\":%d",
                     MEMORY_MB, DESCRIPTORS_MAX);
    Fleet_SetExtraSettings(fleet, StrBuf_View(&extra));
    StrBuf_Finish(&extra);
    for (int i = 0; i < vms; i++) {
        Fleet_StartNode(fleet, i);
    }
    Fleet_StartBackend(fleet, vms - 1, Str_LIT("visor"), options);
    ck_assert(
        Fleet_WaitForPath(fleet, 0, Str_LIT("/visor/ready"), Span_S(20)));
}

/* Sends one request as callers usually do, with a body of a few KB. */
static void
check_ordinary(Fleet *fleet, const char *name, const char *when)
{
    FleetRequest request = {.method = Str_LIT("PUT"),
                            .path = Str_LIT("/visor/a"),
                            .body = Str_LIT(FILL_1024 FILL_1024 FILL_1024),
                            .timeout = ANSWER_TIMEOUT};
    FleetAnswer answer;

    Fleet_Send(fleet, 0, &request, &answer);
    ck_assert_msg(answer.status == 200,
                  "%s: an ordinary request was answered %ld %s it", name,
                  answer.status, when);
    Fleet_FinishAnswer(&answer);
}

static void
check_nodes(Fleet *fleet, const char *name, int descriptors_max)
{
    for (int i = 0; i < fleet->vm_count; i++) {
        pid_t node = fleet->vms[i].node;
        int peak_kb = Crowd_ReadPeakKb(node);
        int descriptors = Crowd_CountDescriptors(node);
        if (i == 0 || i == fleet->vm_count - 1) {
            printf("%s: node %d: peak %d KB, %d descriptors\n", name, i,
                   peak_kb, descriptors);
        }
        ck_assert_msg(Crowd_IsAlive(node), "%s: node %d has ended", name, i);
        ck_assert_msg(!Fleet_MEMORY_IS_CHECKED || peak_kb <= MEMORY_MB * KB,
                      "%s: node %d took %d KB of %d", name, i, peak_kb,
                      MEMORY_MB * KB);
        ck_assert_msg(descriptors <= descriptors_max,
                      "%s: node %d has %d descriptors of %d", name, i,
                      descriptors, descriptors_max);
    }
}

/* Waits until what the first node has taken at most has not grown for a while,
 * but not for long: what has been sent may still lie in the kernel. */
static void
await_steady_peak(Fleet *fleet)
{
    int peak_kb = 0;

    for (int i = 0; i < STEADY_TRIES_MAX; i++) {
        int before_kb = peak_kb;
        peak_kb = Crowd_ReadPeakKb(fleet->vms[0].node);
        if (peak_kb == before_kb) {
            return;
        }
        Fleet_Sleep(Span_S(1));
    }
}

START_TEST(crowd_stays_in_bounds)
{
    const CrowdCase *c = &crowd_cases[_i];
    static Crowd crowd;
    Fleet fleet;

    start_fleet(&fleet, 2, c->backend);
    for (int i = 0; i < GROUPS_MAX && c->groups[i].count; i++) {
        const CrowdGroup *group = &c->groups[i];
        Crowd_Add(&crowd, &fleet, 0, group->port, group->count,
                  &group->script);
    }
    await_steady_peak(&fleet);
    if (!c->takes_slots) {
        check_ordinary(&fleet, c->name, "beside");
    }
    check_nodes(&fleet, c->name, DESCRIPTORS_MAX);
    Crowd_Close(&crowd);
    ck_assert_msg(
        Fleet_WaitForPath(&fleet, 0, Str_LIT("/visor/ready"), Span_S(60)),
        "%s: no answer after it", c->name);
    check_ordinary(&fleet, c->name, "after");
    check_nodes(&fleet, c->name, DESCRIPTORS_MAX);
    Fleet_Finish(&fleet);
}
END_TEST

/* Each of the other nodes has some uploads inside the limits for the backend
 * server beside the last one, all at once. */
START_TEST(many_nodes_upload_to_one)
{
    const CrowdScript upload =
        SCRIPT(HEAD "Content-Length: 6000640\r\n\r\n", FILL_1024, 5860, "");
    static Crowd crowd;
    Fleet fleet;

    start_fleet(&fleet, MANY_VMS, Str_LIT("--service-us 200000 --slots 2"));
    for (int i = 0; i < MANY_VMS - 1; i++) {
        ck_assert(
            Fleet_WaitForPath(&fleet, i, Str_LIT("/visor/ready"), Span_S(20)));
    }
    for (int i = 0; i < MANY_VMS - 1; i++) {
        Crowd_Add(&crowd, &fleet, i, CALLERS_PORT, 2, &upload);
    }
    ck_assert(
        Fleet_WaitForPath(&fleet, 0, Str_LIT("/visor/ready"), Span_S(60)));
    check_nodes(&fleet, "16 nodes' uploads", DESCRIPTORS_MAX);
    Crowd_Close(&crowd);
    check_ordinary(&fleet, "16 nodes' uploads", "after");
    Fleet_Finish(&fleet);
}
END_TEST

/* The same, but all uploads get their last byte at the same moment, so that
 * the other nodes send them to one node together. */
START_TEST(many_uploads_end_at_once)
{
    const CrowdScript upload =
        SCRIPT(HEAD "Content-Length: 8000001\r\n\r\n", FILL_8192, 976,
               FILL_1024 FILL_1024 FILL_1024 FILL_1024);
    static Crowd crowd;
    Fleet fleet;

    start_fleet(&fleet, MANY_VMS, Str_LIT("--service-us 200000 --slots 2"));
    for (int i = 0; i < MANY_VMS - 1; i++) {
        ck_assert(
            Fleet_WaitForPath(&fleet, i, Str_LIT("/visor/ready"), Span_S(20)));
        Crowd_Add(&crowd, &fleet, i, CALLERS_PORT, 1, &upload);
    }
    Crowd_SendAll(&crowd, Str_LIT(FILL_256 FILL_256 "x"));
    ck_assert(
        Fleet_WaitForPath(&fleet, 0, Str_LIT("/visor/ready"), Span_S(60)));
    check_nodes(&fleet, "uploads that end at once", DESCRIPTORS_MAX);
    Crowd_Close(&crowd);
    check_ordinary(&fleet, "uploads that end at once", "after");
    Fleet_Finish(&fleet);
}
END_TEST

/* Connections alone: with a head that does not end, or without a word. */
typedef struct {
    const char *name;
    CrowdGroup group;
} DescriptorCase;

enum { FEW_DESCRIPTORS = 200 };

static const DescriptorCase descriptor_cases[] = {
    {"silent", {400, CALLERS_PORT, SCRIPT("", "", 0, "")}},
    {"a part of a head", {400, CALLERS_PORT, SCRIPT("GET /", "", 0, "")}},
    {"a part of a body",
     {400, CALLERS_PORT,
      SCRIPT(HEAD "Content-Length: 100\r\n\r\nx", "", 0, "")}},
    {"at the operators' port",
     {400, OPERATORS_PORT, SCRIPT("GET /", "", 0, "")}},
};

START_TEST(crowd_leaves_descriptors)
{
    const DescriptorCase *c = &descriptor_cases[_i];
    static Crowd crowd;
    Fleet fleet;
    StrBuf extra = {0};

    Fleet_Init(&fleet, build, SUBNET, 2, 1);
    StrBuf_AppendFmt(&extra, "\"memory_mb\":%d,\"descriptors_max\":%d",
                     MEMORY_MB, FEW_DESCRIPTORS);
    Fleet_SetExtraSettings(&fleet, StrBuf_View(&extra));
    for (int i = 0; i < 2; i++) {
        Fleet_StartNode(&fleet, i);
    }
    Fleet_StartBackend(&fleet, 1, Str_LIT("visor"), (Str){0});
    ck_assert(
        Fleet_WaitForPath(&fleet, 0, Str_LIT("/visor/ready"), Span_S(20)));
    Crowd_Add(&crowd, &fleet, 0, c->group.port, c->group.count,
              &c->group.script);
    check_ordinary(&fleet, c->name, "beside");
    check_nodes(&fleet, c->name, FEW_DESCRIPTORS);
    Crowd_Close(&crowd);
    check_ordinary(&fleet, c->name, "after");
    StrBuf_Finish(&extra);
    Fleet_Finish(&fleet);
}
END_TEST

/* A single body of the largest size, on a machine as small as our pages allow,
 * at the node beside its backend server too. */
START_TEST(largest_body_is_served_in_calm)
{
    const CrowdScript upload =
        SCRIPT("PUT /visor/a HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
               "X-Lycheeridge-Deadline-Ms: 30000\r\n"
               "Content-Length: 67108864\r\n\r\n",
               FILL_1024, 65536, "");
    static Crowd crowd;
    Fleet fleet;
    StrBuf answer = {0};

    Fleet_Init(&fleet, build, SUBNET, 1, 1);
    Fleet_SetExtraSettings(&fleet, Str_LIT("\"body_bytes_max\":67108864,"
                                           "\"memory_mb\":160,"
                                           "\"descriptors_max\":4100"));
    Fleet_StartNode(&fleet, 0);
    Fleet_StartBackend(&fleet, 0, Str_LIT("visor"), (Str){0});
    ck_assert(
        Fleet_WaitForPath(&fleet, 0, Str_LIT("/visor/ready"), Span_S(20)));
    Crowd_Add(&crowd, &fleet, 0, CALLERS_PORT, 1, &upload);
    ck_assert_int_ge(crowd.fds[0], 0);
    Fleet_RawRead(crowd.fds[0], ANSWER_TIMEOUT, &answer);
    ck_assert_msg(strncmp(StrBuf_CStr(&answer), "HTTP/1.1 200", 12) == 0,
                  "the largest body was answered \"%.40s\"",
                  StrBuf_CStr(&answer));
    printf("largest body: peak %d KB\n", Crowd_ReadPeakKb(fleet.vms[0].node));
    ck_assert(!Fleet_MEMORY_IS_CHECKED ||
              Crowd_ReadPeakKb(fleet.vms[0].node) <= 160 * KB);
    Crowd_Close(&crowd);
    StrBuf_Finish(&answer);
    Fleet_Finish(&fleet);
}
END_TEST

int
main(int argc, char **argv)
{
    const SuiteTest tests[] = {
        {crowd_stays_in_bounds, ROWS(crowd_cases)},
        {many_nodes_upload_to_one, 1},
        {many_uploads_end_at_once, 1},
        {crowd_leaves_descriptors, ROWS(descriptor_cases)},
        {largest_body_is_served_in_calm, 1},
    };

    build = Suite_GetBuildFolder(argc, argv);
    return Suite_Run("crowd", tests, 5, 180);
}
