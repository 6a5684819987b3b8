#include "fleet_mix.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <http_parser.h>
#include <poll.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "process/loop.h"
#include "value/mem.h"

enum {
    CALLERS_PORT = 8000,
    READ_BYTES = 65536,
    BLOCK_BYTES = 4096, /* of the fake backend server's bodies */
    BLOCK_LETTERS = 26,
    /* The smallest buffer takes seconds to receive more than these bytes. */
    SMALL_ANSWERS = 100000,
    SMALL_BUFFER = 4096,
    MEDIUM_BUFFER = 65536,
    LONG_ANSWER = 70000, /* more than one piece between two nodes */
    LONGER_BY = 1000000, /* at most */
    OK = 200,
    UNAVAILABLE = 503,
    CONFLICT = 409
};

#define TICK Span_MS(2)
#define CONNECT_TIMEOUT Span_S(1)
/* Of the route "brief" in tests that disturb plans. */
#define BRIEF_DEADLINE Span_S(2)

struct MixCaller {
    MixPlan plan;
    MixResult results[Mix_REQUESTS_MAX];
    Mix *mix;
    int fd; /* -1: not open */
    bool connected;
    bool half_closed;
    bool ended; /* nothing more will happen on the connection */
    Span opened_at;
    Span closed_at;     /* when the node ended the connection; 0: not yet */
    Span first_sent_at; /* -1: nothing sent yet */
    Span next_read_at;
    int sending;        /* index of the request being sent */
    StrBuf text;        /* of that request; empty: not begun */
    size_t sent;        /* bytes of it */
    Span text_begun_at; /* when its first byte was due */
    int answering;      /* index of the request whose answer comes next */
    bool in_answer;     /* a byte of that answer came */
    bool id_matches;    /* of the answer being read */
    bool id_differs;    /* it names another request */
    bool says_not_run;
    bool wrong_body;
    StrBuf field_name; /* of the header field being read */
    StrBuf field_value;
    http_parser parser;
};

static int
on_begin(http_parser *parser)
{
    MixCaller *caller = parser->data;

    caller->in_answer = true;
    caller->id_matches = false;
    caller->id_differs = false;
    caller->says_not_run = false;
    caller->wrong_body = false;
    return 0;
}

/* Takes the field that was read, if one was. */
static void
take_field(MixCaller *caller)
{
    Str name = StrBuf_View(&caller->field_name);
    Str value = StrBuf_View(&caller->field_value);
    Str id = Str_FromC(caller->results[caller->answering].id);

    if (Str_EqualNoCase(name, Str_LIT("X-Request-Id"))) {
        caller->id_matches = Str_Equal(value, id);
        caller->id_differs = !caller->id_matches;
    }
    if (Str_EqualNoCase(name, Str_LIT("X-Lycheeridge-Outcome"))) {
        caller->says_not_run = Str_Equal(value, Str_LIT("not-run"));
    }
    StrBuf_Clear(&caller->field_name);
    StrBuf_Clear(&caller->field_value);
}

static int
on_field(http_parser *parser, const char *at, size_t len)
{
    MixCaller *caller = parser->data;

    if (caller->field_value.len) {
        take_field(caller);
    }
    StrBuf_Append(&caller->field_name, Str_From(at, len));
    return 0;
}

static int
on_value(http_parser *parser, const char *at, size_t len)
{
    MixCaller *caller = parser->data;

    StrBuf_Append(&caller->field_value, Str_From(at, len));
    return 0;
}

static int
on_head(http_parser *parser)
{
    MixCaller *caller = parser->data;

    take_field(caller);
    if (parser->status_code >= OK) {
        caller->results[caller->answering].status = (int)parser->status_code;
    }
    return 0;
}

/* The status with which the backend server answers REQUEST. */
static int
status_of(const MixRequest *request)
{
    return request->status ? request->status : OK;
}

static int
on_body(http_parser *parser, const char *at, size_t len)
{
    MixCaller *caller = parser->data;
    MixResult *result = &caller->results[caller->answering];
    int status = status_of(&caller->plan.requests[caller->answering]);

    for (size_t i = 0; i < len && result->status == status; i++) {
        size_t place = (result->got_bytes + i) % BLOCK_BYTES;
        caller->wrong_body |= at[i] != (char)('a' + place % BLOCK_LETTERS);
    }
    result->got_bytes += (uint32_t)len;
    return 0;
}

