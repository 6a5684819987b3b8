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
#ifndef KEYS_H
#define KEYS_H

#include "process/counters.h"
#include "process/loop.h"
#include "process/settings.h"
#include "process/timeline.h"

enum { Key_BYTES = 32, Key_TEXT_BYTES = 40 };

typedef struct {
    uint8_t bytes[Key_BYTES];
} KeyBytes;

typedef struct {
    Timeline *timeline;
    Counters *counters;
    KeyBytes public_key;
    KeyBytes secret_key;
    KeyBytes allowed[Set_KEYS_MAX];
    size_t allowed_count; /* 0: no CURVE */
    SetCurveChange change;
    void *socket;
    struct event *event;
    Instant told_at; /* last refusal in the time line */
} Keys;

/* Start to answer for ZMQ, before any socket of it listens. */
bool Key_Init(Keys *keys, void *zmq, Loop *loop, const Settings *settings,
              Timeline *timeline, Counters *counters, Err *err);
void Key_Finish(Keys *keys);

/* Prepare a socket that listens. */
void Key_SetServer(const Keys *keys, void *socket);

/* Prepare a socket that connects; ATTEMPT counts connections in a row that
 * heard nothing. */
void Key_SetClient(const Keys *keys, void *socket, uint32_t attempt);

/* The other side's key may be one of several, or none. */
bool Key_AreChanging(const Keys *keys);

/* Read 40 characters of Z85; false when TEXT is anything else. */
bool Key_Parse(Str text, KeyBytes *key);

/* Are these the two keys of one pair? */
bool Key_ArePair(Str public_key, Str secret_key);

#endif
