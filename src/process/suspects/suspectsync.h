/* Sps: this process's table of suspect requests, kept in sync with the other
 * processes of the fleet.
 *
 * The table belongs to the fleet.  It outlives versions, processes and
 * connections:
 *
 * - A crash is sent at once to the control replicas and to the nodes that may
 *   get the same requests.  Only those nodes let the requests run, and they
 *   confirm the message.  Until then no caller gets the outcome of its
 *   request, so that no repeat arrives before the message.
 * - A node that asks a control replica for the version in force includes a
 *   summary of its table, and so do control replicas among themselves.  Where
 *   two tables differ, records go both ways.
 * - Control replicas keep the table in their data folders.
 * - A process that starts runs no request until it has received the table, or
 *   has waited 5 s for it.
 *
 * The node (process/node.h) owns one SuspectSync.  It calls Sps_Init, Sps_Load
 * and Sps_SetPreset at the start, and Sps_Tick from then on.  The request
 * modules ask for verdicts and report crashes and exclusive runs.
 */
#ifndef SUSPECTSYNC_H
#define SUSPECTSYNC_H

#include "connection/suspectmsg.h"
#include "process/membership/membershipsync.h"
#include "process/net.h"
#include "process/observe/counters.h"
#include "process/observe/timeline.h"
#include "version/preset.h"
#include "version/regionmask.h"

enum {
    Sps_BLAMED_PER_CRASH_MAX = 256,   /* requests */
    Sps_RECORDS_PER_MESSAGE_MAX = 256 /* in an answer to a summary */
};

/* The table of this process, and what is still to be sent or saved of it. */
typedef struct {
    SuspectTable table;
    Net *net;
    Counters *counters;
    Timeline *timeline;
    const Settings *settings;
    const MembershipSync *members;
    DomainMask evacuated; /* failure domains to which nothing is sent */
    const Preset *preset; /* in force */
    bool is_synced;       /* counts as complete; see Sps_SetSynced */
    Instant started_at;
    uint64_t last_crash_number; /* of this process's crashes, from 1 */
    size_t unconfirmed_nodes;   /* have not confirmed the last crash yet */
    size_t next_request; /* index to send first where not all fit a message */
    void *on_update_context;
    void (*on_update)(void *context, Instant now);
    bool needs_save;      /* a control replica's file lacks a change */
    Instant next_save_at; /* the earliest time of the next save */
} SuspectSync;

/* All pointers must outlive SYNC. */
void Sps_Init(SuspectSync *sync, Net *net, Counters *counters,
              Timeline *timeline, const Settings *settings,
              const MembershipSync *members);

/* CALLBACK is called after the table has changed by a message, an exclusive
 * success or a release.  It must be set before messages arrive. */
void Sps_SetUpdateCallback(SuspectSync *sync,
                           void (*callback)(void *context, Instant now),
                           void *context);

/* PRESET is in force, and must stay valid until the next call.  The table
 * stays as it is: it is not part of a version. */
void Sps_SetPreset(SuspectSync *sync, const Preset *preset);

/* Loads the table from a control replica's data folder, and logs when there
 * is none.  Does nothing on other nodes. */
void Sps_Load(SuspectSync *sync, Instant now);

/* The table counts as complete: it was received, the fleet starts for the
 * first time and knows nothing, or the wait for it has timed out. */
void Sps_SetSynced(SuspectSync *sync);

/* Sets the failure domains to which nothing is sent from now on: their nodes
 * run no suspects. */
void Sps_SetEvacuated(SuspectSync *sync, DomainMask evacuated);

/* Returns what to do with the request FINGERPRINT now. */
SuspectVerdict Sps_GetVerdict(const SuspectSync *sync, uint64_t fingerprint,
                              Instant now);

/* The node of SERVICE, outside the BARRED regions, that runs FINGERPRINT
 * exclusively, as far as this node knows; NULL when no such node accepts
 * requests. */
const MemberRecord *Sps_FindExclusiveNode(const SuspectSync *sync, Str service,
                                          uint64_t fingerprint,
                                          RegionMask barred);

/* True when this node is the one of its service, outside the BARRED regions,
 * that runs FINGERPRINT exclusively. */
bool Sps_IsExclusiveNode(const SuspectSync *sync, uint64_t fingerprint,
                         RegionMask barred);

/* The backend server beside this node crashed while the COUNT requests ran.
 * Blames them and sends the crash to the other processes. */
void Sps_OnCrash(SuspectSync *sync, const uint64_t *fingerprints, size_t count,
                 Instant now);

/* True when every node that was sent the last crash has confirmed it. */
bool Sps_IsCrashConfirmed(const SuspectSync *sync);

/* The request succeeded in an exclusive run. */
void Sps_OnExclusiveSuccess(SuspectSync *sync, uint64_t fingerprint,
                            Instant now);

/* Operators release FINGERPRINT in the whole fleet.  Returns false when it is
 * not blamed. */
bool Sps_Release(SuspectSync *sync, uint64_t fingerprint, Instant now);

/* Expires requests and saves the table when due. */
void Sps_Tick(SuspectSync *sync, Instant now);

/* The summary that this process includes in its messages. */
SuspectSummary Sps_MakeSummary(const SuspectSync *sync);

/* Another process sent SUMMARY.  Where it differs from this table, answers
 * with records (suspectsync_messages.c). */
void Sps_OnSummary(SuspectSync *sync, const NetOrigin *origin,
                   const SuspectSummary *summary, Instant now);

/* Merges a record that this process made or received.  Returns true when it
 * changed the table. */
bool Sps_MergeRecord(SuspectSync *sync, const SuspectRecord *record,
                     Instant now);

/* Sends MESSAGE to the control replicas and to the nodes that may get the same
 * requests.  Returns the number of these nodes. */
size_t Sps_SendToPeers(SuspectSync *sync, const Pack *message, Instant now);

/* Registers the handlers of the messages about suspects; Sps_Init calls it. */
void Sps_RegisterHandlers(SuspectSync *sync);

#endif