static MixOutcome
judge_answer(const MixCaller *caller, const MixResult *result)
{
    const MixRequest *request = &caller->plan.requests[caller->answering];

    if (caller->id_differs) {
        return Mix_WRONG;
    }
    if (result->status == status_of(request)) {
        return caller->id_matches && !caller->wrong_body &&
                       result->got_bytes == request->answer_bytes
                   ? Mix_ANSWERED
                   : Mix_WRONG;
    }
    return result->status == UNAVAILABLE && caller->says_not_run ? Mix_REJECTED
                                                                 : Mix_FAILED;
}

static Span
elapsed_of(const MixCaller *caller)
{
    return Loop_Now() - caller->mix->started_at;
}

static int
on_end(http_parser *parser)
{
    MixCaller *caller = parser->data;
    MixResult *result = &caller->results[caller->answering];

    if (parser->status_code < OK) {
        caller->in_answer = false; /* an interim answer */
        return 0;
    }
    result->outcome = judge_answer(caller, result);
    result->says_not_run = caller->says_not_run;
    result->ended_at = elapsed_of(caller);
    caller->in_answer = false;
    caller->answering++;
    return caller->answering == caller->plan.request_count;
}

static const http_parser_settings parser_callbacks = {
    .on_message_begin = on_begin,
    .on_header_field = on_field,
    .on_header_value = on_value,
    .on_headers_complete = on_head,
    .on_body = on_body,
    .on_message_complete = on_end,
};

/* The connection has ended or is given up: what has no whole answer now gets
 * none. */
static void
end_caller(MixCaller *caller)
{
    if (caller->fd >= 0) {
        close(caller->fd);
        caller->fd = -1;
    }
    caller->ended = true;
    for (int i = caller->answering; i < caller->plan.request_count; i++) {
        MixResult *result = &caller->results[i];
        result->ended_at =
            caller->closed_at ? caller->closed_at : elapsed_of(caller);
        if (i == caller->answering && caller->in_answer) {
            result->outcome = Mix_CUT;
        }
        else {
            result->outcome = i < caller->sending ? Mix_SILENT : Mix_UNSENT;
        }
    }
}

static void
open_caller(MixCaller *caller)
{
    const FleetVm *vm = &caller->mix->fleet->vms[caller->plan.vm];
    struct sockaddr_in to = {.sin_family = AF_INET,
                             .sin_port = htons(CALLERS_PORT)};
    int bytes = caller->plan.receive_buffer;
    StrBuf ip = {0};

    StrBuf_Set(&ip, StrBuf_View(&vm->ip));
    inet_pton(AF_INET, StrBuf_CStr(&ip), &to.sin_addr);
    StrBuf_Finish(&ip);
    caller->fd =
        socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (bytes) {
        setsockopt(caller->fd, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof bytes);
    }
    caller->opened_at = elapsed_of(caller);
    if (connect(caller->fd, (struct sockaddr *)&to, sizeof to) &&
        errno != EINPROGRESS) {
        end_caller(caller);
    }
}

static void
finish_connecting(MixCaller *caller, Span elapsed)
{
    struct sockaddr_in peer;
    socklen_t size = sizeof peer;
    int error = 0;
    socklen_t error_size = sizeof error;

    getsockopt(caller->fd, SOL_SOCKET, SO_ERROR, &error, &error_size);
    caller->connected =
        !error &&
        getpeername(caller->fd, (struct sockaddr *)&peer, &size) == 0;
    if (!caller->connected &&
        (error || elapsed - caller->opened_at >= CONNECT_TIMEOUT)) {
        end_caller(caller);
    }
}

static const char *
path_of(const MixRequest *request)
{
    if (request->is_booking) {
        return "book";
    }
    return request->is_brief ? "brief" : "look";
}

static void
append_faults(const MixRequest *request, StrBuf *out)
{
    if (request->status) {
        StrBuf_AppendFmt(out, "X-Fake-Status: %d\r\n", request->status);
    }
    if (request->cut_after) {
        StrBuf_AppendFmt(out, "X-Fake-Cut-After: %u\r\n", request->cut_after);
    }
    if (request->is_refused_twice) {
        StrBuf_Append(out, Str_LIT("X-Fake-Again: named\r\n"));
    }
}

