/* Ntw: notices of the backend server beside this node that it drains or
 * leaves, while their acknowledgement waits for the control replicas
 * (process/membership/leavesync.h).
 */
#ifndef NOTICEWAIT_H
#define NOTICEWAIT_H

#include <event2/http.h>
#include <stdbool.h>

#include "value/instant.h"

enum { Ntw_NOTICES_MAX = 16 };

/* A request of the backend server that is answered later. */
typedef struct {
    struct evhttp_request *request;
    Instant deadline;
} WaitingNotice;

/* All zero at first. */
typedef struct {
    WaitingNotice notices[Ntw_NOTICES_MAX]; /* by deadline */
    size_t count;
} WaitingNotices;

/* Returns false when too many wait already. */
bool Ntw_Add(WaitingNotices *waiting, struct evhttp_request *request,
             Instant now);

/* Acknowledges all. */
void Ntw_Acknowledge(WaitingNotices *waiting);

/* Answers those that have waited for too long, without acknowledging them: the
 * backend server then sends them again. */
void Ntw_Expire(WaitingNotices *waiting, Instant now);

/* Answers all without acknowledging them; to be called before the HTTP server
 * is finished. */
void Ntw_Finish(WaitingNotices *waiting);

#endif
