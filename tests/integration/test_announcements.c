/* Announcements of a backend server's starts, late, overtaken and foreign, to
 * the node beside it: whom calls reach afterwards.
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
    STEPS_MAX = 4
};

#define APPLY_WAIT Span_MS(150)
#define EXPIRY_WAIT Span_MS(2000) /* over the fleet's backend_expiry_ms */

static Str build;

typedef struct {
    const char *id;
    const char *service; /* NULL: it leaves */
    int port;
    const char *state;
    int sequence;
    int born;
} Announcement;

typedef struct {
    const char *name;
    Announcement announcements[STEPS_MAX]; /* one after the other, until one
                                              without an id */
    Span wait;
    int serving_port; /* its port */
} AnnouncementCase;

#define READY(id, port, sequence, born)                                       \
    {                                                                         \
        id, "visor", port, "ready", sequence, born                            \
    }
#define DRAINING(id, port, sequence, born)                                    \
    {                                                                         \
        id, "visor", port, "draining", sequence, born                         \
    }
#define LEAVE(id)                                                             \
    {                                                                         \
        id, NULL, 0, NULL, 0, 0                                               \
    }

static const AnnouncementCase cases[] = {
    {"the first one",
     {READY("a", FIRST_PORT, 1, 1000)},
     APPLY_WAIT,
     FIRST_PORT},
    {"a later start",
     {READY("a", FIRST_PORT, 7, 1000), READY("b", SECOND_PORT, 1, 2000)},
     APPLY_WAIT,
     SECOND_PORT},
    {"a late word of an earlier start",
     {READY("a", FIRST_PORT, 1, 2000), READY("b", SECOND_PORT, 9, 1000)},
     APPLY_WAIT,
     FIRST_PORT},
    {"the same id, started later",
     {READY("a", FIRST_PORT, 9, 1000), READY("a", SECOND_PORT, 1, 2000)},
     APPLY_WAIT,
     SECOND_PORT},
    {"overtaken",
     {READY("a", FIRST_PORT, 5, 1000), READY("a", SECOND_PORT, 4, 1000)},
     APPLY_WAIT,
     FIRST_PORT},
    {"the same word once more",
     {READY("a", FIRST_PORT, 5, 1000), READY("a", SECOND_PORT, 5, 1000)},
     APPLY_WAIT,
     FIRST_PORT},
    {"it drains",
     {READY("a", FIRST_PORT, 1, 1000), DRAINING("a", FIRST_PORT, 2, 1000)},
     APPLY_WAIT,
     NO_PORT},
    {"it drains, overtaken",
     {READY("a", FIRST_PORT, 5, 1000), DRAINING("a", FIRST_PORT, 4, 1000)},
     APPLY_WAIT,
     NO_PORT},
    {"ready after it drained",
     {DRAINING("a", FIRST_PORT, 2, 1000), READY("a", FIRST_PORT, 3, 1000)},
     APPLY_WAIT,
     NO_PORT},
    {"it leaves",
     {READY("a", FIRST_PORT, 1, 1000), LEAVE("a")},
     APPLY_WAIT,
     NO_PORT},
    {"a word after it left",
     {READY("a", FIRST_PORT, 1, 1000), LEAVE("a"),
      READY("a", FIRST_PORT, 9, 1000)},
     APPLY_WAIT,
     NO_PORT},
    {"another start after it left",
     {READY("a", FIRST_PORT, 1, 1000), LEAVE("a"),
      READY("b", SECOND_PORT, 1, 2000)},
     APPLY_WAIT,
     SECOND_PORT},
    {"another one leaves",
     {READY("a", FIRST_PORT, 1, 1000), LEAVE("z")},
     APPLY_WAIT,
     FIRST_PORT},
    {"its address used again by another service",
     {READY("a", FIRST_PORT, 1, 1000),
      {"b", "despachos", FIRST_PORT, "ready", 1, 2000}},
     APPLY_WAIT,
     NO_PORT},
    {"silent", {READY("a", FIRST_PORT, 1, 1000)}, EXPIRY_WAIT, NO_PORT},
};

static void
start_backend(Fleet *fleet, int port)
{
    StrBuf command = {0};
    Str ip = StrBuf_View(&fleet->vms[0].ip);

    /* It announces itself where nobody listens. */
    StrBuf_AppendFmt(&command,
                     "%.*s/fakeback --service visor --listen %.*s:%d "
                     "--node %.*s:9999",
                     Str_ARG(fleet->build_folder), Str_ARG(ip), port,
                     Str_ARG(ip));
    *(port == FIRST_PORT ? &fleet->vms[0].backend : &fleet->vms[1].backend) =
        Fleet_StartProcess(fleet, &command, "backend");
    StrBuf_Finish(&command);
}

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

static void
send_announcement(Fleet *fleet, const AnnouncementCase *c,
                  const Announcement *announcement)
{
    StrBuf path = {0};
    StrBuf body = {0};
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
                         announcement->sequence, announcement->born);
    }
    Ops_ReadAnswer(Ops_SendRequest(fleet, 0, "POST", StrBuf_CStr(&path),
                                   StrBuf_View(&body)),
                   Span_S(2), &answer);
    ck_assert_msg(answer.status == 200, "%s: %s was answered %d", c->name,
                  announcement->id, answer.status);
    Ops_FinishAnswer(&answer);
    StrBuf_Finish(&path);
    StrBuf_Finish(&body);
}

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
                  "%s: answered %ld", c->name, answer.status);
    ck_assert_msg(first_served == (c->serving_port == FIRST_PORT) &&
                      second_served == (c->serving_port == SECOND_PORT),
                  "%s: %d and %d served", c->name, (int)first_served,
                  (int)second_served);
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
        send_announcement(&fleet, c, &c->announcements[i]);
    }
    Fleet_Sleep(c->wait);
    check_serving_backend(&fleet, c);
    Fleet_Finish(&fleet);
}
END_TEST

int
main(int argc, char **argv)
{
    const SuiteTest tests[] = {{calls_reach_announced_backend, ROWS(cases)}};

    build = Suite_GetBuildFolder(argc, argv);
    return Suite_Run("announcements", tests, 1, 30);
}