static void
write_request(MixCaller *caller)
{
    const MixRequest *request = &caller->plan.requests[caller->sending];
    const char *id = caller->results[caller->sending].id;
    bool is_last = caller->sending + 1 == caller->plan.request_count;
    StrBuf *out = &caller->text;

    StrBuf_Clear(out);
    StrBuf_AppendFmt(out,
                     "%s /%s/a HTTP/1.1\r\nHost: barns\r\n"
                     "X-Request-Id: %s\r\nIdempotency-Key: %s\r\n"
                     "X-Fake-Time-Us: %lld\r\nX-Fake-Size: %u\r\n",
                     request->is_booking ? "POST" : "GET", path_of(request),
                     id, id, (long long)request->work, request->answer_bytes);
    if (request->answer_is_chunked) {
        StrBuf_AppendFmt(out, "X-Fake-Chunked: 1\r\n");
    }
    append_faults(request, out);
    if (is_last && caller->plan.announces_last) {
        StrBuf_AppendFmt(out, "Connection: close\r\n");
    }
    if (request->body_bytes || request->is_booking) {
        StrBuf_AppendFmt(out, "Content-Length: %u\r\n", request->body_bytes);
    }
    StrBuf_Append(out, Str_LIT("\r\n"));
    for (uint32_t i = 0; i < request->body_bytes; i++) {
        StrBuf_Append(out, Str_LIT("b"));
    }
}

/* Whether the node has ended its side, or the connection, whether or not the
 * caller has read all before that. */
static bool
is_closed_by_node(const MixCaller *caller)
{
    struct pollfd item = {.fd = caller->fd, .events = POLLRDHUP};

    return poll(&item, 1, 0) > 0 &&
           item.revents & (POLLRDHUP | POLLERR | POLLHUP);
}

/* Whether the request to be sent next may begin. */
static bool
may_begin(const MixCaller *caller, Span elapsed)
{
    const MixRequest *request = &caller->plan.requests[caller->sending];

    if (request->is_pipelined) {
        return true;
    }
    return elapsed >= request->send_at && caller->answering == caller->sending;
}

/* Bytes of the request that are due by now. */
static size_t
count_due(const MixCaller *caller, Span elapsed)
{
    const MixRequest *request = &caller->plan.requests[caller->sending];
    uint32_t pieces = request->piece_count ? request->piece_count : 1;
    Span gap = request->piece_gap ? request->piece_gap : 1;
    Span due = (elapsed - caller->text_begun_at) / gap + 1;

    return due >= pieces ? caller->text.len
                         : caller->text.len * (size_t)due / pieces;
}

static void
finish_request(MixCaller *caller, Span elapsed)
{
    caller->results[caller->sending].sent_at = elapsed;
    caller->sending++;
    StrBuf_Clear(&caller->text);
    caller->sent = 0;
}

static void
half_close_if_due(MixCaller *caller, Span elapsed)
{
    int count = caller->plan.request_count;

    if (caller->plan.half_closes && !caller->half_closed &&
        caller->sending == count &&
        elapsed - caller->results[count - 1].sent_at >=
            caller->plan.half_close_delay) {
        shutdown(caller->fd, SHUT_WR);
        caller->half_closed = true;
    }
}

static void
cancel_if_due(MixCaller *caller, Span elapsed)
{
    const struct linger at_once = {.l_onoff = 1};
    int count = caller->plan.request_count;

    if (!caller->plan.cancels || caller->sending < count ||
        elapsed - caller->results[count - 1].sent_at <
            caller->plan.cancel_after) {
        return;
    }
    if (caller->plan.cancel_resets) {
        setsockopt(caller->fd, SOL_SOCKET, SO_LINGER, &at_once,
                   sizeof at_once);
    }
    end_caller(caller);
}

static void
send_due(MixCaller *caller, Span elapsed)
{
    while (caller->sending < caller->plan.request_count) {
        size_t due;
        ssize_t put;
        if (caller->text.len == 0) {
            if (!may_begin(caller, elapsed) || caller->closed_at) {
                return;
            }
            write_request(caller);
            caller->text_begun_at = elapsed;
        }
        due = count_due(caller, elapsed);
        if (due == caller->sent) {
            return;
        }
        put = send(caller->fd, caller->text.ptr + caller->sent,
                   due - caller->sent, MSG_NOSIGNAL | MSG_DONTWAIT);
        if (put <= 0) {
            return; /* reading shows whether the connection has ended */
        }
        if (caller->first_sent_at < 0) {
            caller->first_sent_at = elapsed;
        }
        caller->sent += (size_t)put;
        if (caller->sent == caller->text.len) {
            finish_request(caller, elapsed);
        }
    }
}

