#include "process/control/versionword.h"

/* In calm a word is renewed before it is that old
 * (process/control/versionpoll.h). */
#define OLD_AGE Span_MS(1500)

Instant
Vwd_ComputeAsOf(Instant sent_at, Span age, Instant first_sent_at, Instant now)
{
    bool is_sent =
        first_sent_at > 0 && sent_at >= first_sent_at && sent_at <= now;

    return is_sent && age < sent_at ? sent_at - age : 0;
}

void
Vwd_Advance(VersionWord *word, Instant as_of, Addr from)
{
    if (as_of > word->as_of) {
        word->as_of = as_of;
        word->from = from;
    }
}

Span
Vwd_Age(const VersionWord *word, Instant now)
{
    return word->as_of ? now - word->as_of : Vwd_NOT_KNOWN;
}

bool
Vwd_ProvesAbsence(const VersionWord *word, Span apply_bound, Instant now)
{
    return Vwd_Age(word, now) < apply_bound;
}

bool
Vwd_UpdateOld(VersionWord *word, Instant now)
{
    bool was_old = word->is_old;

    word->is_old = word->as_of && Vwd_Age(word, now) >= OLD_AGE;
    if (word->is_old && !was_old) {
        word->old_as_of = word->as_of;
    }
    return word->is_old != was_old;
}
