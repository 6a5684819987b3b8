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
#ifndef SUSPECTS_H
#define SUSPECTS_H

#include "connection/suspectmsg.h"
#include "process/counters.h"
#include "process/members.h"
#include "process/net.h"
#include "process/timeline.h"
#include "version/preset.h"

enum {
    Sps_BLAMED_MAX = 256, /* requests blamed for one crash */
    Sps_ROWS_MAX = 256    /* told at once where digests differ */
};

typedef struct {
    Sus sus;
    Net *net;
    Counters *counters;
    Timeline *timeline;
    const Settings *settings;
    const Members *members;
    const Preset *preset; /* in force */
    bool knows;           /* told what the fleet knew when it started */
    Instant started_at;
    uint64_t crashes; /* counted up, for their ids */
    size_t untold;    /* nodes that did not confirm the last one yet */
    size_t next;      /* entry to be told first where not all fit */
    void *learned_context;
    void (*learned)(void *context, Instant now);
    bool unsaved;    /* a control replica's file lacks something */
    Instant save_at; /* not before */
} Suspects;

void Sps_Init(Suspects *suspects, Net *net, Counters *counters,
              Timeline *timeline, const Settings *settings,
              const Members *members);

/* Told when more is known than before. */
void Sps_OnLearned(Suspects *suspects,
                   void (*learned)(void *context, Instant now), void *context);

/* PRESET is in force, and valid until the next one is.  What is known stays:
 * it is no part of a version. */
void Sps_SetPreset(Suspects *suspects, const Preset *preset);

/* Take over what a control replica's data folder holds. */
void Sps_Load(Suspects *suspects, Instant now);

/* All that was known was told, or the fleet's history begins with this start
 * and there is nothing to know. */
void Sps_SetKnown(Suspects *suspects);

SusVerdict Sps_Ask(const Suspects *suspects, uint64_t fingerprint,
                   Instant now);

/* Of the nodes of SERVICE that take work, the one where FINGERPRINT is run
 * alone, as far as this one knows; NULL: there is none. */
const MbrRecord *Sps_FindTurn(const Suspects *suspects, Str service,
                              uint64_t fingerprint);

/* Of the nodes of this one's service, FINGERPRINT is run alone here. */
bool Sps_IsTurn(const Suspects *suspects, uint64_t fingerprint);

/* The backend server beside this node was lost while these ran. */
void Sps_OnCrash(Suspects *suspects, const uint64_t *fingerprints,
                 size_t count, Instant now);

/* Every node that was told of the last crash knows of it. */
bool Sps_IsTold(const Suspects *suspects);

/* It ran alone to a good end. */
void Sps_OnDone(Suspects *suspects, uint64_t fingerprint, Instant now);

/* Operators release FINGERPRINT, everywhere; false when it is not blamed. */
bool Sps_Release(Suspects *suspects, uint64_t fingerprint, Instant now);

void Sps_Tick(Suspects *suspects, Instant now);

/* What this process knows, in short; and what another one does, which lacks
 * something or has more (suspects_tell.c). */
SuspectWord Sps_Word(const Suspects *suspects);
void Sps_OnWord(Suspects *suspects, const NetOrigin *origin,
                const SuspectWord *word, Instant now);

/* Take ROW, this node's or told by another; true when it is news. */
bool Sps_Take(Suspects *suspects, const SusRow *row, Instant now);

/* Tell PACK to the control replicas and to nodes that may get the same
 * requests; how many nodes these are. */
size_t Sps_Tell(Suspects *suspects, const Pack *pack, Instant now);
void Sps_Listen(Suspects *suspects);

#endif
