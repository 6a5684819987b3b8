#include "fake_work.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <stdio.h>
#include <stdlib.h>
#include <unistd.h>

#include "connection/evhttptext.h"
#include "fake_endless.h"
#include "fake_onward.h"
#include "value/mem.h"

struct FakeWork {
    Fake *fake;
    FakeWork *next;
    FakeWork *previous;
    Caller *caller;
    struct evhttp_request *request;
    struct event *timer; /* NULL while it waits */
    Instant deadline;
    Onward *onward; /* NULL: it does not wait for a level below */
    StrBuf below;   /* what the level below answered */
};

static Str
get(const FakeWork *work, const char *name)
{
    return Str_FromC(evhttp_find_header(
        evhttp_request_get_input_headers(work->request), name));
}

static void
free_work(FakeWork *work)
{
    Fake *fake = work->fake;

    /* Its caller may still be taking the answer. */
    Clr_Unwatch(work->caller);
    if (work->onward) {
        Onw_Cancel(work->onward);
    }
    StrBuf_Finish(&work->below);
    if (work->previous) {
        work->previous->next = work->next;
    }
    else {
        fake->first = work->next;
    }
    if (work->next) {
        work->next->previous = work->previous;
    }
    else {
        fake->last = work->previous;
    }
    if (work->timer) {
        fake->running--;
        event_free(work->timer);
    }
    else {
        fake->waiting--;
    }
    Mem_Free(work);
}

static void
on_hung_up(void *context)
{
    FakeWork *work = context;
    Fake *fake = work->fake;

    fake->counts.cancelled++;
    free_work(work);
    Wrk_StartWaiting(fake, Loop_Now());
}

static void
write_effect(const FakeWork *work)
{
    Str key = get(work, "Idempotency-Key");
    StrBuf line = {0};

    if (work->fake->effects < 0 || key.len == 0) {
        return;
    }
    StrBuf_AppendFmt(&line, "%.*s %.*s\n", Str_ARG(key),
                     Str_ARG(get(work, "X-Request-Id")));
    if (write(work->fake->effects, line.ptr, line.len) < 0) {
        perror("fakeback: effects");
    }
    StrBuf_Finish(&line);
}

/* A level of a call tree, and those below it. */
static void
append_tree(const FakeWork *work, struct evbuffer *out)
{
    evbuffer_add_printf(out, "%.*s %.*s\n",
                        Str_ARG(get(work, "X-Lycheeridge-Depth")),
                        Str_ARG(get(work, "X-Lycheeridge-Deadline-Ms")));
    evbuffer_add(out, work->below.ptr, work->below.len);
}

