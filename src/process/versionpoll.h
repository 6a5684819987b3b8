/* Trn, the decider of when a node asks a control replica for the version in
 * force, and whether one of its own region will do.
 *
 * One that leaves a question unanswered, or has lost its leader itself, is not
 * waited for: the next one is asked soon, in whichever region.
 */
#ifndef VERSIONPOLL_H
#define VERSIONPOLL_H

#include <stdbool.h>
#include <stdint.h>

#include "value/instant.h"

typedef struct {
    uint32_t unanswered_requests; /* questions since the last good answer */
    Instant last_request_at;
    Instant next_request_at; /* the next one is due; 0: at once */
} VersionPoll;

/* Ask now; SETTLED: the node knows the version in force. */
bool Vpl_IsDue(const VersionPoll *turn, bool settled, Instant now);

/* Not only replicas of the node's own region. */
bool Vpl_UsesAllRegions(const VersionPoll *turn);

void Vpl_OnRequest(VersionPoll *turn, Instant now);

/* LINKED: the replica that answered is in touch with its leader. */
void Vpl_OnResponse(VersionPoll *turn, bool linked);

#endif
