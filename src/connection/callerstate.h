/* The state of one connection of a caller, and the functions that the files
 * of callerconn.h share: callerconn.c (listener, connections, timeouts),
 * callerinput.c (requests), callerbody.c (room for their bodies) and
 * calleranswer.c (answers).  Private to these files.
 */
#ifndef CALLERSTATE_H
#define CALLERSTATE_H

#include "connection/callerconn.h"

struct CallerConnection {
    CallerListener *listener;
    ListLink link;
    struct bufferevent *bev;
    HttpReader reader;
    CallerRequest *incoming; /* its body is being read; not in the list yet */
    CallerRequest *first_request; /* not answered yet, oldest first */
    size_t request_count;
    CallerRequest *first_unsent; /* answered, but not sent completely yet */
    uint64_t sent_bytes;         /* written to the socket */
    size_t undelivered;          /* bytes of output that the caller's host had
                                    not acknowledged, at the last look */
    Instant progress_at;         /* when that last changed */
    Instant timer_start;   /* first byte of a head, or when the last answer had
                              been sent */
    Instant message_start; /* first byte of the request that is being read */
    bool is_input_full;    /* nothing is read until requests were answered */
    bool in_head;
    bool ignores_input;      /* no further request is read: the connection is
                                closing */
    bool starts_with_word;   /* the input begins like a method */
    bool half_closed;        /* the caller ended its side; it may have left */
    uint16_t error_status;   /* of the last input; sent after all earlier
                                answers; 0: none */
    bool closes_after_flush; /* closes when all output was sent */
    bool resets_after_flush; /* by a reset, not an orderly end */
    bool in_reader;    /* a callback of the reader is on the call stack */
    bool free_pending; /* to be freed after the callback has returned */
};

Instant Ccn_Now(const CallerListener *listener);

void Ccn_FreeRequest(CallerRequest *request);

/* Reserves room for LEN bytes of body in all.  Returns false, and changes
 * nothing, when other large bodies take it. */
bool Ccn_ReserveBody(CallerRequest *request, size_t len);

/* Frees the body and the room that was reserved for it. */
void Ccn_ReleaseBody(CallerRequest *request);

/* Frees the requests whose answers have not ended; on_disconnect is called for
 * those that are being answered. */
void Ccn_DropRequests(CallerConnection *connection, CallerEnd reason);

/* REQUEST, which is no longer in the list, was answered: keeps it until the
 * answer has been sent. */
void Ccn_AddUnsent(CallerConnection *connection, CallerRequest *request);

/* Closes and frees CONNECTION, or, on behalf of a callback of its reader, lets
 * the reader do so. */
void Ccn_Free(CallerConnection *connection, CallerEnd reason);

/* Closes the connection with a TCP reset, so that the caller sees a failure,
 * once what was sent before has been delivered. */
void Ccn_ResetAfterFlush(CallerConnection *connection);

/* Closes the connection after its output was sent.  Further input is read and
 * discarded, because closing with unread input could destroy the last
 * answer. */
void Ccn_EndAfterFlush(CallerConnection *connection);

/* Passes REQUEST to on_request. */
void Ccn_DispatchRequest(CallerConnection *connection, CallerRequest *request);

/* Rejects the current input.  The error is sent after all earlier answers. */
void Ccn_RejectInput(CallerConnection *connection, uint16_t status);

/* Prepares the reader of a new connection. */
void Ccn_InitReader(CallerConnection *connection);

/* Reads the requests that have arrived, as far as there is room for them. */
void Ccn_ProcessInput(CallerConnection *connection);

#endif
