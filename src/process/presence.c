#include "process/presence.h"

void
Prs_Finish(BackendPresence *prs)
{
    StrBuf_Finish(&prs->id);
}

static bool
is_same_start(const BackendPresence *prs, const PresenceAnnouncement *word)
{
    return Str_Equal(StrBuf_View(&prs->id), word->id) &&
           prs->started_at_ms == word->started_at_ms;
}

PresenceVerdict
Prs_OnAnnouncement(BackendPresence *prs, const PresenceAnnouncement *word)
{
    bool known = prs->id.len > 0;

    if (known && is_same_start(prs, word)) {
        if (word->sequence <= prs->sequence && !word->draining) {
            return Prs_STALE;
        }
        if (word->sequence > prs->sequence) {
            prs->sequence = word->sequence;
        }
        prs->draining |= word->draining;
        return Prs_ACCEPTED;
    }
    if (known && word->started_at_ms &&
        word->started_at_ms < prs->started_at_ms) {
        return Prs_STALE;
    }
    StrBuf_Set(&prs->id, word->id);
    prs->started_at_ms = word->started_at_ms;
    prs->sequence = word->sequence;
    prs->draining = word->draining;
    return Prs_NEW_START;
}

bool
Prs_OnLeave(BackendPresence *prs, Str id)
{
    if (!Str_Equal(StrBuf_View(&prs->id), id)) {
        return false;
    }
    prs->draining = true;
    return true;
}
