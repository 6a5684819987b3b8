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
    Wire_CALL = 1,         /* callmsg: run this attempt */
    Wire_PIECE,            /* a piece of its answer */
    Wire_CALL_REJECTED,    /* it did not run */
    Wire_CANCEL,           /* the caller hung up */
    Wire_FENCE,            /* never run this id if you have not yet */
    Wire_FENCE_REPLY,      /* what became of it */
    Wire_CREDIT,           /* more pieces may come */
    Wire_PING,             /* are you there */
    Wire_PONG,             /* yes, with the load */
    Wire_MEMBER_RECORD,    /* membermsg: a node's record, and the table number
                              seen */
    Wire_MEMBER_TABLE,     /* rows that changed since */
    Wire_MEMBER_EXCHANGE,  /* records between control replicas */
    Wire_REGISTER_REQUEST, /* claimmsg: to a holder of key registers */
    Wire_REGISTER_REPLY,   /* its answer */
    Wire_CATCH_UP_REPLY,   /* registers for a holder that catches up */
    Wire_CATCH_UP_REQUEST,
    Wire_RAFT,          /* logmsg: replicated log, between control replicas */
    Wire_REPLICA_HELLO, /* identities of control replicas */
    Wire_CONFIG_CHANGE, /* configmsg: a change, to the leader */
    Wire_CONFIG_CHANGE_REPLY, /* its outcome */
    Wire_VERSION_REQUEST,     /* a node asks for the version in force */
    Wire_VERSION,             /* the version in force */
    Wire_SUSPECTS,            /* suspectmsg: blame of requests */
    Wire_FATE_REQUEST,        /* claimmsg: what became of an attempt */
    Wire_FATE_REPLY,          /* its answer */
    Wire_PRESETS_REQUEST, /* configmsg: which presets there are, to the leader
                           */
    Wire_PRESETS_REPLY,   /* its answer */
    Wire_SUSPECTS_ACK,    /* suspectmsg: they are known */
    Wire_RENEWAL,         /* membermsg: a node's record did not change */
    Wire_RENEWAL_ACK,     /* nor did the table */
    Wire_MEMBER_RECORD_REQUEST, /* the whole record is needed */
    Wire_KINDS
} MessageKind;

/* Start a message of KIND with COUNT fields of its own. */
void Wire_Begin(Pack *pack, MessageKind kind, uint32_t count);

/* Read the envelope; the kind's fields come next in UNPACK, which the caller
 * finishes when the result is true. */
bool Wire_Open(Unpack *unpack, Str bytes, MessageKind *kind, Err *err);

#endif
