/* Key: the CURVE keys of the traffic between nodes.
 *
 * A node shows one pair of keys both where it listens and where it connects.
 * It lets in the nodes whose public key is in curve_allowed: libzmq asks for
 * each new connection over an inproc socket (ZAP, RFC 27), which the
 * process's one loop watches.  While keys are being changed several are
 * allowed, and a connection that hears nothing tries the next of them as the
 * other side's; while the fleet goes from none to keys, no key is one of the
 * choices.  A socket that listens is always one or the other: ZeroMQ has one
 * mechanism for each.
 */
#ifndef CURVE_H
#define CURVE_H

#include "process/counters.h"
#include "process/loop.h"
#include "process/settings.h"
#include "process/timeline.h"

enum { Curve_KEY_BYTES = 32, Curve_KEY_TEXT_BYTES = 40 };

typedef struct {
    uint8_t bytes[Curve_KEY_BYTES];
} CurveKey;

typedef struct {
    Timeline *timeline;
    Counters *counters;
    CurveKey public_key;
    CurveKey secret_key;
    CurveKey allowed[Set_KEYS_MAX];
    size_t allowed_count; /* 0: no CURVE */
    SetCurveChange change;
    void *zap_socket;
    struct event *zap_event;
    Instant refusal_recorded_at; /* last refusal in the time line */
} CurveKeys;

/* Start to answer for ZMQ, before any socket of it listens. */
bool Curve_Init(CurveKeys *keys, void *zmq, Loop *loop,
                const Settings *settings, Timeline *timeline,
                Counters *counters, Err *err);
void Curve_Finish(CurveKeys *keys);

/* Prepare a socket that listens. */
void Curve_ConfigureServer(const CurveKeys *keys, void *socket);

/* Prepare a socket that connects; ATTEMPT counts connections in a row that
 * heard nothing. */
void Curve_ConfigureClient(const CurveKeys *keys, void *socket,
                           uint32_t attempt);

/* The other side's key may be one of several, or none. */
bool Curve_HasSeveralChoices(const CurveKeys *keys);

/* Read 40 characters of Z85; false when TEXT is anything else. */
bool Curve_ParseKey(Str text, CurveKey *key);

/* Are these the two keys of one pair? */
bool Curve_IsKeyPair(Str public_key, Str secret_key);

#endif
