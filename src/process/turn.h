/* Trn, the decider of when a node asks a control replica for the version in
 * force, and whether one of its own region will do.
 *
 * One that leaves a question unanswered, or has lost its leader itself, is not
 * waited for: the next one is asked soon, in whichever region.
 */
#ifndef TURN_H
#define TURN_H

#include <stdbool.h>
#include <stdint.h>

#include "value/instant.h"

typedef struct {
    uint32_t unanswered; /* questions since the last good answer */
    Instant asked_at;
    Instant ask_at; /* the next one is due; 0: at once */
} Trn;

/* Ask now; SETTLED: the node knows the version in force. */
bool Trn_IsDue(const Trn *turn, bool settled, Instant now);

/* Not only replicas of the node's own region. */
bool Trn_GoesAnywhere(const Trn *turn);

void Trn_OnAsk(Trn *turn, Instant now);

/* LINKED: the replica that answered is in touch with its leader. */
void Trn_OnAnswer(Trn *turn, bool linked);

#endif
