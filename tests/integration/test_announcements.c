/* A node receives announcements of the backend server beside it, among them
 * delayed, reordered and repeated ones, and ones of other starts.  Checks
 * which backend server calls reach afterwards.
 */
#include <signal.h>
#include <stdio.h>
#include <string.h>

#include "operators.h"
#include "support/suite.h"

#define ROWS(table) (int)(sizeof(table) / sizeof(table)[0])

enum {
    SUBNET = 42,
    FIRST_PORT = 9000,
    SECOND_PORT = 9001,
    NO_PORT = 0,
    STEPS_MAX = 4,
    SERVICE_STEPS_MAX = 6,
    OPERATORS_PORT = 8100
};

#define APPLY_WAIT Span_MS(150)   /* until the node uses an announcement */
#define EXPIRY_WAIT Span_MS(2000) /* longer than backend_expiry_ms */

static Str build;

/* A request of a backend server to the node: an announcement or a leave. */
typedef struct {
    const char *id;      /* of the start */
    const char *service; /* NULL: a leave request with this id */
    int port;
    const char *state;
    int sequence;      /* rises within one start */
    int started_at_ms; /* start time, ms since 1970 */
    int status;        /* of the answer; 0: 200 */
} Announcement;

typedef struct {
    const char *name;
    Announcement announcements[STEPS_MAX]; /* sent in this order, up to one
                                              without an id */
    Span wait;        /* between the last announcement and the check */
    int serving_port; /* port of the backend server that calls reach; NO_PORT:
                         none */
} AnnouncementCase;

#define READY(id, port, sequence, started_at_ms)                              \
    {                                                                         \
        id, "visor", port, "ready", sequence, started_at_ms, 0                \
    }
#define DRAINING(id, port, sequence, started_at_ms)                           \
    {                                                                         \
        id, "visor", port, "draining", sequence, started_at_ms, 0             \
    }
/* Of a service that no preset names. */
#define STRAY(id, port, sequence, started_at_ms)                              \
    {                                                                         \
        id, "nobody", port, "ready", sequence, started_at_ms, 0               \
    }
#define STRAY_DRAINING(id, port, sequence, started_at_ms)                     \
    {                                                                         \
        id, "nobody", port, "draining", sequence, started_at_ms, 400          \
    }
#define LEAVE(id)                                                             \
    {                                                                         \
        id, NULL, 0, NULL, 0, 0, 0                                            \
    }

