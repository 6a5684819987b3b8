/* Wire: the envelope of every message between nodes.
 *
 * A message is one ZeroMQ frame that holds a MessagePack array: format
 * version, message kind, then the fields of that kind in order.  Each family
 * of kinds has its own file (callmsg, claimmsg, configmsg, leavemsg, logmsg,
 * membermsg, quotamsg, suspectmsg) with a Pack function for the sender and a
 * Read function for the receiver.
 *
 * The sender calls Pack_Finish after it has sent the message.  The receiver
 * calls Wire_Open, passes the Unpack to the Read function of the kind, and
 * calls Unpack_Finish.  Read functions return false and set the error when a
 * field is missing, malformed or out of bounds, or when fields are left over.
 */
#ifndef WIRE_H
#define WIRE_H

#include "value/pack.h"

enum { Wire_FORMAT = 1 };

typedef enum {
    /* callmsg: between the ingress node and the node of an attempt. */
    Wire_CALL = 1,      /* run this attempt */
    Wire_PIECE,         /* a piece of the answer */
    Wire_CALL_REJECTED, /* the attempt gives no answer; see RejectReason */
    Wire_CANCEL,        /* the attempt's answer is not wanted any more */
    Wire_FENCE,         /* never run this attempt if it has not started */
    Wire_FENCE_REPLY,   /* the state of the fenced attempt */
    Wire_CREDIT,        /* flow control: more answer bytes may be sent */
    Wire_PING,          /* asks for a Wire_PONG */
    Wire_PONG,          /* liveness reply, with the load */

    /* membermsg */
    Wire_MEMBER_RECORD,   /* a node's record, and the change number seen */
    Wire_MEMBER_TABLE,    /* rows that changed since then */
    Wire_MEMBER_EXCHANGE, /* rows sent between control replicas */

    /* claimmsg */
    Wire_REGISTER_REQUEST, /* to an acceptor of key registers */
    Wire_REGISTER_REPLY,
    Wire_CATCH_UP_REPLY, /* registers for an acceptor that catches up */
    Wire_CATCH_UP_REQUEST,

    /* logmsg: between control replicas. */
    Wire_RAFT,
    Wire_REPLICA_HELLO, /* identity of a control replica */

    /* configmsg */
    Wire_CONFIG_CHANGE, /* a configuration change, to the leader */
    Wire_CONFIG_CHANGE_REPLY,
    Wire_VERSION_REQUEST, /* a node asks for the version in force */
    Wire_VERSION,         /* the version in force */

    Wire_SUSPECTS,        /* suspectmsg: requests blamed for crashes */
    Wire_FATE_REQUEST,    /* claimmsg: asks what became of an attempt */
    Wire_FATE_REPLY,      /* claimmsg */
    Wire_PRESETS_REQUEST, /* configmsg: lists presets, to the leader */
    Wire_PRESETS_REPLY,   /* configmsg */
    Wire_SUSPECTS_ACK,    /* suspectmsg: a Wire_SUSPECTS was received */
    Wire_RENEWAL,         /* membermsg: a node's record did not change */
    Wire_RENEWAL_ACK,     /* membermsg: the table did not change either */
    Wire_MEMBER_RECORD_REQUEST, /* membermsg: the full record is needed */

    Wire_LEAVE,       /* leavemsg: a backend server leaves, or is that known */
    Wire_LEAVE_REPLY, /* leavemsg */

    Wire_QUOTA_ASK, /* quotamsg: a node asks for credit of accounts */
    Wire_QUOTA_GRANT,
    Wire_OFFER, /* callmsg: may an attempt with a large body come */
    Wire_GRANT, /* callmsg: it may */
    Wire_KINDS
} MessageKind;

/* Starts a message of KIND; the caller then packs its COUNT fields. */
void Wire_Begin(Pack *pack, MessageKind kind, uint32_t count);

/* Reads the envelope of BYTES and leaves UNPACK at the first field of the
 * kind.  The caller finishes UNPACK when the result is true.  Returns false
 * with Err_MALFORMED without an envelope, and with Err_VERSION for an unknown
 * format or kind. */
bool Wire_Open(Unpack *unpack, Str bytes, MessageKind *kind, Err *err);

#endif
