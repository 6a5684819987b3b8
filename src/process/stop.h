/* Stp, the stop decider: the steps by which a node stops without cutting a
 * request.
 *
 * It leaves first: the members are told, attempts of other nodes are refused
 * (they did not run, and go elsewhere), and each answer ends its caller's
 * connection.  Then it no longer listens, closes connections without a
 * request, and ends once nothing is under way and nobody has asked it for a
 * while; or at its bound, whatever is under way.
 */
#ifndef STOP_H
#define STOP_H

#include <stdbool.h>
#include <stddef.h>

#include "value/instant.h"

typedef enum {
    Stp_WAIT,
    Stp_LEAVE,              /* tell the members, refuse attempts */
    Stp_DISABLE_KEEP_ALIVE, /* callers' connections end with their answers */
    Stp_STOP_LISTENING,     /* callers who connected are known by now */
    Stp_CLOSE_IDLE_CONNECTIONS, /* close callers' connections without a request
                                 */
    Stp_EXIT
} StopAction;

typedef struct {
    size_t calls;          /* of callers of this node, under way */
    size_t local_attempts; /* attempts at the backend server beside it */
    size_t http_exchanges; /* requests and answers on callers' connections */
    size_t client_connections;    /* connections open */
    Instant last_peer_attempt_at; /* last attempt that another node sent; 0:
                                     none */
} StopActivity;

typedef struct {
    Span time_limit;       /* from the signal to the end, at most */
    Span propagation_time; /* all nodes know within this that one leaves */
    Span notice_time;      /* callers know within this; 0: they find out by
                         themselves,      and Stp_LEAVE is Stp_DISABLE_KEEP_ALIVE, too */
} StopSettings;

typedef struct {
    StopSettings settings;
    Instant signaled_at; /* of the signal; 0: none yet */
    bool has_left;
    bool keep_alive_disabled;
    bool stopped_listening; /* no longer listens */
    bool timed_out;         /* it ended at its bound, with work under way */
} GracefulStop;

void Stp_Init(GracefulStop *stop, const StopSettings *settings);

/* A signal came; a second one ends at once. */
void Stp_OnSignal(GracefulStop *stop, Instant now);

/* The next step; ask again until Stp_WAIT or Stp_EXIT. */
StopAction Stp_NextStep(GracefulStop *stop, const StopActivity *load,
                        Instant now);

#endif
