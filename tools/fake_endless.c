#include "fake_endless.h"

#include "value/mem.h"
#include <event2/bufferevent.h>
#include <sys/socket.h>

#define HEAD_OK "HTTP/1.1 200 OK\r\n"
#define HEAD_CHUNKED HEAD_OK "Transfer-Encoding: chunked\r\n\r\n"

enum { BLOCK_BYTES = 64 * 1024 };

typedef struct {
    Str name;
    Str prefix; /* sent once; X-Request-Id is inserted after its first line */
    Str repeated; /* sent again and again after the prefix */
} EndlessKind;

static const EndlessKind kinds[] = {
    {Str_LIT("blank"), {0}, Str_LIT("\r\n\r\n\r\n\r\n")},
    {Str_LIT("garbage"), {0}, Str_LIT("\x01\xff barn barn barn ")},
    {Str_LIT("head"), Str_LIT(HEAD_OK), Str_LIT("X-Barn: 41\r\n")},
    {Str_LIT("field"), Str_LIT(HEAD_OK "X-Barn: "),
     Str_LIT("4141414141414141")},
    {Str_LIT("interim"), {0}, Str_LIT("HTTP/1.1 100 Continue\r\n\r\n")},
    {Str_LIT("body"), Str_LIT(HEAD_OK "\r\n"),
     Str_LIT("barn barn barn barn ")},
    {Str_LIT("length"),
     Str_LIT(HEAD_OK "Content-Length: 1000000000000000000\r\n\r\n"),
     Str_LIT("barn barn barn barn ")},
    {Str_LIT("chunks"), Str_LIT(HEAD_CHUNKED), Str_LIT("4\r\nbarn\r\n")},
    {Str_LIT("extension"), Str_LIT(HEAD_CHUNKED "4;barn"),
     Str_LIT("barnbarnbarnbarn")},
    {Str_LIT("trailers"), Str_LIT(HEAD_CHUNKED "0\r\n"),
     Str_LIT("X-Barn: 41\r\n")},
    {Str_LIT("refusal"),
     Str_LIT("HTTP/1.1 503 No\r\nX-Lycheeridge-Not-Run: 1\r\n\r\n"),
     Str_LIT("barn barn barn barn ")},
    {Str_LIT("foreign"),
     {0},
     Str_LIT(HEAD_OK "X-Request-Id: other\r\nContent-Length: 4\r\n\r\nbarn")},
};

typedef struct {
    FakeServer *fake;
    struct evhttp_connection *connection;
    const EndlessKind *kind;
    StrBuf prefix;
    Str unsent; /* rest of the bytes being written */
    struct event *write_event;
    char block[BLOCK_BYTES]; /* kind->repeated, many times over */
} Endless;

static void
fill_block(Endless *endless)
{
    Str repeated = endless->kind->repeated;

    for (size_t i = 0; i < BLOCK_BYTES; i++) {
        endless->block[i] = repeated.ptr[i % repeated.len];
    }
}

/* As any answer does, a prefix carries the X-Request-Id of its request. */
static void
set_prefix(Endless *endless, const char *id)
{
    Str prefix = endless->kind->prefix;
    size_t line_end = Str_Find(prefix, '\n') + 1;

    if (prefix.len == 0 || !id) {
        StrBuf_Set(&endless->prefix, prefix);
    }
    else {
        StrBuf_Append(&endless->prefix, Str_Slice(prefix, 0, line_end));
        StrBuf_AppendFmt(&endless->prefix, "X-Request-Id: %s\r\n", id);
        StrBuf_Append(&endless->prefix,
                      Str_Slice(prefix, line_end, prefix.len));
    }
    endless->unsent = StrBuf_View(&endless->prefix);
}

static const EndlessKind *
find_kind(Str name)
{
    for (size_t i = 0; i < sizeof kinds / sizeof kinds[0]; i++) {
        if (Str_Equal(kinds[i].name, name)) {
            return &kinds[i];
        }
    }
    return NULL;
}

static void
end_endless(Endless *endless)
{
    endless->fake->counts.endless_closed++;
    event_free(endless->write_event);
    evhttp_connection_free(endless->connection);
    StrBuf_Finish(&endless->prefix);
    Mem_Free(endless);
}

static void
on_writable(evutil_socket_t fd, short what, void *context)
{
    Endless *endless = context;
    size_t repeated_len =
        BLOCK_BYTES - BLOCK_BYTES % endless->kind->repeated.len;
    ssize_t sent;

    (void)what;
    if (endless->unsent.len == 0) {
        endless->unsent = Str_From(endless->block, repeated_len);
    }
    sent = send(fd, endless->unsent.ptr, endless->unsent.len, MSG_NOSIGNAL);
    if (sent < 0) {
        end_endless(endless);
        return;
    }
    endless->unsent =
        Str_Slice(endless->unsent, (size_t)sent, endless->unsent.len);
}

bool
Edl_Start(FakeServer *fake, struct evhttp_request *request, Str name)
{
    const EndlessKind *kind = find_kind(name);
    struct evhttp_connection *connection =
        evhttp_request_get_connection(request);
    struct bufferevent *stream = evhttp_connection_get_bufferevent(connection);
    Endless *endless;

    if (!kind) {
        return false;
    }
    endless = Mem_Alloc(1, sizeof *endless);
    endless->fake = fake;
    endless->kind = kind;
    endless->connection = connection;
    set_prefix(endless,
               evhttp_find_header(evhttp_request_get_input_headers(request),
                                  "X-Request-Id"));
    fill_block(endless);
    evhttp_connection_set_closecb(connection, NULL, NULL);
    bufferevent_disable(stream, EV_READ | EV_WRITE);
    endless->write_event =
        event_new(fake->loop.base, bufferevent_getfd(stream),
                  EV_WRITE | EV_PERSIST, on_writable, endless);
    event_add(endless->write_event, NULL);
    return true;
}
