#include "process/operators/opconns.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <sys/socket.h>

#include "process/loop.h"
#include "value/mem.h"

/* What one read costs beside its bytes: the library moves what it has read in
 * blocks. */
enum { READ_BYTES = 4096 };

static void on_input(struct evbuffer *in, const struct evbuffer_cb_info *info,
                     void *context);
static void on_output(struct evbuffer *out,
                      const struct evbuffer_cb_info *info, void *context);

static void
drop_connection(OperatorConnections *connections, size_t index)
{
    OperatorConnection *connection = &connections->items[index];

    Bdg_Force(connections->budget, Bdg_OPERATORS, &connection->held, 0);
    Bdg_Force(connections->budget, Bdg_OPERATORS, &connection->answer_held, 0);
    evbuffer_remove_cb(bufferevent_get_input(connection->stream), on_input,
                       connections);
    evbuffer_remove_cb(bufferevent_get_output(connection->stream), on_output,
                       connections);
    bufferevent_decref(connection->stream);
    connections->items[index] = connections->items[--connections->count];
}

/* evhttp does not report the end of a connection without a request, but a
 * stream that evhttp has freed has no callback any more. */
static bool
is_closed(const OperatorConnection *connection)
{
    bufferevent_event_cb callback;

    bufferevent_getcb(connection->stream, NULL, NULL, &callback, NULL);
    return !callback;
}

static void
drop_closed(OperatorConnections *connections)
{
    for (size_t i = connections->count; i-- > 0;) {
        if (is_closed(&connections->items[i])) {
            drop_connection(connections, i);
        }
    }
}

/* Returns whether A is closed before B: connections without a pending request
 * first, then the least recently used. */
static bool
closes_before(const OperatorConnection *a, const OperatorConnection *b)
{
    return a->awaits_answer != b->awaits_answer ? b->awaits_answer
                                                : a->used_at < b->used_at;
}

/* evhttp notices the shutdown in the next iteration of the event loop. */
static void
close_connection(OperatorConnections *connections, size_t index)
{
    shutdown(bufferevent_getfd(connections->items[index].stream), SHUT_RDWR);
    Cnt_Add(connections->counters, Cnt_OPERATORS_CLOSED, 1);
    drop_connection(connections, index);
}

static void
close_least_recent(OperatorConnections *connections)
{
    size_t chosen = 0;

    for (size_t i = 1; i < connections->count; i++) {
        if (closes_before(&connections->items[i],
                          &connections->items[chosen])) {
            chosen = i;
        }
    }
    close_connection(connections, chosen);
}

/* Closes connections while all take more than their share. */
static void
make_room(OperatorConnections *connections, Instant now)
{
    while (Bdg_IsOver(connections->budget, Bdg_OPERATORS)) {
        BudgetChoice choice = {0};
        OperatorConnection *worst;
        for (size_t i = 0; i < connections->count; i++) {
            OperatorConnection *connection = &connections->items[i];
            size_t held = connection->held + connection->answer_held;
            if (held && !connection->awaits_answer) {
                Bdg_Consider(&choice, connection, held,
                             now - connection->used_at);
            }
        }
        worst = choice.item;
        if (!worst) {
            return;
        }
        close_connection(connections, (size_t)(worst - connections->items));
    }
}

/* Called when bytes were read, and when evhttp takes them. */
static void
on_input(struct evbuffer *in, const struct evbuffer_cb_info *info,
         void *context)
{
    OperatorConnections *connections = context;

    for (size_t i = 0; info->n_added && i < connections->count; i++) {
        OperatorConnection *connection = &connections->items[i];
        if (bufferevent_get_input(connection->stream) == in) {
            size_t before = connection->has_request ? 0 : connection->held;
            connection->has_request = false;
            Bdg_Force(connections->budget, Bdg_OPERATORS, &connection->held,
                      before + info->n_added + READ_BYTES);
            make_room(connections, Loop_Now());
            return;
        }
    }
}

/* Called when an answer is written to the stream, and sent. */
static void
on_output(struct evbuffer *out, const struct evbuffer_cb_info *info,
          void *context)
{
    OperatorConnections *connections = context;

    for (size_t i = 0; i < connections->count; i++) {
        OperatorConnection *connection = &connections->items[i];
        if (bufferevent_get_output(connection->stream) == out) {
            Bdg_Force(
                connections->budget, Bdg_OPERATORS, &connection->answer_held,
                connection->answer_held + info->n_added - info->n_deleted);
            return;
        }
    }
}

static struct bufferevent *
on_connection(struct event_base *base, void *context)
{
    OperatorConnections *connections = context;
    /* The stream closes its descriptor when the last reference is released.
     * If evhttp closed it, the number could be reused for another connection
     * while this stream still refers to it. */
    struct bufferevent *stream =
        bufferevent_socket_new(base, -1, BEV_OPT_CLOSE_ON_FREE);

    drop_closed(connections);
    if (connections->count == 2 * connections->limit) {
        close_least_recent(connections);
    }
    bufferevent_incref(stream);
    evbuffer_add_cb(bufferevent_get_input(stream), on_input, connections);
    evbuffer_add_cb(bufferevent_get_output(stream), on_output, connections);
    connections->items[connections->count] = (OperatorConnection){
        .stream = stream,
        .used_at = Loop_Now(),
        .over_limit = connections->count >= connections->limit,
    };
    connections->count++;
    return stream;
}

static OperatorConnection *
find_connection(OperatorConnections *connections,
                struct evhttp_request *request)
{
    struct bufferevent *stream = evhttp_connection_get_bufferevent(
        evhttp_request_get_connection(request));

    for (size_t i = 0; i < connections->count; i++) {
        if (connections->items[i].stream == stream) {
            return &connections->items[i];
        }
    }
    return NULL;
}

void
Opc_Init(OperatorConnections *connections, struct evhttp *http, size_t limit,
         MemoryBudget *budget, Counters *counters)
{
    *connections = (OperatorConnections){
        .counters = counters, .budget = budget, .limit = limit};
    connections->items = Mem_Alloc(2 * limit, sizeof *connections->items);
    evhttp_set_bevcb(http, on_connection, connections);
}

void
Opc_Finish(OperatorConnections *connections)
{
    while (connections->count) {
        drop_connection(connections, connections->count - 1);
    }
    Mem_Free(connections->items);
}

bool
Opc_OnRequest(OperatorConnections *connections, struct evhttp_request *request,
              Instant now)
{
    OperatorConnection *connection = find_connection(connections, request);

    if (!connection) {
        return true; /* already closed */
    }
    connection->used_at = now;
    connection->has_request = true;
    return connection->over_limit;
}

void
Opc_SetBusy(OperatorConnections *connections, struct evhttp_request *request,
            bool awaits_answer)
{
    OperatorConnection *connection = find_connection(connections, request);

    if (connection) {
        connection->awaits_answer = awaits_answer;
        if (!awaits_answer) {
            Bdg_Force(connections->budget, Bdg_OPERATORS, &connection->held,
                      0);
        }
    }
}
