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
#ifndef ACCEPTOR_H
#define ACCEPTOR_H

#include "process/counters.h"
#include "process/net.h"
#include "process/register.h"
#include "process/timeline.h"
#include "version/preset.h"

enum { Acc_REPLICAS_MAX = 7 };

/* Another holder, as seen by one that catches up. */
typedef struct {
    uint64_t first_incarnation; /* its start, as of its first question */
    bool is_first_start;        /* says that this is the fleet's first start */
    bool is_fully_read;         /* all its registers were read */
    uint64_t request_number;    /* of the question that is out */
    uint32_t next_part;         /* expected next */
    Instant last_active_at;     /* last question or part */
} AcceptorPeer;

typedef struct {
    const Settings *settings;
    Net *net;
    Counters *counters;
    Timeline *timeline;
    KeyRegisters registers;
    uint64_t incarnation;
    bool lacked_ready_file; /* the file was missing at the start */
    bool has_overflow; /* what was read does not fit: wait for the retention */
    AcceptorPeer peers[Acc_REPLICAS_MAX];
    LoopTimer timer;
} RegisterAcceptor;

/* Does nothing on a node that is no control replica. */
void Acc_Init(RegisterAcceptor *holder, Loop *loop, Net *net,
              Counters *counters, Timeline *timeline, const Settings *settings,
              uint64_t incarnation, const PstLimits *limits);
void Acc_Finish(RegisterAcceptor *holder);

/* Limits of the preset now in force. */
/* It can answer for its registers, or there are none here. */
bool Acc_IsReady(const RegisterAcceptor *holder);

void Acc_SetLimits(RegisterAcceptor *holder, const PstLimits *limits);

#endif
