/* A request without an answer is sent again when evidence shows that it was
 * lost with its connection, not when the backend server is slow, and only when
 * admission would send that backend server work.
 */
#include <arpa/inet.h>
#include <fcntl.h>
#include <linux/filter.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include "connection/delivery.h"
#include "connection/silence.h"
#include "process/admission/admission.h"
#include "support/suite.h"

#define ROWS(table) (int)(sizeof(table) / sizeof(table)[0])

enum { PATIENCE_MS = 1000, EVENTS_MAX = 3 };

typedef enum { END = 0, SENT_NEW, ANSWERED, NEW_SERVER } EventKind;

typedef struct {
    EventKind kind;
    uint32_t work_kind;
    int at_ms;   /* ANSWERED: when the answer came */
    int took_ms; /* ANSWERED */
} Event;

/* The request in question, of kind 1, was sent at 10,000 ms. */
enum { SENT_MS = 10000 };

typedef struct {
    const char *name;
    Event events[EVENTS_MAX];
    bool is_unacknowledged;
    int now_ms;
    SilenceVerdict expected;
} SilenceCase;

static const SilenceCase silences[] = {
    {"nothing known", {{0}}, false, 11000, Sil_TRY},
    {"answered before", {{ANSWERED, 1, 9990, 5}}, false, 11000, Sil_TRY},
    {"sent later, answered sooner",
     {{ANSWERED, 1, 10900, 10}},
     false,
     11000,
     Sil_LOST},
    {"the same of another kind",
     {{ANSWERED, 2, 10900, 10}},
     false,
     11000,
     Sil_TRY},
    {"sent later, took nearly as long",
     {{ANSWERED, 1, 10900, 400}},
     false,
     11000,
     Sil_WAIT},
    {"one over a new connection runs",
     {{SENT_NEW, 1, 0, 0}},
     false,
     11000,
     Sil_WAIT},
    {"one of another kind runs", {{SENT_NEW, 2, 0, 0}}, false, 11000, Sil_TRY},
    {"one runs, another was answered sooner",
     {{SENT_NEW, 1, 0, 0}, {ANSWERED, 1, 10900, 10}},
     false,
     11000,
     Sil_LOST},
    {"the last answer was late",
     {{ANSWERED, 1, 9900, 1200}},
     false,
     13000,
     Sil_WAIT},
    {"a late one, then one in time",
     {{ANSWERED, 1, 9900, 1200}, {ANSWERED, 1, 9950, 10}},
     false,
     13000,
     Sil_TRY},
    {"the longest lately took as long",
     {{ANSWERED, 1, 9900, 900}, {ANSWERED, 1, 10900, 10}},
     false,
     11500,
     Sil_WAIT},
    {"the longest was long ago",
     {{ANSWERED, 1, 100, 90}, {ANSWERED, 1, 200, 900}},
     false,
     15000,
     Sil_TRY},
    {"late, by another backend server",
     {{ANSWERED, 1, 9900, 1200}, {NEW_SERVER, 0, 0, 0}},
     false,
     11000,
     Sil_TRY},
    {"not acknowledged, and one runs",
     {{SENT_NEW, 1, 0, 0}},
     true,
     11000,
     Sil_LOST},
};

static void
feed(SilenceWatch *watch, const Event *event)
{
    switch (event->kind) {
    case END:
        break;
    case SENT_NEW:
        Sil_OnNewSend(watch, event->work_kind);
        break;
    case ANSWERED:
        Sil_OnAnswer(watch, event->work_kind,
                     Span_MS(event->at_ms - event->took_ms),
                     Span_MS(PATIENCE_MS), Span_MS(event->at_ms));
        break;
    case NEW_SERVER:
        Sil_OnNewServer(watch);
        break;
    }
}

START_TEST(evidence_decides)
{
    const SilenceCase *c = &silences[_i];
    UnansweredRequest request = {.kind = 1,
                                 .sent_at = Span_MS(SENT_MS),
                                 .is_unacknowledged = c->is_unacknowledged};
    SilenceWatch watch = {0};

    for (int i = 0; i < EVENTS_MAX; i++) {
        feed(&watch, &c->events[i]);
    }
    ck_assert_msg(Sil_Decide(&watch, &request, Span_MS(c->now_ms)) ==
                      c->expected,
                  "%s", c->name);
}
END_TEST

typedef struct {
    const char *name;
    int running; /* of 4 slots */
    int queued;
    bool is_present;
    bool drains;
    bool node_stops;
    bool rejects_all;
    bool is_exclusive;
    bool may_still_run;
    bool takes;
} RepeatCase;

