/* A connection loses all bytes in one direction or both without being closed,
 * or is closed, while new connections work.  Requests are answered within
 * their deadline, and a node stays a member.
 */
#include <stdlib.h>
#include <string.h>

#include "fleet.h"
#include "support/suite.h"

static Str build;

enum { DEADLINE_MS = 3000 };

typedef struct {
    const char *name;
    Str freeze;
    bool is_read;          /* idempotent; false: a booking */
    int service_time_us;   /* of the backend server */
    int freeze_after_ms;   /* after the request was sent; <0: the connection
                            * freezes before, while it is idle */
    bool is_outcome_known; /* "unknown" is not a correct outcome */
} FreezeCase;

static const FreezeCase cases[] = {
    {"idle, forward", Str_LIT("freeze n0-1 forward"), true, 1000, -1, true},
    {"idle, back", Str_LIT("freeze n0-1 back"), true, 1000, -1, true},
    {"idle, both", Str_LIT("freeze n0-1 both"), true, 1000, -1, true},
    {"running, forward", Str_LIT("freeze n0-1 forward"), true, 400000, 100,
     true},
    {"running, back", Str_LIT("freeze n0-1 back"), true, 400000, 100, true},
    {"running, both", Str_LIT("freeze n0-1 both"), true, 400000, 100, true},
    {"booking, idle, forward", Str_LIT("freeze n0-1 forward"), false, 1000, -1,
     true},
    {"booking, idle, back", Str_LIT("freeze n0-1 back"), false, 1000, -1,
     true},
    {"booking, idle, both", Str_LIT("freeze n0-1 both"), false, 1000, -1,
     true},
    {"booking, running, forward", Str_LIT("freeze n0-1 forward"), false,
     400000, 100, true},
    {"booking, running, back", Str_LIT("freeze n0-1 back"), false, 400000, 100,
     true},
    {"booking, running, both", Str_LIT("freeze n0-1 both"), false, 400000, 100,
     true},
    {"backend, idle, forward", Str_LIT("freeze b1 forward"), true, 1000, -1,
     true},
    {"backend, idle, back", Str_LIT("freeze b1 back"), true, 1000, -1, true},
    {"backend, idle, both", Str_LIT("freeze b1 both"), true, 1000, -1, true},
    {"booking, backend, idle, both", Str_LIT("freeze b1 both"), false, 1000,
     -1, false},
    {"booking, backend, running", Str_LIT("freeze b1 back"), false, 400000,
     100, false},
};

enum { CASE_COUNT = sizeof cases / sizeof cases[0] };

static const Str preset =
    Str_LIT("{\"name\":\"ordinary\",\"limits\":{},\"routes\":["
            "{\"service\":\"visor\",\"route\":\"read\",\"path\":\"/visor/\","
            "\"method\":\"GET\",\"interactive\":true,\"idempotent\":true},"
            "{\"service\":\"visor\",\"route\":\"book\",\"method\":\"POST\","
            "\"path\":\"/visor/\"}]}");

static void
start_fleet_with(Fleet *fleet, Str json)
{
    Fleet_Init(fleet, build, 53, 2, 1);
    Fleet_SetPreset(fleet, json);
    Fleet_UseProxy(fleet);
    Fleet_StartNode(fleet, 0);
    Fleet_StartNode(fleet, 1);
    Fleet_StartBackend(fleet, 1, Str_LIT("visor"), (Str){0});
    ck_assert(
        Fleet_WaitForPath(fleet, 0, Str_LIT("/visor/ready"), Span_S(10)));
}

static void
start_fleet(Fleet *fleet)
{
    start_fleet_with(fleet, preset);
}

static int
send_request(Fleet *fleet, const FreezeCase *c)
{
    StrBuf request = {0};
    int fd = Fleet_RawOpen(fleet, 0, 8000);

    StrBuf_AppendFmt(&request,
                     "%s /visor/a HTTP/1.1\r\nHost: barns\r\n"
                     "Content-Length: 0\r\nIdempotency-Key: lot\r\n"
                     "X-Lycheeridge-Deadline-Ms: %d\r\n"
                     "X-Fake-Time-Us: %d\r\nConnection: close\r\n\r\n",
                     c->is_read ? "GET" : "POST", DEADLINE_MS,
                     c->service_time_us);
    Fleet_RawSend(fd, StrBuf_View(&request));
    StrBuf_Finish(&request);
    return fd;
}

