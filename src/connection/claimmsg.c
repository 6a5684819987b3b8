#include "connection/claimmsg.h"

#include "connection/callmsg.h"

enum {
    ID_FIELDS = 2,
    BALLOT_FIELDS = 1 + ID_FIELDS,
    VALUE_FIELDS = 1 + BALLOT_FIELDS + ID_FIELDS + 4,
    CLAIM_FIELDS = ID_FIELDS + 4,
    CLAIMED_FIELDS = ID_FIELDS + 2 + BALLOT_FIELDS + 1,
    FATE_ASK_FIELDS = 2 * ID_FIELDS + 1,
    FATE_FIELDS = 2 * ID_FIELDS + 2,
    ASK_FIELDS = 4,
    ROW_FIELDS = 1 + BALLOT_FIELDS + 2,
    REGISTERS_FIELDS = 6
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
Claimmsg_PackClaim(Pack *pack, const ClaimMsg *msg)
{
    Wire_Begin(pack, Wire_CLAIM, CLAIM_FIELDS);
    Callmsg_PutId(pack, msg->claim);
    Pack_U64(pack, msg->phase);
    Pack_U64(pack, msg->verb);
    Pack_Str(pack, msg->key);
    put_value(pack, &msg->value);
}

bool
Claimmsg_ReadClaim(Unpack *in, ClaimMsg *msg, Err *err)
{
    msg->claim = Callmsg_TakeId(in);
    msg->phase = (uint32_t)Unpack_Bounded(in, UINT32_MAX);
    msg->verb = (ClaimVerb)Unpack_Bounded(in, Claim_VERBS - 1);
    msg->key = Unpack_Str(in);
    take_value(in, &msg->value);
    return Unpack_Ok(in, err);
}

void
Claimmsg_PackClaimed(Pack *pack, const ClaimedMsg *msg)
{
    Wire_Begin(pack, Wire_CLAIMED, CLAIMED_FIELDS);
    Callmsg_PutId(pack, msg->claim);
    Pack_U64(pack, msg->phase);
    Pack_U64(pack, msg->answer.verdict);
    put_ballot(pack, msg->answer.promised);
    put_value(pack, &msg->answer.value);
}

bool
Claimmsg_ReadClaimed(Unpack *in, ClaimedMsg *msg, Err *err)
{
    msg->claim = Callmsg_TakeId(in);
    msg->phase = (uint32_t)Unpack_Bounded(in, UINT32_MAX);
    msg->answer.verdict =
        (RegisterVerdict)Unpack_Bounded(in, Reg_VERDICT_COUNT - 1);
    msg->answer.promised = take_ballot(in);
    take_value(in, &msg->answer.value);
    return Unpack_Ok(in, err);
}

void
Claimmsg_PackFateAsk(Pack *pack, const FateAskMsg *msg)
{
    Wire_Begin(pack, Wire_FATE_ASK, FATE_ASK_FIELDS);
    Callmsg_PutId(pack, msg->claim);
    Callmsg_PutId(pack, msg->attempt);
    Pack_U64(pack, msg->incarnation);
}

bool
Claimmsg_ReadFateAsk(Unpack *in, FateAskMsg *msg, Err *err)
{
    msg->claim = Callmsg_TakeId(in);
    msg->attempt = Callmsg_TakeId(in);
    msg->incarnation = Unpack_U64(in);
    return Unpack_Ok(in, err);
}

void
Claimmsg_PackFate(Pack *pack, const FateMsg *msg)
{
    Wire_Begin(pack, Wire_FATE, FATE_FIELDS);
    Callmsg_PutId(pack, msg->claim);
    Callmsg_PutId(pack, msg->attempt);
    Pack_U64(pack, msg->fate);
    Pack_Str(pack, msg->answer);
}

bool
Claimmsg_ReadFate(Unpack *in, FateMsg *msg, Err *err)
{
    msg->claim = Callmsg_TakeId(in);
    msg->attempt = Callmsg_TakeId(in);
    msg->fate = (AttemptFate)Unpack_Bounded(in, Clm_FATE_COUNT - 1);
    msg->answer = Unpack_Str(in);
    return Unpack_Ok(in, err);
}

void
Claimmsg_PackRegistersAsk(Pack *pack, const RegistersAskMsg *msg)
{
    Wire_Begin(pack, Wire_REGISTERS_ASK, ASK_FIELDS);
    Pack_U64(pack, msg->from);
    Pack_U64(pack, msg->incarnation);
    Pack_U64(pack, msg->number);
    Pack_Bool(pack, msg->contents);
}

bool
Claimmsg_ReadRegistersAsk(Unpack *in, RegistersAskMsg *msg, Err *err)
{
    msg->from = Unpack_U64(in);
    msg->incarnation = Unpack_U64(in);
    msg->number = Unpack_U64(in);
    msg->contents = Unpack_Bool(in);
    return Unpack_Ok(in, err);
}

static void
put_row(Pack *pack, const RegisterRow *row)
{
    Pack_Array(pack, ROW_FIELDS);
    Pack_Str(pack, row->key);
    put_ballot(pack, row->promised);
    put_value(pack, &row->value);
    Pack_Bool(pack, row->mixed);
}

static void
take_row(Unpack *in, RegisterRow *row)
{
    Unpack inner;

    Unpack_Array(in, ROW_FIELDS, &inner);
    row->key = Unpack_Str(&inner);
    row->promised = take_ballot(&inner);
    take_value(&inner, &row->value);
    row->mixed = Unpack_Bool(&inner);
    if (!Unpack_Ok(&inner, NULL)) {
        Unpack_Fail(in);
    }
}

void
Claimmsg_PackRegisters(Pack *pack, const RegistersMsg *msg)
{
    Wire_Begin(pack, Wire_REGISTERS, REGISTERS_FIELDS);
    Pack_U64(pack, msg->number);
    Pack_U64(pack, msg->part);
    Pack_Bool(pack, msg->last);
    Pack_Bool(pack, msg->ready);
    Pack_Bool(pack, msg->fresh);
    Pack_Array(pack, msg->row_count);
    for (uint32_t i = 0; i < msg->row_count; i++) {
        put_row(pack, &msg->rows[i]);
    }
}

bool
Claimmsg_ReadRegisters(Unpack *in, RegistersMsg *msg, Err *err)
{
    Unpack rows;

    msg->number = Unpack_U64(in);
    msg->part = (uint32_t)Unpack_Bounded(in, UINT32_MAX);
    msg->last = Unpack_Bool(in);
    msg->ready = Unpack_Bool(in);
    msg->fresh = Unpack_Bool(in);
    msg->row_count = Unpack_Array(in, Claimmsg_ROWS_MAX, &rows);
    for (uint32_t i = 0; i < msg->row_count; i++) {
        take_row(&rows, &msg->rows[i]);
    }
    if (!Unpack_Ok(&rows, NULL)) {
        Unpack_Fail(in);
    }
    return Unpack_Ok(in, err);
}