/* Reads WANTED bytes at most.  Returns how many; 0 when no more is there, or
 * the caller has ended. */
static size_t
read_some(MixCaller *caller, size_t wanted)
{
    char bytes[READ_BYTES];
    ssize_t got =
        recv(caller->fd, bytes, wanted < sizeof bytes ? wanted : sizeof bytes,
             MSG_DONTWAIT);

    if (got < 0 && (errno == EAGAIN || errno == EINTR)) {
        return 0;
    }
    if (got >= 0) {
        http_parser_execute(&caller->parser, &parser_callbacks, bytes,
                            (size_t)got);
    }
    if (got <= 0 || caller->answering == caller->plan.request_count) {
        end_caller(caller);
        return 0;
    }
    return (size_t)got;
}

static void
read_due(MixCaller *caller, Span elapsed)
{
    size_t left = caller->plan.read_bytes ? caller->plan.read_bytes : SIZE_MAX;
    size_t got;

    if (elapsed < caller->next_read_at ||
        (caller->first_sent_at >= 0 &&
         elapsed < caller->first_sent_at + caller->plan.read_after)) {
        return;
    }
    caller->next_read_at = elapsed + caller->plan.read_interval;
    while (left && (got = read_some(caller, left)) > 0) {
        left -= got;
    }
}

static void
act(MixCaller *caller, Span elapsed)
{
    if (caller->ended || elapsed < caller->plan.open_at) {
        return;
    }
    if (caller->fd < 0) {
        open_caller(caller);
    }
    if (!caller->ended && !caller->connected) {
        finish_connecting(caller, elapsed);
    }
    if (!caller->ended && caller->connected) {
        if (!caller->closed_at && is_closed_by_node(caller)) {
            caller->closed_at = elapsed;
        }
        send_due(caller, elapsed);
        half_close_if_due(caller, elapsed);
        read_due(caller, elapsed);
    }
    if (!caller->ended && caller->connected) {
        cancel_if_due(caller, elapsed);
    }
}

static void
init_caller(MixCaller *caller, Mix *mix, const MixPlan *plan)
{
    *caller =
        (MixCaller){.plan = *plan, .mix = mix, .fd = -1, .first_sent_at = -1};
    http_parser_init(&caller->parser, HTTP_RESPONSE);
    caller->parser.data = caller;
    for (int i = 0; i < plan->request_count; i++) {
        snprintf(caller->results[i].id, Mix_ID_BYTES, "c%d-%d",
                 (int)(caller - mix->callers), i);
    }
}

/* Whether the caller may send the request again: a booking only when it was
 * not run. */
static bool
may_repeat(const MixRequest *request, const MixResult *result)
{
    if (result->outcome == Mix_UNSENT || result->outcome == Mix_ANSWERED ||
        result->outcome == Mix_WRONG) {
        return false;
    }
    return !request->is_booking || result->says_not_run;
}

/* Adds a caller that sends again, without their faults, those requests of
 * CALLER that may be repeated. */
static void
add_repetition(Mix *mix, MixCaller *caller, Span elapsed)
{
    MixPlan plan = {.vm = caller->plan.repeat_vm, .open_at = elapsed};

    caller->plan.repeats = false;
    for (int i = 0; i < caller->plan.request_count; i++) {
        const MixRequest *request = &caller->plan.requests[i];
        MixResult *result = &caller->results[i];
        if (may_repeat(request, result)) {
            MixRequest *again = &plan.requests[plan.request_count];
            *again = *request;
            again->send_at = elapsed;
            again->cut_after = 0;
            again->is_refused_twice = false;
            again->is_pipelined &= plan.request_count > 0;
            result->repeat_caller = mix->count;
            result->repeat_request = plan.request_count++;
        }
    }
    if (plan.request_count) {
        init_caller(&mix->callers[mix->count], mix, &plan);
        mix->count++;
    }
}

void
Mix_Init(Mix *mix, Fleet *fleet, const MixPlan *plans, int count)
{
    /* Each caller can add one that repeats. */
    *mix = (Mix){.fleet = fleet, .count = count, .capacity = 2 * count};
    mix->callers = Mem_Alloc((size_t)mix->capacity, sizeof *mix->callers);
    for (int i = 0; i < count; i++) {
        init_caller(&mix->callers[i], mix, &plans[i]);
    }
}

