/* Guards against the failure that time for which a request lay unread, while
 * the process did not run, was given to the request once more. */
#include "process/lifecycle/ownpause.h"
#include "support/suite.h"

enum { TICKS_MAX = 4, PERIOD_MS = 10, START_MS = 1000 };

typedef struct {
    const char *name;
    int ticks[TICKS_MAX]; /* ms after START_MS; 0: no further one */
    int read_at;          /* the same */
    int unread_ms;
} UnreadCase;

static const UnreadCase cases[] = {
    {"no tick yet", {0}, 500, 0},
    {"in time", {10, 20, 30}, 35, 0},
    {"a little late", {10, 20}, 49, 0},
    {"before the late tick", {10, 20}, 330, 300},
    {"the late tick", {10, 20, 330}, 330, 300},
    {"right after it", {10, 20, 330, 340}, 349, 300},
    {"some time after it", {10, 20, 330, 345}, 350, 0},
    {"a second pause", {10, 330, 340}, 400, 50},
};

START_TEST(counts_what_lay_unread)
{
    const UnreadCase *c = &cases[_i];
    OwnPause own;
    Span unread;

    Opa_Init(&own, Span_MS(PERIOD_MS));
    for (int i = 0; i < TICKS_MAX && c->ticks[i]; i++) {
        Opa_OnTick(&own, Span_MS(START_MS + c->ticks[i]));
    }
    unread = Opa_GetUnreadTime(&own, Span_MS(START_MS + c->read_at));
    ck_assert_msg(unread == Span_MS(c->unread_ms), "%s: %lld us", c->name,
                  (long long)unread);
}
END_TEST

int
main(void)
{
    const SuiteTest tests[] = {
        {counts_what_lay_unread, sizeof cases / sizeof cases[0]}};

    return Suite_Run("unread time", tests, 1, 10);
}