static bool
contains(const StrBuf *text, const char *part)
{
    return memmem(text->ptr, text->len, part, strlen(part)) != NULL;
}

/* Compares the outcome in ANSWER with the recorded effects. */
static void
check_answer(Fleet *fleet, const FreezeCase *c, const StrBuf *answer)
{
    int effects = Fleet_CountEffects(fleet, Str_LIT("lot"));

    if (c->is_read) {
        ck_assert_msg(
            Str_StartsWith(StrBuf_View(answer), Str_LIT("HTTP/1.1 200 ")),
            "%s: %.*s", c->name, Str_ARG(*answer));
        return;
    }
    ck_assert_msg(effects <= 1, "%s: %d effects", c->name, effects);
    if (contains(answer, "Outcome: ran")) {
        ck_assert_msg(effects == 1, "%s: reported \"ran\", but has no effect",
                      c->name);
    }
    else if (contains(answer, "Outcome: not-run")) {
        ck_assert_msg(effects == 0,
                      "%s: reported \"not run\", but has an effect", c->name);
    }
    else {
        ck_assert_msg(!c->is_outcome_known &&
                          contains(answer, "Outcome: unknown"),
                      "%s: %.*s", c->name, Str_ARG(*answer));
    }
}

START_TEST(requests_are_answered_within_the_deadline)
{
    const FreezeCase *c = &cases[_i];
    Fleet fleet;
    StrBuf answer = {0};
    int fd;

    start_fleet(&fleet);
    if (c->freeze_after_ms < 0) {
        ck_assert(Fleet_SendProxyCommand(&fleet, c->freeze));
    }
    fd = send_request(&fleet, c);
    if (c->freeze_after_ms >= 0) {
        Fleet_Sleep(Span_MS(c->freeze_after_ms));
        ck_assert(Fleet_SendProxyCommand(&fleet, c->freeze));
    }
    /* The node may take about a second more to find out the outcome of a
     * request that is not idempotent. */
    ck_assert_msg(
        Fleet_RawRead(fd, Span_MS(DEADLINE_MS + (c->is_read ? 100 : 1500)),
                      &answer),
        "%s: no answer", c->name);
    Fleet_RawClose(fd);
    Fleet_Sleep(Span_MS(200));
    check_answer(&fleet, c, &answer);
    /* Later requests are not affected. */
    ck_assert(
        Fleet_WaitForPath(&fleet, 0, Str_LIT("/visor/next"), Span_MS(200)));
    StrBuf_Finish(&answer);
    Fleet_Finish(&fleet);
}
END_TEST

/* A connection is closed and opened again, so that pings are answered, while a
 * request runs.  Its answer does not wait for the deadline. */
static const FreezeCase cut_cases[] = {
    {"closed", Str_LIT("cut n0-1"), true, 400000, 100, true},
    {"booking, closed", Str_LIT("cut n0-1"), false, 400000, 100, true},
};

enum {
    CUT_CASE_COUNT = sizeof cut_cases / sizeof cut_cases[0],
    CUT_ANSWER_MS = 1500
};

START_TEST(closed_connection_holds_no_answer_up)
{
    const FreezeCase *c = &cut_cases[_i];
    Fleet fleet;
    StrBuf answer = {0};
    int fd;

    start_fleet(&fleet);
    fd = send_request(&fleet, c);
    Fleet_Sleep(Span_MS(c->freeze_after_ms));
    ck_assert(Fleet_SendProxyCommand(&fleet, c->freeze));
    ck_assert_msg(Fleet_RawRead(fd, Span_MS(CUT_ANSWER_MS), &answer),
                  "%s: no answer", c->name);
    Fleet_RawClose(fd);
    ck_assert_msg(
        Str_StartsWith(StrBuf_View(&answer), Str_LIT("HTTP/1.1 200 ")),
        "%s: %.*s", c->name, Str_ARG(answer));
    /* A read may be sent again. */
    ck_assert(c->is_read || Fleet_CountEffects(&fleet, Str_LIT("lot")) == 1);
    StrBuf_Finish(&answer);
    Fleet_Finish(&fleet);
}
END_TEST

