/* Programs that change or read the routing while control replicas do not
 * answer, or answer late: they get an answer before they would give the node
 * up, and a change that may have run is not reported as one that did not.
 */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>

#include "operators.h"
#include "support/suite.h"

#define ROWS(table) (int)(sizeof(table) / sizeof(table)[0])

/* A program asks another node after so long. */
#define CALLER_WAIT Span_MS(1000)
#define HANG Span_S(9)

enum { SUBNET = 91, VMS = 4, REPLICAS = 3, NODE = 3, OPERATORS_PORT = 8100 };

static Str build;

static const Str preset =
    Str_LIT("{\"name\":\"ordinary\",\"limits\":{},\"routes\":[]}");

/* A question to the other region and its answer take 400 ms. */
static const Str slow_links =
    Str_LIT("delay norte>litoral 200000\ndelay litoral>norte 200000");

typedef enum {
    MAJORITY_STOPS, /* the leader and another replica */
    MAJORITY_KILLED,
    DISKS_HANG, /* of all but the leader, for long */
    SLOW_LINKS
} Trouble;

typedef struct {
    const char *path;
    Trouble trouble;
    bool asks_replica; /* one that still runs; else the node without one */
    Span wait;
    int status;
} Case;

#define READ "/v1/routing/read"
#define PUT "/v1/routing/put"
#define PATCH "/v1/routing/patch"

static const Case cases[] = {
    {READ, MAJORITY_STOPS, false, CALLER_WAIT, 503},
    {READ, MAJORITY_STOPS, true, CALLER_WAIT, 503},
    {READ, MAJORITY_KILLED, false, CALLER_WAIT, 503},
    {PUT, MAJORITY_STOPS, false, CALLER_WAIT, 503},
    {PUT, MAJORITY_STOPS, true, CALLER_WAIT, 503},
    {PATCH, MAJORITY_KILLED, false, CALLER_WAIT, 503},
    {READ, SLOW_LINKS, false, CALLER_WAIT, 200},
    {PUT, DISKS_HANG, true, Span_S(7), 504},
    {PUT, DISKS_HANG, false, Span_S(7), 504},
};

/* Returns a VM whose replica runs after the trouble has begun. */
static int
make_trouble(Fleet *fleet, Trouble trouble)
{
    int leader = Ops_WaitForLeader(fleet, Span_S(10));
    int next = (leader + 1) % REPLICAS;
    int last = (leader + 2) % REPLICAS;

    ck_assert_int_ge(leader, 0);
    switch (trouble) {
    case MAJORITY_STOPS:
        kill(fleet->vms[leader].node, SIGSTOP);
        kill(fleet->vms[next].node, SIGSTOP);
        Fleet_Sleep(Span_S(1));
        return last;
    case MAJORITY_KILLED:
        Fleet_Kill(&fleet->vms[leader].node, SIGKILL);
        Fleet_Kill(&fleet->vms[next].node, SIGKILL);
        Fleet_Sleep(Span_S(1));
        return last;
    case DISKS_HANG:
        Fleet_DelaySyncs(fleet, next, HANG);
        Fleet_DelaySyncs(fleet, last, HANG);
        return leader;
    case SLOW_LINKS: /* no replica in the region of the node */
        Fleet_Kill(&fleet->vms[2].node, SIGKILL);
        Fleet_Sleep(Span_S(1));
        ck_assert(Fleet_SendProxyCommand(fleet, slow_links));
        Fleet_Sleep(Span_S(1));
        break;
    }
    return leader;
}

static void
start_fleet(Fleet *fleet, const Case *c)
{
    OpsVersionWatch watch = {0};

    Fleet_Init(fleet, build, SUBNET, VMS, REPLICAS);
    Fleet_SetPreset(fleet, preset);
    Fleet_SetExtraSettings(fleet, Str_LIT("\"operators_open\":true"));
    if (c->trouble == SLOW_LINKS) {
        Fleet_UseProxy(fleet);
    }
    Fleet_DelaySyncs(fleet, 0, 0); /* can be delayed later */
    for (int vm = 0; vm < VMS; vm++) {
        Fleet_StartNode(fleet, vm);
    }
    ck_assert_int_ge(
        Ops_WaitForVersion(fleet, &watch, (ConfigVersion){1, 1}, Span_S(10)),
        0);
    Ops_PutRoutes(fleet, 1, 0, (Str){0});
}

/* Returns the status; 0 without an answer in time. */
static int
post(Fleet *fleet, int vm, const Case *c)
{
    Str body = Str_LIT(
        "{\"revision\":2,\"routes\":[],\"services\":[{\"name\":\"visor\"}]}");
    StrBuf text = {0};
    OpsAnswer answer;
    int status;
    int fd = Fleet_RawOpen(fleet, vm, OPERATORS_PORT);

    StrBuf_AppendFmt(&text,
                     "POST %s HTTP/1.1\r\nHost: a\r\nConnection: close\r\n"
                     "If-Match: 1\r\nContent-Length: %zu\r\n\r\n%.*s",
                     c->path, body.len, Str_ARG(body));
    ck_assert_int_ge(fd, 0);
    Fleet_RawSend(fd, StrBuf_View(&text));
    Ops_ReadAnswer(fd, c->wait, &answer);
    status = answer.status;
    Ops_FinishAnswer(&answer);
    StrBuf_Finish(&text);
    return status;
}

START_TEST(silence_until_the_caller_asks_elsewhere)
{
    const Case *c = &cases[_i];
    Fleet fleet;
    int replica;
    int status;

    start_fleet(&fleet, c);
    replica = make_trouble(&fleet, c->trouble);
    for (int i = 0; i < (c->status == 200 ? REPLICAS : 1); i++) {
        /* Each begins at another replica. */
        status = post(&fleet, c->asks_replica ? replica : NODE, c);
        ck_assert_msg(status == c->status, "%s: %d instead of %d", c->path,
                      status, c->status);
    }
    Fleet_Finish(&fleet);
}
END_TEST

int
main(int argc, char **argv)
{
    const SuiteTest tests[] = {
        {silence_until_the_caller_asks_elsewhere, ROWS(cases)}};

    build = Suite_GetBuildFolder(argc, argv);
    return Suite_Run("prompt answers", tests, 1, 60);
}
