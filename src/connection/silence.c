#include "connection/silence.h"

/* A request is lost when it is unanswered for this many times the duration of
 * one that was sent later. */
enum { LOST_FACTOR = 4 };

/* Nor is it lost before this many times the longest duration of late. */
enum { LONGEST_FACTOR = 2 };

/* The longest durations of this period and the one before are kept. */
#define PERIOD Span_S(5)

static uint32_t
get_index(uint32_t kind)
{
    return kind < Sil_KINDS ? kind : Sil_KINDS - 1;
}

void
Sil_OnNewSend(SilenceWatch *watch, uint32_t kind)
{
    watch->kinds[get_index(kind)].new_running++;
}

void
Sil_OnNewEnd(SilenceWatch *watch, uint32_t kind)
{
    watch->kinds[get_index(kind)].new_running--;
}

static void
begin_period(SilenceKind *at, Instant now)
{
    Span age = now - at->period_began;

    if (age >= PERIOD) {
        at->longest_before = age < 2 * PERIOD ? at->longest : 0;
        at->longest = 0;
        at->period_began = now;
    }
}

static Span
get_longest(const SilenceKind *at, Instant now)
{
    SilenceKind current = *at;

    begin_period(&current, now);
    return current.longest > current.longest_before ? current.longest
                                                    : current.longest_before;
}

void
Sil_OnAnswer(SilenceWatch *watch, uint32_t kind, Instant sent_at,
             Span patience, Instant now)
{
    SilenceKind *at = &watch->kinds[get_index(kind)];
    Span took = now > sent_at ? now - sent_at : 1;

    if (!at->took || sent_at >= at->sent_at) {
        at->sent_at = sent_at;
        at->took = took;
    }
    begin_period(at, now);
    at->longest = took > at->longest ? took : at->longest;
    if (patience) {
        at->was_late = took >= patience;
    }
}

void
Sil_OnNewServer(SilenceWatch *watch)
{
    for (uint32_t i = 0; i < Sil_KINDS; i++) {
        watch->kinds[i].took = 0;
        watch->kinds[i].longest = 0;
        watch->kinds[i].longest_before = 0;
        watch->kinds[i].was_late = false;
    }
}

SilenceVerdict
Sil_Decide(const SilenceWatch *watch, const UnansweredRequest *request,
           Instant now)
{
    const SilenceKind *at = &watch->kinds[get_index(request->kind)];
    Span silence = now - request->sent_at;

    if (request->is_unacknowledged) {
        return Sil_LOST;
    }
    if (silence <= get_longest(at, now) * LONGEST_FACTOR) {
        return Sil_WAIT;
    }
    if (at->took && at->sent_at > request->sent_at) {
        return silence > at->took * LOST_FACTOR ? Sil_LOST : Sil_WAIT;
    }
    return at->new_running || at->was_late ? Sil_WAIT : Sil_TRY;
}