/* An answer, or the request, goes with the connection over which it is sent,
 * where no retry is left.  The node that sent the answer gives it again over
 * the next connection; a request that did not arrive is sent again. */
typedef struct {
    const char *name;
    Str fault;    /* while the request runs */
    int bytes;    /* of the answer */
    bool is_idle; /* the fault comes before the request, which is lost too */
} LostAnswerCase;

static const LostAnswerCase lost_answer_cases[] = {
    {"back", Str_LIT("freeze n0-1 back"), 40, false},
    {"both", Str_LIT("freeze n0-1 both"), 40, false},
    {"back, a long answer", Str_LIT("freeze n0-1 back"), 60000, false},
    {"the request, forward", Str_LIT("freeze n0-1 forward"), 40, true},
    {"the request, both", Str_LIT("freeze n0-1 both"), 40, true},
};

enum {
    LOST_ANSWER_COUNT = sizeof lost_answer_cases / sizeof lost_answer_cases[0],
    LOST_ANSWER_REQUESTS = 4
};

static const Str preset_without_retries =
    Str_LIT("{\"name\":\"ordinary\",\"limits\":{\"retry_permille\":0,"
            "\"retry_burst\":0},\"routes\":["
            "{\"service\":\"visor\",\"route\":\"read\",\"path\":\"/visor/\","
            "\"method\":\"GET\",\"interactive\":true,"
            "\"idempotent\":true}]}");

START_TEST(answer_outlives_its_connection)
{
    const LostAnswerCase *c = &lost_answer_cases[_i];
    int fds[LOST_ANSWER_REQUESTS];
    Fleet fleet;
    StrBuf text = {0};

    start_fleet_with(&fleet, preset_without_retries);
    StrBuf_AppendFmt(&text,
                     "GET /visor/a HTTP/1.1\r\nHost: barns\r\n"
                     "X-Lycheeridge-Deadline-Ms: %d\r\n"
                     "X-Fake-Time-Us: 400000\r\nX-Fake-Size: %d\r\n"
                     "Connection: close\r\n\r\n",
                     DEADLINE_MS, c->bytes);
    if (c->is_idle) {
        ck_assert(Fleet_SendProxyCommand(&fleet, c->fault));
    }
    for (int i = 0; i < LOST_ANSWER_REQUESTS; i++) {
        fds[i] = Fleet_RawOpen(&fleet, 0, 8000);
        Fleet_RawSend(fds[i], StrBuf_View(&text));
    }
    if (!c->is_idle) {
        Fleet_Sleep(Span_MS(200));
        ck_assert(Fleet_SendProxyCommand(&fleet, c->fault));
    }
    for (int i = 0; i < LOST_ANSWER_REQUESTS; i++) {
        StrBuf_Clear(&text);
        ck_assert_msg(Fleet_RawRead(fds[i], Span_MS(DEADLINE_MS), &text),
                      "%s: no answer", c->name);
        Fleet_RawClose(fds[i]);
        ck_assert_msg(
            Str_StartsWith(StrBuf_View(&text), Str_LIT("HTTP/1.1 200 ")) &&
                text.len > (size_t)c->bytes,
            "%s: %.*s", c->name, Str_ARG(text));
    }
    StrBuf_Finish(&text);
    Fleet_Finish(&fleet);
}
END_TEST

/* Pieces of an answer are on their way over a slow link when its connection
 * freezes; the rest of them follows over the next one. */
typedef struct {
    const char *name;
    Str freeze;
    Str rate; /* of the link, bytes a second */
    const char *method;
    int bytes; /* of the answer; up to four pieces are sent at once */
} BegunCase;

static const BegunCase begun_cases[] = {
    {"more is to come", Str_LIT("freeze n0-1 back"),
     Str_LIT("rate norte>norte 2000000"), "GET", 3000000},
    {"more is to come, both", Str_LIT("freeze n0-1 both"),
     Str_LIT("rate norte>norte 2000000"), "GET", 3000000},
    {"all of it was sent", Str_LIT("freeze n0-1 back"),
     Str_LIT("rate norte>norte 300000"), "GET", 250000},
    {"all of a booking's was sent", Str_LIT("freeze n0-1 back"),
     Str_LIT("rate norte>norte 300000"), "POST", 250000},
};

