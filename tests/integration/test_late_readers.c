/* Guards against the failure that an answer was cut because its caller read it
 * late: the connection was closed a fixed time after the answer had been
 * queued.  Some of the answers are too long for the kernel's buffers, and
 * short enough for the node to have all of them. */
#include <stdio.h>

#include "fleet_mix.h"
#include "support/suite.h"

#define ROWS(table) (int)(sizeof(table) / sizeof(table)[0])

enum { SUBNET = 62, SIZES = 6, FIRST_SIZE = 2500000, SIZE_STEP = 200000 };

static Str build;

static const Str preset =
    Str_LIT("{\"name\":\"ordinary\",\"limits\":{},\"routes\":["
            "{\"service\":\"visor\",\"route\":\"look\",\"path\":\"/look/\","
            "\"idempotent\":true,\"deadline_ms\":20000}]}");

typedef struct {
    const char *name;
    MixPlan plan; /* of one request; its callers get answers of several
                     sizes */
} LateCase;

static const LateCase cases[] = {
    {"announces its last request",
     {.request_count = 1, .announces_last = true, .read_after = Span_S(4)}},
    {"announces its last request, chunked answer",
     {.requests = {{.answer_is_chunked = true}},
      .request_count = 1,
      .announces_last = true,
      .read_after = Span_S(4)}},
    {"ends its side with its request",
     {.request_count = 1,
      .announces_last = true,
      .half_closes = true,
      .read_after = Span_S(4)}},
    {"ends its side when the answer is on the way",
     {.request_count = 1,
      .half_closes = true,
      .half_close_delay = Span_S(2),
      .read_after = Span_S(4)}},
    {"reads later than connections are kept idle",
     {.request_count = 1, .read_after = Span_S(5)}},
    {"reads slowly",
     {.request_count = 1,
      .announces_last = true,
      .read_bytes = 20000,
      .read_interval = Span_MS(20),
      .receive_buffer = 65536}},
};

static void
start_fleet(Fleet *fleet)
{
    Fleet_Init(fleet, build, SUBNET, 1, 1);
    Fleet_SetPreset(fleet, preset);
    Fleet_SetExtraSettings(fleet, Str_LIT("\"callers_idle_ms\":1000"));
    Fleet_StartNode(fleet, 0);
    Fleet_StartBackend(fleet, 0, Str_LIT("visor"), (Str){0});
    ck_assert(Fleet_WaitForPath(fleet, 0, Str_LIT("/look/ready"), Span_S(10)));
}

START_TEST(late_reader_gets_whole_answer)
{
    const LateCase *c = &cases[_i];
    Fleet fleet;
    Mix mix;
    MixPlan plans[SIZES];
    StrBuf text = {0};

    start_fleet(&fleet);
    for (int i = 0; i < SIZES; i++) {
        plans[i] = c->plan;
        plans[i].requests[0].answer_bytes =
            (uint32_t)(FIRST_SIZE + i * SIZE_STEP);
    }
    Mix_Init(&mix, &fleet, plans, SIZES);
    Mix_Run(&mix, Span_S(12));
    for (int i = 0; i < SIZES; i++) {
        Mix_Print(&mix, i, &text);
    }
    for (int i = 0; i < SIZES; i++) {
        ck_assert_msg(Mix_GetResult(&mix, i, 0)->outcome == Mix_ANSWERED,
                      "%s:\n%.*s", c->name, Str_ARG(text));
    }
    StrBuf_Finish(&text);
    Mix_Finish(&mix);
    Fleet_Finish(&fleet);
}
END_TEST

typedef struct {
    const char *name;
    int requests; /* sent on one connection, and no answer is read */
    int answer_bytes;
    uint64_t resident_kb_max; /* of the node */
} UnreadCase;

static const UnreadCase unread_cases[] = {
    {"answers of one piece", 3000, 60000, 32768},
    {"answers of many pieces", 400, 1000000, 32768},
};

/* A node keeps a bounded part of the answers that a caller does not read. */
START_TEST(unread_answers_take_bounded_memory)
{
    const UnreadCase *c = &unread_cases[_i];
    Fleet fleet;
    StrBuf requests = {0};
    uint64_t resident_kb;
    int fd;

    start_fleet(&fleet);
    for (int i = 0; i < c->requests; i++) {
        StrBuf_AppendFmt(&requests,
                         "GET /look/a HTTP/1.1\r\nHost: barns\r\n"
                         "X-Fake-Size: %d\r\n\r\n",
                         c->answer_bytes);
    }
    fd = Fleet_RawOpen(&fleet, 0, 8000);
    Fleet_RawSend(fd, StrBuf_View(&requests));
    Fleet_Sleep(Span_S(4));
    resident_kb = Fleet_ReadResidentKb(fleet.vms[0].node);
    ck_assert_uint_gt(resident_kb, 0);
    if (Fleet_MEMORY_IS_CHECKED) {
        ck_assert_msg(resident_kb < c->resident_kb_max, "%s: %llu KB", c->name,
                      (unsigned long long)resident_kb);
    }
    Fleet_RawClose(fd);
    StrBuf_Finish(&requests);
    Fleet_Finish(&fleet);
}
END_TEST

int
main(int argc, char **argv)
{
    const SuiteTest tests[] = {
        {late_reader_gets_whole_answer, ROWS(cases)},
        {unread_answers_take_bounded_memory, ROWS(unread_cases)}};

    build = Suite_GetBuildFolder(argc, argv);
    return Suite_Run("late readers", tests, 2, 60);
}