void
Mix_Finish(Mix *mix)
{
    for (int i = 0; i < mix->count; i++) {
        if (!mix->callers[i].ended) {
            end_caller(&mix->callers[i]);
        }
        StrBuf_Finish(&mix->callers[i].text);
        StrBuf_Finish(&mix->callers[i].field_name);
        StrBuf_Finish(&mix->callers[i].field_value);
    }
    Mem_Free(mix->callers);
}

void
Mix_Run(Mix *mix, Span limit)
{
    Span elapsed = 0;
    int active = mix->count;

    mix->started_at = Loop_Now();
    while (active && elapsed < limit) {
        active = 0;
        for (int i = 0; i < mix->count; i++) {
            act(&mix->callers[i], elapsed);
            active += !mix->callers[i].ended;
            if (mix->callers[i].ended && mix->callers[i].plan.repeats) {
                add_repetition(mix, &mix->callers[i], elapsed);
            }
        }
        if (mix->on_tick) {
            mix->on_tick(mix->context, elapsed);
        }
        Fleet_Sleep(TICK);
        elapsed = Loop_Now() - mix->started_at;
    }
    for (int i = 0; i < mix->count; i++) {
        if (!mix->callers[i].ended) {
            end_caller(&mix->callers[i]);
        }
    }
}

const MixPlan *
Mix_GetPlan(const Mix *mix, int caller)
{
    return &mix->callers[caller].plan;
}

const MixResult *
Mix_GetResult(const Mix *mix, int caller, int request)
{
    return &mix->callers[caller].results[request];
}

static long long
ms_of(Span span)
{
    return (long long)(span / 1000);
}

void
Mix_Print(const Mix *mix, int caller, StrBuf *out)
{
    static const char *const outcomes[] = {
        "unsent", "answered", "rejected", "failed", "cut", "silent", "wrong"};
    const MixPlan *plan = Mix_GetPlan(mix, caller);

    StrBuf_AppendFmt(out,
                     "caller %d vm%d opens %lld ms, buffer %d, reads after "
                     "%lld ms, %zu bytes each %lld ms%s%s%s\n",
                     caller, plan->vm, ms_of(plan->open_at),
                     plan->receive_buffer, ms_of(plan->read_after),
                     plan->read_bytes, ms_of(plan->read_interval),
                     plan->announces_last ? ", announces its last" : "",
                     plan->half_closes ? ", half closes" : "",
                     plan->cancels ? ", cancels" : "");
    for (int i = 0; i < plan->request_count; i++) {
        const MixRequest *request = &plan->requests[i];
        const MixResult *result = Mix_GetResult(mix, caller, i);
        StrBuf_AppendFmt(
            out,
            "  %s %s%s at %lld ms, body %u in %u pieces, work %lld ms, answer "
            "%u%s%s, cut after %u: %s %d%s, %u bytes, sent %lld ms, ended "
            "%lld ms\n",
            result->id, request->is_pipelined ? "pipelined " : "",
            path_of(request), ms_of(request->send_at), request->body_bytes,
            request->piece_count, ms_of(request->work), request->answer_bytes,
            request->answer_is_chunked ? " chunked" : "",
            request->is_refused_twice ? " refused twice" : "",
            request->cut_after, outcomes[result->outcome], result->status,
            result->says_not_run ? " not run" : "", result->got_bytes,
            ms_of(result->sent_at), ms_of(result->ended_at));
    }
}

static uint32_t
draw_answer_bytes(Rng *rng)
{
    static const uint32_t sizes[] = {40,    40,     900,     20000,
                                     70000, 300000, 1000000, 3000000};

    return sizes[Rng_Below(rng, sizeof sizes / sizeof sizes[0])];
}

static bool
draw_one_in(Rng *rng, uint32_t count)
{
    return Rng_Below(rng, count) == 0;
}

static void
draw_request(MixRequest *request, Rng *rng, Span from, Span to, Span work_max)
{
    Span room = to > from ? to - from : 1;

    *request = (MixRequest){
        .send_at = from + (Span)(Rng_Unit(rng) * (double)room),
        .is_booking = draw_one_in(rng, 3),
        .answer_bytes = draw_answer_bytes(rng),
        .answer_is_chunked = draw_one_in(rng, 2),
        .work = (Span)(Rng_Unit(rng) * (double)work_max),
    };
    if (request->is_booking) {
        request->body_bytes = 1 + Rng_Below(rng, 3000);
    }
    if (draw_one_in(rng, 3)) {
        request->piece_count = 2 + Rng_Below(rng, 3);
        request->piece_gap = Span_MS(1 + Rng_Below(rng, 150));
    }
}

