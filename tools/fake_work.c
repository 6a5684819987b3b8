#include "fake_work.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>

#include "connection/evhttptext.h"
#include "fake_endless.h"
#include "fake_nested.h"
#include "value/mem.h"

struct FakeWork {
    FakeServer *fake;
    FakeWork *next;
    FakeWork *previous;
    Caller *caller;
    struct evhttp_request *request;
    struct event *timer; /* NULL while it waits for a slot */
    Instant deadline;
    NestedCall *nested; /* NULL: no nested call is open */
    StrBuf nested_body; /* answer of the level below */
};

static Str
get_field(const FakeWork *work, const char *name)
{
    return Str_FromC(evhttp_find_header(
        evhttp_request_get_input_headers(work->request), name));
}

static void
free_work(FakeWork *work)
{
    FakeServer *fake = work->fake;

    /* The connection may still be sending the answer, so only the watch ends
     * here. */
    Clr_Unwatch(work->caller);
    if (work->nested) {
        Ncl_Cancel(work->nested);
    }
    StrBuf_Finish(&work->nested_body);
    if (work->previous) {
        work->previous->next = work->next;
    }
    else {
        fake->first_work = work->next;
    }
    if (work->next) {
        work->next->previous = work->previous;
    }
    else {
        fake->last_work = work->previous;
    }
    if (work->timer) {
        fake->running_count--;
        event_free(work->timer);
    }
    else {
        fake->waiting_count--;
    }
    Mem_Free(work);
}

static void
on_caller_hangup(void *context)
{
    FakeWork *work = context;
    FakeServer *fake = work->fake;

    fake->counts.cancelled++;
    free_work(work);
    Wrk_StartWaiting(fake, Loop_Now());
}

/* Only requests with an idempotency key have an effect. */
static void
write_effect(const FakeWork *work)
{
    Str key = get_field(work, "Idempotency-Key");
    StrBuf line = {0};

    if (work->fake->effects_fd < 0 || key.len == 0) {
        return;
    }
    StrBuf_AppendFmt(&line, "%.*s %.*s\n", Str_ARG(key),
                     Str_ARG(get_field(work, "X-Request-Id")));
    if (write(work->fake->effects_fd, line.ptr, line.len) < 0) {
        perror("fakeback: cannot write an effect");
    }
    StrBuf_Finish(&line);
}

/* Appends the line of this level of a call tree and those of the levels
 * below. */
static void
append_levels(const FakeWork *work, struct evbuffer *out)
{
    evbuffer_add_printf(out, "%.*s %.*s\n",
                        Str_ARG(get_field(work, "X-Lycheeridge-Depth")),
                        Str_ARG(get_field(work, "X-Lycheeridge-Deadline-Ms")));
    evbuffer_add(out, work->nested_body.ptr, work->nested_body.len);
}

static void
append_body(const FakeWork *work, struct evbuffer *out)
{
    uint64_t size = 0;
    char block[4096];

    if (get_field(work, "X-Fake-Calls").len) {
        append_levels(work, out);
        return;
    }
    if (get_field(work, "X-Fake-Echo").len) {
        evbuffer_add_buffer(out,
                            evhttp_request_get_input_buffer(work->request));
        return;
    }
    if (get_field(work, "X-Fake-Show").len) {
        const char *name = evhttp_find_header(
            evhttp_request_get_input_headers(work->request), "X-Fake-Show");
        evbuffer_add_printf(out, "%s=%.*s\n", name,
                            Str_ARG(get_field(work, name)));
        return;
    }
    if (!Str_ToU64(get_field(work, "X-Fake-Size"), &size)) {
        evbuffer_add_printf(out, "answer to %.*s\n",
                            Str_ARG(get_field(work, "X-Request-Id")));
        return;
    }
    for (size_t i = 0; i < sizeof block; i++) {
        block[i] = (char)('a' + i % 26);
    }
    while (size) {
        size_t part = size < sizeof block ? size : sizeof block;
        evbuffer_add(out, block, part);
        size -= part;
    }
}

/* Sends the first bytes of a whole answer, as many as X-Fake-Cut-After says,
 * and then closes the connection. */
