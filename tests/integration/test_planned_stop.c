/* Guards against the failure that requests were lost around a planned stop:
 * answers cut on the way to callers that read late or slowly, and no answer to
 * requests that were being read. */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>

#include "fleet_mix.h"
#include "operators.h"
#include "process/loop.h"
#include "support/suite.h"

#define ROWS(table) (int)(sizeof(table) / sizeof(table)[0])

enum { SUBNET = 61, VMS = 4, STOPPED_VM = 1, MANY = 90, FEW = 4 };

#define SIGNAL_AT Span_MS(1500)
#define GRACE Span_S(6)
/* Requests are sent until half of the grace time has passed. */
#define LAST_SEND (SIGNAL_AT + GRACE / 2)
/* A connection may end within this time of a request's last byte: the request
 * and the end of the connection cross each other. */
#define CROSSING_TIME Span_MS(200)

#define REJECT_TIME Span_MS(500)

static Str build;

typedef struct {
    const char *name;
    Span work_max;
    uint32_t seed;
    int caller_vm;   /* callers connect there */
    int callers;     /* with few, the stop ends early */
    bool is_full;    /* backend servers have fewer slots than work */
    bool has_notice; /* callers are told of the stop before it closes their
                        connections */
    bool local_only; /* one backend server, beside the node that stops, else
                        beside all */
    bool has_proxy;  /* between the nodes */
} StopCase;

static const StopCase cases[] = {
    {"room", Span_MS(1500), 102, STOPPED_VM, MANY, .has_notice = true},
    {"full", Span_MS(500), 103, STOPPED_VM, MANY, .is_full = true,
     .has_notice = true},
    {"no notice", Span_MS(1500), 104, STOPPED_VM, MANY, .has_notice = false},
    {"no hop", Span_MS(1500), 5, STOPPED_VM, MANY, .has_notice = true,
     .local_only = true},
    {"beside the backend server", Span_MS(1500), 102, 2, MANY,
     .has_notice = true},
    {"few callers", Span_MS(1500), 7, STOPPED_VM, FEW, .has_notice = true},
    {"few callers, no notice", Span_MS(1500), 8, STOPPED_VM, FEW,
     .has_notice = false},
};

typedef struct {
    Fleet *fleet;
    bool signaled;
    Instant signaled_at;
    bool exited;
    Span took;
    int status;
    Str fault; /* a command for the proxy; sent before the signal */
    bool is_cut;
} Stop;

static void
start_fleet(Fleet *fleet, const StopCase *c)
{
    static const Str routes =
        Str_LIT("{\"name\":\"look\",\"host\":\"barns\",\"path\":\"/look/\","
                "\"kind\":\"idempotent\",\"deadline_ms\":10000,"
                "\"objective_ms\":4000,\"priority\":1,\"service\":\"visor\"},"
                "{\"name\":\"book\",\"host\":\"barns\",\"path\":\"/book/\","
                "\"kind\":\"non_idempotent\",\"deadline_ms\":10000,"
                "\"objective_ms\":4000,\"priority\":1,\"service\":\"visor\"}");
    StrBuf settings = {0};

    Fleet_Init(fleet, build, SUBNET, VMS, 1);
    StrBuf_AppendFmt(&settings,
                     "\"operators_open\":true,\"bounds\":[\"stop_grace_s=6\"],"
                     "\"stop_notice_ms\":%d",
                     c->has_notice ? 2500 : 0);
    Fleet_SetExtraSettings(fleet, StrBuf_View(&settings));
    StrBuf_Finish(&settings);
    if (c->has_proxy) {
        Fleet_UseProxy(fleet);
    }
    for (int i = 0; i < VMS; i++) {
        Fleet_StartNode(fleet, i);
    }
    for (int i = 1; i < VMS; i++) {
        if (i == STOPPED_VM || !c->local_only) {
            Fleet_StartBackend(fleet, i, Str_LIT("visor"),
                               c->is_full ? Str_LIT("--slots=4")
                                          : Str_LIT("--slots=90"));
        }
    }
    for (int i = 0; i < VMS; i++) {
        ck_assert(
            Fleet_WaitForPath(fleet, i, Str_LIT("/visor/ready"), Span_S(10)));
    }
    Ops_PutRoutes(fleet, 1, 0, routes);
    Fleet_Sleep(Span_S(2));
}