static const RepeatCase repeats[] = {
    {.name = "ready", .is_present = true, .running = 1, .takes = true},
    {.name = "gone", .running = 1},
    {.name = "drains", .is_present = true, .drains = true, .running = 1},
    {.name = "node stops", .is_present = true, .node_stops = true},
    {.name = "rejects all", .is_present = true, .rejects_all = true},
    {.name = "a suspect runs",
     .is_present = true,
     .is_exclusive = true,
     .running = 1},
    {.name = "a slot is free",
     .is_present = true,
     .running = 3,
     .may_still_run = true,
     .takes = true},
    {.name = "no slot is free",
     .is_present = true,
     .running = 4,
     .may_still_run = true},
    {.name = "its own slot is free",
     .is_present = true,
     .running = 4,
     .takes = true},
    {.name = "others wait",
     .is_present = true,
     .running = 4,
     .queued = 1,
     .may_still_run = true},
    {.name = "others wait, its own slot is free",
     .is_present = true,
     .running = 4,
     .queued = 1,
     .takes = true},
};

START_TEST(admission_is_asked)
{
    const RepeatCase *c = &repeats[_i];
    AdmissionSettings settings = {.queue_max = 8, .patient_queue_max = 8};
    AdmissionRequest request = {.time_left = Span_S(5)};
    AdmissionController admission;
    Instant now = Span_S(100);

    Adm_Init(&admission, &settings);
    Adm_OnAnnounce(&admission, 4, false, now);
    for (int i = 0; i < c->running + c->queued; i++) {
        Adm_Admit(&admission, &request, now);
    }
    ck_assert_int_eq(admission.running, c->running);
    ck_assert_int_eq(admission.queued[Adm_INTERACTIVE], c->queued);
    for (int i = 0; c->rejects_all && i < 4; i++) {
        Adm_OnBackendReject(&admission, now + Span_S(i));
    }
    Adm_OnAnnounce(&admission, 4, c->drains, now);
    Adm_SetExclusive(&admission, c->is_exclusive);
    if (!c->is_present) {
        Adm_OnBackendGone(&admission);
    }
    if (c->node_stops) {
        Adm_Stop(&admission);
    }
    ck_assert_msg(Adm_TakesRepeat(&admission, c->may_still_run,
                                  now + Span_S(4)) == c->takes,
                  "%s", c->name);
}
END_TEST

typedef enum { READS, READS_NOTHING, RECEIVES_NOTHING } PeerState;

typedef struct {
    const char *name;
    PeerState peer;
    int bytes;
    bool is_unacknowledged;
} DeliveryCase;

static const DeliveryCase deliveries[] = {
    {"received", READS, 1000, false},
    {"received, not read", READS_NOTHING, 1000, false},
    {"more than its buffer takes", READS_NOTHING, 16 * 1024 * 1024, false},
    {"lost on the way", RECEIVES_NOTHING, 1000, true},
};

/* Connects FDS to each other. */
static void
connect_pair(int fds[2])
{
    struct sockaddr_in name = {.sin_family = AF_INET,
                               .sin_addr = {htonl(INADDR_LOOPBACK)}};
    socklen_t size = sizeof name;
    int listener = socket(AF_INET, SOCK_STREAM, 0);

    ck_assert(!bind(listener, (struct sockaddr *)&name, sizeof name));
    ck_assert(!listen(listener, 1));
    ck_assert(!getsockname(listener, (struct sockaddr *)&name, &size));
    fds[0] = socket(AF_INET, SOCK_STREAM, 0);
    ck_assert(!connect(fds[0], (struct sockaddr *)&name, sizeof name));
    fds[1] = accept(listener, NULL, NULL);
    ck_assert_int_ge(fds[1], 0);
    fcntl(fds[0], F_SETFL, O_NONBLOCK);
    fcntl(fds[1], F_SETFL, O_NONBLOCK);
    close(listener);
}

/* From now on, what comes for FD is lost. */
static void
lose_segments(int fd)
{
    struct sock_filter drop = BPF_STMT(BPF_RET | BPF_K, 0);
    struct sock_fprog program = {1, &drop};

    ck_assert(!setsockopt(fd, SOL_SOCKET, SO_ATTACH_FILTER, &program,
                          sizeof program));
}

START_TEST(lost_bytes_are_seen)
{
    static char bytes[64 * 1024];
    const DeliveryCase *c = &deliveries[_i];
    bool seen = false;
    int left = c->bytes;
    int fds[2];

    connect_pair(fds);
    if (c->peer == RECEIVES_NOTHING) {
        lose_segments(fds[1]);
    }
    /* 1 s: several times the time after which bytes are sent again */
    for (int i = 0; i < 100; i++) {
        ssize_t n = 1;
        while (left > 0 && n > 0) {
            n = write(fds[0], bytes,
                      left < (int)sizeof bytes ? (size_t)left : sizeof bytes);
            left -= n > 0 ? (int)n : 0;
        }
        while (c->peer == READS && read(fds[1], bytes, sizeof bytes) > 0) {
        }
        usleep(10000);
        seen |= Dlv_IsUnacknowledged(fds[0]);
    }
    ck_assert_msg(seen == c->is_unacknowledged, "%s", c->name);
    close(fds[0]);
    close(fds[1]);
}
END_TEST

int
main(void)
{
    const SuiteTest tests[] = {{evidence_decides, ROWS(silences)},
                               {admission_is_asked, ROWS(repeats)},
                               {lost_bytes_are_seen, ROWS(deliveries)}};

    return Suite_Run("silence", tests, ROWS(tests), 10);
}