static void
append_body(const FakeWork *work, struct evbuffer *out)
{
    uint64_t size = 0;
    char block[4096];

    if (get(work, "X-Fake-Calls").len) {
        append_tree(work, out);
        return;
    }
    if (get(work, "X-Fake-Echo").len) {
        evbuffer_add_buffer(out,
                            evhttp_request_get_input_buffer(work->request));
        return;
    }
    if (get(work, "X-Fake-Show").len) {
        const char *name = evhttp_find_header(
            evhttp_request_get_input_headers(work->request), "X-Fake-Show");
        evbuffer_add_printf(out, "%s=%.*s\n", name, Str_ARG(get(work, name)));
        return;
    }
    if (!Str_ToU64(get(work, "X-Fake-Size"), &size)) {
        evbuffer_add_printf(out, "answer to %.*s\n",
                            Str_ARG(get(work, "X-Request-Id")));
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

/* Half of BODY, after a head that promises all of it. */
static void
send_half(FakeWork *work, struct evbuffer *body)
{
    struct evhttp_connection *connection =
        evhttp_request_get_connection(work->request);
    struct bufferevent *stream = evhttp_connection_get_bufferevent(connection);
    size_t len = evbuffer_get_length(body);
    bool chunked = Str_Equal(get(work, "X-Fake-Cut"), Str_LIT("chunked"));
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
    StrBuf_Append(&text, Str_Slice(Evt_BufferView(body), 0, len / 2));
    if (chunked) {
        StrBuf_Append(&text, Str_LIT("\r\n"));
    }
    if (write(bufferevent_getfd(stream), text.ptr, text.len) < 0) {
        perror("fakeback: half");
    }
    StrBuf_Finish(&text);
    evhttp_connection_free(connection);
}

static void
send_answer(FakeWork *work)
{
    struct evbuffer *body = evbuffer_new();
    uint64_t status = 200;

    Str_ToU64(get(work, "X-Fake-Status"), &status);
    evhttp_connection_set_closecb(evhttp_request_get_connection(work->request),
                                  NULL, NULL);
    append_body(work, body);
    if (get(work, "X-Fake-Cut").len) {
        send_half(work, body);
    }
    else if (get(work, "X-Fake-Chunked").len) {
        evhttp_send_reply_start(work->request, (int)status, NULL);
        evhttp_send_reply_chunk(work->request, body);
        evhttp_send_reply_end(work->request);
    }
    else {
        evhttp_send_reply(work->request, (int)status, NULL, body);
    }
    evbuffer_free(body);
}

/* Answers name their requests. */
static void
name_request(struct evhttp_request *request)
{
    const char *id = evhttp_find_header(
        evhttp_request_get_input_headers(request), "X-Request-Id");

    if (id) {
        evhttp_add_header(evhttp_request_get_output_headers(request),
                          "X-Request-Id", id);
    }
}

static void
refuse(struct evhttp_request *request, int status)
{
    evhttp_add_header(evhttp_request_get_output_headers(request), "Connection",
                      "close");
    evhttp_send_reply(request, status, NULL, NULL);
}

/* It leaves or is full, and has not looked at the request. */
static void
turn_away(Fake *fake, struct evhttp_request *request)
{
    fake->counts.shed++;
    if (fake->knobs.draining || fake->knobs.states) {
        evhttp_add_header(evhttp_request_get_output_headers(request),
                          "X-Lycheeridge-Not-Run", "1");
        evhttp_send_reply(request, 503, NULL, NULL);
    }
    else {
        refuse(request, 503);
    }
}

static void
crash_if_asked(const FakeWork *work, Str when)
{
    if (Str_Equal(get(work, "X-Fake-Crash"), when)) {
        _exit(134);
    }
}

/* It is gone, and its slot free. */
static void
end_work(FakeWork *work)
{
    Fake *fake = work->fake;

    free_work(work);
    Wrk_StartWaiting(fake, Loop_Now());
}

/* STATUS, or no answer at all. */
static void
fail_work(FakeWork *work, bool hangs_up, int status)
{
    struct evhttp_connection *connection =
        evhttp_request_get_connection(work->request);

    work->fake->counts.failed++;
    Clr_Unwatch(work->caller);
    evhttp_connection_set_closecb(connection, NULL, NULL);
    if (hangs_up) {
        evhttp_connection_free(connection);
    }
    else {
        refuse(work->request, status);
    }
    end_work(work);
}

static void
answer_work(FakeWork *work)
{
    work->fake->counts.served++;
    send_answer(work);
    end_work(work);
}

static void
answer_endlessly(FakeWork *work)
{
    Clr_Unwatch(work->caller);
    if (!Edl_Start(work->fake, work->request, get(work, "X-Fake-Endless"))) {
        refuse(work->request, 400);
    }
    end_work(work);
}

static void
on_below(void *context, int status, Str body)
{
    FakeWork *work = context;

    work->onward = NULL;
    if (status != 200) {
        fail_work(work,
                  Str_Equal(get(work, "X-Fake-Below"), Str_LIT("hangs-up")),
                  502);
        return;
    }
    StrBuf_Set(&work->below, body);
    answer_work(work);
}

/* The deadline that came with the request, less the time since. */
static void
call_on(FakeWork *work, Instant now)
{
    Span left = work->deadline - now;

    if (left < Span_MS(1)) {
        fail_work(work, false, 504);
        return;
    }
    work->onward = Onw_Start(work->fake, work->request, left, on_below, work);
}

static bool
is_last(const FakeWork *work)
{
    return get(work, "X-Fake-Calls").len && Onw_Levels(work->request) == 0;
}

static void
on_done(evutil_socket_t fd, short what, void *context)
{
    FakeWork *work = context;
    Str last = get(work, "X-Fake-Last");

    (void)fd;
    (void)what;
    crash_if_asked(work, Str_LIT("before"));
    write_effect(work);
    crash_if_asked(work, Str_LIT("after"));
    if (get(work, "X-Fake-Endless").len) {
        answer_endlessly(work);
    }
    else if (Onw_Levels(work->request)) {
        call_on(work, Loop_Now());
    }
    else if (is_last(work) && last.len) {
        fail_work(work, Str_Equal(last, Str_LIT("hangs-up")), 500);
    }
    else {
        answer_work(work);
    }
}

static void
count_start(const FakeWork *work, Instant now)
{
    uint64_t until;

    work->fake->counts.started++;
    if (Str_ToU64(get(work, "X-Fake-Until"), &until) && now > (Instant)until) {
        work->fake->counts.overdue++;
    }
}

static void
run_work(FakeWork *work, Instant now)
{
    Fake *fake = work->fake;
    Span time = Knb_Time(&fake->knobs, &fake->rng, fake->started, now);
    uint64_t asked;
    struct timeval wait;

    if (Str_ToU64(get(work, "X-Fake-Time-Us"), &asked)) {
        time = (Span)asked * fake->knobs.slow;
    }
    if (is_last(work) && Str_ToU64(get(work, "X-Fake-Last-Us"), &asked)) {
        time = (Span)asked;
    }
    count_start(work, now);
    wait = (struct timeval){time / 1000000, time % 1000000};
    work->timer = evtimer_new(fake->loop.base, on_done, work);
    event_add(work->timer, &wait);
    fake->waiting--;
    fake->running++;
}

/* The work is still linked as waiting. */
static void
refuse_late(FakeWork *work)
{
    work->fake->counts.late++;
    evhttp_connection_set_closecb(evhttp_request_get_connection(work->request),
                                  NULL, NULL);
    refuse(work->request, 504);
    free_work(work);
}

static FakeWork *
first_waiting(const Fake *fake)
{
    for (FakeWork *work = fake->first; work; work = work->next) {
        if (!work->timer) {
            return work;
        }
    }
    return NULL;
}

void
Wrk_StartWaiting(Fake *fake, Instant now)
{
    FakeWork *work;

    while (fake->running < fake->knobs.slots && (work = first_waiting(fake))) {
        if (now >= work->deadline) {
            refuse_late(work);
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

    return Str_ToU64(get(work, "X-Lycheeridge-Deadline-Ms"), &ms)
               ? now + Span_MS(ms)
               : Instant_NEVER;
}

static void
add_work(Fake *fake, struct evhttp_request *request, Instant now)
{
    FakeWork *work = Mem_Alloc(1, sizeof *work);

    work->fake = fake;
    work->request = request;
    work->deadline = read_deadline(work, now);
    work->previous = fake->last;
    if (fake->last) {
        fake->last->next = work;
    }
    else {
        fake->first = work;
    }
    fake->last = work;
    fake->waiting++;
    work->caller = Clr_OnRequest(&fake->callers, request);
    Clr_Watch(work->caller, on_hung_up, work);
}

void
Wrk_Start(Fake *fake, struct evhttp_request *request, Instant now)
{
    name_request(request);
    if (fake->knobs.fail) {
        fake->counts.failed++;
        refuse(request, 500);
        return;
    }
    if (fake->knobs.draining || fake->knobs.silent_drain ||
        (fake->knobs.shed && fake->running >= fake->knobs.slots)) {
        turn_away(fake, request);
        return;
    }
    add_work(fake, request, now);
    Wrk_StartWaiting(fake, now);
}
