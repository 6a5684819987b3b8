/* Mix: callers of many kinds at the same time, from plans that a test draws or
 * writes down, and what became of each of their requests.
 *
 * A caller has one connection.  It sends requests one after another or
 * pipelined, in pieces, with bodies; it reads late, slowly, or into a small
 * buffer; it announces its last request, or ends its side after it.  It may
 * cancel, and may send again on a new connection what got no whole answer. All
 * times count from the start of Mix_Run.
 */
#ifndef FLEET_MIX_H
#define FLEET_MIX_H

#include "fleet.h"
#include "value/rng.h"

enum { Mix_REQUESTS_MAX = 4, Mix_ID_BYTES = 32 };

typedef struct {
    Span send_at;      /* of its first byte; later if the answer to the request
                          before it comes later */
    bool is_pipelined; /* sent right behind the request before it */
    bool is_booking;   /* must not run twice */
    bool is_brief;     /* else: on the route with the shorter deadline */
    uint32_t body_bytes;
    uint32_t piece_count; /* 0 and 1: sent at once */
    Span piece_gap;       /* between two pieces */
    uint32_t answer_bytes;
    bool answer_is_chunked;
    Span work;          /* service time */
    int status;         /* of the answer; 0: 200 */
    uint32_t cut_after; /* bytes of its answer after which the backend server
                           ends it; 0: it does not */
    bool is_refused_twice; /* X-Fake-Again: named */
} MixRequest;

typedef struct {
    MixRequest requests[Mix_REQUESTS_MAX];
    int request_count;
    int vm; /* the caller connects to its node */
    Span open_at;
    Span read_after;    /* reads nothing for so long after its first byte */
    size_t read_bytes;  /* read at a time; 0: all that is there */
    Span read_interval; /* between two reads */
    Span half_close_delay;
    Span cancel_after;
    int receive_buffer; /* bytes; 0: the system's choice */
    int repeat_vm;
    bool announces_last; /* Connection: close in its last request */
    bool half_closes;    /* ends its side half_close_delay after its last
                            request */
    bool cancels;        /* closes the connection cancel_after its last
                            request */
    bool cancel_resets;  /* closes it with a reset */
    bool repeats;        /* sends again, once, through the node of repeat_vm,
                            what got no whole answer and may run twice, or was
                            not run */
} MixPlan;

typedef enum {
    Mix_UNSENT,   /* not sent completely before the connection ended */
    Mix_ANSWERED, /* the whole answer of the backend server, to this request */
    Mix_REJECTED, /* a whole answer 503 that says "not run" */
    Mix_FAILED,   /* another whole answer of the system */
    Mix_CUT,      /* a part of an answer */
    Mix_SILENT,   /* no byte of an answer */
    Mix_WRONG     /* an answer to another request, or with a wrong body */
} MixOutcome;

typedef struct {
    char id[Mix_ID_BYTES];
    MixOutcome outcome;
    int status;         /* of its answer; 0: none */
    bool says_not_run;  /* its whole answer says "not run" */
    uint32_t got_bytes; /* of its answer's body */
    Span sent_at;       /* of its last byte */
    Span ended_at;      /* of its answer, or of the connection without one */
    int repeat_caller;  /* that sent it again; 0: none */
    int repeat_request; /* of that caller */
} MixResult;

/* One caller; private but for plan and results. */
typedef struct MixCaller MixCaller;

typedef struct {
    Fleet *fleet;
    MixCaller *callers; /* owned */
    int count;          /* with those added for repetitions */
    int capacity;
    Instant started_at;
    void *context;
    /* Called at each tick; NULL: none. */
    void (*on_tick)(void *context, Span elapsed);
} Mix;

/* Makes callers from COUNT PLANS, which are copied. */
void Mix_Init(Mix *mix, Fleet *fleet, const MixPlan *plans, int count);
void Mix_Finish(Mix *mix);

/* Lets all callers act until they have ended, or until LIMIT. */
void Mix_Run(Mix *mix, Span limit);

const MixPlan *Mix_GetPlan(const Mix *mix, int caller);
const MixResult *Mix_GetResult(const Mix *mix, int caller, int request);

/* Appends a line on the plan and a line on each result of CALLER. */
void Mix_Print(const Mix *mix, int caller, StrBuf *out);

/* Draws a plan whose requests begin between FIRST and LAST and, with their
 * work of WORK_MAX at most, end soon after LAST; its caller has read all a
 * second later. */
void Mix_Draw(MixPlan *plan, Rng *rng, int vm, Span first, Span last,
              Span work_max);

/* Adds to a drawn plan what disturbs: the caller cancels or repeats, backend
 * servers cut answers, refuse twice or answer with other statuses, routes have
 * different deadlines.  Repetitions go to one of VM_COUNT VMs. */
void Mix_Disturb(MixPlan *plan, Rng *rng, int vm_count);

#endif
