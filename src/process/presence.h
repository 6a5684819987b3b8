/* Prs, the decider of what an announcement says of the backend server beside
 * a node: of which start of it, and whether it still counts.
 *
 * A later start has a later birth.  Within one start the sequence rises; what
 * comes late is acknowledged and changes nothing, but for a word of leaving,
 * which is never taken back.
 */
#ifndef PRESENCE_H
#define PRESENCE_H

#include "value/str.h"

typedef struct {
    Str id;
    int64_t started_at_ms; /* milliseconds since 1970; 0: not said */
    uint64_t sequence;     /* of this start's announcements */
    bool draining;
} PresenceAnnouncement;

typedef enum {
    Prs_ACCEPTED,
    Prs_NEW_START, /* the same, and it is another start */
    Prs_STALE      /* an earlier start, or overtaken */
} PresenceVerdict;

typedef struct {
    StrBuf id; /* empty: nobody announced itself yet */
    int64_t started_at_ms;
    uint64_t sequence;
    bool draining; /* it said so: no work from then on */
} BackendPresence;

void Prs_Finish(BackendPresence *prs);
PresenceVerdict Prs_OnAnnouncement(BackendPresence *prs,
                                   const PresenceAnnouncement *word);

/* ID leaves; false when that is not who is here. */
bool Prs_OnLeave(BackendPresence *prs, Str id);

#endif
