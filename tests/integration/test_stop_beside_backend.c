/* Guards against the failure that answers to callers of another node were cut
 * when the node beside the backend server was stopped: what it had queued
 * counted as received. */
#include <stdio.h>

#include "fleet_stop.h"
#include "support/suite.h"

#define ROWS(table) (int)(sizeof(table) / sizeof(table)[0])

enum { SUBNET = 66, CALLERS_MAX = 60, PRINTED_MAX = 5 };

#define LIMIT (Fst_SIGNAL_AT + Fst_GRACE + Span_S(6))

static Str build;

/* Checks that all callers have been answered, and that the stop took less than
 * STOPPED_BY. */
static void
check_all_answered(const FleetStop *stop, const char *name, Span stopped_by)
{
    StrBuf text = {0};
    int lost = 0;

    for (int i = 0; i < stop->mix.count; i++) {
        if (Mix_GetResult(&stop->mix, i, 0)->outcome != Mix_ANSWERED &&
            lost++ < PRINTED_MAX) {
            Mix_Print(&stop->mix, i, &text);
        }
    }
    ck_assert_msg(lost == 0 && stop->took < stopped_by,
                  "%s: %d lost, stop took %lld ms: %.*s", name, lost,
                  (long long)(stop->took / 1000), Str_ARG(text));
    StrBuf_Finish(&text);
}

/* Callers of another node read an answer of the backend server beside the node
 * that stops. */
typedef struct {
    const char *name;
    MixPlan plan;
    Span stopped_by; /* after the signal */
} ReaderCase;

static const ReaderCase reader_cases[] = {
    {"reads after the stop",
     {.vm = Fst_OTHER_VM,
      .request_count = 1,
      .requests = {{.send_at = Fst_SIGNAL_AT - Span_S(1),
                    .answer_bytes = 8000000}},
      .read_after = Span_S(1) + Fst_GRACE + Span_S(1)},
     Fst_GRACE},
    {"reads slowly over the stop",
     {.vm = Fst_OTHER_VM,
      .request_count = 1,
      .requests = {{.send_at = Fst_SIGNAL_AT - Span_S(1),
                    .answer_bytes = 8000000,
                    .answer_is_chunked = true}},
      .receive_buffer = 65536,
      .read_bytes = 20000,
      .read_interval = Span_MS(20)},
     Fst_GRACE},
    {"a booking, read after the stop",
     {.vm = Fst_OTHER_VM,
      .request_count = 1,
      .requests = {{.send_at = Fst_SIGNAL_AT - Span_S(1),
                    .is_booking = true,
                    .answer_bytes = 8000000}},
      .read_after = Span_S(1) + Fst_GRACE + Span_S(1)},
     Fst_GRACE},
};

START_TEST(slow_reader_of_another_node_gets_whole_answer)
{
    const ReaderCase *c = &reader_cases[_i];
    const StopFleet options = {.has_notice = true, .local_only = true};
    Fleet fleet;
    FleetStop stop = {0};

    Fst_StartFleet(&fleet, build, SUBNET, &options);
    Fst_Run(&stop, &fleet, &c->plan, 1, LIMIT);
    check_all_answered(&stop, c->name, c->stopped_by);
    Fst_Finish(&stop);
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

static void
slow_link_down(Fleet *fleet, const LinkCase *c)
{
    StrBuf command = {0};

    StrBuf_AppendFmt(&command,
                     "rate norte>litoral %.*s\ndelay norte>litoral %d\n"
                     "delay litoral>norte %d\n",
                     Str_ARG(c->rate), c->delay_us, c->delay_us);
    ck_assert(Fleet_SendProxyCommand(fleet, StrBuf_View(&command)));
    StrBuf_Finish(&command);
}

START_TEST(slow_link_delivers_whole_answers)
{
    const LinkCase *c = &link_cases[_i];
    const StopFleet options = {
        .has_notice = true, .local_only = true, .has_proxy = true};
    Fleet fleet;
    MixPlan plans[CALLERS_MAX];
    FleetStop stop = {0};

    Fst_StartFleet(&fleet, build, SUBNET, &options);
    slow_link_down(&fleet, c);
    for (int i = 0; i < c->callers; i++) {
        bool is_first = i == 0 && c->first_work;
        plans[i] = (MixPlan){
            .vm = Fst_OTHER_VM,
            .request_count = 1,
            .requests = {{.send_at = Fst_SIGNAL_AT - Span_MS(200),
                          .is_booking = c->books,
                          .work = is_first ? c->first_work : c->work,
                          .answer_bytes = is_first ? 40 : c->answer_bytes}}};
    }
    Fst_Run(&stop, &fleet, plans, c->callers, LIMIT);
    check_all_answered(&stop, c->name, Fst_GRACE);
    Fst_Finish(&stop);
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

START_TEST(lost_connection_does_not_hold_stop)
{
    const CutCase *c = &cut_cases[_i];
    const StopFleet options = {
        .has_notice = true, .local_only = true, .has_proxy = true};
    const MixPlan plan = {
        .vm = Fst_OTHER_VM,
        .request_count = 1,
        .requests = {{.send_at = Span_MS(100), .answer_bytes = 8000000}},
        .read_after = Span_S(4)};
    Fleet fleet;
    FleetStop stop = {.fault = c->fault};

    Fst_StartFleet(&fleet, build, SUBNET, &options);
    Fst_Run(&stop, &fleet, &plan, 1, Fst_SIGNAL_AT + Fst_GRACE);
    ck_assert_msg(stop.took < c->stopped_by, "%s: stop took %lld ms", c->name,
                  (long long)(stop.took / 1000));
    Fst_Finish(&stop);
    Fleet_Finish(&fleet);
}
END_TEST

int
main(int argc, char **argv)
{
    const SuiteTest tests[] = {
        {slow_reader_of_another_node_gets_whole_answer, ROWS(reader_cases)},
        {slow_link_delivers_whole_answers, ROWS(link_cases)},
        {lost_connection_does_not_hold_stop, ROWS(cut_cases)}};

    build = Suite_GetBuildFolder(argc, argv);
    return Suite_Run("stop beside a backend server", tests, 3, 60);
}