static void
send_first_bytes(FakeWork *work, struct evbuffer *body, uint64_t count)
{
    struct evhttp_connection *connection =
        evhttp_request_get_connection(work->request);
    struct bufferevent *stream = evhttp_connection_get_bufferevent(connection);
    size_t len = evbuffer_get_length(body);
    bool chunked = get_field(work, "X-Fake-Chunked").len;
    Str line = get_field(work, "X-Fake-Line");
    uint64_t fields = 0;
    StrBuf text = {0};

    StrBuf_AppendFmt(&text, "%.*s\r\nX-Request-Id: %.*s\r\n",
                     Str_ARG(line.len ? line : Str_LIT("HTTP/1.1 200 OK")),
                     Str_ARG(get_field(work, "X-Request-Id")));
    Str_ToU64(get_field(work, "X-Fake-Fields"), &fields);
    for (uint64_t i = 1; i <= fields; i++) {
        StrBuf_AppendFmt(&text, "X-Barn-%d: a\r\n", (int)i);
    }
    if (chunked) {
        StrBuf_AppendFmt(&text, "Transfer-Encoding: chunked\r\n\r\n%zx\r\n",
                         len);
    }
    else {
        StrBuf_AppendFmt(&text, "Content-Length: %zu\r\n\r\n", len);
    }
    StrBuf_Append(&text, Evt_BufferView(body));
    if (chunked) {
        StrBuf_Append(&text, Str_LIT("\r\n0\r\n\r\n"));
    }
    if (write(bufferevent_getfd(stream), text.ptr,
              count < text.len ? (size_t)count : text.len) < 0) {
        perror("fakeback: cannot send a part of an answer");
    }
    StrBuf_Finish(&text);
    evhttp_connection_free(connection);
}

/* Sends a head that announces all of BODY, but only half of BODY, or with
 * X-Fake-Cut: head only a part of the head, and then closes the connection. */
static void
send_truncated(FakeWork *work, struct evbuffer *body)
{
    struct evhttp_connection *connection =
        evhttp_request_get_connection(work->request);
    struct bufferevent *stream = evhttp_connection_get_bufferevent(connection);
    size_t len = evbuffer_get_length(body);
    Str cut = get_field(work, "X-Fake-Cut");
    bool chunked = Str_Equal(cut, Str_LIT("chunked"));
    StrBuf text = {0};

    if (chunked) {
        StrBuf_AppendFmt(&text,
                         "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
                         "\r\n%zx\r\n",
                         len / 2);
    }
    else {
        StrBuf_AppendFmt(
            &text, "HTTP/1.1 200 OK\r\nContent-Length: %zu\r\n\r\n", len);
    }
    if (Str_Equal(cut, Str_LIT("head"))) {
        text.len -= sizeof "\r\n" - 1; /* the blank line is missing */
    }
    else {
        StrBuf_Append(&text, Str_Slice(Evt_BufferView(body), 0, len / 2));
    }
    if (chunked) {
        StrBuf_Append(&text, Str_LIT("\r\n"));
    }
    if (write(bufferevent_getfd(stream), text.ptr, text.len) < 0) {
        perror("fakeback: cannot send half of a body");
    }
    StrBuf_Finish(&text);
    evhttp_connection_free(connection);
}

static void
send_answer(FakeWork *work)
{
    struct evbuffer *body = evbuffer_new();
    uint64_t status = 200;
    uint64_t cut_after;

    Str_ToU64(get_field(work, "X-Fake-Status"), &status);
    evhttp_connection_set_closecb(evhttp_request_get_connection(work->request),
                                  NULL, NULL);
    append_body(work, body);
    if (Str_ToU64(get_field(work, "X-Fake-Cut-After"), &cut_after)) {
        send_first_bytes(work, body, cut_after);
    }
    else if (get_field(work, "X-Fake-Cut").len) {
        send_truncated(work, body);
    }
    else if (get_field(work, "X-Fake-Chunked").len) {
        evhttp_send_reply_start(work->request, (int)status, NULL);
        evhttp_send_reply_chunk(work->request, body);
        evhttp_send_reply_end(work->request);
    }
    else {
        evhttp_send_reply(work->request, (int)status, NULL, body);
    }
    evbuffer_free(body);
}

/* Every answer carries the X-Request-Id of its request. */
static void
add_request_id(struct evhttp_request *request)
{
    const char *id = evhttp_find_header(
        evhttp_request_get_input_headers(request), "X-Request-Id");

    if (id) {
        evhttp_add_header(evhttp_request_get_output_headers(request),
                          "X-Request-Id", id);
    }
}

/* Answers with STATUS and closes the connection. */
static void
send_error(struct evhttp_request *request, int status)
{
    evhttp_add_header(evhttp_request_get_output_headers(request), "Connection",
                      "close");
    evhttp_send_reply(request, status, NULL, NULL);
}

