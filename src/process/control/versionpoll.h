/* Vpl: decides when a node asks control replicas for the version in force, how
 * many of them, and whether replicas of other regions may be asked.
 *
 * A node polls one replica of its own region.  When that replica does not
 * answer, or what it knows is too old, the node asks several at once, in any
 * region, until one of them knows better.  process/control/versionfollower.h
 * sends the requests and reports them and their answers here.
 */
#ifndef VERSIONPOLL_H
#define VERSIONPOLL_H

#include <stdbool.h>
#include <stdint.h>

#include "value/instant.h"

/* Replicas asked at once when one request was in vain: with that one, more
 * than the two of five that may be gone and one that lags. */
enum { Vpl_WIDE_REQUESTS = 3 };

/* When a node sent its last requests and when the next one is due.  Zeroed: a
 * request is due at once. */
typedef struct {
    uint32_t vain_rounds; /* rounds of requests since the last answer that was
                             young enough */
    bool is_overdue;      /* the first of them was answered, too old */
    Instant last_request_at;
    Instant next_request_at; /* 0: at once */
} VersionPoll;

/* Returns how many requests are due now, each to another replica.
 * IS_UP_TO_DATE: this node has the newest version in force and its suspects in
 * sync; if not, one is always due. */
uint32_t Vpl_CountDue(const VersionPoll *poll, bool is_up_to_date,
                      Instant now);

/* True when the next request may go to a replica of any region, false when
 * only to one of the node's own region. */
bool Vpl_UsesAllRegions(const VersionPoll *poll);

/* A request was sent; several at the same time are one round. */
void Vpl_OnRequest(VersionPoll *poll, Instant now);

/* A replica that was asked at SENT_AT, or before (0), holds every change that
 * was accepted before AS_OF; 0: not known. */
void Vpl_OnResponse(VersionPoll *poll, Instant sent_at, Instant as_of,
                    Instant now);

#endif
