/* Ann: receives the announcements of the backend server beside this node, and
 * passes its address on to the connection pool and its slots to admission.
 *
 * A backend server posts {"service", "port", "slots", "draining"} to
 * /v1/announce every second or so.  Without an announcement for the
 * backend_expiry of the settings, the backend server counts as gone.
 *
 * A backend server that identifies its starts posts {"service", "address",
 * "slots", "state", "sequence", "born"} to /v1/backends/announce?id=ID
 * instead, with "cold_ms" while it is cold, and posts {"born"} to
 * /v1/backends/leave?id=ID before it stops; further members of these objects
 * are ignored.  That it drains or leaves is acknowledged with 200 once a
 * majority of the control replicas has recorded it, and answered 503 when that
 * takes too long; this node sends it nothing more from the start.  Until a
 * node that starts has read what the replicas recorded, it holds the latest
 * announcement back.
 *
 * An announcement whose service the preset in force doesn't name may come from
 * another writer.  It changes nothing, unless it is of the current start and
 * names the same service as before: a service that a preset no longer names
 * may be named again.  A start that leaves in this way is not acknowledged.
 * Until a preset names any service, all announcements count; a start taken
 * then whose service turns out not to be named gives way to any other.
 */
#ifndef ANNOUNCE_H
#define ANNOUNCE_H

#include "connection/backend.h"
#include "process/admission/admission.h"
#include "process/membership/leavesync.h"
#include "process/membership/noticewait.h"
#include "process/membership/presence.h"
#include "process/operators/operatorapi.h"
#include "version/preset.h"

/* Called when the backend server came, went, or changed its service or whether
 * it drains. */
typedef void (*BackendChangeListener)(void *context, Instant now);

/* What a backend server says of itself. */
typedef struct {
    StrBuf service;
    Addr addr; /* Addr_NONE: this VM's address, with the port below */
    uint16_t port;
    uint32_t slots;
    bool draining;
    Span cold_left; /* how long it stays cold; of /v1/backends/announce */
    PresenceAnnouncement presence; /* of /v1/backends/announce only */
} Announcement;

/* An announcement that waits until LeaveSync is synced. */
typedef struct {
    bool is_set;
    Announcement announcement;
    StrBuf id; /* of announcement.presence */
} HeldAnnouncement;

typedef struct {
    const Settings *settings;
    Logger *logger;
    AdmissionController *admission;
    BackendPool *pool; /* connections to the backend server */
    bool has_backend;  /* a backend server is announced */
    bool is_draining;  /* the backend server takes no new requests */
    StrBuf service;    /* of the last announcement */
    /* the last start that /v1/backends/announce reported */
    BackendPresence presence;
    const Preset *preset; /* in force; NULL: none was confirmed yet */
    /* No preset has named the service of the current start yet. */
    bool is_unconfirmed;
    LeaveSync *leaves;
    HeldAnnouncement held;
    WaitingNotices waiting;
    Instant heard_at; /* last announcement or leave; later by the time in which
                         this node itself did not run since */
    Instant checked_at; /* last Ann_Expire; 0: none yet */
    BackendChangeListener on_change;
    void *context; /* of on_change */
} AnnouncementReceiver;

/* Starts without a backend server.  All pointers must outlive RECEIVER. */
void Ann_Init(AnnouncementReceiver *receiver, const Settings *settings,
              Logger *logger, AdmissionController *admission,
              BackendPool *pool, LeaveSync *leaves,
              BackendChangeListener on_change, void *context);
void Ann_Finish(AnnouncementReceiver *receiver);

/* PRESET, of a confirmed version, is in force from now on; it must stay valid
 * until the next one. */
void Ann_SetPreset(AnnouncementReceiver *receiver, const Preset *preset);

/* Answers the notices that wait; to be called before Opr_Finish. */
void Ann_EndWaiting(AnnouncementReceiver *receiver);

/* The LeaveUpdateCallback of LeaveSync; CONTEXT is the receiver. */
void Ann_OnLeavesUpdate(void *context, Instant now);

/* Registers the paths /v1/announce and /v1/backends/ with OPR. */
void Ann_RegisterPaths(AnnouncementReceiver *receiver, OperatorApi *opr);

/* Counts the backend server as gone when its last announcement is older than
 * the expiry, and answers notices that waited too long; to be called every
 * tick. */
void Ann_Expire(AnnouncementReceiver *receiver, Instant now);

/* No process listens at the backend server's address: it counts as gone until
 * its next announcement. */
void Ann_OnBackendLost(AnnouncementReceiver *receiver, Instant now);

#endif
