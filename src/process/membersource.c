#include "process/membersource.h"

#include "value/mem.h"

/* A replica that left so many heartbeats unanswered is not relied on. */
enum { UNANSWERED_BEATS = 3 };

void
Mso_Init(Mso *mso, size_t count, Span heartbeat, bool control, uint64_t spread)
{
    *mso = (Mso){
        .heartbeat = heartbeat,
        .control = control,
        .spread = spread,
        .count = count,
        .replicas = Mem_Alloc(count, sizeof *mso->replicas),
        .source = Mso_NONE,
    };
}

void
Mso_Finish(Mso *mso)
{
    Mem_Free(mso->replicas);
    *mso = (Mso){0};
}

static bool
is_fresh(const MsoReplica *replica, Span bound, Instant now)
{
    return replica->answered_at && now - replica->answered_at < bound;
}

static bool
is_relied_on(const Mso *mso, size_t replica, Instant now)
{
    return is_fresh(&mso->replicas[replica], mso->heartbeat * UNANSWERED_BEATS,
                    now);
}

static size_t
count_fresh(const Mso *mso, bool near, Instant now)
{
    size_t count = 0;

    for (size_t i = 0; i < mso->count; i++) {
        count += mso->replicas[i].near == near && is_relied_on(mso, i, now);
    }
    return count;
}

/* Of those that answer and are NEAR or not, the one that the node's own number
 * points to; Mso_NONE when none does. */
static size_t
pick_fresh(const Mso *mso, bool near, Instant now)
{
    size_t count = count_fresh(mso, near, now);
    size_t left = count ? mso->spread % count : 0;

    for (size_t i = 0; i < mso->count; i++) {
        if (mso->replicas[i].near == near && is_relied_on(mso, i, now) &&
            left-- == 0) {
            return i;
        }
    }
    return Mso_NONE;
}

static size_t
find_fresh(const Mso *mso, Instant now)
{
    size_t found = pick_fresh(mso, true, now);

    return found != Mso_NONE ? found : pick_fresh(mso, false, now);
}

static bool
has_good_source(const Mso *mso, Instant now)
{
    return mso->source != Mso_NONE && is_relied_on(mso, mso->source, now) &&
           mso->replicas[mso->source].near;
}

void
Mso_Choose(Mso *mso, Instant now)
{
    size_t found;

    if (has_good_source(mso, now)) {
        return;
    }
    found = find_fresh(mso, now);
    if (found != Mso_NONE && found != mso->source) {
        mso->source = found;
        mso->replicas[found].table = 0;
    }
}

/* An answer is there well before the next heartbeat. */
static bool
is_late(const Mso *mso, Instant now)
{
    return !is_fresh(&mso->replicas[mso->source], mso->heartbeat * 3 / 2, now);
}

/* Who hears this node while its source is late: a near one first. */
static size_t
find_second(const Mso *mso)
{
    size_t found = Mso_NONE;

    for (size_t i = 0; i < mso->count; i++) {
        size_t at = (mso->spread + i) % mso->count;
        if (at != mso->source && !mso->replicas[at].self) {
            found = found == Mso_NONE ? at : found;
            if (mso->replicas[at].near) {
                return at;
            }
        }
    }
    return found;
}

MsoTell
Mso_Ask(const Mso *mso, size_t replica, uint64_t said, bool leaving,
        Instant now)
{
    const MsoReplica *to = &mso->replicas[replica];

    if (to->self) {
        return Mso_NOTHING;
    }
    if (mso->control || leaving || !has_good_source(mso, now)) {
        return Mso_RECORD;
    }
    if (replica == mso->source) {
        return to->said >= said ? Mso_RENEWAL : Mso_RECORD;
    }
    return is_late(mso, now) && replica == find_second(mso) ? Mso_RECORD
                                                            : Mso_NOTHING;
}

bool
Mso_Wants(const Mso *mso, size_t replica)
{
    return mso->control || replica == mso->source;
}

void
Mso_Forget(Mso *mso, size_t replica)
{
    mso->replicas[replica] = (MsoReplica){0};
    if (mso->source == replica) {
        mso->source = Mso_NONE;
    }
}

void
Mso_OnSaid(Mso *mso, size_t replica, uint64_t said)
{
    mso->replicas[replica].said = said;
}

void
Mso_OnAnswer(Mso *mso, size_t replica, Instant now)
{
    mso->replicas[replica].answered_at = now;
}

void
Mso_OnUnknown(Mso *mso, size_t replica)
{
    mso->replicas[replica].said = 0;
}
