#include "process/versionpoll.h"

#define POLL_INTERVAL Span_MS(1000)

/* An answer from another region arrives long before this. */
#define RESPONSE_TIMEOUT Span_MS(250)

bool
Vpl_IsDue(const VersionPoll *poll, bool is_up_to_date, Instant now)
{
    if (!is_up_to_date || now >= poll->next_request_at) {
        return true;
    }
    return poll->unanswered_requests > 0 &&
           now - poll->last_request_at >= RESPONSE_TIMEOUT;
}

bool
Vpl_UsesAllRegions(const VersionPoll *poll)
{
    return poll->unanswered_requests > 0;
}

void
Vpl_OnRequest(VersionPoll *poll, Instant now)
{
    poll->unanswered_requests++;
    poll->last_request_at = now;
    poll->next_request_at = now + POLL_INTERVAL;
}

void
Vpl_OnResponse(VersionPoll *poll, bool has_leader)
{
    if (has_leader) {
        poll->unanswered_requests = 0;
    }
}