static void
on_tick(void *context, Span elapsed)
{
    Stop *stop = context;
    pid_t *node = &stop->fleet->vms[STOPPED_VM].node;

    if (!stop->signaled && elapsed >= SIGNAL_AT) {
        kill(*node, SIGTERM);
        stop->signaled = true;
    }
    if (stop->signaled && !stop->exited &&
        waitpid(*node, &stop->status, WNOHANG) == *node) {
        stop->exited = true;
        stop->took = elapsed - SIGNAL_AT;
        *node = 0;
    }
    if (!stop->exited && elapsed >= SIGNAL_AT + GRACE) {
        kill(*node, SIGKILL);
    }
}

/* Waits for the end of the process after the last caller has ended. */
static void
wait_for_exit(Stop *stop, const Mix *mix)
{
    while (!stop->exited) {
        on_tick(stop, Loop_Now() - mix->started_at);
        Fleet_Sleep(Span_MS(10));
    }
}

/* A request that the connection's end crossed, or that was sent behind another
 * one, may get no answer when no backend server has run it. */
static bool
is_excused(Fleet *fleet, const MixResult *result, bool is_behind)
{
    return result->outcome == Mix_SILENT &&
           Fleet_CountEffects(fleet, Str_FromC(result->id)) == 0 &&
           (is_behind || result->ended_at - result->sent_at < CROSSING_TIME);
}

static bool
is_lost(Fleet *fleet, const MixResult *result, bool is_behind)
{
    switch (result->outcome) {
    case Mix_UNSENT:
    case Mix_ANSWERED:
        return false;
    case Mix_REJECTED:
        return Fleet_CountEffects(fleet, Str_FromC(result->id)) > 0;
    default:
        return !is_excused(fleet, result, is_behind);
    }
}

/* Whether a request was rejected later than the stop makes sure that it cannot
 * run: its caller could have sent it elsewhere. */
static bool
is_rejected_late(const MixPlan *plan, const MixResult *result, bool is_behind)
{
    return result->outcome == Mix_REJECTED && !is_behind &&
           plan->read_after == 0 && result->ended_at > LAST_SEND + REJECT_TIME;
}

/* Prints what became of the requests, by outcome, and the callers that lost
 * one.  Returns how many were lost. */
static int
count_lost(Fleet *fleet, const Mix *mix, const char *name, const Stop *stop)
{
    int by_outcome[Mix_WRONG + 1] = {0};
    int lost = 0;
    StrBuf text = {0};

    for (int i = 0; i < mix->count; i++) {
        const MixPlan *plan = Mix_GetPlan(mix, i);
        int before = lost;
        for (int k = 0; k < plan->request_count; k++) {
            const MixResult *result = Mix_GetResult(mix, i, k);
            by_outcome[result->outcome]++;
            lost += is_lost(fleet, result, k > 0) ||
                    is_rejected_late(plan, result, k > 0);
        }
        if (lost > before) {
            Mix_Print(mix, i, &text);
        }
    }
    fprintf(stderr,
            "%s: unsent %d, answered %d, rejected %d, failed %d, cut %d, "
            "silent %d, wrong %d; lost %d; stop took %lld ms\n%.*s",
            name, by_outcome[Mix_UNSENT], by_outcome[Mix_ANSWERED],
            by_outcome[Mix_REJECTED], by_outcome[Mix_FAILED],
            by_outcome[Mix_CUT], by_outcome[Mix_SILENT], by_outcome[Mix_WRONG],
            lost, (long long)(stop->took / 1000), Str_ARG(text));
    StrBuf_Finish(&text);
    return lost;
}

static uint32_t
get_seed(const StopCase *c)
{
    const char *given = getenv("MIX_SEED");

    return given ? (uint32_t)atoi(given) : c->seed;
}