static const AnnouncementCase cases[] = {
    {"first announcement",
     {READY("a", FIRST_PORT, 1, 1000)},
     APPLY_WAIT,
     FIRST_PORT},
    {"announcement of a later start",
     {READY("a", FIRST_PORT, 7, 1000), READY("b", SECOND_PORT, 1, 2000)},
     APPLY_WAIT,
     SECOND_PORT},
    {"delayed announcement of an earlier start",
     {READY("a", FIRST_PORT, 1, 2000), READY("b", SECOND_PORT, 9, 1000)},
     APPLY_WAIT,
     FIRST_PORT},
    {"later start with the same id",
     {READY("a", FIRST_PORT, 9, 1000), READY("a", SECOND_PORT, 1, 2000)},
     APPLY_WAIT,
     SECOND_PORT},
    {"reordered",
     {READY("a", FIRST_PORT, 5, 1000), READY("a", SECOND_PORT, 4, 1000)},
     APPLY_WAIT,
     FIRST_PORT},
    {"repeated sequence number",
     {READY("a", FIRST_PORT, 5, 1000), READY("a", SECOND_PORT, 5, 1000)},
     APPLY_WAIT,
     FIRST_PORT},
    {"draining",
     {READY("a", FIRST_PORT, 1, 1000), DRAINING("a", FIRST_PORT, 2, 1000)},
     APPLY_WAIT,
     NO_PORT},
    {"draining, reordered",
     {READY("a", FIRST_PORT, 5, 1000), DRAINING("a", FIRST_PORT, 4, 1000)},
     APPLY_WAIT,
     NO_PORT},
    {"ready after draining",
     {DRAINING("a", FIRST_PORT, 2, 1000), READY("a", FIRST_PORT, 3, 1000)},
     APPLY_WAIT,
     NO_PORT},
    {"leave",
     {READY("a", FIRST_PORT, 1, 1000), LEAVE("a")},
     APPLY_WAIT,
     NO_PORT},
    {"announcement after leave",
     {READY("a", FIRST_PORT, 1, 1000), LEAVE("a"),
      READY("a", FIRST_PORT, 9, 1000)},
     APPLY_WAIT,
     NO_PORT},
    {"another start after leave",
     {READY("a", FIRST_PORT, 1, 1000), LEAVE("a"),
      READY("b", SECOND_PORT, 1, 2000)},
     APPLY_WAIT,
     SECOND_PORT},
    {"leave before any announcement, then a delayed one",
     {LEAVE("a"), READY("a", FIRST_PORT, 23, 1000)},
     APPLY_WAIT,
     NO_PORT},
    {"leave before any announcement, then another start",
     {LEAVE("a"), READY("b", SECOND_PORT, 1, 2000),
      READY("a", FIRST_PORT, 23, 1000)},
     APPLY_WAIT,
     SECOND_PORT},
    {"leave of another id",
     {READY("a", FIRST_PORT, 1, 1000), LEAVE("z")},
     APPLY_WAIT,
     FIRST_PORT},
    {"address reused by another service",
     {READY("a", FIRST_PORT, 1, 1000),
      {"b", "despachos", FIRST_PORT, "ready", 1, 2000, 0}},
     APPLY_WAIT,
     NO_PORT},
    {"a later start of an unknown service",
     {READY("a", FIRST_PORT, 1, 1000), STRAY("b", FIRST_PORT, 1, 2000),
      READY("a", FIRST_PORT, 2, 1000)},
     APPLY_WAIT,
     FIRST_PORT},
    {"a later start of an unknown service, at another address",
     {READY("a", FIRST_PORT, 1, 1000), STRAY("b", SECOND_PORT, 1, 2000)},
     APPLY_WAIT,
     FIRST_PORT},
    {"the same start, with an unknown service and a high sequence number",
     {READY("a", FIRST_PORT, 1, 1000), STRAY("a", SECOND_PORT, 900, 1000),
      READY("a", FIRST_PORT, 2, 1000)},
     APPLY_WAIT,
     FIRST_PORT},
    {"an unknown service, then the first announcement",
     {STRAY("b", FIRST_PORT, 1, 2000), READY("a", FIRST_PORT, 1, 1000)},
     APPLY_WAIT,
     FIRST_PORT},
    {"a later start of an unknown service drains",
     {READY("a", FIRST_PORT, 1, 1000),
      STRAY_DRAINING("b", FIRST_PORT, 1, 2000),
      READY("a", FIRST_PORT, 2, 1000)},
     APPLY_WAIT,
     FIRST_PORT},
    {"the same start drains, with an unknown service",
     {READY("a", FIRST_PORT, 1, 1000),
      STRAY_DRAINING("a", FIRST_PORT, 2, 1000),
      READY("a", FIRST_PORT, 3, 1000)},
     APPLY_WAIT,
     FIRST_PORT},
    {"no further announcement",
     {READY("a", FIRST_PORT, 1, 1000)},
     EXPIRY_WAIT,
     NO_PORT},
};

static void
start_backend(Fleet *fleet, int port)
{
    StrBuf command = {0};
    Str ip = StrBuf_View(&fleet->vms[0].ip);

    /* Its own announcements go to a port without a listener, so that the node
     * gets only those of the test. */
    StrBuf_AppendFmt(&command,
                     "%.*s/fakeback --service visor --listen %.*s:%d "
                     "--node %.*s:9999",
                     Str_ARG(fleet->build_folder), Str_ARG(ip), port,
                     Str_ARG(ip));
    *(port == FIRST_PORT ? &fleet->vms[0].backend : &fleet->vms[1].backend) =
        Fleet_StartProcess(fleet, &command, "backend");
    StrBuf_Finish(&command);
}

/* Returns how many requests the backend server at PORT has served. */
static uint64_t
count_served(Fleet *fleet, int port)
{
    const Str name = Str_LIT("served ");
    StrBuf counts = {0};
    uint64_t served = 0;
    const char *found = NULL;

    if (Fleet_Get(fleet, 0, port, Str_LIT("/fake/counts"), &counts)) {
        found = memmem(counts.ptr, counts.len, name.ptr, name.len);
    }
    ck_assert_ptr_nonnull(found);
    sscanf(StrBuf_CStr(&counts) + (found - counts.ptr), "served %lu", &served);
    StrBuf_Finish(&counts);
    return served;
}

