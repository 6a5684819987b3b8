/* Rpl: replays a trace and compares the outcomes with the recorded ones.
 *
 * Traces are written by process/observe/recorder.h, which gives their format.
 * A replay shows whether today's code decides as the recorded code did.
 */
#ifndef REPLAY_H
#define REPLAY_H

#include "value/finding.h"

typedef struct {
    size_t events;    /* events replayed */
    size_t refused;   /* attempts refused by the admission controller, or not
                         new to the ledger */
    size_t differing; /* events with another outcome than recorded */
} ReplayResult;

/* Replays the trace TEXT with a new instance of the decider that its first
 * line names.  Stops at the first event with another outcome or line that is
 * not valid, and adds it as a finding at its line.  Returns true when there is
 * none. */
bool Rpl_Run(Str text, ReplayResult *result, FindingList *findings);

#endif
