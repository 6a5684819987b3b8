/* Ccn: HTTP/1.1 connections of callers, with pipelining.
 *
 * Ccn_Listen opens the listening socket.  Each request is passed to the
 * callbacks as soon as it has been read completely, while earlier requests
 * of the connection still run; answers are sent in the order of the
 * requests.  A request that may not run twice is passed on only when it is
 * the oldest one: requests behind an answer that closes the connection count
 * as not read.  The owner answers with Ccn_SendHead, Ccn_SendBody and
 * Ccn_EndAnswer, or with Ccn_SendAnswer.  A disconnect by the caller is
 * noticed at any time.
 *
 * What callers make the process keep is counted in the budget of
 * Ccn_SetBudget.  A request for which there is no room is rejected with 503:
 * when its head has been read, or, where the head gives no length, as soon as
 * it gets too large.  For a small one, requests that have been read in part
 * are rejected, those first that are large and slow.  Answers that callers do
 * not take are given up in the same order, and connections that are idle or
 * have sent no whole request are closed for new ones.  A large body of which
 * nothing arrives for the idle timeout is given up with 408.
 */
#ifndef CALLERCONN_H
#define CALLERCONN_H

#include <event2/bufferevent.h>
#include <event2/listener.h>

#include "connection/httpread.h"
#include "process/memory/budget.h"
#include "process/observe/counters.h"
#include "value/addr.h"
#include "value/bodybuf.h"
#include "value/err.h"
#include "value/instant.h"
#include "value/list.h"

typedef struct CallerConnection CallerConnection;
typedef struct CallerRequest CallerRequest;
typedef struct CallerListener CallerListener;

/* One request and its answer.  Its strings are valid until the answer ends;
 * those of the head until it has been sent. */
struct CallerRequest {
    CallerConnection *connection;
    CallerRequest *next;
    StrBuf text; /* bytes of method, target and fields */
    Str method;
    Str target;
    FieldList fields;
    BodyBuf *body;       /* NULL: none; until the answer ends */
    size_t body_reserve; /* bytes of body that room was made for */
    size_t held;         /* of the budget */
    bool is_last;        /* the caller sends no further request */
    bool http_1_0;
    bool is_dispatched; /* passed to on_request */
    bool head_sent;     /* the answer's head was written */
    bool chunked;
    bool has_length; /* the answer's head gives the length of its body */
    bool has_no_body;
    bool is_unframed; /* the answer ends with the connection */
    bool answer_ended;
    bool is_aborted;        /* by Ccn_Abort */
    bool closes_connection; /* the connection closes after its answer */
    uint32_t unsent_bytes;  /* body bytes not yet sent to the caller */
    struct evbuffer *deferred_output; /* answer behind earlier answers */
    void *user_data;     /* set and used by the owner of the callbacks */
    StrBuf id;           /* for logs; set by the owner of the callbacks */
    Instant received_at; /* when its last bytes were read */
    /* Once the answer has ended: how many bytes of the connection's output end
     * with it. */
    uint64_t end_offset;
};

/* Why a connection ended before an answer was sent completely. */
typedef enum {
    Ccn_CALLER_LEFT,    /* the caller ended or reset the connection */
    Ccn_CALLER_STALLED, /* the caller did not read for too long */
    Ccn_ANSWER_ABORTED, /* the answer cannot be completed */
    Ccn_BEHIND_CLOSE,   /* behind an answer that closes the connection */
    Ccn_EXIT,           /* the process ends */
    Ccn_NO_ROOM         /* closed to make room for others */
} CallerEnd;

/* Receives the requests of all connections of a listener. */
typedef struct {
    void *context;
    /* Returns whether a request may run before earlier ones are answered. */
    bool (*can_run_early)(void *context, const CallerRequest *request);
    void (*on_request)(void *context, CallerRequest *request, Instant now);
    /* BYTES more of the answer's body were sent to the caller. */
    void (*on_consumed)(void *context, CallerRequest *request, uint32_t bytes);
    /* The caller disconnected.  The request is freed after this call. */
    void (*on_disconnect)(void *context, CallerRequest *request);
    /* The connection ended before the answer was sent completely, or begun:
     * UNSENT bytes are left of what is known of it.  Called before
     * on_disconnect; the request is freed after it. */
    void (*on_cut)(void *context, const CallerRequest *request,
                   CallerEnd reason, size_t unsent);
    /* Adds header fields to the error answer STATUS of a request that could
     * not be read. */
    void (*add_error_fields)(void *context, uint16_t status,
                             FieldList *fields);
} CallerCallbacks;

