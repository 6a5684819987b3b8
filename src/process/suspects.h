/* Sps: suspect requests as they are known at this node, and shared with the
 * nodes beside the other backend servers of the service.
 *
 * A crash is told directly to these nodes, who alone let requests run, and
 * not through the control replicas.  They confirm it; until then nobody is
 * told what became of the requests, so that no repeat arrives before it.
 */
#ifndef SUSPECTS_H
#define SUSPECTS_H

#include "process/counters.h"
#include "process/members.h"
#include "process/net.h"
#include "process/suspect.h"
#include "process/timeline.h"
#include "version/preset.h"

enum { Sps_BLAMED_MAX = 256 };

typedef struct {
    Sus sus;
    Net *net;
    Counters *counters;
    Timeline *timeline;
    const Members *members;
    const Preset *preset; /* in force */
    uint64_t crashes;     /* counted up, for their ids */
    size_t untold;        /* nodes that did not confirm the last one yet */
} Suspects;

void Sps_Init(Suspects *suspects, Net *net, Counters *counters,
              Timeline *timeline, const Members *members);

/* PRESET is in force, and valid until the next one is.  What is known stays:
 * it is no part of a version. */
void Sps_SetPreset(Suspects *suspects, const Preset *preset);

SusVerdict Sps_Ask(const Suspects *suspects, uint64_t fingerprint,
                   Instant now);

/* The backend server beside this node was lost while these ran. */
void Sps_OnCrash(Suspects *suspects, const uint64_t *fingerprints,
                 size_t count, Instant now);

/* Every node that was told of the last crash knows of it. */
bool Sps_IsTold(const Suspects *suspects);

/* It ran alone to a good end. */
void Sps_OnDone(Suspects *suspects, uint64_t fingerprint, Instant now);

/* Operators release FINGERPRINT, everywhere; false when it is not blamed. */
bool Sps_Release(Suspects *suspects, uint64_t fingerprint, Instant now);

/* A node came: tell it what is known, if it serves the same service. */
void Sps_OnMember(Suspects *suspects, const MbrRecord *record, Instant now);

void Sps_Tick(Suspects *suspects, Instant now);

#endif
