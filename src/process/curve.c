#include "process/curve.h"

#include <string.h>
#include <zmq.h>

/* Frames of a ZAP request (RFC 27). */
typedef enum {
    ZAP_VERSION,
    ZAP_REQUEST,
    ZAP_DOMAIN,
    ZAP_ADDRESS,
    ZAP_IDENTITY,
    ZAP_MECHANISM,
    ZAP_KEY,
    ZAP_FRAMES
} ZapFrame;

enum { FRAME_MAX = 256 };

static const Str zap_endpoint = Str_LIT("inproc://zeromq.zap.01");
static const Str zap_version = Str_LIT("1.0");
static const Str zap_mechanism = Str_LIT("CURVE");
static const Str zap_domain = Str_LIT("lycheeridge");

typedef struct {
    char bytes[FRAME_MAX];
    size_t len; /* as sent; over FRAME_MAX when cut */
} Frame;

bool
Curve_ParseKey(Str text, CurveKey *key)
{
    StrBuf copy = {0};
    bool good = false;

    if (text.len == Curve_KEY_TEXT_BYTES) {
        StrBuf_Set(&copy, text);
        good = zmq_z85_decode(key->bytes, StrBuf_CStr(&copy)) != NULL;
        StrBuf_Finish(&copy);
    }
    return good;
}

bool
Curve_IsKeyPair(Str public_key, Str secret_key)
{
    char derived[Curve_KEY_TEXT_BYTES + 1];
    StrBuf secret = {0};
    CurveKey checked;
    bool pair;

    if (!Curve_ParseKey(secret_key, &checked)) {
        return false;
    }
    StrBuf_Set(&secret, secret_key);
    pair = zmq_curve_public(derived, StrBuf_CStr(&secret)) == 0 &&
           Str_Equal(Str_From(derived, Curve_KEY_TEXT_BYTES), public_key);
    StrBuf_Finish(&secret);
    return pair;
}

static bool
is_allowed(const CurveKeys *keys, const Frame *frame)
{
    if (frame->len != Curve_KEY_BYTES) {
        return false;
    }
    for (size_t i = 0; i < keys->allowed_count; i++) {
        if (!memcmp(keys->allowed[i].bytes, frame->bytes, Curve_KEY_BYTES)) {
            return true;
        }
    }
    return false;
}

static bool
is_frame(const Frame *frame, Str text)
{
    return frame->len == text.len &&
           Str_Equal(Str_From(frame->bytes, frame->len), text);
}

static void
send_frame(void *socket, Str text, bool last)
{
    zmq_send(socket, text.ptr, text.len,
             ZMQ_DONTWAIT | (last ? 0 : ZMQ_SNDMORE));
}

static void
answer(CurveKeys *keys, const Frame *request, bool good)
{
    size_t len = request->len < FRAME_MAX ? request->len : FRAME_MAX;

    send_frame(keys->zap_socket, zap_version, false);
    send_frame(keys->zap_socket, Str_From(request->bytes, len), false);
    send_frame(keys->zap_socket, good ? Str_LIT("200") : Str_LIT("400"),
               false);
    send_frame(keys->zap_socket, good ? Str_LIT("OK") : Str_LIT("key"), false);
    send_frame(keys->zap_socket, Str_LIT("node"), false);
    send_frame(keys->zap_socket, Str_LIT(""), true);
}

/* Every refusal counts; the time line takes one a second. */
static void
tell_refusal(CurveKeys *keys, const Frame *address)
{
    Instant now = Loop_Now();
    size_t len = address->len < FRAME_MAX ? address->len : FRAME_MAX;

    Cnt_Add(keys->counters, Cnt_KEY_REFUSED, 1);
    if (!keys->refusal_recorded_at ||
        now - keys->refusal_recorded_at >= Span_S(1)) {
        keys->refusal_recorded_at = now;
        Tml_Record(keys->timeline, Tml_DENIED, "node from=%.*s", (int)len,
                   address->bytes);
    }
}

/* Read one whole request; false when there is none. */
static bool
read_request(void *socket, Frame *frames, size_t *count)
{
    int more = 1;
    size_t size = sizeof more;

    for (*count = 0; more; (*count)++) {
        Frame extra = {0};
        Frame *frame = *count < ZAP_FRAMES ? &frames[*count] : &extra;
        int len = zmq_recv(socket, frame->bytes, FRAME_MAX, ZMQ_DONTWAIT);
        if (len < 0) {
            return false;
        }
        frame->len = (size_t)len;
        zmq_getsockopt(socket, ZMQ_RCVMORE, &more, &size);
    }
    return true;
}