typedef struct {
    size_t head_bytes_max;
    size_t body_bytes_max;
    Span head_timeout; /* from first byte to end of a request head */
    Span idle_timeout; /* time until a connection without a request closes */
} CallerLimits;

struct CallerListener {
    struct event_base *base;
    Instant (*clock)(void);
    struct evconnlistener *listener; /* NULL: no longer listening */
    CallerCallbacks callbacks;
    CallerLimits limits;
    List connections;
    MemoryBudget *budget;        /* NULL: unlimited */
    Counters *counters;          /* NULL: none */
    size_t connections_max;      /* 0: unlimited */
    Instant checked_at;          /* last Ccn_CheckTimeouts; 0: none yet */
    bool is_paused;              /* accepts no connection until one ends */
    struct event *give_up_event; /* closes connections that are given up */
    size_t active_requests;      /* read completely, and the answer not sent
                                    completely yet */
    bool is_draining;       /* connections close after their next answer */
    int send_buffer_max;    /* that the system grants; 0: not known yet */
    int send_buffer_growth; /* by Ccn_PushOutput, bytes of all connections */
};

/* Listens at ADDR.  Connections are accepted after Ccn_StartAccepting.
 * Returns false and sets ERR if the address cannot be bound. */
bool Ccn_Listen(CallerListener *listener, struct event_base *base,
                Instant (*clock)(void), Addr addr,
                const CallerCallbacks *callbacks, Err *err);

/* Counts what is kept in BUDGET, and what is refused for it in COUNTERS.  At
 * most CONNECTIONS_MAX are open at a time, 0: any number.  To be called before
 * the first connection is accepted. */
void Ccn_SetBudget(CallerListener *listener, MemoryBudget *budget,
                   Counters *counters, size_t connections_max);

/* Stops listening and closes all connections.  on_disconnect is called for
 * each request that has no complete answer yet. */
void Ccn_Finish(CallerListener *listener);
void Ccn_StartAccepting(CallerListener *listener);

/* Makes each answer from now on the last one of its connection, and lets no
 * new connection begin; those that have begun are still accepted. */
void Ccn_StartDraining(CallerListener *listener);

/* Closes the listening socket; open connections stay.  While it drains, those
 * that have connected are accepted before. */
void Ccn_StopListening(CallerListener *listener);

/* Copies LIMITS, which also apply to open connections. */
void Ccn_SetLimits(CallerListener *listener, const CallerLimits *limits);

/* Closes the connections without a request and without an answer on the way.
 * A request that has arrived is read first; one that crosses the close is not
 * read, which its caller sees as a reset. */
void Ccn_CloseIdle(CallerListener *listener);

/* Counts requests of which only a part was read, and that some time ago. */
size_t Ccn_CountPartial(CallerListener *listener, Instant now);

/* Rejects these requests with STATUS; their connections close after it. */
void Ccn_RejectPartial(CallerListener *listener, uint16_t status, Instant now);

/* Counts the bytes of all answers that were not sent yet. */
size_t Ccn_CountUnsentBytes(CallerListener *listener);

/* Hands as much of all output to the kernel as that takes, and makes its send
 * buffers larger within what the system grants.  The kernel goes on to send it
 * when the process has ended, so that callers that read late get it. */
void Ccn_PushOutput(CallerListener *listener);

/* Handles the timeouts of all connections; called periodically. */
void Ccn_CheckTimeouts(CallerListener *listener, Instant now);

/* Three functions that send an answer: its head, parts of its body, its end.
 * REQUEST may be freed by Ccn_EndAnswer and Ccn_Abort: do not use it
 * afterwards. */
void Ccn_SendHead(CallerRequest *request, uint16_t status,
                  const FieldList *fields);
void Ccn_SendBody(CallerRequest *request, Str bytes);
void Ccn_EndAnswer(CallerRequest *request);

/* Returns whether later requests of the connection wait for this answer. */
bool Ccn_HasPipelined(const CallerRequest *request);

/* Takes back what was sent of the answer, so that another one can be sent in
 * its place.  Returns false, and changes nothing, unless an earlier answer of
 * the connection is still to be completed: then bytes may have gone out. */
bool Ccn_Retract(CallerRequest *request);

/* Ends the connection, so that the caller sees that the answer is incomplete.
 * Earlier answers are sent first; later requests count as not read.  A caller
 * could take the end of the connection for that of an answer without framing,
 * so that one is reset. */
void Ccn_Abort(CallerRequest *request);

/* Sends a complete answer with a Content-Length, and ends the request. */
void Ccn_SendAnswer(CallerRequest *request, uint16_t status,
                    const FieldList *fields, Str body);

#endif
