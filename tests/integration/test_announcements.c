/* Announcements of a backend server's starts, late, overtaken and foreign, to
 * the node beside it: whom calls reach afterwards.
 */
#include <signal.h>
#include <stdio.h>
#include <string.h>

#include "operators.h"
#include "support/suite.h"

#define ROWS(table) (int)(sizeof(table) / sizeof(table)[0])

enum { SUBNET = 42, ONE = 9000, OTHER = 9001, NOBODY = 0, STEPS = 4 };

#define TAKEN Span_MS(150)
#define EXPIRED Span_MS(2000) /* over the fleet's backend_expiry_ms */

static Str build;

typedef struct {
    const char *id;
    const char *service; /* NULL: it leaves */
    int port;
    const char *state;
    int sequence;
    int born;
} Word;

typedef struct {
    const char *name;
    Word words[STEPS]; /* one after the other, until one without an id */
    Span wait;
    int serves; /* its port */
} Case;

#define READY(id, port, sequence, born)                                       \
    {                                                                         \
        id, "visor", port, "ready", sequence, born                            \
    }
#define DRAINS(id, port, sequence, born)                                      \
    {                                                                         \
        id, "visor", port, "draining", sequence, born                         \
    }
#define LEAVES(id)                                                            \
    {                                                                         \
        id, NULL, 0, NULL, 0, 0                                               \
    }

static const Case cases[] = {
    {"the first one", {READY("a", ONE, 1, 1000)}, TAKEN, ONE},
    {"a later start",
     {READY("a", ONE, 7, 1000), READY("b", OTHER, 1, 2000)},
     TAKEN,
     OTHER},
    {"a late word of an earlier start",
     {READY("a", ONE, 1, 2000), READY("b", OTHER, 9, 1000)},
     TAKEN,
     ONE},
    {"the same id, started later",
     {READY("a", ONE, 9, 1000), READY("a", OTHER, 1, 2000)},
     TAKEN,
     OTHER},
    {"overtaken",
     {READY("a", ONE, 5, 1000), READY("a", OTHER, 4, 1000)},
     TAKEN,
     ONE},
    {"the same word once more",
     {READY("a", ONE, 5, 1000), READY("a", OTHER, 5, 1000)},
     TAKEN,
     ONE},
    {"it drains",
     {READY("a", ONE, 1, 1000), DRAINS("a", ONE, 2, 1000)},
     TAKEN,
     NOBODY},
    {"it drains, overtaken",
     {READY("a", ONE, 5, 1000), DRAINS("a", ONE, 4, 1000)},
     TAKEN,
     NOBODY},
    {"ready after it drained",
     {DRAINS("a", ONE, 2, 1000), READY("a", ONE, 3, 1000)},
     TAKEN,
     NOBODY},
    {"it leaves", {READY("a", ONE, 1, 1000), LEAVES("a")}, TAKEN, NOBODY},
    {"a word after it left",
     {READY("a", ONE, 1, 1000), LEAVES("a"), READY("a", ONE, 9, 1000)},
     TAKEN,
     NOBODY},
    {"another start after it left",
     {READY("a", ONE, 1, 1000), LEAVES("a"), READY("b", OTHER, 1, 2000)},
     TAKEN,
     OTHER},
    {"another one leaves",
     {READY("a", ONE, 1, 1000), LEAVES("z")},
     TAKEN,
     ONE},
    {"its address used again by another service",
     {READY("a", ONE, 1, 1000), {"b", "despachos", ONE, "ready", 1, 2000}},
     TAKEN,
     NOBODY},
    {"silent", {READY("a", ONE, 1, 1000)}, EXPIRED, NOBODY},
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
    *(port == ONE ? &fleet->vms[0].backend : &fleet->vms[1].backend) =
        Fleet_StartProcess(fleet, &command, "backend");
    StrBuf_Finish(&command);
}

static uint64_t
served_at(Fleet *fleet, int port)
{
    const Str name = Str_LIT("served ");
    StrBuf counts = {0};
    uint64_t served = 0;
    const char *at = NULL;

    if (Fleet_Get(fleet, 0, port, Str_LIT("/fake/counts"), &counts)) {
        at = memmem(counts.ptr, counts.len, name.ptr, name.len);
    }
    ck_assert_ptr_nonnull(at);
    sscanf(StrBuf_CStr(&counts) + (at - counts.ptr), "served %lu", &served);
    StrBuf_Finish(&counts);
    return served;
}

static void
say(Fleet *fleet, const Case *c, const Word *word)
{
    StrBuf path = {0};
    StrBuf body = {0};
    OpsAnswer answer;

    StrBuf_AppendFmt(&path, "/v1/backends/%s?id=%s",
                     word->service ? "announce" : "leave", word->id);
    if (word->service) {
        StrBuf_AppendFmt(&body,
                         "{\"service\":\"%s\",\"address\":\"%.*s:%d\","
                         "\"slots\":4,\"state\":\"%s\",\"sequence\":%d,"
                         "\"born\":%d}",
                         word->service, Str_ARG(fleet->vms[0].ip), word->port,
                         word->state, word->sequence, word->born);
    }
    Ops_ReadAnswer(Ops_SendRequest(fleet, 0, "POST", StrBuf_CStr(&path),
                                   StrBuf_View(&body)),
                   Span_S(2), &answer);
    ck_assert_msg(answer.status == 200, "%s: %s was answered %d", c->name,
                  word->id, answer.status);
    Ops_FinishAnswer(&answer);
    StrBuf_Finish(&path);
    StrBuf_Finish(&body);
}

static void
check_served(Fleet *fleet, const Case *c)
{
    FleetRequest request = {.method = Str_LIT("GET"),
                            .path = Str_LIT("/visor/a"),
                            .headers =
                                Str_LIT("X-Lycheeridge-Deadline-Ms: 500"),
                            .timeout = Span_S(2)};
    FleetAnswer answer;
    uint64_t one = served_at(fleet, ONE);
    uint64_t other = served_at(fleet, OTHER);

    Fleet_Send(fleet, 0, &request, &answer);
    one = served_at(fleet, ONE) - one;
    other = served_at(fleet, OTHER) - other;
    ck_assert_msg((answer.status == 200) == (c->serves != NOBODY),
                  "%s: answered %ld", c->name, answer.status);
    ck_assert_msg(one == (c->serves == ONE) && other == (c->serves == OTHER),
                  "%s: %d and %d served", c->name, (int)one, (int)other);
    Fleet_FinishAnswer(&answer);
}

START_TEST(calls_reach_who_is_there)
{
    const Case *c = &cases[_i];
    Fleet fleet;

    Fleet_Init(&fleet, build, SUBNET, 2, 1);
    Fleet_StartNode(&fleet, 0);
    start_backend(&fleet, ONE);
    start_backend(&fleet, OTHER);
    ck_assert_int_eq(Ops_WaitForLeader(&fleet, Span_S(10)), 0);
    Fleet_Sleep(Span_MS(500));
    for (int i = 0; i < STEPS && c->words[i].id; i++) {
        say(&fleet, c, &c->words[i]);
    }
    Fleet_Sleep(c->wait);
    check_served(&fleet, c);
    Fleet_Finish(&fleet);
}
END_TEST

int
main(int argc, char **argv)
{
    const SuiteTest tests[] = {{calls_reach_who_is_there, ROWS(cases)}};

    build = Suite_GetBuildFolder(argc, argv);
    return Suite_Run("announcements", tests, 1, 30);
}
