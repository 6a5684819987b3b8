#include "support/stub_server.h"

#include <check.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include "process/loop.h"

static void
on_request(struct bufferevent *stream, void *context)
{
    StubServer *stub = context;
    struct evbuffer *in = bufferevent_get_input(stream);

    evbuffer_drain(in, evbuffer_get_length(in));
    for (int i = 0; i < stub->accepted_count; i++) {
        if (stub->connections[i] == stream) {
            stub->served_by = i + 1;
            if (stub->was_used[i]) {
                bufferevent_write(stream, stub->copy.ptr, stub->copy.len);
            }
            stub->was_used[i] = true;
        }
    }
    bufferevent_write(stream, stub->script.ptr, stub->script.len);
}

static void
on_accept(struct evconnlistener *listener, evutil_socket_t fd,
          struct sockaddr *from, int len, void *context)
{
    StubServer *stub = context;
    struct bufferevent *stream =
        bufferevent_socket_new(stub->base, fd, BEV_OPT_CLOSE_ON_FREE);

    (void)listener;
    (void)from;
    (void)len;
    ck_assert_int_lt(stub->accepted_count, Stb_CONNECTIONS_MAX);
    stub->connections[stub->accepted_count++] = stream;
    bufferevent_setcb(stream, on_request, NULL, NULL, stub);
    bufferevent_enable(stream, EV_READ | EV_WRITE);
}

void
Stb_Init(StubServer *stub, const BackendHeaderNames *names)
{
    struct sockaddr_in name = {.sin_family = AF_INET,
                               .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
    socklen_t len = sizeof name;
    Addr addr = Addr_NONE;

    *stub = (StubServer){.base = event_base_new()};
    stub->listener = evconnlistener_new_bind(
        stub->base, on_accept, stub, LEV_OPT_CLOSE_ON_FREE, -1,
        (struct sockaddr *)&name, sizeof name);
    ck_assert_ptr_nonnull(stub->listener);
    getsockname(evconnlistener_get_fd(stub->listener),
                (struct sockaddr *)&name, &len);
    Bck_PoolInit(&stub->pool, stub->base, Loop_Now, names);
    Addr_Parse(Str_LIT("127.0.0.1:1"), &addr);
    Bck_SetAddr(&stub->pool, Addr_WithPort(addr, ntohs(name.sin_port)),
                (Str){0});
}

void
Stb_Finish(StubServer *stub)
{
    Bck_PoolFinish(&stub->pool);
    for (int i = 0; i < stub->accepted_count; i++) {
        bufferevent_free(stub->connections[i]);
    }
    evconnlistener_free(stub->listener);
    event_base_free(stub->base);
    StrBuf_Finish(&stub->body);
    StrBuf_Finish(&stub->fields);
}

static void
on_head(void *context, uint16_t status, const FieldList *fields)
{
    StubServer *stub = context;

    stub->status = status;
    for (size_t i = 0; i < fields->count; i++) {
        StrBuf_AppendFmt(&stub->fields, "%.*s: %.*s\n",
                         Str_ARG(fields->items[i].name),
                         Str_ARG(fields->items[i].value));
    }
}

static void
on_body(void *context, Str bytes)
{
    StrBuf_Append(&((StubServer *)context)->body, bytes);
}

static void
on_end(void *context, BackendResult result)
{
    StubServer *stub = context;

    stub->has_ended = true;
    stub->result = result;
    event_base_loopbreak(stub->base);
}

Span
Stb_Exchange(StubServer *stub, const char *method, const char *id, Str script)
{
    const BackendCallbacks callbacks = {stub, on_head, on_body, on_end};
    const BackendRequest request = {
        .method = Str_FromC(method),
        .target = Str_LIT("/visor/a"),
        .request_id = id ? Str_FromC(id) : (Str){0},
        .is_internal = !id,
        .time_left = Stb_TIME_LEFT,
    };
    Instant start = Loop_Now();

    stub->script = script;
    stub->has_ended = false;
    stub->status = 0;
    StrBuf_Clear(&stub->body);
    StrBuf_Clear(&stub->fields);
    ck_assert_ptr_nonnull(Bck_Start(&stub->pool, &request, &callbacks));
    event_base_dispatch(stub->base);
    ck_assert(stub->has_ended);
    return Loop_Now() - start;
}
