/* Curve: the CURVE keys of the connections between nodes.
 *
 * A node uses one key pair for the sockets that listen and for those that
 * connect.  It accepts the nodes whose public key is in curve_allowed: libzmq
 * sends a ZAP request (RFC 27) over an inproc socket for each new connection,
 * and the process's one loop reads that socket.
 *
 * While keys are being replaced, several keys are allowed, and a connection
 * that gets no reply tries the next allowed key as the key of the other node.
 * While a fleet changes from no keys to keys, "no key" is one of the choices.
 * A listening socket either uses CURVE or does not, because a ZeroMQ socket
 * has one mechanism.
 */
#ifndef CURVE_H
#define CURVE_H

#include "process/loop.h"
#include "process/observe/counters.h"
#include "process/observe/timeline.h"
#include "process/settings/settings.h"

/* A key as bytes, and as Z85 text. */
enum { Curve_KEY_BYTES = 32, Curve_KEY_TEXT_BYTES = 40 };

typedef struct {
    uint8_t bytes[Curve_KEY_BYTES];
} CurveKey;

typedef struct {
    Timeline *timeline;
    Counters *counters;
    CurveKey public_key; /* of this node, as the next */
    CurveKey secret_key;
    CurveKey allowed[Set_CURVE_KEYS_MAX]; /* public keys of other nodes */
    size_t allowed_count;                 /* 0: this node does not use CURVE */
    CurveChange change;                   /* from no keys to keys */
    void *zap_socket; /* NULL: this node listens without CURVE */
    struct event *zap_event;
    Instant refusal_recorded_at; /* last refusal in the timeline; 0: none */
} CurveKeys;

/* Reads the keys from SETTINGS and answers the ZAP requests of the ZeroMQ
 * context ZMQ.  To be called before any socket of ZMQ listens.  Returns false
 * with ERR when the ZAP socket can't be bound. */
bool Curve_Init(CurveKeys *keys, void *zmq, Loop *loop,
                const Settings *settings, Timeline *timeline,
                Counters *counters, Err *err);
void Curve_Finish(CurveKeys *keys);

/* Sets the key options of a socket that is going to listen. */
void Curve_ConfigureServer(const CurveKeys *keys, void *socket);

/* Sets the key options of a socket that is going to connect.  ATTEMPT counts
 * the preceding connections in a row that got no reply, and selects the key
 * of the other node. */
void Curve_ConfigureClient(const CurveKeys *keys, void *socket,
                           uint32_t attempt);

/* Whether the other node may have one of several keys, or a key or none. */
bool Curve_HasSeveralChoices(const CurveKeys *keys);

/* Decodes a key of 40 Z85 characters.  Returns false for any other TEXT. */
bool Curve_ParseKey(Str text, CurveKey *key);

/* Whether the two keys, in Z85, form a pair.  False for a malformed secret
 * key. */
bool Curve_IsKeyPair(Str public_key, Str secret_key);

#endif
