#include "process/membership/presence.h"

void
Prs_Finish(BackendPresence *presence)
{
    StrBuf_Finish(&presence->id);
}

bool
Prs_IsCurrent(const BackendPresence *presence,
              const PresenceAnnouncement *announcement)
{
    return Str_Equal(StrBuf_View(&presence->id), announcement->id) &&
           presence->started_at_ms == announcement->started_at_ms;
}

void
Prs_Forget(BackendPresence *presence)
{
    StrBuf_Clear(&presence->id);
    presence->started_at_ms = 0;
    presence->sequence = 0;
    presence->draining = false;
}

static void
set_left(BackendPresence *presence, BackendStart start, Instant now)
{
    if (Lvt_Replaces(start, presence->left)) {
        presence->left = start;
        presence->left_at = now;
    }
}

/* Whether START is the one that left last, or an earlier one.  Where a start
 * time is missing only the id tells, and only for some time. */
static bool
has_left(const BackendPresence *presence, BackendStart start, Instant now)
{
    BackendStart left = presence->left;

    if (!left.id_hash) {
        return false;
    }
    if (left.started_at_ms && start.started_at_ms) {
        return start.started_at_ms < left.started_at_ms ||
               Lvt_StartsAreEqual(start, left);
    }
    return start.id_hash == left.id_hash &&
           now - presence->left_at < Prs_LEAVE_HOLD;
}

static PresenceVerdict
update_start(BackendPresence *presence,
             const PresenceAnnouncement *announcement)
{
    if (announcement->sequence <= presence->sequence &&
        !announcement->draining) {
        return Prs_STALE;
    }
    if (announcement->sequence > presence->sequence) {
        presence->sequence = announcement->sequence;
    }
    presence->draining |= announcement->draining;
    return Prs_ACCEPTED;
}

static PresenceVerdict
decide(BackendPresence *presence, const PresenceAnnouncement *announcement,
       Instant now)
{
    bool is_known = presence->id.len > 0;

    if (is_known && Prs_IsCurrent(presence, announcement)) {
        return update_start(presence, announcement);
    }
    if (is_known && announcement->started_at_ms &&
        announcement->started_at_ms < presence->started_at_ms) {
        return Prs_STALE;
    }
    if (!announcement->draining &&
        has_left(presence,
                 Lvt_MakeStart(announcement->id, announcement->started_at_ms),
                 now)) {
        return Prs_STALE;
    }
    StrBuf_Set(&presence->id, announcement->id);
    presence->started_at_ms = announcement->started_at_ms;
    presence->sequence = announcement->sequence;
    presence->draining = announcement->draining;
    return Prs_NEW_START;
}

PresenceVerdict
Prs_OnAnnouncement(BackendPresence *presence,
                   const PresenceAnnouncement *announcement, Instant now)
{
    PresenceVerdict verdict = decide(presence, announcement, now);

    if (verdict != Prs_STALE && presence->draining) {
        set_left(presence,
                 Lvt_MakeStart(announcement->id, announcement->started_at_ms),
                 now);
    }
    return verdict;
}

bool
Prs_OnLeave(BackendPresence *presence, Str id, int64_t started_at_ms,
            Instant now)
{
    bool is_current =
        presence->id.len && Str_Equal(StrBuf_View(&presence->id), id) &&
        (!started_at_ms || started_at_ms == presence->started_at_ms);

    if (is_current) {
        presence->draining = true;
        started_at_ms = presence->started_at_ms;
    }
    /* Without a start time the leave of another id than the current one tells
     * nothing about what comes later. */
    if (is_current || started_at_ms || !presence->id.len) {
        set_left(presence, Lvt_MakeStart(id, started_at_ms), now);
    }
    return is_current;
}

bool
Prs_SetLeft(BackendPresence *presence, BackendStart start, Instant now)
{
    BackendStart current =
        Lvt_MakeStart(StrBuf_View(&presence->id), presence->started_at_ms);

    set_left(presence, start, now);
    if (!presence->id.len || !Lvt_StartsAreEqual(current, start)) {
        return false;
    }
    presence->draining = true;
    return true;
}
