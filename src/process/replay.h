/* Rpl: drives a decider from a recorded trace and compares what it answers
 * with the outcomes in the trace.
 */
#ifndef REPLAY_H
#define REPLAY_H

#include "value/finding.h"

typedef struct {
    size_t events;
    size_t refused; /* attempts that were not taken, or not first */
    size_t differing;
} ReplayResult;

/* Replay TEXT with the decider that its first line names; what differs and
 * what cannot be read are findings, with the line as their place.  True when
 * there was neither. */
bool Rpl_Run(Str text, ReplayResult *result, FindingList *findings);

#endif
