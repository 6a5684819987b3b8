/* A faulty backend server sends bytes without end: no valid answer, or more
 * than one answer.  The node beside it closes the connection, and other calls
 * are still served.
 */
#include <errno.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#include "fleet_keyed.h"
#include "support/suite.h"

#define ROWS(table) (int)(sizeof(table) / sizeof(table)[0])

enum {
    SUBNET = 34,
    VMS = 2,
    CALLS = 4,
    NODE_KB_MAX = 32 * 1024 /* the limit of test_whole_answers */
};

#define DEADLINE Span_MS(1000)
/* After the deadline, for the outcome and for the end of the connection. */
#define GRACE Span_MS(500)

static Str build;

/* Three routes: "note" of the operators' routing, whose deadline is final;
 * "large", whose answers may be read for longer, up to answer_ms of the
 * preset; and "look" for all other calls. */
static const Str preset = Str_LIT(
    "{\"name\":\"ordinary\",\"limits\":{\"answer_ms\":1000},\"routes\":["
    "{\"service\":\"visor\",\"route\":\"large\",\"path\":\"/large/\"},"
    "{\"service\":\"visor\",\"route\":\"look\",\"path\":\"/visor/\","
    "\"idempotent\":true,\"deadline_ms\":1000}],"
    "\"routing\":{\"revision\":5,\"services\":[{\"name\":\"visor\"}],"
    "\"routes\":[{\"name\":\"note\",\"host\":\"x\",\"path\":\"/notes/\","
    "\"kind\":\"non_idempotent\",\"deadline_ms\":1000,"
    "\"objective_ms\":500,\"priority\":1,\"attempts_max\":2,"
    "\"service\":\"visor\"}]}}");

typedef struct {
    const char *kind; /* of bytes, as in tools/fake_endless.h */
    Str path;
    PostOutcome outcome; /* outcome of a call that may run once */
    bool is_early;       /* closed long before the deadline: the node needs no
                            more of the bytes */
} EndlessCase;

#define NOTES_PATH Str_LIT("/notes/a")
#define LARGE_PATH Str_LIT("/large/a")

static const EndlessCase cases[] = {
    {"blank", NOTES_PATH, Post_UNKNOWN, true},
    {"garbage", NOTES_PATH, Post_UNKNOWN, true},
    {"head", NOTES_PATH, Post_UNKNOWN, true},
    {"field", NOTES_PATH, Post_UNKNOWN, true},
    {"interim", NOTES_PATH, Post_UNKNOWN, true},
    {"foreign", NOTES_PATH, Post_UNKNOWN, true},
    {"refusal", NOTES_PATH, Post_NOT_RUN, true},
    {"extension", NOTES_PATH, Post_UNKNOWN, true},
    {"trailers", NOTES_PATH, Post_UNKNOWN, true},
    /* An answer that is already being forwarded ends with a closed
     * connection. */
    {"body", NOTES_PATH, Post_NO_ANSWER, false},
    {"length", NOTES_PATH, Post_NO_ANSWER, false},
    {"chunks", NOTES_PATH, Post_NO_ANSWER, false},
    {"body", LARGE_PATH, Post_NO_ANSWER, false},
};

static void
start_fleet(Fleet *fleet)
{
    Fleet_Init(fleet, build, SUBNET, VMS, 1);
    Fleet_SetPreset(fleet, preset);
    for (int i = 0; i < VMS; i++) {
        Fleet_StartNode(fleet, i);
    }
    Fleet_StartBackend(fleet, 1, Str_LIT("visor"), (Str){0});
    ck_assert(
        Fleet_WaitForPath(fleet, 0, Str_LIT("/visor/ready"), Span_S(10)));
    Fleet_Sleep(Span_MS(500));
}

static int
start_call(Fleet *fleet, const EndlessCase *c, int number)
{
    StrBuf headers = {0};
    int fd;

    StrBuf_AppendFmt(&headers, "X-Fake-Endless: %s\r\n", c->kind);
    fd = Fleet_StartPost(fleet, number % VMS, c->path, (Str){0},
                         StrBuf_View(&headers), Str_LIT("x"));
    StrBuf_Finish(&headers);
    return fd;
}

/* Checks that another call to the service is answered within the deadline. */
static void
check_other_calls(Fleet *fleet, const EndlessCase *c)
{
    FleetRequest request = {.method = Str_LIT("GET"),
                            .path = Str_LIT("/visor/a"),
                            .timeout = DEADLINE};
    FleetAnswer answer;

    Fleet_Send(fleet, 0, &request, &answer);
    ck_assert_msg(answer.status == 200, "%s: another call got status %ld",
                  c->kind, answer.status);
    Fleet_FinishAnswer(&answer);
}

enum { HEAD_BYTES = 512, TAIL_BYTES = 5 };