START_TEST(planned_stop_loses_no_request)
{
    const StopCase *c = &cases[_i];
    Fleet fleet;
    Mix mix;
    MixPlan plans[MANY];
    Stop stop = {.fleet = &fleet};
    Rng rng;

    Rng_Init(&rng, get_seed(c));
    for (int i = 0; i < c->callers; i++) {
        Mix_Draw(&plans[i], &rng, c->caller_vm, Span_MS(100), LAST_SEND,
                 c->work_max);
    }
    Rng_Finish(&rng);
    start_fleet(&fleet, c);
    Mix_Init(&mix, &fleet, plans, c->callers);
    mix.context = &stop;
    mix.on_tick = on_tick;
    Mix_Run(&mix, SIGNAL_AT + GRACE + Span_S(2));
    wait_for_exit(&stop, &mix);
    ck_assert_int_eq(count_lost(&fleet, &mix, c->name, &stop), 0);
    ck_assert_msg(WIFEXITED(stop.status) && WEXITSTATUS(stop.status) == 0,
                  "%s: status %x", c->name, (unsigned)stop.status);
    Mix_Finish(&mix);
    Fleet_Finish(&fleet);
}
END_TEST

/* Requests that are being sent around a stop, by one caller. */
typedef struct {
    const char *name;
    MixPlan plan;
    MixOutcome outcome; /* of its last request */
    Span ended_by;      /* after the signal */
} SendingCase;

static const SendingCase sending_cases[] = {
    {"sent in pieces until after the notice",
     {.vm = STOPPED_VM,
      .request_count = 1,
      .requests = {{.send_at = SIGNAL_AT + Span_MS(500),
                    .is_booking = true,
                    .body_bytes = 100,
                    .piece_count = 3,
                    .piece_gap = Span_MS(500),
                    .answer_bytes = 40}}},
     Mix_ANSWERED,
     Span_S(2)},
    {"the rest would come after the stop",
     {.vm = STOPPED_VM,
      .request_count = 1,
      .requests = {{.send_at = SIGNAL_AT + Span_MS(500),
                    .is_booking = true,
                    .body_bytes = 100,
                    .piece_count = 3,
                    .piece_gap = Span_MS(3000),
                    .answer_bytes = 40}}},
     Mix_REJECTED,
     Span_S(3)},
    {"kept open after an answer of whole pieces",
     {.vm = STOPPED_VM,
      .request_count = 2,
      .requests = {{.send_at = Span_MS(500), .answer_bytes = 65536},
                   {.send_at = Span_S(60)}}},
     Mix_UNSENT,
     Span_S(3)},
    {"the rest would come after the stop, behind an answer",
     {.vm = STOPPED_VM,
      .request_count = 2,
      .requests = {{.send_at = SIGNAL_AT - Span_MS(500),
                    .answer_bytes = 300000,
                    .work = Span_MS(2500)},
                   {.send_at = SIGNAL_AT + Span_MS(500),
                    .is_pipelined = true,
                    .is_booking = true,
                    .body_bytes = 100,
                    .piece_count = 2,
                    .piece_gap = Span_S(6),
                    .answer_bytes = 40}}},
     Mix_REJECTED,
     Span_S(3)},
};

START_TEST(request_being_sent_is_answered)
{
    const SendingCase *c = &sending_cases[_i];
    const StopCase fleet_case = {.has_notice = true};
    int last = c->plan.request_count - 1;
    Fleet fleet;
    Mix mix;
    Stop stop = {.fleet = &fleet};
    const MixResult *result;
    StrBuf text = {0};

    start_fleet(&fleet, &fleet_case);
    Mix_Init(&mix, &fleet, &c->plan, 1);
    mix.context = &stop;
    mix.on_tick = on_tick;
    Mix_Run(&mix, SIGNAL_AT + GRACE + Span_S(1));
    Mix_Print(&mix, 0, &text);
    result = Mix_GetResult(&mix, 0, last);
    ck_assert_msg(result->outcome == c->outcome &&
                      result->ended_at <= SIGNAL_AT + c->ended_by,
                  "%s: %.*s", c->name, Str_ARG(text));
    StrBuf_Finish(&text);
    Mix_Finish(&mix);
    Fleet_Finish(&fleet);
}
END_TEST