/* Shows which requests reach a server that leaves, and when. */
static void
log_refusal(const FakeServer *fake, struct evhttp_request *request)
{
    const char *id = evhttp_find_header(
        evhttp_request_get_input_headers(request), "X-Request-Id");
    StrBuf address = {0};

    Addr_Print(fake->addr, &address);
    fprintf(stderr, "%lld ms: %.*s is draining, refuses %s\n",
            (long long)(Loop_Now() / 1000), Str_ARG(address), id ? id : "-");
    StrBuf_Finish(&address);
}

/* Refuses a request, without reading it, because the server is draining or
 * full. */
static void
shed_request(FakeServer *fake, struct evhttp_request *request)
{
    fake->counts.shed++;
    if (fake->knobs.draining) {
        log_refusal(fake, request);
    }
    if (fake->knobs.draining || fake->knobs.report_not_run) {
        evhttp_add_header(evhttp_request_get_output_headers(request),
                          "X-Lycheeridge-Not-Run", "1");
        evhttp_send_reply(request, 503, NULL, NULL);
    }
    else {
        send_error(request, 503);
    }
}

enum {
    SLOW_CRASH_US = 4000000, /* longer than most requests' deadline */
    CLOSING_US = 60000,      /* from the connection's end to the process's */
    PARTED_US = 3000,        /* between the ends of its connections */
    FD_MAX = 1024
};

static void
crash_if_requested(const FakeWork *work, Str when)
{
    if (Str_Equal(get_field(work, "X-Fake-Crash"), when)) {
        _exit(134);
    }
}

/* Ends all sockets but that of CONNECTION, as the kernel does one after the
 * other when a process ends. */
static void
end_other_sockets(struct evhttp_connection *connection)
{
    int own = bufferevent_getfd(evhttp_connection_get_bufferevent(connection));

    for (int fd = STDERR_FILENO + 1; fd < FD_MAX; fd++) {
        if (fd != own) {
            shutdown(fd, SHUT_RDWR);
        }
    }
}

/* Ends the process later than its connections show: with "slowly" it hangs
 * first, like one that writes a core file; with "closing" the connection of
 * the request ends before the listening socket, with "parted" after all
 * others. */
static void
crash_late_if_requested(const FakeWork *work)
{
    Str how = get_field(work, "X-Fake-Crash");

    if (Str_Equal(how, Str_LIT("slowly"))) {
        usleep(SLOW_CRASH_US);
        _exit(134);
    }
    if (Str_Equal(how, Str_LIT("closing"))) {
        shutdown(bufferevent_getfd(evhttp_connection_get_bufferevent(
                     evhttp_request_get_connection(work->request))),
                 SHUT_RDWR);
        usleep(CLOSING_US);
        _exit(134);
    }
    if (Str_Equal(how, Str_LIT("parted"))) {
        end_other_sockets(evhttp_request_get_connection(work->request));
        usleep(PARTED_US);
        _exit(134);
    }
}

/* Frees WORK and gives its slot to a waiting request. */
static void
finish_work(FakeWork *work)
{
    FakeServer *fake = work->fake;

    free_work(work);
    Wrk_StartWaiting(fake, Loop_Now());
}

/* Answers with STATUS, or closes the connection without an answer if
 * HANG_UP. */
static void
fail_work(FakeWork *work, bool hang_up, int status)
{
    struct evhttp_connection *connection =
        evhttp_request_get_connection(work->request);

    work->fake->counts.failed++;
    Clr_Unwatch(work->caller);
    evhttp_connection_set_closecb(connection, NULL, NULL);
    if (hang_up) {
        evhttp_connection_free(connection);
    }
    else {
        send_error(work->request, status);
    }
    finish_work(work);
}

static void
answer_work(FakeWork *work)
{
    work->fake->counts.served++;
    send_answer(work);
    finish_work(work);
}

static void
start_endless_answer(FakeWork *work)
{
    Clr_Unwatch(work->caller);
    if (!Edl_Start(work->fake, work->request,
                   get_field(work, "X-Fake-Endless"))) {
        send_error(work->request, 400);
    }
    finish_work(work);
}

static void
on_nested_done(void *context, int status, Str body)
{
    FakeWork *work = context;

    work->nested = NULL;
    if (status != 200) {
        fail_work(
            work,
            Str_Equal(get_field(work, "X-Fake-Below"), Str_LIT("hangs-up")),
            502);
        return;
    }
    StrBuf_Set(&work->nested_body, body);
    answer_work(work);
}

/* The nested call gets the time left until the deadline of the request, or is
 * answered with 504 if less than 1 ms is left. */
static void
start_nested_call(FakeWork *work, Instant now)
{
    Span left = work->deadline - now;

    if (left < Span_MS(1)) {
        fail_work(work, false, 504);
        return;
    }
    work->nested =
        Ncl_Start(work->fake, work->request, left, on_nested_done, work);
}

