/* Prs: tracks which backend server process is beside this node, from its
 * announcements.
 *
 * For each announcement Prs_OnAnnouncement decides which start of the backend
 * server sent it, and whether it is still valid.  A later start has a later
 * start time.  Within one start the sequence number rises.  A late
 * announcement is acknowledged and changes nothing, unless it says that the
 * backend server is draining: draining is never taken back.
 *
 * A start that is known to leave (process/membership/leavesync.h) is never
 * taken for one that is ready, whatever this process has heard itself: after a
 * restart of this node the backend server may leave, or have left, before it
 * announces itself again, and its delayed announcements are stale.
 *
 * process/membership/announce.h serves the HTTP requests and owns the
 * BackendPresence.
 */
#ifndef PRESENCE_H
#define PRESENCE_H

#include "process/membership/leavetable.h"

/* Without a start time a backend server that left may start again under its
 * id after this time.  Longer than an announcement is under way. */
#define Prs_LEAVE_HOLD Span_S(10)

typedef struct {
    Str id;                /* name of the backend server; not owned */
    int64_t started_at_ms; /* milliseconds since 1970; 0: not given */
    uint64_t sequence;     /* number of the announcement within its start */
    bool draining;         /* no new requests are to be sent */
} PresenceAnnouncement;

typedef enum {
    Prs_ACCEPTED,  /* from the current start */
    Prs_NEW_START, /* accepted, and it is another start */
    Prs_STALE      /* from an earlier start, or overtaken by a later one */
} PresenceVerdict;

/* The current start of the backend server; all zero at first. */
typedef struct {
    StrBuf id; /* empty: none has announced itself yet */
    int64_t started_at_ms;
    uint64_t sequence; /* the highest received */
    bool draining;
    BackendStart left; /* the latest start known to leave; id_hash 0: none */
    Instant left_at;   /* when this node learned of it */
} BackendPresence;

void Prs_Finish(BackendPresence *presence);
PresenceVerdict Prs_OnAnnouncement(BackendPresence *presence,
                                   const PresenceAnnouncement *announcement,
                                   Instant now);

/* Whether ANNOUNCEMENT is of the current start. */
bool Prs_IsCurrent(const BackendPresence *presence,
                   const PresenceAnnouncement *announcement);

/* Forgets the current start, which was not one of this VM's backend server.
 * What is known to leave stays known. */
void Prs_Forget(BackendPresence *presence);

/* The start ID of STARTED_AT_MS (0: not given) of the backend server leaves.
 * Returns true when it is the current one, which drains from now on; otherwise
 * an earlier one leaves, or one that has not announced itself.  In either case
 * presence->left is the latest start that leaves. */
bool Prs_OnLeave(BackendPresence *presence, Str id, int64_t started_at_ms,
                 Instant now);

/* START is known to leave, from before this node's start.  Returns true when
 * it is the current one, which drains from now on. */
bool Prs_SetLeft(BackendPresence *presence, BackendStart start, Instant now);

#endif
