/* Vpl: decides when a node asks a control replica for the version in force,
 * and whether replicas of other regions may be asked.
 *
 * A node polls replicas of its own region.  When a replica does not answer, or
 * has lost its leader, the node does not wait for it: it soon asks the next
 * replica, in any region.  process/versionfollower.h sends the requests and
 * reports them and their answers here.
 */
#ifndef VERSIONPOLL_H
#define VERSIONPOLL_H

#include <stdbool.h>
#include <stdint.h>

#include "value/instant.h"

/* When a node sent its last request and when the next one is due.  Zeroed: a
 * request is due at once. */
typedef struct {
    uint32_t unanswered_requests; /* requests sent since the last answer of a
                                     replica with a leader */
    Instant last_request_at;
    Instant next_request_at; /* 0: at once */
} VersionPoll;

/* True when a request is due now.  IS_UP_TO_DATE: this node has the newest
 * version in force and its suspects in sync; if not, one is always due. */
bool Vpl_IsDue(const VersionPoll *poll, bool is_up_to_date, Instant now);

/* True when the next request may go to a replica of any region, false when
 * only to one of the node's own region. */
bool Vpl_UsesAllRegions(const VersionPoll *poll);

/* A request was sent. */
void Vpl_OnRequest(VersionPoll *poll, Instant now);

/* HAS_LEADER: the replica that answered is in contact with its leader. */
void Vpl_OnResponse(VersionPoll *poll, bool has_leader);

#endif
