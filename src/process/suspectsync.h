/* Sps: suspect requests as they are known at this node, and shared by all.
 *
 * What is known belongs to the fleet and lives as long as it, not as long as a
 * version, a process or a connection:
 *
 * - A crash is told at once to the control replicas and to the nodes that may
 *   get the same requests, which alone let them run, and these confirm it;
 *   until then nobody is told what became of the requests, so that no repeat
 *   arrives before it.
 * - Whoever asks a control replica for the version in force tells a digest of
 *   what it knows, as control replicas tell each other; where two differ,
 *   rows go both ways.
 * - Control replicas keep it in their data folders.
 * - A process that starts lets nothing run before it was told.
 */
#ifndef SUSPECTSYNC_H
#define SUSPECTSYNC_H

#include "connection/suspectmsg.h"
#include "process/counters.h"
#include "process/members.h"
#include "process/net.h"
#include "process/timeline.h"
#include "version/preset.h"

enum {
    Sps_BLAMED_PER_CRASH_MAX = 256,   /* requests blamed for one crash */
    Sps_RECORDS_PER_MESSAGE_MAX = 256 /* told at once where digests differ */
};

typedef struct {
    SuspectTable table;
    Net *net;
    Counters *counters;
    Timeline *timeline;
    const Settings *settings;
    const Members *members;
    const Preset *preset; /* in force */
    bool is_synced;       /* told what the fleet knew when it started */
    Instant started_at;
    uint64_t last_crash_number; /* counted up, for their ids */
    size_t unconfirmed_nodes; /* nodes that did not confirm the last one yet */
    size_t next_request;      /* entry to be told first where not all fit */
    void *on_update_context;
    void (*on_update)(void *context, Instant now);
    bool needs_save;      /* a control replica's file lacks something */
    Instant next_save_at; /* not before */
} SuspectSync;

void Sps_Init(SuspectSync *suspects, Net *net, Counters *counters,
              Timeline *timeline, const Settings *settings,
              const Members *members);

/* Told when more is known than before. */
void Sps_SetUpdateCallback(SuspectSync *suspects,
                           void (*learned)(void *context, Instant now),
                           void *context);

/* PRESET is in force, and valid until the next one is.  What is known stays:
 * it is no part of a version. */
void Sps_SetPreset(SuspectSync *suspects, const Preset *preset);

/* Take over what a control replica's data folder holds. */
void Sps_Load(SuspectSync *suspects, Instant now);

/* All that was known was told, or the fleet's history begins with this start
 * and there is nothing to know. */
void Sps_SetSynced(SuspectSync *suspects);

SuspectVerdict Sps_GetVerdict(const SuspectSync *suspects,
                              uint64_t fingerprint, Instant now);

/* Of the nodes of SERVICE that take work, the one where FINGERPRINT is run
 * alone, as far as this one knows; NULL: there is none. */
const MbrRecord *Sps_FindExclusiveNode(const SuspectSync *suspects,
                                       Str service, uint64_t fingerprint);

/* Of the nodes of this one's service, FINGERPRINT is run alone here. */
bool Sps_IsExclusiveNode(const SuspectSync *suspects, uint64_t fingerprint);

/* The backend server beside this node was lost while these ran. */
void Sps_OnCrash(SuspectSync *suspects, const uint64_t *fingerprints,
                 size_t count, Instant now);

/* Every node that was told of the last crash knows of it. */
bool Sps_IsCrashConfirmed(const SuspectSync *suspects);

/* It ran alone to a good end. */
void Sps_OnExclusiveSuccess(SuspectSync *suspects, uint64_t fingerprint,
                            Instant now);

/* Operators release FINGERPRINT, everywhere; false when it is not blamed. */
bool Sps_Release(SuspectSync *suspects, uint64_t fingerprint, Instant now);

void Sps_Tick(SuspectSync *suspects, Instant now);

/* What this process knows, in short; and what another one does, which lacks
 * something or has more (suspects_tell.c). */
SuspectWord Sps_MakeSummary(const SuspectSync *suspects);
void Sps_OnSummary(SuspectSync *suspects, const NetOrigin *origin,
                   const SuspectWord *word, Instant now);

/* Take ROW, this node's or told by another; true when it is news. */
bool Sps_MergeRecord(SuspectSync *suspects, const SuspectRecord *row,
                     Instant now);

/* Tell PACK to the control replicas and to nodes that may get the same
 * requests; how many nodes these are. */
size_t Sps_SendToPeers(SuspectSync *suspects, const Pack *pack, Instant now);
void Sps_RegisterHandlers(SuspectSync *suspects);

#endif
