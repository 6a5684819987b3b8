#include "connection/claimmsg.h"

#include "connection/callmsg.h"

enum {
    ID_FIELDS = 2,
    BALLOT_FIELDS = 1 + ID_FIELDS,
    VALUE_FIELDS = 1 + BALLOT_FIELDS + ID_FIELDS + 4,
    REQUEST_FIELDS = ID_FIELDS + 4,
    REPLY_FIELDS = ID_FIELDS + 2 + BALLOT_FIELDS + 1,
    FATE_REQUEST_FIELDS = 2 * ID_FIELDS + 1,
    FATE_REPLY_FIELDS = 2 * ID_FIELDS + 2,
    CATCH_UP_REQUEST_FIELDS = 4,
    ROW_FIELDS = 1 + BALLOT_FIELDS + 2,
    CATCH_UP_REPLY_FIELDS = 6
};

static void
put_ballot(Pack *pack, PaxosBallot ballot)
{
    Pack_U64(pack, ballot.round);
    Callmsg_PutId(pack, ballot.proposer);
}

static PaxosBallot
take_ballot(Unpack *in)
{
    PaxosBallot ballot;

    ballot.round = Unpack_U64(in);
    ballot.proposer = Callmsg_TakeId(in);
    return ballot;
}

static void
put_value(Pack *pack, const RegisterValue *value)
{
    Pack_Array(pack, VALUE_FIELDS);
    Pack_U64(pack, value->state);
    put_ballot(pack, value->ballot);
    Callmsg_PutId(pack, value->attempt);
    Pack_U64(pack, value->node);
    Pack_U64(pack, value->node_incarnation);
    Pack_U64(pack, value->request_fingerprint);
    Pack_Str(pack, value->answer);
}

static void
take_value(Unpack *in, RegisterValue *value)
{
    Unpack inner;

    Unpack_Array(in, VALUE_FIELDS, &inner);
    value->state = (RegisterState)Unpack_Bounded(&inner, Reg_STATE_COUNT - 1);
    value->ballot = take_ballot(&inner);
    value->attempt = Callmsg_TakeId(&inner);
    value->node = Unpack_U64(&inner);
    value->node_incarnation = Unpack_U64(&inner);
    value->request_fingerprint = Unpack_U64(&inner);
    value->answer = Unpack_Str(&inner);
    if (!Unpack_Ok(&inner, NULL)) {
        Unpack_Fail(in);
    }
}

void
Claimmsg_PackRequest(Pack *pack, const RegisterRequestMessage *msg)
{
    Wire_Begin(pack, Wire_REGISTER_REQUEST, REQUEST_FIELDS);
    Callmsg_PutId(pack, msg->claim_id);
    Pack_U64(pack, msg->phase);
    Pack_U64(pack, msg->operation);
    Pack_Str(pack, msg->key);
    put_value(pack, &msg->value);
}

bool
Claimmsg_ReadRequest(Unpack *in, RegisterRequestMessage *msg, Err *err)
{
    msg->claim_id = Callmsg_TakeId(in);
    msg->phase = (uint32_t)Unpack_Bounded(in, UINT32_MAX);
    msg->operation =
        (RegisterOperation)Unpack_Bounded(in, Claim_OPERATIONS - 1);
    msg->key = Unpack_Str(in);
    take_value(in, &msg->value);
    return Unpack_Ok(in, err);
}

void
Claimmsg_PackReply(Pack *pack, const RegisterReplyMessage *msg)
{
    Wire_Begin(pack, Wire_REGISTER_REPLY, REPLY_FIELDS);
    Callmsg_PutId(pack, msg->claim_id);
    Pack_U64(pack, msg->phase);
    Pack_U64(pack, msg->reply.verdict);
    put_ballot(pack, msg->reply.promised);
    put_value(pack, &msg->reply.value);
}

bool
Claimmsg_ReadReply(Unpack *in, RegisterReplyMessage *msg, Err *err)
{
    msg->claim_id = Callmsg_TakeId(in);
    msg->phase = (uint32_t)Unpack_Bounded(in, UINT32_MAX);
    msg->reply.verdict =
        (RegisterVerdict)Unpack_Bounded(in, Reg_VERDICT_COUNT - 1);
    msg->reply.promised = take_ballot(in);
    take_value(in, &msg->reply.value);
    return Unpack_Ok(in, err);
}

