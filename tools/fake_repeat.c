#include "fake_repeat.h"

#include <event2/bufferevent.h>
#include <stdio.h>
#include <sys/socket.h>

static uint16_t
get_peer_port(struct evhttp_connection *connection)
{
    char *ip;
    uint16_t port = 0;

    evhttp_connection_get_peer(connection, &ip, &port);
    return port;
}

/* Returns the refusal kept for PORT, or a free entry if PORT is 0; NULL if
 * there is none. */
static FakeRefusal *
find_refusal(FakeServer *fake, uint16_t port)
{
    for (size_t i = 0; i < Fak_REFUSALS_MAX; i++) {
        if (fake->refusals[i].peer_port == port) {
            return &fake->refusals[i];
        }
    }
    return NULL;
}

/* Writes TEXT to the socket directly, past evhttp. */
static void
send_raw(struct evhttp_connection *connection, Str text)
{
    int fd = bufferevent_getfd(evhttp_connection_get_bufferevent(connection));

    if (send(fd, text.ptr, text.len, MSG_NOSIGNAL) < 0) {
        perror("fakeback: cannot repeat a refusal");
    }
}

/* Sets TEXT to a refusal, with the X-Request-Id ID unless it is NULL. */
static void
print_refusal_text(const char *id, StrBuf *text)
{
    StrBuf_Clear(text);
    StrBuf_AppendFmt(text, "HTTP/1.1 503 Service Unavailable\r\n"
                           "X-Lycheeridge-Not-Run: 1\r\n"
                           "Content-Length: 0\r\n");
    if (id) {
        StrBuf_AppendFmt(text, "X-Request-Id: %s\r\n", id);
    }
    StrBuf_Append(text, Str_LIT("\r\n"));
}

void
Rep_Refuse(FakeServer *fake, struct evhttp_request *request, Str mode)
{
    struct evhttp_connection *connection =
        evhttp_request_get_connection(request);
    struct evkeyvalq *in = evhttp_request_get_input_headers(request);
    struct evkeyvalq *out = evhttp_request_get_output_headers(request);
    const char *id = evhttp_find_header(in, "X-Request-Id");
    FakeRefusal *refusal = find_refusal(fake, 0);

    if (refusal) {
        refusal->peer_port = get_peer_port(connection);
        print_refusal_text(Str_Equal(mode, Str_LIT("named")) ? id : NULL,
                           &refusal->text);
    }
    evhttp_add_header(out, "X-Lycheeridge-Not-Run", "1");
    if (!Str_Equal(mode, Str_LIT("unnamed"))) {
        evhttp_add_header(out, "X-Request-Id", id);
    }
    fake->counts.shed++;
    evhttp_send_reply(request, 503, NULL, NULL);
}

void
Rep_OnRequest(FakeServer *fake, struct evhttp_request *request)
{
    struct evhttp_connection *connection =
        evhttp_request_get_connection(request);
    FakeRefusal *refusal = find_refusal(fake, get_peer_port(connection));

    if (refusal) {
        refusal->peer_port = 0;
        fake->counts.repeated_refusals++;
        send_raw(connection, StrBuf_View(&refusal->text));
    }
}
