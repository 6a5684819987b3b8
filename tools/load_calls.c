#include "load_calls.h"

#include <event2/buffer.h>
#include <event2/keyvalq_struct.h>

#include "value/mem.h"

#define CALL_TIMEOUT_S 5
#define SETTLE_TIME Span_S(6) /* wait for the last answers */

struct LodConnection {
    LodConnection *next;
    struct evhttp_connection *http;
};

/* A call without an answer or failure yet. */
typedef struct {
    Load *load;
    LodTarget *target;
    LodConnection *connection;
    size_t number;
} PendingCall;

/* Reuses an idle connection to TARGET or opens one. */
static LodConnection *
take_connection(Load *load, LodTarget *target)
{
    LodConnection *connection = target->idle;
    StrBuf ip = {0};

    if (connection) {
        target->idle = connection->next;
        return connection;
    }
    connection = Mem_Alloc(1, sizeof *connection);
    Addr_PrintIp(target->addr, &ip);
    connection->http = evhttp_connection_base_new(
        load->loop.base, NULL, StrBuf_CStr(&ip), Addr_Port(target->addr));
    evhttp_connection_set_timeout(connection->http, CALL_TIMEOUT_S);
    StrBuf_Finish(&ip);
    return connection;
}

static void
on_answer(struct evhttp_request *request, void *context)
{
    PendingCall *pending = context;
    Load *load = pending->load;
    LodCall *call = &load->calls[pending->number];

    call->ended_at = Loop_Now();
    if (request) {
        const char *outcome =
            evhttp_find_header(evhttp_request_get_input_headers(request),
                               "X-Lycheeridge-Outcome");
        call->status = evhttp_request_get_response_code(request);
        call->not_run = Str_Equal(Str_FromC(outcome), Str_LIT("not-run"));
    }
    pending->connection->next = pending->target->idle;
    pending->target->idle = pending->connection;
    Mem_Free(pending);
    if (--load->open_calls == 0 && call->ended_at >= load->end_at) {
        Loop_Stop(&load->loop);
    }
}

static void
send_call(Load *load, size_t number)
{
    LodCall *call = &load->calls[number];
    LodGroup *group = &load->groups[call->group];
    PendingCall *pending = Mem_Alloc(1, sizeof *pending);
    struct evhttp_request *request = evhttp_request_new(on_answer, pending);
    struct evkeyvalq *headers = evhttp_request_get_output_headers(request);
    bool booking = call->kind == Lod_BOOKING;
    StrBuf key = {0};

    pending->load = load;
    pending->number = number;
    pending->target = &group->targets[group->next++ % group->count];
    pending->connection = take_connection(load, pending->target);
    evhttp_add_header(headers, "Host", "load");
    if (booking) {
        StrBuf_AppendFmt(&key, "load-%llu-%zu",
                         (unsigned long long)load->run_id, number);
        evhttp_add_header(headers, "Idempotency-Key", StrBuf_CStr(&key));
        evbuffer_add(evhttp_request_get_output_buffer(request),
                     load->booking_body.ptr, load->booking_body.len);
    }
    StrBuf_Finish(&key);
    load->open_calls++;
    evhttp_make_request(pending->connection->http, request,
                        booking ? EVHTTP_REQ_POST : EVHTTP_REQ_GET,
                        load->paths[call->kind]);
}

static void
start_call(Load *load)
{
    LodCall *call = &load->calls[load->count];

    *call = (LodCall){.due_at = load->next_due_at};
    call->group = (uint8_t)(load->count % load->group_count);
    call->kind = Rng_Below(&load->rng, 1000) < load->booking_permille
                     ? Lod_BOOKING
                     : Lod_READ;
    send_call(load, load->count++);
    load->next_due_at += (Span)Rng_Exponential(&load->rng, load->mean_gap_us);
}

/* Starts the calls that are due, then waits for the next due time.  After
 * the last call, ends the run when the settle time has passed. */
static void
on_timer(evutil_socket_t fd, short what, void *context)
{
    Load *load = context;
    Instant now = Loop_Now();
    struct timeval wait = {0};
    Span left;

    (void)fd;
    (void)what;
    while (load->next_due_at <= now && load->next_due_at < load->end_at &&
           load->count < load->cap) {
        start_call(load);
    }
    left = load->next_due_at < load->end_at ? load->next_due_at - now
                                            : SETTLE_TIME;
    if (load->next_due_at >= load->end_at &&
        now >= load->end_at + SETTLE_TIME) {
        Loop_Stop(&load->loop);
    }
    wait.tv_sec = left / Span_S(1);
    wait.tv_usec = left > 0 ? left % Span_S(1) : 0;
    event_add(load->timer, &wait);
}

static void
close_connections(Load *load)
{
    for (size_t g = 0; g < load->group_count; g++) {
        for (size_t i = 0; i < load->groups[g].count; i++) {
            LodTarget *target = &load->groups[g].targets[i];
            while (target->idle) {
                LodConnection *connection = target->idle;
                target->idle = connection->next;
                evhttp_connection_free(connection->http);
                Mem_Free(connection);
            }
        }
    }
}

void
Lod_Run(Load *load, Span length, size_t cap)
{
    Instant now = Loop_Now();

    load->cap = cap;
    load->calls = Mem_Alloc(cap, sizeof *load->calls);
    load->next_due_at = now;
    load->end_at = now + length;
    load->timer = evtimer_new(load->loop.base, on_timer, load);
    on_timer(-1, 0, load);
    Loop_Run(&load->loop);
    event_free(load->timer);
    close_connections(load);
}