void
Claimmsg_PackFateRequest(Pack *pack, const FateRequestMessage *msg)
{
    Wire_Begin(pack, Wire_FATE_REQUEST, FATE_REQUEST_FIELDS);
    Callmsg_PutId(pack, msg->claim_id);
    Callmsg_PutId(pack, msg->attempt);
    Pack_U64(pack, msg->target_incarnation);
}

bool
Claimmsg_ReadFateRequest(Unpack *in, FateRequestMessage *msg, Err *err)
{
    msg->claim_id = Callmsg_TakeId(in);
    msg->attempt = Callmsg_TakeId(in);
    msg->target_incarnation = Unpack_U64(in);
    return Unpack_Ok(in, err);
}

void
Claimmsg_PackFateReply(Pack *pack, const FateReplyMessage *msg)
{
    Wire_Begin(pack, Wire_FATE_REPLY, FATE_REPLY_FIELDS);
    Callmsg_PutId(pack, msg->claim_id);
    Callmsg_PutId(pack, msg->attempt);
    Pack_U64(pack, msg->fate);
    Pack_Str(pack, msg->answer);
}

bool
Claimmsg_ReadFateReply(Unpack *in, FateReplyMessage *msg, Err *err)
{
    msg->claim_id = Callmsg_TakeId(in);
    msg->attempt = Callmsg_TakeId(in);
    msg->fate = (AttemptFate)Unpack_Bounded(in, Clm_FATE_COUNT - 1);
    msg->answer = Unpack_Str(in);
    return Unpack_Ok(in, err);
}

void
Claimmsg_PackCatchUpRequest(Pack *pack, const CatchUpRequestMessage *msg)
{
    Wire_Begin(pack, Wire_CATCH_UP_REQUEST, CATCH_UP_REQUEST_FIELDS);
    Pack_U64(pack, msg->from);
    Pack_U64(pack, msg->incarnation);
    Pack_U64(pack, msg->request_number);
    Pack_Bool(pack, msg->wants_rows);
}

bool
Claimmsg_ReadCatchUpRequest(Unpack *in, CatchUpRequestMessage *msg, Err *err)
{
    msg->from = Unpack_U64(in);
    msg->incarnation = Unpack_U64(in);
    msg->request_number = Unpack_U64(in);
    msg->wants_rows = Unpack_Bool(in);
    return Unpack_Ok(in, err);
}

static void
put_row(Pack *pack, const RegisterRow *row)
{
    Pack_Array(pack, ROW_FIELDS);
    Pack_Str(pack, row->key);
    put_ballot(pack, row->promised);
    put_value(pack, &row->value);
    Pack_Bool(pack, row->has_conflict);
}

static void
take_row(Unpack *in, RegisterRow *row)
{
    Unpack inner;

    Unpack_Array(in, ROW_FIELDS, &inner);
    row->key = Unpack_Str(&inner);
    row->promised = take_ballot(&inner);
    take_value(&inner, &row->value);
    row->has_conflict = Unpack_Bool(&inner);
    if (!Unpack_Ok(&inner, NULL)) {
        Unpack_Fail(in);
    }
}

void
Claimmsg_PackCatchUpReply(Pack *pack, const CatchUpReplyMessage *msg)
{
    Wire_Begin(pack, Wire_CATCH_UP_REPLY, CATCH_UP_REPLY_FIELDS);
    Pack_U64(pack, msg->request_number);
    Pack_U64(pack, msg->part);
    Pack_Bool(pack, msg->is_last);
    Pack_Bool(pack, msg->is_ready);
    Pack_Bool(pack, msg->is_first_start);
    Pack_Array(pack, msg->row_count);
    for (uint32_t i = 0; i < msg->row_count; i++) {
        put_row(pack, &msg->rows[i]);
    }
}

bool
Claimmsg_ReadCatchUpReply(Unpack *in, CatchUpReplyMessage *msg, Err *err)
{
    Unpack rows;

    msg->request_number = Unpack_U64(in);
    msg->part = (uint32_t)Unpack_Bounded(in, UINT32_MAX);
    msg->is_last = Unpack_Bool(in);
    msg->is_ready = Unpack_Bool(in);
    msg->is_first_start = Unpack_Bool(in);
    msg->row_count = Unpack_Array(in, Claimmsg_ROWS_MAX, &rows);
    for (uint32_t i = 0; i < msg->row_count; i++) {
        take_row(&rows, &msg->rows[i]);
    }
    if (!Unpack_Ok(&rows, NULL)) {
        Unpack_Fail(in);
    }
    return Unpack_Ok(in, err);
}
