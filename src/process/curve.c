#include "process/curve.h"

#include <string.h>
#include <zmq.h>

/* Frames of a ZAP request (RFC 27), in their order. */
typedef enum {
    ZAP_VERSION,
    ZAP_REQUEST,
    ZAP_DOMAIN,
    ZAP_ADDRESS,
    ZAP_IDENTITY,
    ZAP_MECHANISM,
    ZAP_KEY,
    ZAP_FRAME_COUNT
} ZapFrameIndex;

enum { FRAME_BYTES_MAX = 256 }; /* bytes kept of a frame */

static const Str zap_endpoint = Str_LIT("inproc://zeromq.zap.01");
static const Str zap_version = Str_LIT("1.0");
static const Str zap_mechanism = Str_LIT("CURVE");
static const Str zap_domain = Str_LIT("lycheeridge");

typedef struct {
    char bytes[FRAME_BYTES_MAX];
    size_t len; /* as sent; above FRAME_BYTES_MAX when bytes is cut */
} ZapFrame;

bool
Curve_ParseKey(Str text, CurveKey *key)
{
    StrBuf copy = {0};
    bool is_valid = false;

    if (text.len == Curve_KEY_TEXT_BYTES) {
        StrBuf_Set(&copy, text);
        is_valid = zmq_z85_decode(key->bytes, StrBuf_CStr(&copy)) != NULL;
        StrBuf_Finish(&copy);
    }
    return is_valid;
}

bool
Curve_IsKeyPair(Str public_key, Str secret_key)
{
    char derived[Curve_KEY_TEXT_BYTES + 1];
    StrBuf secret = {0};
    CurveKey checked;
    bool is_pair;

    if (!Curve_ParseKey(secret_key, &checked)) {
        return false;
    }
    StrBuf_Set(&secret, secret_key);
    is_pair = zmq_curve_public(derived, StrBuf_CStr(&secret)) == 0 &&
              Str_Equal(Str_From(derived, Curve_KEY_TEXT_BYTES), public_key);
    StrBuf_Finish(&secret);
    return is_pair;
}

static bool
is_key_allowed(const CurveKeys *keys, const ZapFrame *frame)
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
frame_equals(const ZapFrame *frame, Str text)
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
send_zap_reply(CurveKeys *keys, const ZapFrame *request, bool is_accepted)
{
    size_t len =
        request->len < FRAME_BYTES_MAX ? request->len : FRAME_BYTES_MAX;

    send_frame(keys->zap_socket, zap_version, false);
    send_frame(keys->zap_socket, Str_From(request->bytes, len), false);
    send_frame(keys->zap_socket, is_accepted ? Str_LIT("200") : Str_LIT("400"),
               false);
    send_frame(keys->zap_socket, is_accepted ? Str_LIT("OK") : Str_LIT("key"),
               false);
    send_frame(keys->zap_socket, Str_LIT("node"), false);
    send_frame(keys->zap_socket, Str_LIT(""), true);
}

/* Counts every refusal, and records at most one a second in the timeline. */
static void
record_refusal(CurveKeys *keys, const ZapFrame *address)
{
    Instant now = Loop_Now();
    size_t len =
        address->len < FRAME_BYTES_MAX ? address->len : FRAME_BYTES_MAX;

    Cnt_Add(keys->counters, Cnt_NODE_KEYS_REFUSED, 1);
    if (!keys->refusal_recorded_at ||
        now - keys->refusal_recorded_at >= Span_S(1)) {
        keys->refusal_recorded_at = now;
        Tml_Record(keys->timeline, Tml_DENIED, "node from=%.*s", (int)len,
                   address->bytes);
    }
}

/* Receives all frames of one request, of which the first ZAP_FRAME_COUNT are
 * kept.  Returns false when no request is pending. */
static bool
receive_zap_request(void *socket, ZapFrame *frames, size_t *count)
{
    int more = 1;
    size_t size = sizeof more;

    for (*count = 0; more; (*count)++) {
        ZapFrame extra = {0};
        ZapFrame *frame = *count < ZAP_FRAME_COUNT ? &frames[*count] : &extra;
        int len =
            zmq_recv(socket, frame->bytes, FRAME_BYTES_MAX, ZMQ_DONTWAIT);
        if (len < 0) {
            return false;
        }
        frame->len = (size_t)len;
        zmq_getsockopt(socket, ZMQ_RCVMORE, &more, &size);
    }
    return true;
}

static void
on_zap_readable(evutil_socket_t fd, short what, void *context)
{
    CurveKeys *keys = context;
    int64_t start = Loop_CpuNs();
    ZapFrame frames[ZAP_FRAME_COUNT];
    size_t count;

    (void)fd;
    (void)what;
    while (receive_zap_request(keys->zap_socket, frames, &count)) {
        bool is_accepted =
            count == ZAP_FRAME_COUNT &&
            frame_equals(&frames[ZAP_VERSION], zap_version) &&
            frame_equals(&frames[ZAP_MECHANISM], zap_mechanism) &&
            is_key_allowed(keys, &frames[ZAP_KEY]);
        if (!is_accepted) {
            record_refusal(keys, &frames[ZAP_ADDRESS]);
        }
        send_zap_reply(keys, &frames[ZAP_REQUEST], is_accepted);
    }
    Cnt_AddNs(keys->counters, Cnt_CONTROL_CPU_US, Loop_CpuNs() - start);
}

static void
parse_settings(CurveKeys *keys, const Settings *settings)
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
listens_with_curve(const CurveKeys *keys)
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
    parse_settings(keys, settings);
    if (!listens_with_curve(keys)) {
        return true;
    }
    StrBuf_Set(&endpoint, zap_endpoint);
    keys->zap_socket = zmq_socket(zmq, ZMQ_REP);
    bound = zmq_bind(keys->zap_socket, StrBuf_CStr(&endpoint)) == 0;
    StrBuf_Finish(&endpoint);
    if (!bound) {
        zmq_close(keys->zap_socket);
        return Err_SET(err, Err_INTERNAL,
                       "can't bind the ZAP socket for CURVE keys: %s",
                       zmq_strerror(zmq_errno()));
    }
    zmq_getsockopt(keys->zap_socket, ZMQ_FD, &fd, &size);
    keys->zap_event =
        event_new(loop->base, fd, EV_READ | EV_PERSIST, on_zap_readable, keys);
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
set_own_keys(const CurveKeys *keys, void *socket)
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

    if (listens_with_curve(keys)) {
        set_own_keys(keys, socket);
        zmq_setsockopt(socket, ZMQ_CURVE_SERVER, &on, sizeof on);
        zmq_setsockopt(socket, ZMQ_ZAP_DOMAIN, zap_domain.ptr, zap_domain.len);
    }
}

/* The number of configurations that the other node may have: one of the keys
 * or, during a change from no keys to keys, none. */
static size_t
count_choices(const CurveKeys *keys)
{
    return keys->allowed_count + (keys->change != Set_CURVE_UNCHANGED);
}

/* Returns the key to try, NULL for no CURVE.  The choices rotate with ATTEMPT
 * and start with the way in which this node itself listens. */
static const CurveKey *
choose_server_key(const CurveKeys *keys, uint32_t attempt)
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
    const CurveKey *server = choose_server_key(keys, attempt);

    if (server) {
        set_own_keys(keys, socket);
        zmq_setsockopt(socket, ZMQ_CURVE_SERVERKEY, server->bytes,
                       Curve_KEY_BYTES);
    }
}

bool
Curve_HasSeveralChoices(const CurveKeys *keys)
{
    return count_choices(keys) > 1;
}
