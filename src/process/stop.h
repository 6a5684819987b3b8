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
    Stp_NOTHING,
    Stp_LEAVE,          /* tell the members, refuse attempts */
    Stp_REFUSE,         /* callers' connections end with their answers */
    Stp_STOP_LISTENING, /* callers who connected are known by now */
    Stp_CLOSE_IDLE,     /* close callers' connections without a request */
    Stp_END
} StpStep;

typedef struct {
    size_t calls;     /* of callers of this node, under way */
    size_t runs;      /* attempts at the backend server beside it */
    size_t answers;   /* requests and answers on callers' connections */
    size_t callers;   /* connections open */
    Instant asked_at; /* last attempt that another node sent; 0: none */
} StpLoad;

typedef struct {
    Span bound;  /* from the signal to the end, at most */
    Span settle; /* all nodes know within this that one leaves */
    Span notice; /* callers know within this; 0: they find out by themselves,
                    and Stp_LEAVE is Stp_REFUSE, too */
} StpSettings;

typedef struct {
    StpSettings settings;
    Instant since; /* of the signal; 0: none yet */
    bool left;
    bool refused;
    bool deaf;    /* no longer listens */
    bool bounded; /* it ended at its bound, with work under way */
} Stp;

void Stp_Init(Stp *stop, const StpSettings *settings);

/* A signal came; a second one ends at once. */
void Stp_OnSignal(Stp *stop, Instant now);

/* The next step; ask again until Stp_NOTHING or Stp_END. */
StpStep Stp_Decide(Stp *stop, const StpLoad *load, Instant now);

#endif
