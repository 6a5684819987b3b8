/* Stp: decides the steps by which a node stops without interrupting a request.
 *
 * The node leaves first: it announces that to the other members, refuses
 * attempts of other nodes (they did not run, and are sent to another node),
 * and closes each caller's connection after its answer.  Then the node stops
 * listening, closes connections without a request, a moment later, because the
 * callers that connected last are about to send one, and exits once no work is
 * left and no other node has sent an attempt for the propagation time; or at
 * its time limit, with work left.  In the second half of that time no call is
 * started any more, so that the calls under way have it to end.  Those that
 * wait then are rejected: the caller may send them elsewhere.
 *
 * The node (process/node.h) reports signals with Stp_OnSignal, calls
 * Stp_NextStep at each tick with its current activity, and carries out the
 * action that it returns.
 */
#ifndef STOP_H
#define STOP_H

#include <stdbool.h>
#include <stddef.h>

#include "value/instant.h"

typedef enum {
    Stp_WAIT,               /* nothing to do now */
    Stp_LEAVE,              /* announce it to the members, refuse attempts */
    Stp_DISABLE_KEEP_ALIVE, /* each answer ends its caller's connection */
    Stp_STOP_LISTENING,     /* all callers that connected are accepted */
    Stp_CLOSE_IDLE_CONNECTIONS, /* those of callers without a request */
    Stp_REJECT_PARTIAL,         /* requests of which only a part was read */
    Stp_EXIT
} StopAction;

/* What a node is doing now. */
typedef struct {
    size_t calls;                 /* active calls of this node's callers */
    size_t local_attempts;        /* at the backend server beside this node */
    size_t http_exchanges;        /* callers' requests that were read and are
                                     not answered completely */
    size_t caller_connections;    /* open, with or without a request */
    size_t unconfirmed_peers;     /* nodes that have not confirmed that they
                                     have the answers sent to them */
    size_t partial_requests;      /* of which only a part was read */
    Instant last_peer_attempt_at; /* from another node; 0: none */
} StopActivity;

typedef struct {
    Span time_limit;       /* from the signal to the exit, at most */
    Span propagation_time; /* until all nodes know that one leaves */
    Span notice_time;      /* until callers know it; 0: there is no notice, and
                              Stp_LEAVE includes Stp_DISABLE_KEEP_ALIVE */
} StopSettings;

typedef struct {
    StopSettings settings;
    Instant signaled_at; /* time of the first signal; 0: none yet */
    Instant resumed_at;  /* end of the last pause; 0: none */
    Span last_pause;
    bool has_left;                /* Stp_LEAVE was returned */
    Instant draining_at;          /* when each answer began to end its caller's
                                     connection; 0: not yet */
    Instant stopped_listening_at; /* 0: not yet */
    bool timed_out;               /* work was left at the time limit */
} GracefulStop;

void Stp_Init(GracefulStop *stop, const StopSettings *settings);

/* A stop signal arrived.  A second one ends the node at once. */
void Stp_OnSignal(GracefulStop *stop, Instant now);

/* This node itself did not run for PAUSE, until NOW.  It has not read what
 * arrived meanwhile, so that other nodes do not count as quiet: they get twice
 * as long again, at most the propagation time.  Pauses of less than an eighth
 * of it don't count. */
void Stp_OnOwnPause(GracefulStop *stop, Span pause, Instant now);

/* The next action, which counts as done.  The caller may ask again until the
 * answer is Stp_WAIT or Stp_EXIT. */
StopAction Stp_NextStep(GracefulStop *stop, const StopActivity *activity,
                        Instant now);

/* Whether calls of this node's callers may still start at a backend server:
 * false in the second half of a stop's time limit; in its last sixth for
 * NESTED calls, without which the requests that made them fail. */
bool Stp_MayStartCalls(const GracefulStop *stop, bool nested, Instant now);

#endif
