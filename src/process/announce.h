/* Ann: the announcements of the backend server beside this node.
 *
 * A backend server posts {"service", "port", "slots", "draining"} to
 * /v1/announce every second or so; without a word for the expiry it is gone.
 * One that tells its starts apart posts {"service", "address", "slots",
 * "state", "sequence", "born"} to /v1/backends/announce?id=ID instead, and
 * /v1/backends/leave?id=ID before it goes; other members are left alone.
 */
#ifndef ANNOUNCE_H
#define ANNOUNCE_H

#include "connection/backend.h"
#include "process/admission.h"
#include "process/operate.h"
#include "process/presence.h"

typedef void (*BackendChangeListener)(void *context, Instant now);

typedef struct {
    const Settings *settings;
    Logger *logger;
    AdmissionController *admission;
    BckPool *pool;
    bool has_backend;
    bool is_draining;
    StrBuf service;
    BackendPresence presence;
    Instant heard_at;
    BackendChangeListener on_change; /* told of each change but a renewal */
    void *context;
} AnnouncementReceiver;

void Ann_Init(AnnouncementReceiver *ann, const Settings *settings,
              Logger *logger, AdmissionController *admission, BckPool *pool,
              BackendChangeListener changed, void *context);
void Ann_Finish(AnnouncementReceiver *ann);

/* Serve /v1/announce and /v1/backends/. */
void Ann_RegisterPaths(AnnouncementReceiver *ann, Opr *opr);

void Ann_Expire(AnnouncementReceiver *ann, Instant now);

/* Nobody listens at its address: gone until it announces itself again. */
void Ann_OnBackendLost(AnnouncementReceiver *ann, Instant now);

#endif