/* Callers of another node read an answer of the backend server beside the node
 * that stops. */
typedef struct {
    const char *name;
    MixPlan plan;
    Span stopped_by; /* after the signal */
} ReaderCase;

static const ReaderCase reader_cases[] = {
    {"reads after the stop",
     {.vm = 2,
      .request_count = 1,
      .requests = {{.send_at = SIGNAL_AT - Span_S(1),
                    .answer_bytes = 8000000}},
      .read_after = Span_S(1) + GRACE + Span_S(1)},
     GRACE},
    {"reads slowly over the stop",
     {.vm = 2,
      .request_count = 1,
      .requests = {{.send_at = SIGNAL_AT - Span_S(1),
                    .answer_bytes = 8000000,
                    .answer_is_chunked = true}},
      .receive_buffer = 65536,
      .read_bytes = 20000,
      .read_interval = Span_MS(20)},
     GRACE},
    {"a booking, read after the stop",
     {.vm = 2,
      .request_count = 1,
      .requests = {{.send_at = SIGNAL_AT - Span_S(1),
                    .is_booking = true,
                    .answer_bytes = 8000000}},
      .read_after = Span_S(1) + GRACE + Span_S(1)},
     GRACE},
};

START_TEST(slow_reader_of_another_node_gets_whole_answer)
{
    const ReaderCase *c = &reader_cases[_i];
    const StopCase fleet_case = {.has_notice = true, .local_only = true};
    Fleet fleet;
    Mix mix;
    Stop stop = {.fleet = &fleet};
    StrBuf text = {0};

    start_fleet(&fleet, &fleet_case);
    Mix_Init(&mix, &fleet, &c->plan, 1);
    mix.context = &stop;
    mix.on_tick = on_tick;
    Mix_Run(&mix, SIGNAL_AT + GRACE + Span_S(6));
    wait_for_exit(&stop, &mix);
    Mix_Print(&mix, 0, &text);
    ck_assert_msg(Mix_GetResult(&mix, 0, 0)->outcome == Mix_ANSWERED &&
                      stop.exited && stop.took < c->stopped_by,
                  "%s: stop took %lld ms: %.*s", c->name,
                  (long long)(stop.took / 1000), Str_ARG(text));
    StrBuf_Finish(&text);
    Mix_Finish(&mix);
    Fleet_Finish(&fleet);
}
END_TEST

/* The link between the nodes is slow: what the node that stops has sent is
 * still on its way when it has no work left. */
typedef struct {
    const char *name;
    Str rate;     /* of the link, bytes a second */
    int delay_us; /* of the link, each way */
    uint32_t answer_bytes;
    int callers;
    bool books;
    Span first_work; /* of the first caller, whose answer is short; 0: it is
                        as the others */
    Span work;
} LinkCase;

static const LinkCase link_cases[] = {
    {"several answers", Str_LIT("1000000"), 0, 700000, 6, false, 0, 0},
    {"bookings", Str_LIT("1000000"), 0, 700000, 6, true, 0, 0},
    {"one answer", Str_LIT("300000"), 0, 1000000, 1, false, 0, 0},
    {"many short answers", Str_LIT("300000"), 0, 20000, 60, true, 0, 0},
    {"after one that is being confirmed", Str_LIT("3000000"), 100000, 2000000,
     2, true, Span_MS(2600), Span_MS(2850)},
};