enum {
    BEGUN_COUNT = sizeof begun_cases / sizeof begun_cases[0],
    BLOCK_BYTES = 4096, /* of the fake backend server's bodies */
    BLOCK_LETTERS = 26
};

START_TEST(begun_answer_outlives_its_connection)
{
    const BegunCase *c = &begun_cases[_i];
    Fleet fleet;
    StrBuf text = {0};
    const char *end;
    size_t head;
    int fd;

    start_fleet(&fleet);
    ck_assert(Fleet_SendProxyCommand(&fleet, c->rate));
    StrBuf_AppendFmt(&text,
                     "%s /visor/a HTTP/1.1\r\nHost: barns\r\n"
                     "Content-Length: 0\r\nIdempotency-Key: lot\r\n"
                     "X-Fake-Size: %d\r\nConnection: close\r\n\r\n",
                     c->method, c->bytes);
    fd = Fleet_RawOpen(&fleet, 0, 8000);
    Fleet_RawSend(fd, StrBuf_View(&text));
    Fleet_Sleep(Span_MS(600));
    ck_assert(Fleet_SendProxyCommand(&fleet, c->freeze));
    StrBuf_Clear(&text);
    ck_assert_msg(Fleet_RawRead(fd, Span_S(9), &text), "%s: no end", c->name);
    Fleet_RawClose(fd);
    end = memmem(text.ptr, text.len, "\r\n\r\n", 4);
    ck_assert_msg(end != NULL, "%s: no answer", c->name);
    head = (size_t)(end - text.ptr) + 4;
    ck_assert_msg(text.len - head == (size_t)c->bytes, "%s: %zu of %d bytes",
                  c->name, text.len - head, c->bytes);
    for (size_t i = 0; i < (size_t)c->bytes; i++) {
        char expected = (char)('a' + i % BLOCK_BYTES % BLOCK_LETTERS);
        ck_assert_msg(text.ptr[head + i] == expected, "%s: byte %zu is wrong",
                      c->name, i);
    }
    StrBuf_Finish(&text);
    Fleet_Finish(&fleet);
}
END_TEST

/* A read is retried over a new connection because its connection to the
 * backend server was silent.  The retry has to forward only the deadline that
 * remains.
 */
static const Str retry_freezes[] = {
    Str_LIT("freeze b1 forward"),
    Str_LIT("freeze b1 back"),
    Str_LIT("freeze b1 both"),
};

enum {
    RETRY_COUNT = sizeof retry_freezes / sizeof retry_freezes[0],
    SILENCE_MIN_MS = 200, /* shortest silence before a retry */
    SLACK_MS = 100
};

/* Returns the number of ANSWER, a line "NAME=MS". */
static uint64_t
parse_deadline_ms(Str answer)
{
    size_t at = Str_Find(answer, '=');
    Str value = Str_Slice(answer, at + 1, answer.len);
    uint64_t ms = 0;

    Str_ToU64(Str_Slice(value, 0, Str_Find(value, '\n')), &ms);
    return ms;
}

START_TEST(repeat_has_less_time_left)
{
    FleetRequest request = {
        .method = Str_LIT("GET"),
        .path = Str_LIT("/visor/a"),
        .headers = Str_LIT("X-Lycheeridge-Deadline-Ms: 3000\n"
                           "X-Fake-Show: X-Lycheeridge-Deadline-Ms"),
        .timeout = Span_MS(DEADLINE_MS),
    };
    FleetAnswer answer;
    Fleet fleet;
    uint64_t elapsed_ms;
    uint64_t ms;

    start_fleet(&fleet);
    ck_assert(Fleet_SendProxyCommand(&fleet, retry_freezes[_i]));
    Fleet_Send(&fleet, 0, &request, &answer);
    elapsed_ms = (uint64_t)answer.duration / 1000;
    ms = parse_deadline_ms(StrBuf_View(&answer.body));
    ck_assert_int_eq(answer.status, 200);
    ck_assert_uint_ge(elapsed_ms, SILENCE_MIN_MS);
    ck_assert_msg(ms && ms + elapsed_ms <= DEADLINE_MS + SLACK_MS,
                  "deadline of %d ms forwarded, answered after %d ms", (int)ms,
                  (int)elapsed_ms);
    Fleet_FinishAnswer(&answer);
    Fleet_Finish(&fleet);
}
END_TEST

