#include "fake_endless.h"

#include "value/mem.h"
#include <event2/bufferevent.h>
#include <sys/socket.h>

#define OK "HTTP/1.1 200 OK\r\n"
#define CHUNKED OK "Transfer-Encoding: chunked\r\n\r\n"

enum { BLOCK_BYTES = 64 * 1024 };

typedef struct {
    Str name;
    Str first; /* then the other again and again; after its first
                  line, if any, the request is named */
    Str again;
} Kind;

static const Kind kinds[] = {
    {Str_LIT("blank"), {0}, Str_LIT("\r\n\r\n\r\n\r\n")},
    {Str_LIT("garbage"), {0}, Str_LIT("\x01\xff barn barn barn ")},
    {Str_LIT("head"), Str_LIT(OK), Str_LIT("X-Barn: 41\r\n")},
    {Str_LIT("field"), Str_LIT(OK "X-Barn: "), Str_LIT("4141414141414141")},
    {Str_LIT("interim"), {0}, Str_LIT("HTTP/1.1 100 Continue\r\n\r\n")},
    {Str_LIT("body"), Str_LIT(OK "\r\n"), Str_LIT("barn barn barn barn ")},
    {Str_LIT("length"),
     Str_LIT(OK "Content-Length: 1000000000000000000\r\n\r\n"),
     Str_LIT("barn barn barn barn ")},
    {Str_LIT("chunks"), Str_LIT(CHUNKED), Str_LIT("4\r\nbarn\r\n")},
    {Str_LIT("extension"), Str_LIT(CHUNKED "4;barn"),
     Str_LIT("barnbarnbarnbarn")},
    {Str_LIT("trailers"), Str_LIT(CHUNKED "0\r\n"), Str_LIT("X-Barn: 41\r\n")},
    {Str_LIT("refusal"),
     Str_LIT("HTTP/1.1 503 No\r\nX-Lycheeridge-Not-Run: 1\r\n\r\n"),
     Str_LIT("barn barn barn barn ")},
    {Str_LIT("foreign"),
     {0},
     Str_LIT(OK "X-Request-Id: other\r\nContent-Length: 4\r\n\r\nbarn")},
};

typedef struct {
    Fake *fake;
    struct evhttp_connection *connection;
    const Kind *kind;
    StrBuf first;
    Str left; /* of what is being written */
    struct event *event;
    char block[BLOCK_BYTES]; /* the same bytes many times over */
} Endless;

static void
fill_block(Endless *endless)
{
    Str again = endless->kind->again;

    for (size_t i = 0; i < BLOCK_BYTES; i++) {
        endless->block[i] = again.ptr[i % again.len];
    }
}

/* Answers name their requests. */
static void
write_first(Endless *endless, const char *id)
{
    Str first = endless->kind->first;
    size_t line = Str_Find(first, '\n') + 1;

    if (first.len == 0 || !id) {
        StrBuf_Set(&endless->first, first);
    }
    else {
        StrBuf_Append(&endless->first, Str_Slice(first, 0, line));
        StrBuf_AppendFmt(&endless->first, "X-Request-Id: %s\r\n", id);
        StrBuf_Append(&endless->first, Str_Slice(first, line, first.len));
    }
    endless->left = StrBuf_View(&endless->first);
}

static const Kind *
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
on_closed(Endless *endless)
{
    endless->fake->counts.cut_off++;
    event_free(endless->event);
    evhttp_connection_free(endless->connection);
    StrBuf_Finish(&endless->first);
    Mem_Free(endless);
}

static void
on_writable(evutil_socket_t fd, short what, void *context)
{
    Endless *endless = context;
    size_t whole = BLOCK_BYTES - BLOCK_BYTES % endless->kind->again.len;
    ssize_t sent;

    (void)what;
    if (endless->left.len == 0) {
        endless->left = Str_From(endless->block, whole);
    }
    sent = send(fd, endless->left.ptr, endless->left.len, MSG_NOSIGNAL);
    if (sent < 0) {
        on_closed(endless);
        return;
    }
    endless->left = Str_Slice(endless->left, (size_t)sent, endless->left.len);
}

bool
Edl_Start(Fake *fake, struct evhttp_request *request, Str name)
{
    const Kind *kind = find_kind(name);
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
    write_first(endless,
                evhttp_find_header(evhttp_request_get_input_headers(request),
                                   "X-Request-Id"));
    fill_block(endless);
    evhttp_connection_set_closecb(connection, NULL, NULL);
    bufferevent_disable(stream, EV_READ | EV_WRITE);
    endless->event = event_new(fake->loop.base, bufferevent_getfd(stream),
                               EV_WRITE | EV_PERSIST, on_writable, endless);
    event_add(endless->event, NULL);
    return true;
}
