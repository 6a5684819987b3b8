/* Wire: the envelope of every message between nodes.
 *
 * A message is one ZeroMQ frame holding a MessagePack array: format version,
 * kind, then the fields of that kind in order.  Each family of kinds has a
 * file of its own (callmsg, membermsg, ...).
 */
#ifndef WIRE_H
#define WIRE_H

#include "value/pack.h"

enum { Wire_FORMAT = 1 };

typedef enum {
    Wire_CALL = 1,  /* callmsg: run this attempt */
    Wire_PIECE,     /* a piece of its answer */
    Wire_REFUSED,   /* it did not run */
    Wire_CANCEL,    /* the caller hung up */
    Wire_FENCE,     /* never run this id if you have not yet */
    Wire_FENCED,    /* what became of it */
    Wire_CREDIT,    /* more pieces may come */
    Wire_PING,      /* are you there */
    Wire_PONG,      /* yes, with the load */
    Wire_RECORD,    /* membermsg: a node's record, and the table number seen */
    Wire_TABLE,     /* rows that changed since */
    Wire_EXCHANGE,  /* records between control replicas */
    Wire_CLAIM,     /* claimmsg: to a holder of key registers */
    Wire_CLAIMED,   /* its answer */
    Wire_REGISTERS, /* registers for a holder that catches up */
    Wire_REGISTERS_ASK,
    Wire_LOG,           /* logmsg: replicated log, between control replicas */
    Wire_HELLO,         /* identities of control replicas */
    Wire_CHANGE,        /* configmsg: a change, to the leader */
    Wire_CHANGED,       /* its outcome */
    Wire_VERSION_ASK,   /* a node asks for the version in force */
    Wire_VERSION,       /* the version in force */
    Wire_SUSPECTS,      /* suspectmsg: blame of requests */
    Wire_FATE_ASK,      /* claimmsg: what became of an attempt */
    Wire_FATE,          /* its answer */
    Wire_PRESETS_ASK,   /* configmsg: which presets there are, to the leader */
    Wire_PRESETS,       /* its answer */
    Wire_SUSPECTS_TOLD, /* suspectmsg: they are known */
    Wire_RENEWAL,       /* membermsg: a node's record did not change */
    Wire_RENEWED,       /* nor did the table */
    Wire_RECORD_ASK,    /* the whole record is needed */
    Wire_KINDS
} WireKind;

/* Start a message of KIND with COUNT fields of its own. */
void Wire_Begin(Pack *pack, WireKind kind, uint32_t count);

/* Read the envelope; the kind's fields come next in UNPACK, which the caller
 * finishes when the result is true. */
bool Wire_Open(Unpack *unpack, Str bytes, WireKind *kind, Err *err);

#endif