/* Sends ANNOUNCEMENT to the node and checks the status of its answer. */
static void
send_announcement(Fleet *fleet, const char *name,
                  const Announcement *announcement)
{
    StrBuf path = {0};
    StrBuf body = {0};
    int status = announcement->status ? announcement->status : 200;
    OpsAnswer answer;

    StrBuf_AppendFmt(&path, "/v1/backends/%s?id=%s",
                     announcement->service ? "announce" : "leave",
                     announcement->id);
    if (announcement->service) {
        StrBuf_AppendFmt(&body,
                         "{\"service\":\"%s\",\"address\":\"%.*s:%d\","
                         "\"slots\":4,\"state\":\"%s\",\"sequence\":%d,"
                         "\"born\":%d}",
                         announcement->service, Str_ARG(fleet->vms[0].ip),
                         announcement->port, announcement->state,
                         announcement->sequence, announcement->started_at_ms);
    }
    Ops_ReadAnswer(Ops_SendRequest(fleet, 0, "POST", StrBuf_CStr(&path),
                                   StrBuf_View(&body)),
                   Span_S(2), &answer);
    ck_assert_msg(answer.status == status,
                  "%s: announcement of %s got status %d", name,
                  announcement->id, answer.status);
    Ops_FinishAnswer(&answer);
    StrBuf_Finish(&path);
    StrBuf_Finish(&body);
}

/* Sends one call and checks that it reaches only the backend server at
 * c->serving_port. */
static void
check_serving_backend(Fleet *fleet, const AnnouncementCase *c)
{
    FleetRequest request = {.method = Str_LIT("GET"),
                            .path = Str_LIT("/visor/a"),
                            .headers =
                                Str_LIT("X-Lycheeridge-Deadline-Ms: 500"),
                            .timeout = Span_S(2)};
    FleetAnswer answer;
    uint64_t first_served = count_served(fleet, FIRST_PORT);
    uint64_t second_served = count_served(fleet, SECOND_PORT);

    Fleet_Send(fleet, 0, &request, &answer);
    first_served = count_served(fleet, FIRST_PORT) - first_served;
    second_served = count_served(fleet, SECOND_PORT) - second_served;
    ck_assert_msg((answer.status == 200) == (c->serving_port != NO_PORT),
                  "%s: call got status %ld", c->name, answer.status);
    ck_assert_msg(first_served == (c->serving_port == FIRST_PORT) &&
                      second_served == (c->serving_port == SECOND_PORT),
                  "%s: the backend servers served %d and %d calls", c->name,
                  (int)first_served, (int)second_served);
    Fleet_FinishAnswer(&answer);
}

START_TEST(calls_reach_announced_backend)
{
    const AnnouncementCase *c = &cases[_i];
    Fleet fleet;

    Fleet_Init(&fleet, build, SUBNET, 2, 1);
    Fleet_StartNode(&fleet, 0);
    start_backend(&fleet, FIRST_PORT);
    start_backend(&fleet, SECOND_PORT);
    ck_assert_int_eq(Ops_WaitForLeader(&fleet, Span_S(10)), 0);
    Fleet_Sleep(Span_MS(500));
    for (int i = 0; i < STEPS_MAX && c->announcements[i].id; i++) {
        send_announcement(&fleet, c->name, &c->announcements[i]);
    }
    Fleet_Sleep(c->wait);
    check_serving_backend(&fleet, c);
    Fleet_Finish(&fleet);
}
END_TEST

/* What happens to the configuration and to the announcements, in order. */
typedef struct {
    const char *services; /* of a new routing; NULL: an announcement */
    Announcement announcement;
} ServiceStep;

typedef struct {
    const char *name;
    ServiceStep steps[SERVICE_STEPS_MAX];
    int serving_port;
} ServiceCase;

#define NO_ANNOUNCEMENT LEAVE(NULL)
#define ROUTED "{\"name\":\"visor\"}"
#define OTHER "{\"name\":\"other\"}"

