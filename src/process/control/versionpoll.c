#include "process/control/versionpoll.h"

#define POLL_INTERVAL Span_MS(1000)

/* An answer from another region arrives long before this. */
#define RESPONSE_TIMEOUT Span_MS(250)

/* An answer that is older does not say enough. */
#define WORD_AGE_MAX Span_MS(500)

/* What is known is renewed before it is this old: the interval, and the age
 * of what a replica answers without asking its leader. */
#define RENEWAL_AGE Span_MS(1250)

uint32_t
Vpl_CountDue(const VersionPoll *poll, bool is_up_to_date, Instant now)
{
    if (poll->is_overdue ||
        (poll->vain_rounds > 0 &&
         now - poll->last_request_at >= RESPONSE_TIMEOUT)) {
        return Vpl_WIDE_REQUESTS;
    }
    return !is_up_to_date || now >= poll->next_request_at;
}

bool
Vpl_UsesAllRegions(const VersionPoll *poll)
{
    return poll->vain_rounds > 0;
}

void
Vpl_OnRequest(VersionPoll *poll, Instant now)
{
    if (poll->vain_rounds == 0 || now != poll->last_request_at) {
        poll->vain_rounds++;
    }
    poll->is_overdue = false;
    poll->last_request_at = now;
    poll->next_request_at = now + POLL_INTERVAL;
}

void
Vpl_OnResponse(VersionPoll *poll, Instant sent_at, Instant as_of, Instant now)
{
    if (as_of > 0 && now - as_of < WORD_AGE_MAX) {
        poll->vain_rounds = 0;
        poll->is_overdue = false;
        if (as_of + RENEWAL_AGE < poll->next_request_at) {
            poll->next_request_at = as_of + RENEWAL_AGE;
        }
    }
    /* Those asked later have been asked widely already. */
    else if (poll->vain_rounds == 1 && sent_at == poll->last_request_at) {
        poll->is_overdue = true;
    }
}