/* The parts of an answer that show how it ended. */
typedef struct {
    StrBuf head; /* the first HEAD_BYTES */
    StrBuf tail; /* the last TAIL_BYTES */
    bool closed; /* by the node */
} AnswerEnd;

/* Returns the monotonic time. */
static Span
get_time(void)
{
    struct timespec time;

    clock_gettime(CLOCK_MONOTONIC, &time);
    return (Span)time.tv_sec * 1000000 + time.tv_nsec / 1000;
}

/* Reads until the node closes the connection, at most for WAIT, and closes FD.
 * END must be empty; its strings are owned. */
static void
read_answer_end(int fd, Span wait, AnswerEnd *end)
{
    static char bytes[65536];
    struct timeval receive_timeout = {.tv_usec = 100000};
    Span deadline = get_time() + wait;

    setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &receive_timeout,
               sizeof receive_timeout);
    while (get_time() < deadline && !end->closed) {
        ssize_t byte_count = recv(fd, bytes, sizeof bytes, 0);
        if (byte_count > 0) {
            Str part = Str_From(bytes, (size_t)byte_count);
            size_t room = HEAD_BYTES - end->head.len;
            StrBuf_Append(&end->head, Str_Slice(part, 0, room));
            StrBuf_Append(&end->tail, part);
            room = end->tail.len;
            StrBuf_Set(&end->tail,
                       Str_Slice(StrBuf_View(&end->tail),
                                 room > TAIL_BYTES ? room - TAIL_BYTES : 0,
                                 TAIL_BYTES));
        }
        end->closed =
            byte_count == 0 || (byte_count < 0 && errno == ECONNRESET);
    }
    close(fd);
}

static bool
contains(Str text, Str part)
{
    return memmem(text.ptr, text.len, part.ptr, part.len) != NULL;
}

/* Returns the outcome that the answer reports; 0 while the connection is
 * open. */
static PostOutcome
read_outcome(const AnswerEnd *end)
{
    Str head = StrBuf_View(&end->head);

    if (!end->closed) {
        return 0;
    }
    if (contains(head, Str_LIT("Outcome: unknown"))) {
        return Post_UNKNOWN;
    }
    if (contains(head, Str_LIT("Outcome: not-run"))) {
        return Post_NOT_RUN;
    }
    /* The answer began; a complete one in chunks ends with an empty chunk. */
    return Str_Equal(StrBuf_View(&end->tail), Str_LIT("0\r\n\r\n"))
               ? Post_ANSWERED
               : Post_NO_ANSWER;
}

static void
check_outcome(const EndlessCase *c, int fd)
{
    AnswerEnd end = {0};
    PostOutcome outcome;

    read_answer_end(fd, DEADLINE + GRACE, &end);
    outcome = read_outcome(&end);
    ck_assert_msg(outcome == c->outcome, "%s: outcome %d%s", c->kind, outcome,
                  end.closed ? "" : ", still open");
    StrBuf_Finish(&end.head);
    StrBuf_Finish(&end.tail);
}

/* Checks that the node closed the connections of all endless answers.  WHEN is
 * printed on failure. */
static void
check_cut_off(Fleet *fleet, const EndlessCase *c, const char *when)
{
    uint64_t cut_off_count =
        Fleet_ReadBackendCount(fleet, 1, Str_LIT("cut_off"));

    ck_assert_msg(cut_off_count == CALLS,
                  "%s: %s, the node closed %d of %d connections", c->kind,
                  when, (int)cut_off_count, CALLS);
}

START_TEST(ends_endless_answers)
{
    const EndlessCase *c = &cases[_i];
    int fds[CALLS];
    Fleet fleet;

    start_fleet(&fleet);
    for (int i = 0; i < CALLS; i++) {
        fds[i] = start_call(&fleet, c, i);
    }
    Fleet_Sleep(Span_MS(300));
    check_other_calls(&fleet, c);
    if (c->is_early) {
        check_cut_off(&fleet, c, "early");
    }
    for (int i = 0; i < CALLS; i++) {
        check_outcome(c, fds[i]);
    }
    Fleet_Sleep(GRACE);
    check_cut_off(&fleet, c, "at the end");
    for (int i = 0; i < VMS && Fleet_MEMORY_IS_CHECKED; i++) {
        ck_assert_uint_lt(Fleet_ReadResidentKb(fleet.vms[i].node),
                          NODE_KB_MAX);
    }
    check_other_calls(&fleet, c);
    Fleet_Finish(&fleet);
}
END_TEST

int
main(int argc, char **argv)
{
    const SuiteTest tests[] = {{ends_endless_answers, ROWS(cases)}};

    build = Suite_GetBuildFolder(argc, argv);
    return Suite_Run("endless answers", tests, 1, 30);
}
