/* Whether a node knows that others have received what it sent, for sequences
 * of sends, pings and pongs. */
#include "process/lifecycle/receipts.h"
#include "support/suite.h"

enum { STEPS_MAX = 10 };

typedef enum { END, SEND, PING, NO_PING, PONG, LOST } Event;

typedef struct {
    Event event;
    char peer;
    Instant at;         /* milliseconds */
    size_t unconfirmed; /* peers afterwards */
} ReceiptStep;

typedef struct {
    const char *name;
    ReceiptStep steps[STEPS_MAX];
} ReceiptCase;

static const ReceiptCase cases[] = {
    {"nothing sent", {{NO_PING, 'a', 1, 0}}},
    {"confirmed", {{SEND, 'a', 1, 1}, {PING, 'a', 2, 1}, {PONG, 'a', 3, 0}}},
    {"sent again behind the ping",
     {{SEND, 'a', 1, 1},
      {PING, 'a', 2, 1},
      {SEND, 'a', 3, 1},
      {PONG, 'a', 4, 1},
      {NO_PING, 'a', 50, 1},
      {PING, 'a', 102, 1},
      {PONG, 'a', 103, 0}}},
    {"the first of two pings behind it confirms",
     {{SEND, 'a', 1, 1},
      {PING, 'a', 2, 1},
      {PING, 'a', 102, 1},
      {PONG, 'a', 150, 0},
      {PONG, 'a', 151, 0}}},
    {"two peers",
     {{SEND, 'a', 1, 1},
      {SEND, 'b', 1, 2},
      {PING, 'a', 2, 2},
      {PING, 'b', 2, 2},
      {PONG, 'b', 3, 1},
      {PONG, 'a', 4, 0}}},
    {"a peer is lost",
     {{SEND, 'a', 1, 1}, {PING, 'a', 2, 1}, {LOST, 'a', 3, 0}}},
    {"a peer never confirms",
     {{SEND, 'a', 1, 1},
      {PING, 'a', 2, 1},
      {PING, 'a', 4901, 1},
      {NO_PING, 'a', 5001, 0}}},
    {"not asked in time", {{SEND, 'a', 1, 1}, {NO_PING, 'a', 5001, 0}}},
    {"pongs to earlier pings come after something more was sent",
     {{SEND, 'a', 1, 1},
      {PING, 'a', 2, 1},
      {PING, 'a', 102, 1},
      {PING, 'a', 202, 1},
      {PONG, 'a', 252, 0},
      {SEND, 'a', 260, 1},
      {PONG, 'a', 352, 1},
      {PONG, 'a', 452, 1},
      {PING, 'a', 453, 1},
      {PONG, 'a', 700, 0}}},
    {"a pong of an unknown peer", {{PONG, 'c', 1, 0}}},
};

enum { CASE_COUNT = sizeof cases / sizeof cases[0] };

static void
do_step(Receipts *receipts, const ReceiptStep *step, const char *name)
{
    Str id = Str_From(&step->peer, 1);
    Instant now = Span_MS(step->at);
    Str pinged = {0};

    switch (step->event) {
    case SEND:
        Rcp_OnSent(receipts, id, now);
        break;
    case PING:
        ck_assert_msg(Rcp_NextPing(receipts, &pinged, now) &&
                          Str_Equal(pinged, id),
                      "%s: no ping at %lld", name, (long long)step->at);
        break;
    case NO_PING:
        ck_assert_msg(!Rcp_NextPing(receipts, &pinged, now),
                      "%s: ping at %lld", name, (long long)step->at);
        break;
    case PONG:
        Rcp_OnPong(receipts, id);
        break;
    case LOST:
        Rcp_OnLost(receipts, id);
        break;
    case END:
        break;
    }
    ck_assert_msg(Rcp_CountUnconfirmed(receipts, now) == step->unconfirmed,
                  "%s: at %lld", name, (long long)step->at);
}

START_TEST(knows_what_was_received)
{
    const ReceiptCase *c = &cases[_i];
    Receipts receipts = {0};

    for (int i = 0; i < STEPS_MAX && c->steps[i].event != END; i++) {
        do_step(&receipts, &c->steps[i], c->name);
    }
    Rcp_Finish(&receipts);
}
END_TEST

int
main(void)
{
    const SuiteTest tests[] = {{knows_what_was_received, CASE_COUNT}};

    return Suite_Run("receipts", tests, 1, 10);
}