/* Returns whether the request is the last level of a call tree. */
static bool
is_last_level(const FakeWork *work)
{
    return get_field(work, "X-Fake-Calls").len &&
           Ncl_GetLevels(work->request) == 0;
}

static void
on_service_end(evutil_socket_t fd, short what, void *context)
{
    FakeWork *work = context;
    Str last = get_field(work, "X-Fake-Last");

    (void)fd;
    (void)what;
    crash_if_requested(work, Str_LIT("before"));
    crash_late_if_requested(work);
    write_effect(work);
    crash_if_requested(work, Str_LIT("after"));
    if (get_field(work, "X-Fake-Endless").len) {
        start_endless_answer(work);
    }
    else if (Ncl_GetLevels(work->request)) {
        start_nested_call(work, Loop_Now());
    }
    else if (is_last_level(work) && last.len) {
        fail_work(work, Str_Equal(last, Str_LIT("hangs-up")), 500);
    }
    else {
        answer_work(work);
    }
}

static void
count_start(const FakeWork *work, Instant now)
{
    uint64_t latest_start;

    work->fake->counts.started++;
    if (Str_ToU64(get_field(work, "X-Fake-Until"), &latest_start) &&
        now > (Instant)latest_start) {
        work->fake->counts.overdue++;
    }
}

static void
run_work(FakeWork *work, Instant now)
{
    FakeServer *fake = work->fake;
    Span time =
        Knb_DrawServiceTime(&fake->knobs, &fake->rng, fake->started_at, now);
    uint64_t requested_us;
    struct timeval wait;

    if (Str_ToU64(get_field(work, "X-Fake-Time-Us"), &requested_us)) {
        time = (Span)requested_us * fake->knobs.slowdown;
    }
    if (is_last_level(work) &&
        Str_ToU64(get_field(work, "X-Fake-Last-Us"), &requested_us)) {
        time = (Span)requested_us;
    }
    count_start(work, now);
    wait = (struct timeval){time / 1000000, time % 1000000};
    work->timer = evtimer_new(fake->loop.base, on_service_end, work);
    event_add(work->timer, &wait);
    fake->waiting_count--;
    fake->running_count++;
}

/* Refuses WORK, which must be waiting, that is, have no timer.  Stated as not
 * run, because a server's own 504 counts as run. */
static void
reject_expired(FakeWork *work)
{
    work->fake->counts.expired++;
    evhttp_connection_set_closecb(evhttp_request_get_connection(work->request),
                                  NULL, NULL);
    evhttp_add_header(evhttp_request_get_output_headers(work->request),
                      "X-Lycheeridge-Not-Run", "1");
    send_error(work->request, 503);
    free_work(work);
}

static FakeWork *
find_waiting(const FakeServer *fake)
{
    for (FakeWork *work = fake->first_work; work; work = work->next) {
        if (!work->timer) {
            return work;
        }
    }
    return NULL;
}

void
Wrk_StartWaiting(FakeServer *fake, Instant now)
{
    FakeWork *work;

    while (fake->running_count < fake->knobs.slots &&
           (work = find_waiting(fake))) {
        if (now >= work->deadline) {
            reject_expired(work);
        }
        else {
            run_work(work, now);
        }
    }
}

static Instant
read_deadline(const FakeWork *work, Instant now)
{
    uint64_t ms;

    return Str_ToU64(get_field(work, "X-Lycheeridge-Deadline-Ms"), &ms)
               ? now + Span_MS(ms)
               : Instant_NEVER;
}

static void
add_work(FakeServer *fake, struct evhttp_request *request, Instant now)
{
    FakeWork *work = Mem_Alloc(1, sizeof *work);

    work->fake = fake;
    work->request = request;
    work->deadline = read_deadline(work, now);
    work->previous = fake->last_work;
    if (fake->last_work) {
        fake->last_work->next = work;
    }
    else {
        fake->first_work = work;
    }
    fake->last_work = work;
    fake->waiting_count++;
    work->caller = Clr_OnRequest(&fake->callers, request);
    Clr_Watch(work->caller, on_caller_hangup, work);
}

void
Wrk_OnRequest(FakeServer *fake, struct evhttp_request *request, Instant now)
{
    add_request_id(request);
    if (fake->knobs.always_fail) {
        fake->counts.failed++;
        send_error(request, 500);
        return;
    }
    if (fake->knobs.draining || fake->knobs.silent_drain ||
        (fake->knobs.reject_when_full &&
         fake->running_count >= fake->knobs.slots)) {
        shed_request(fake, request);
        return;
    }
    add_work(fake, request, now);
    Wrk_StartWaiting(fake, now);
}
