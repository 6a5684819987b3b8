#include "process/versionpoll.h"

#define ASK_EVERY Span_MS(1000)

/* An answer from the other region is there long before. */
#define PATIENCE Span_MS(250)

bool
Vpl_IsDue(const VersionPoll *turn, bool settled, Instant now)
{
    if (!settled || now >= turn->next_request_at) {
        return true;
    }
    return turn->unanswered_requests > 0 &&
           now - turn->last_request_at >= PATIENCE;
}

bool
Vpl_UsesAllRegions(const VersionPoll *turn)
{
    return turn->unanswered_requests > 0;
}

void
Vpl_OnRequest(VersionPoll *turn, Instant now)
{
    turn->unanswered_requests++;
    turn->last_request_at = now;
    turn->next_request_at = now + ASK_EVERY;
}

void
Vpl_OnResponse(VersionPoll *turn, bool linked)
{
    if (linked) {
        turn->unanswered_requests = 0;
    }
}