static void
on_request(evutil_socket_t fd, short what, void *context)
{
    CurveKeys *keys = context;
    int64_t start = Loop_CpuNs();
    Frame frames[ZAP_FRAMES];
    size_t count;

    (void)fd;
    (void)what;
    while (read_request(keys->zap_socket, frames, &count)) {
        bool good = count == ZAP_FRAMES &&
                    is_frame(&frames[ZAP_VERSION], zap_version) &&
                    is_frame(&frames[ZAP_MECHANISM], zap_mechanism) &&
                    is_allowed(keys, &frames[ZAP_KEY]);
        if (!good) {
            tell_refusal(keys, &frames[ZAP_ADDRESS]);
        }
        answer(keys, &frames[ZAP_REQUEST], good);
    }
    Cnt_AddNs(keys->counters, Cnt_CONTROL_CPU_US, Loop_CpuNs() - start);
}

static void
read_keys(CurveKeys *keys, const Settings *settings)
{
    Curve_ParseKey(StrBuf_View(&settings->curve_public), &keys->public_key);
    Curve_ParseKey(StrBuf_View(&settings->curve_secret), &keys->secret_key);
    for (size_t i = 0; i < settings->curve_allowed_count; i++) {
        Curve_ParseKey(StrBuf_View(&settings->curve_allowed[i]),
                       &keys->allowed[i]);
    }
    keys->allowed_count = settings->curve_allowed_count;
    keys->change = settings->curve_change;
}

static bool
listens_keyed(const CurveKeys *keys)
{
    return keys->allowed_count && keys->change != Set_CURVE_UNKEYED;
}

bool
Curve_Init(CurveKeys *keys, void *zmq, Loop *loop, const Settings *settings,
           Timeline *timeline, Counters *counters, Err *err)
{
    StrBuf endpoint = {0};
    int fd = -1;
    size_t size = sizeof fd;
    bool bound;

    *keys = (CurveKeys){.timeline = timeline, .counters = counters};
    if (settings->curve_public.len == 0) {
        return true;
    }
    read_keys(keys, settings);
    if (!listens_keyed(keys)) {
        return true;
    }
    StrBuf_Set(&endpoint, zap_endpoint);
    keys->zap_socket = zmq_socket(zmq, ZMQ_REP);
    bound = zmq_bind(keys->zap_socket, StrBuf_CStr(&endpoint)) == 0;
    StrBuf_Finish(&endpoint);
    if (!bound) {
        zmq_close(keys->zap_socket);
        return Err_SET(err, Err_INTERNAL, "no socket to check keys: %s",
                       zmq_strerror(zmq_errno()));
    }
    zmq_getsockopt(keys->zap_socket, ZMQ_FD, &fd, &size);
    keys->zap_event =
        event_new(loop->base, fd, EV_READ | EV_PERSIST, on_request, keys);
    event_add(keys->zap_event, NULL);
    return true;
}

void
Curve_Finish(CurveKeys *keys)
{
    if (keys->zap_socket) {
        event_free(keys->zap_event);
        zmq_close(keys->zap_socket);
        keys->zap_socket = NULL;
    }
}

static void
set_pair(const CurveKeys *keys, void *socket)
{
    zmq_setsockopt(socket, ZMQ_CURVE_PUBLICKEY, keys->public_key.bytes,
                   Curve_KEY_BYTES);
    zmq_setsockopt(socket, ZMQ_CURVE_SECRETKEY, keys->secret_key.bytes,
                   Curve_KEY_BYTES);
}

void
Curve_ConfigureServer(const CurveKeys *keys, void *socket)
{
    int on = 1;

    if (listens_keyed(keys)) {
        set_pair(keys, socket);
        zmq_setsockopt(socket, ZMQ_CURVE_SERVER, &on, sizeof on);
        zmq_setsockopt(socket, ZMQ_ZAP_DOMAIN, zap_domain.ptr, zap_domain.len);
    }
}

/* What the other side may need: one of the keys or, during a change, none. */
static size_t
count_choices(const CurveKeys *keys)
{
    return keys->allowed_count + (keys->change != Set_CURVE_SETTLED);
}

/* The key to try, NULL for none; first what this node itself does. */
static const CurveKey *
choose_server(const CurveKeys *keys, uint32_t attempt)
{
    size_t choice;

    if (keys->allowed_count == 0) {
        return NULL;
    }
    choice = attempt % count_choices(keys);
    if (keys->change == Set_CURVE_UNKEYED) {
        return choice ? &keys->allowed[choice - 1] : NULL;
    }
    return choice < keys->allowed_count ? &keys->allowed[choice] : NULL;
}

void
Curve_ConfigureClient(const CurveKeys *keys, void *socket, uint32_t attempt)
{
    const CurveKey *server = choose_server(keys, attempt);

    if (server) {
        set_pair(keys, socket);
        zmq_setsockopt(socket, ZMQ_CURVE_SERVERKEY, server->bytes,
                       Curve_KEY_BYTES);
    }
}

bool
Curve_HasSeveralChoices(const CurveKeys *keys)
{
    return count_choices(keys) > 1;
}
