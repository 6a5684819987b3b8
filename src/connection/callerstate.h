/* The state of one connection of a caller, and the functions that the files
 * of callerconn.h share: callerconn.c (listener, connections, timeouts),
 * callerinput.c (requests), callerroom.c (who keeps how much), callerpush.c
 * (answers late in a stop) and calleranswer.c (answers).  Private to these
 * files.
 */
#ifndef CALLERSTATE_H
#define CALLERSTATE_H

#include "connection/callerconn.h"

/* The status of a request for which there is no room. */
enum { Ccn_UNAVAILABLE = 503 };

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
    size_t held;             /* of the budget, for the connection itself */
    size_t input_held;       /* for what was read and is no request yet */
    size_t answers_held;     /* for answers that were not sent yet */
    Instant taken_at;  /* when the caller last took a part of an answer, or
                          the first one came */
    bool has_served;   /* an answer was sent */
    bool is_given_up;  /* closed from the event loop, to make room */
    bool in_reader;    /* a callback of the reader is on the call stack */
    bool free_pending; /* to be freed after the callback has returned */
};

Instant Ccn_Now(const CallerListener *listener);

void Ccn_FreeRequest(CallerRequest *request);

/* Changes what a part of CONNECTION keeps of requests from *HELD to BYTES.
 * For a small one, other requests that were read in part are rejected.
 * Returns false, and changes nothing, when there is no room. */
bool Ccn_Hold(CallerConnection *connection, size_t *held, size_t bytes);

/* Makes room for REQUEST with BODY_BYTES of body.  Returns false when there is
 * none. */
bool Ccn_HoldRequest(CallerRequest *request, size_t body_bytes);

/* Frees the body, and the room that was made for it. */
void Ccn_ReleaseBody(CallerRequest *request);

/* As Ccn_ReleaseBody, and gives back the rest of its room: REQUEST is freed
 * next. */
void Ccn_ReleaseRequest(CallerRequest *request);

/* Makes room for what was read of a head, and for input that waits.  Returns
 * false when there is none. */
bool Ccn_HoldInput(CallerConnection *connection);

/* Frees what was read of a head: no further request is read. */
void Ccn_ReleaseInput(CallerConnection *connection);

/* Makes room for a new connection, and closes others for it; if that is not
 * enough, no further one is accepted for now. */
void Ccn_HoldConnection(CallerConnection *connection);

/* Gives back all that is held for CONNECTION itself. */
void Ccn_ReleaseConnection(CallerConnection *connection);

/* Counts bytes of answers that were added and sent. */
void Ccn_CountOutput(CallerConnection *connection, size_t added,
                     size_t deleted);

/* Whether a further part of an answer may be kept for CONNECTION.  Closes
 * connections whose callers do not read, if answers take too much.  When it is
 * this one, it is closed from the event loop, and the result is false. */
bool Ccn_HasAnswerRoom(CallerConnection *connection);

/* Accepts no connection until Ccn_CheckTimeouts finds room for one. */
void Ccn_PauseAccepting(CallerListener *listener);

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