/* A node's connection to the only control replica freezes.  The node has to
 * remain a member and to learn of new backend servers. */
static const Str control_freezes[] = {
    Str_LIT("freeze n1-0 forward"),
    Str_LIT("freeze n1-0 back"),
    Str_LIT("freeze n1-0 both"),
};

enum {
    CONTROL_FREEZE_COUNT = sizeof control_freezes / sizeof control_freezes[0]
};

START_TEST(membership_survives_frozen_connection)
{
    Fleet fleet;

    Fleet_Init(&fleet, build, 53, 2, 1);
    Fleet_SetPreset(&fleet, preset);
    Fleet_UseProxy(&fleet);
    Fleet_StartNode(&fleet, 0);
    Fleet_StartNode(&fleet, 1);
    Fleet_Sleep(Span_S(1));
    ck_assert(Fleet_SendProxyCommand(&fleet, control_freezes[_i]));
    Fleet_StartBackend(&fleet, 0, Str_LIT("visor"), (Str){0});
    ck_assert(
        Fleet_WaitForPath(&fleet, 1, Str_LIT("/visor/ready"), Span_S(5)));
    Fleet_Finish(&fleet);
}
END_TEST

/* A caller that has read nothing of its answer yet loses none of it: the node
 * has what was sent, and awaits the rest while the connection freezes. */
static const Str answer_freezes[] = {
    Str_LIT("freeze n0-1 forward"),
    Str_LIT("freeze n0-1 back"),
    Str_LIT("freeze n0-1 both"),
};

enum {
    ANSWER_FREEZE_COUNT = sizeof answer_freezes / sizeof answer_freezes[0],
    ANSWER_BYTES = 12000000 /* more than the kernel's buffers take */
};

START_TEST(answer_goes_on_after_silence)
{
    static const Str silent = Str_LIT("lycheeridge_silent_connections_total");
    Fleet fleet;
    StrBuf request = {0};
    StrBuf answer = {0};
    uint64_t before;
    size_t head;
    int fd;

    start_fleet(&fleet);
    before = Fleet_ReadCounter(&fleet, 0, silent);
    StrBuf_AppendFmt(&request,
                     "GET /visor/a HTTP/1.1\r\nHost: barns\r\n"
                     "X-Fake-Size: %d\r\nConnection: close\r\n\r\n",
                     ANSWER_BYTES);
    fd = Fleet_RawOpen(&fleet, 0, 8000);
    Fleet_RawSend(fd, StrBuf_View(&request));
    Fleet_Sleep(Span_S(1));
    ck_assert(Fleet_SendProxyCommand(&fleet, answer_freezes[_i]));
    Fleet_Sleep(Span_S(2));
    ck_assert_uint_gt(Fleet_ReadCounter(&fleet, 0, silent), before);
    ck_assert(Fleet_RawRead(fd, Span_S(5), &answer));
    Fleet_RawClose(fd);
    head = (size_t)((char *)memmem(answer.ptr, answer.len, "\r\n\r\n", 4) -
                    answer.ptr) +
           4;
    ck_assert_msg(answer.len - head == ANSWER_BYTES, "%zu of %d bytes",
                  answer.len - head, ANSWER_BYTES);
    StrBuf_Finish(&request);
    StrBuf_Finish(&answer);
    Fleet_Finish(&fleet);
}
END_TEST

int
main(int argc, char **argv)
{
    const SuiteTest tests[] = {
        {requests_are_answered_within_the_deadline, CASE_COUNT},
        {closed_connection_holds_no_answer_up, CUT_CASE_COUNT},
        {answer_outlives_its_connection, LOST_ANSWER_COUNT},
        {begun_answer_outlives_its_connection, BEGUN_COUNT},
        {repeat_has_less_time_left, RETRY_COUNT},
        {membership_survives_frozen_connection, CONTROL_FREEZE_COUNT},
        {answer_goes_on_after_silence, ANSWER_FREEZE_COUNT}};

    build = Suite_GetBuildFolder(argc, argv);
    return Suite_Run("silent connections", tests,
                     sizeof tests / sizeof tests[0], 60);
}
