/* Hld: the holder of key registers on a control replica.  It answers the
 * proposers, and after a restart reads what it may have forgotten from the
 * other holders before it says a word.
 *
 * A file in the data folder tells that this holder was ready once.  All
 * holders without that file, none of which knows an earlier start of another,
 * make a fleet at its first start: then there is nothing to read.  A holder
 * whose folder was lost finds others that have the file, or that heard of its
 * earlier start, and reads like any other that restarted.
 */
#ifndef HOLDER_H
#define HOLDER_H

#include "process/counters.h"
#include "process/net.h"
#include "process/register.h"
#include "process/timeline.h"
#include "version/preset.h"

enum { Hld_REPLICAS_MAX = 7 };

/* Another holder, as seen by one that catches up. */
typedef struct {
    uint64_t heard;    /* its start, as of its first question */
    bool fresh;        /* says that this is the fleet's first start */
    bool read;         /* all its registers were read */
    uint64_t number;   /* of the question that is out */
    uint32_t part;     /* expected next */
    Instant active_at; /* last question or part */
} HldPeer;

typedef struct {
    const Settings *settings;
    Net *net;
    Counters *counters;
    Timeline *timeline;
    Reg reg;
    uint64_t incarnation;
    bool fresh;    /* the file was missing at the start */
    bool overflow; /* what was read does not fit: wait for the retention */
    HldPeer peers[Hld_REPLICAS_MAX];
    LoopTimer timer;
} Holder;

/* Does nothing on a node that is no control replica. */
void Hld_Init(Holder *holder, Loop *loop, Net *net, Counters *counters,
              Timeline *timeline, const Settings *settings,
              uint64_t incarnation, const PstLimits *limits);
void Hld_Finish(Holder *holder);

/* Limits of the preset now in force. */
/* It can answer for its registers, or there are none here. */
bool Hld_IsReady(const Holder *holder);

void Hld_SetLimits(Holder *holder, const PstLimits *limits);

#endif