START_TEST(slow_link_delivers_whole_answers)
{
    const LinkCase *c = &link_cases[_i];
    const StopCase fleet_case = {
        .has_notice = true, .local_only = true, .has_proxy = true};
    Fleet fleet;
    Mix mix;
    MixPlan plans[MANY];
    Stop stop = {.fleet = &fleet};
    StrBuf text = {0};
    int lost = 0;

    start_fleet(&fleet, &fleet_case);
    StrBuf_AppendFmt(&text,
                     "rate norte>litoral %.*s\ndelay norte>litoral %d\n"
                     "delay litoral>norte %d\n",
                     Str_ARG(c->rate), c->delay_us, c->delay_us);
    ck_assert(Fleet_SendProxyCommand(&fleet, StrBuf_View(&text)));
    for (int i = 0; i < c->callers; i++) {
        plans[i] = (MixPlan){.vm = 2,
                             .request_count = 1,
                             .requests = {{.send_at = SIGNAL_AT - Span_MS(200),
                                           .is_booking = c->books,
                                           .work = c->work,
                                           .answer_bytes = c->answer_bytes}}};
    }
    if (c->first_work) {
        plans[0].requests[0].work = c->first_work;
        plans[0].requests[0].answer_bytes = 40;
    }
    Mix_Init(&mix, &fleet, plans, c->callers);
    mix.context = &stop;
    mix.on_tick = on_tick;
    Mix_Run(&mix, SIGNAL_AT + GRACE + Span_S(6));
    wait_for_exit(&stop, &mix);
    for (int i = 0; i < c->callers; i++) {
        if (Mix_GetResult(&mix, i, 0)->outcome != Mix_ANSWERED && lost++ < 5) {
            Mix_Print(&mix, i, &text);
        }
    }
    ck_assert_msg(lost == 0 && stop.exited && stop.took < GRACE,
                  "%s: stop took %lld ms: %.*s", c->name,
                  (long long)(stop.took / 1000), Str_ARG(text));
    StrBuf_Finish(&text);
    Mix_Finish(&mix);
    Fleet_Finish(&fleet);
}
END_TEST

/* The connection between two nodes ends while an answer is being sent over it.
 * Nobody can take the rest, so that the stop need not wait for it. */
typedef struct {
    const char *name;
    Str fault;
    Span stopped_by; /* after the signal */
} CutCase;

static const CutCase cut_cases[] = {
    {"closed", Str_LIT("cut n2-1\n"), Span_S(4)},
};

static void
on_cut_tick(void *context, Span elapsed)
{
    Stop *stop = context;

    if (!stop->is_cut && elapsed >= SIGNAL_AT - Span_MS(300)) {
        ck_assert(Fleet_SendProxyCommand(stop->fleet, stop->fault));
        stop->is_cut = true;
    }
    on_tick(context, elapsed);
}

START_TEST(lost_connection_does_not_hold_stop)
{
    const CutCase *c = &cut_cases[_i];
    const StopCase fleet_case = {
        .has_notice = true, .local_only = true, .has_proxy = true};
    const MixPlan plan = {
        .vm = 2,
        .request_count = 1,
        .requests = {{.send_at = Span_MS(100), .answer_bytes = 8000000}},
        .read_after = Span_S(4)};
    Fleet fleet;
    Mix mix;
    Stop stop = {.fleet = &fleet, .fault = c->fault};

    start_fleet(&fleet, &fleet_case);
    Mix_Init(&mix, &fleet, &plan, 1);
    mix.context = &stop;
    mix.on_tick = on_cut_tick;
    Mix_Run(&mix, SIGNAL_AT + GRACE);
    wait_for_exit(&stop, &mix);
    ck_assert_msg(stop.took < c->stopped_by, "%s: stop took %lld ms", c->name,
                  (long long)(stop.took / 1000));
    Mix_Finish(&mix);
    Fleet_Finish(&fleet);
}
END_TEST

int
main(int argc, char **argv)
{
    const SuiteTest tests[] = {
        {planned_stop_loses_no_request, ROWS(cases)},
        {request_being_sent_is_answered, ROWS(sending_cases)},
        {slow_reader_of_another_node_gets_whole_answer, ROWS(reader_cases)},
        {slow_link_delivers_whole_answers, ROWS(link_cases)},
        {lost_connection_does_not_hold_stop, ROWS(cut_cases)}};

    build = Suite_GetBuildFolder(argc, argv);
    return Suite_Run("planned stop", tests, 5, 60);
}
