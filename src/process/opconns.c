#include "process/opconns.h"

#include <event2/bufferevent.h>
#include <sys/socket.h>

#include "process/loop.h"
#include "value/mem.h"

static void
drop(OpConns *conns, size_t index)
{
    bufferevent_decref(conns->items[index].stream);
    conns->items[index] = conns->items[--conns->count];
}

/* evhttp tells of no end of a connection without a request, but a stream
 * that it has freed calls nobody any more. */
static bool
is_closed(const OpcConn *conn)
{
    bufferevent_event_cb call;

    bufferevent_getcb(conn->stream, NULL, NULL, &call, NULL);
    return !call;
}

static void
drop_closed(OpConns *conns)
{
    for (size_t i = conns->count; i-- > 0;) {
        if (is_closed(&conns->items[i])) {
            drop(conns, i);
        }
    }
}

/* Idle ones go first. */
static bool
goes_before(const OpcConn *a, const OpcConn *b)
{
    return a->busy != b->busy ? b->busy : a->used_at < b->used_at;
}

/* evhttp sees the end of it in the next turn of the loop. */
static void
close_oldest(OpConns *conns)
{
    size_t oldest = 0;

    for (size_t i = 1; i < conns->count; i++) {
        if (goes_before(&conns->items[i], &conns->items[oldest])) {
            oldest = i;
        }
    }
    shutdown(bufferevent_getfd(conns->items[oldest].stream), SHUT_RDWR);
    Cnt_Add(conns->counters, Cnt_OPERATORS_CLOSED, 1);
    drop(conns, oldest);
}

static struct bufferevent *
on_connection(struct event_base *base, void *context)
{
    OpConns *conns = context;
    /* Its descriptor lives as long as the reference here: closed by evhttp,
     * its number would be another's while the stream still stands for it. */
    struct bufferevent *stream =
        bufferevent_socket_new(base, -1, BEV_OPT_CLOSE_ON_FREE);

    drop_closed(conns);
    if (conns->count == 2 * conns->max) {
        close_oldest(conns);
    }
    bufferevent_incref(stream);
    conns->items[conns->count] = (OpcConn){
        .stream = stream,
        .used_at = Loop_Now(),
        .over = conns->count >= conns->max,
    };
    conns->count++;
    return stream;
}

static OpcConn *
find(OpConns *conns, struct evhttp_request *request)
{
    struct bufferevent *stream = evhttp_connection_get_bufferevent(
        evhttp_request_get_connection(request));

    for (size_t i = 0; i < conns->count; i++) {
        if (conns->items[i].stream == stream) {
            return &conns->items[i];
        }
    }
    return NULL;
}

void
Opc_Init(OpConns *conns, struct evhttp *http, size_t max, Counters *counters)
{
    *conns = (OpConns){.counters = counters, .max = max};
    conns->items = Mem_Alloc(2 * max, sizeof *conns->items);
    evhttp_set_bevcb(http, on_connection, conns);
}

void
Opc_Finish(OpConns *conns)
{
    while (conns->count) {
        drop(conns, conns->count - 1);
    }
    Mem_Free(conns->items);
}

bool
Opc_OnRequest(OpConns *conns, struct evhttp_request *request, Instant now)
{
    OpcConn *conn = find(conns, request);

    if (!conn) {
        return true; /* closed meanwhile */
    }
    conn->used_at = now;
    return conn->over;
}

void
Opc_SetBusy(OpConns *conns, struct evhttp_request *request, bool busy)
{
    OpcConn *conn = find(conns, request);

    if (conn) {
        conn->busy = busy;
    }
}