static const ServiceCase service_cases[] = {
    {"named after the first announcement",
     {{NULL, READY("a", FIRST_PORT, 1, 1000)},
      {ROUTED, NO_ANNOUNCEMENT},
      {NULL, READY("a", FIRST_PORT, 2, 1000)}},
     FIRST_PORT},
    {"an unknown service before any is named",
     {{NULL, STRAY("b", SECOND_PORT, 1, 2000)},
      {ROUTED, NO_ANNOUNCEMENT},
      {NULL, READY("a", FIRST_PORT, 2, 1000)}},
     FIRST_PORT},
    {"an unknown service in place of the real one before any is named",
     {{NULL, READY("a", FIRST_PORT, 1, 1000)},
      {NULL, STRAY("a", SECOND_PORT, 900, 1000)},
      {ROUTED, NO_ANNOUNCEMENT},
      {NULL, READY("a", FIRST_PORT, 2, 1000)}},
     FIRST_PORT},
    {"named by a later routing than the first",
     {{OTHER, NO_ANNOUNCEMENT},
      {NULL, READY("a", FIRST_PORT, 1, 1000)},
      {ROUTED, NO_ANNOUNCEMENT},
      {NULL, READY("a", FIRST_PORT, 2, 1000)}},
     FIRST_PORT},
    {"no longer named, and named again",
     {{ROUTED, NO_ANNOUNCEMENT},
      {NULL, READY("a", FIRST_PORT, 1, 1000)},
      {OTHER, NO_ANNOUNCEMENT},
      {NULL, READY("a", FIRST_PORT, 2, 1000)},
      {ROUTED, NO_ANNOUNCEMENT}},
     FIRST_PORT},
    {"started again while it is not named",
     {{ROUTED, NO_ANNOUNCEMENT},
      {NULL, READY("a", FIRST_PORT, 1, 1000)},
      {OTHER, NO_ANNOUNCEMENT},
      {NULL, READY("a", SECOND_PORT, 1, 2000)},
      {ROUTED, NO_ANNOUNCEMENT},
      {NULL, READY("a", SECOND_PORT, 2, 2000)}},
     SECOND_PORT},
    {"drains while it is not named",
     {{ROUTED, NO_ANNOUNCEMENT},
      {NULL, READY("a", FIRST_PORT, 1, 1000)},
      {OTHER, NO_ANNOUNCEMENT},
      {NULL, DRAINING("a", FIRST_PORT, 2, 1000)},
      {ROUTED, NO_ANNOUNCEMENT},
      {NULL, READY("a", FIRST_PORT, 3, 1000)}},
     NO_PORT},
};

/* Puts REVISION of the routing in force, with SERVICES and a route to the
 * first of them. */
static void
put_services(Fleet *fleet, const char *name, int revision,
             const char *services)
{
    StrBuf body = {0};
    StrBuf request = {0};
    OpsAnswer answer;
    int fd = Fleet_RawOpen(fleet, 0, OPERATORS_PORT);

    StrBuf_AppendFmt(&body,
                     "{\"revision\":%d,\"services\":[%s],\"routes\":["
                     "{\"name\":\"r\",\"host\":\"%.*s\",\"path\":\"/\","
                     "\"kind\":\"idempotent\",\"service\":\"%s\"}]}",
                     revision, services, Str_ARG(fleet->vms[0].ip),
                     strcmp(services, ROUTED) ? "other" : "visor");
    StrBuf_AppendFmt(&request,
                     "POST /v1/routing/put HTTP/1.1\r\nHost: n\r\n"
                     "Connection: close\r\nIf-Match: %d\r\n"
                     "Authorization: Bearer test-key\r\n"
                     "Content-Length: %zu\r\n\r\n%.*s",
                     revision - 1, body.len, Str_ARG(body));
    Fleet_RawSend(fd, StrBuf_View(&request));
    Ops_ReadAnswer(fd, Span_S(5), &answer);
    ck_assert_msg(answer.status == 200, "%s: revision %d got status %d", name,
                  revision, answer.status);
    Ops_FinishAnswer(&answer);
    StrBuf_Finish(&body);
    StrBuf_Finish(&request);
}

START_TEST(named_services_are_taken)
{
    const ServiceCase *c = &service_cases[_i];
    const AnnouncementCase expected = {.name = c->name,
                                       .serving_port = c->serving_port};
    Fleet fleet;
    int revision = 0;

    Fleet_Init(&fleet, build, SUBNET, 2, 1);
    Fleet_SetPreset(&fleet, Str_LIT("{\"name\":\"none\",\"limits\":{},"
                                    "\"routes\":[]}"));
    Fleet_StartNode(&fleet, 0);
    start_backend(&fleet, FIRST_PORT);
    start_backend(&fleet, SECOND_PORT);
    ck_assert_int_eq(Ops_WaitForLeader(&fleet, Span_S(10)), 0);
    Fleet_Sleep(Span_MS(500));
    for (int i = 0; i < SERVICE_STEPS_MAX; i++) {
        const ServiceStep *step = &c->steps[i];
        if (step->services) {
            put_services(&fleet, c->name, ++revision, step->services);
            Fleet_Sleep(Span_MS(300));
        }
        else if (step->announcement.id) {
            send_announcement(&fleet, c->name, &step->announcement);
        }
    }
    Fleet_Sleep(APPLY_WAIT);
    check_serving_backend(&fleet, &expected);
    Fleet_Finish(&fleet);
}
END_TEST

int
main(int argc, char **argv)
{
    const SuiteTest tests[] = {
        {calls_reach_announced_backend, ROWS(cases)},
        {named_services_are_taken, ROWS(service_cases)}};

    build = Suite_GetBuildFolder(argc, argv);
    return Suite_Run("announcements", tests, 2, 30);
}
