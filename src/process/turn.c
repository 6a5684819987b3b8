#include "process/turn.h"

#define ASK_EVERY Span_MS(1000)

/* An answer from the other region is there long before. */
#define PATIENCE Span_MS(250)

bool
Trn_IsDue(const Trn *turn, bool settled, Instant now)
{
    if (!settled || now >= turn->ask_at) {
        return true;
    }
    return turn->unanswered > 0 && now - turn->asked_at >= PATIENCE;
}

bool
Trn_GoesAnywhere(const Trn *turn)
{
    return turn->unanswered > 0;
}

void
Trn_OnAsk(Trn *turn, Instant now)
{
    turn->unanswered++;
    turn->asked_at = now;
    turn->ask_at = now + ASK_EVERY;
}

void
Trn_OnAnswer(Trn *turn, bool linked)
{
    if (linked) {
        turn->unanswered = 0;
    }
}