static uint32_t
count_answer_bytes(const MixPlan *plan)
{
    uint32_t sum = 0;

    for (int i = 0; i < plan->request_count; i++) {
        sum += plan->requests[i].answer_bytes;
    }
    return sum;
}

/* Draws how the caller reads: at once, late, slowly (all bytes in less than a
 * second), with a small buffer. */
static void
draw_reading(MixPlan *plan, Rng *rng, Span last)
{
    static const Span pauses[] = {
        0, 0, Span_MS(500), Span_S(1), Span_MS(2500), Span_S(3)};
    Span pause = pauses[Rng_Below(rng, sizeof pauses / sizeof pauses[0])];
    Span room = last - plan->requests[0].send_at;

    plan->read_after = pause < room ? pause : room;
    if (draw_one_in(rng, 3)) {
        uint32_t reads = 10 + Rng_Below(rng, 30);
        plan->read_interval = Span_MS(20);
        plan->read_bytes = count_answer_bytes(plan) / reads + 600;
    }
    if (draw_one_in(rng, 3)) {
        plan->receive_buffer = count_answer_bytes(plan) < SMALL_ANSWERS
                                   ? SMALL_BUFFER
                                   : MEDIUM_BUFFER;
    }
}

void
Mix_Draw(MixPlan *plan, Rng *rng, int vm, Span first, Span last, Span work_max)
{
    Span from = first;

    *plan = (MixPlan){.vm = vm, .open_at = first / 2};
    plan->request_count = 1 + (int)Rng_Below(rng, 3);
    for (int i = 0; i < plan->request_count; i++) {
        MixRequest *request = &plan->requests[i];
        draw_request(request, rng, from, last, work_max);
        request->is_pipelined = i > 0 && draw_one_in(rng, 2);
        from = request->send_at;
    }
    if (draw_one_in(rng, 2)) {
        plan->open_at = plan->requests[0].send_at; /* not used before */
    }
    plan->announces_last = draw_one_in(rng, 2);
    plan->half_closes = plan->announces_last && draw_one_in(rng, 4);
    draw_reading(plan, rng, last);
}

static void
disturb_request(MixRequest *request, Rng *rng)
{
    request->is_brief = !request->is_booking && draw_one_in(rng, 2);
    switch (Rng_Below(rng, 12)) {
    case 0: /* in the head, at any byte */
        request->cut_after = 1 + Rng_Below(rng, 200);
        break;
    case 1: /* anywhere */
        request->cut_after = 1 + Rng_Below(rng, request->answer_bytes + 200);
        break;
    case 2:
        request->is_refused_twice = true;
        break;
    case 3:
        request->status = CONFLICT;
        break;
    default:
        break;
    }
}

/* Makes all requests pipelined reads, with long answers that wait behind one
 * that often takes longer than their deadline. */
static void
make_pipeline(MixPlan *plan, Rng *rng)
{
    if (plan->request_count == 1) {
        plan->requests[plan->request_count++] = plan->requests[0];
    }
    for (int i = 0; i < plan->request_count; i++) {
        MixRequest *request = &plan->requests[i];
        request->is_pipelined = i > 0;
        request->is_booking = false;
        request->body_bytes = 0;
        request->is_brief = i > 0;
        if (i > 0) {
            request->answer_bytes = LONG_ANSWER + Rng_Below(rng, LONGER_BY);
        }
    }
    if (draw_one_in(rng, 2)) {
        plan->requests[0].work =
            BRIEF_DEADLINE + Span_MS(Rng_Below(rng, 1500));
    }
}

void
Mix_Disturb(MixPlan *plan, Rng *rng, int vm_count)
{
    for (int i = 0; i < plan->request_count; i++) {
        disturb_request(&plan->requests[i], rng);
    }
    if (draw_one_in(rng, 4)) {
        make_pipeline(plan, rng);
    }
    plan->cancels = draw_one_in(rng, 5);
    plan->cancel_after = Span_MS(Rng_Below(rng, 800));
    plan->cancel_resets = draw_one_in(rng, 2);
    plan->repeats = !plan->cancels && draw_one_in(rng, 2);
    plan->repeat_vm = (int)Rng_Below(rng, (uint32_t)vm_count);
}
