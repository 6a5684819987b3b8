#include "connection/callmsg.h"

enum {
    LOAD_FIELDS = 8,
    ID_FIELDS = 2,
    CALL_FIELDS = ID_FIELDS + 19,
    PIECE_FIELDS = ID_FIELDS + 6,
    REJECTED_FIELDS = ID_FIELDS + 2,
    CREDIT_FIELDS = ID_FIELDS + 1,
    OFFER_FIELDS = ID_FIELDS + 1,
    FENCE_FIELDS = ID_FIELDS + 3,
    BEGUN_FIELDS = 2, /* more of a fence, for an answer that has begun */
    ANSWER_FIELDS = 3
};

void
Callmsg_PutId(Pack *pack, AttemptId id)
{
    Pack_U64(pack, id.incarnation);
    Pack_U64(pack, id.counter);
}

AttemptId
Callmsg_TakeId(Unpack *in)
{
    AttemptId id;

    id.incarnation = Unpack_U64(in);
    id.counter = Unpack_U64(in);
    return id;
}

void
Callmsg_PutLoad(Pack *pack, const LoadReport *load)
{
    Pack_Array(pack, LOAD_FIELDS);
    Pack_U64(pack, load->slots);
    Pack_U64(pack, load->running);
    Pack_U64(pack, load->queued);
    Pack_U64(pack, load->service_us);
    Pack_U64(pack, load->error_permille);
    Pack_Bool(pack, load->draining);
    Pack_U64(pack, load->pace);
    Pack_Bool(pack, load->slow);
}

static void
take_load(Unpack *in, Unpack *inner, LoadReport *load)
{
    load->slots = (uint32_t)Unpack_Bounded(inner, UINT32_MAX);
    load->running = (uint32_t)Unpack_Bounded(inner, UINT32_MAX);
    load->queued = (uint32_t)Unpack_Bounded(inner, UINT32_MAX);
    load->service_us = (uint32_t)Unpack_Bounded(inner, UINT32_MAX);
    load->error_permille = (uint32_t)Unpack_Bounded(inner, 1000);
    load->draining = Unpack_Bool(inner);
    load->pace = (uint32_t)Unpack_Bounded(inner, UINT32_MAX);
    load->slow = Unpack_Bool(inner);
    if (!Unpack_Ok(inner, NULL)) {
        Unpack_Fail(in);
    }
}

void
Callmsg_TakeLoad(Unpack *in, LoadReport *load)
{
    Unpack inner;

    Unpack_Array(in, LOAD_FIELDS, &inner);
    take_load(in, &inner, load);
}

/* Packs a load report, or an empty array when it is omitted. */
static void
put_optional_load(Pack *pack, const LoadReport *load, bool is_omitted)
{
    if (is_omitted) {
        Pack_Array(pack, 0);
    }
    else {
        Callmsg_PutLoad(pack, load);
    }
}

static void
take_optional_load(Unpack *in, LoadReport *load, bool *is_omitted)
{
    Unpack inner;

    *is_omitted = Unpack_Array(in, LOAD_FIELDS, &inner) == 0;
    *load = (LoadReport){0};
    if (!*is_omitted) {
        take_load(in, &inner, load);
    }
}

static void
put_fields(Pack *pack, const FieldList *fields)
{
    Pack_Array(pack, (uint32_t)fields->count * 2);
    for (size_t i = 0; i < fields->count; i++) {
        Pack_Str(pack, fields->items[i].name);
        Pack_Str(pack, fields->items[i].value);
    }
}

static void
take_fields(Unpack *in, FieldList *fields)
{
    Unpack inner;
    uint32_t count = Unpack_Array(in, Field_MAX * 2, &inner);

    fields->count = 0;
    for (uint32_t i = 0; i + 1 < count; i += 2) {
        Str name = Unpack_Str(&inner);
        Str value = Unpack_Str(&inner);
        Field_Add(fields, name, value);
    }
    if (!Unpack_Ok(&inner, NULL)) {
        Unpack_Fail(in);
    }
}

void
Callmsg_PackCallHead(Pack *pack, const CallMessage *msg)
{
    Wire_Begin(pack, Wire_CALL, CALL_FIELDS);
    Callmsg_PutId(pack, msg->id);
    Pack_U64(pack, msg->target_incarnation);
    Pack_Bool(pack, msg->interactive);
    Pack_Bool(pack, msg->idempotent);
    Pack_Bool(pack, msg->keep_long);
    Pack_Bool(pack, msg->cross_region);
    Pack_Bool(pack, msg->nested);
    Pack_Bool(pack, msg->misses_objective);
    Pack_U64(pack, msg->priority);
    Pack_U64(pack, msg->account.hash);
    Pack_U64(pack, msg->account.weight);
    Pack_I64(pack, msg->time_left);
    Pack_I64(pack, msg->queue_time_max);
    Pack_U64(pack, msg->fingerprint);
    Pack_U64(pack, msg->barred);
    Pack_Str(pack, msg->request_id);
    Pack_Str(pack, msg->method);
    Pack_Str(pack, msg->target);
    put_fields(pack, &msg->fields);
    Pack_StrHead(pack, msg->body.len);
}

void
Callmsg_PackCall(Pack *pack, const CallMessage *msg)
{
    Callmsg_PackCallHead(pack, msg);
    Pack_StrBytes(pack, msg->body);
}

bool
Callmsg_ReadCall(Unpack *in, CallMessage *msg, Err *err)
{
    msg->id = Callmsg_TakeId(in);
    msg->target_incarnation = Unpack_U64(in);
    msg->interactive = Unpack_Bool(in);
    msg->idempotent = Unpack_Bool(in);
    msg->keep_long = Unpack_Bool(in);
    msg->cross_region = Unpack_Bool(in);
    msg->nested = Unpack_Bool(in);
    msg->misses_objective = Unpack_Bool(in);
    msg->priority = (uint32_t)Unpack_Bounded(in, UINT32_MAX);
    msg->account.hash = Unpack_U64(in);
    msg->account.weight = (uint32_t)Unpack_Bounded(in, UINT32_MAX);
    msg->time_left = Unpack_I64(in);
    msg->queue_time_max = Unpack_I64(in);
    msg->fingerprint = Unpack_U64(in);
    msg->barred = Unpack_U64(in);
    msg->request_id = Unpack_Str(in);
    msg->method = Unpack_Str(in);
    msg->target = Unpack_Str(in);
    take_fields(in, &msg->fields);
    msg->body = Unpack_Str(in);
    return Unpack_Ok(in, err);
}

void
Callmsg_PackPiece(Pack *pack, const PieceMessage *msg)
{
    Wire_Begin(pack, Wire_PIECE, PIECE_FIELDS);
    Callmsg_PutId(pack, msg->id);
    Pack_U64(pack, msg->sequence);
    Pack_Bool(pack, msg->is_last);
    Pack_U64(pack, msg->status);
    put_fields(pack, &msg->fields);
    Pack_Str(pack, msg->data);
    put_optional_load(pack, &msg->load, msg->load_omitted);
}

bool
Callmsg_ReadPiece(Unpack *in, PieceMessage *msg, Err *err)
{
    msg->id = Callmsg_TakeId(in);
    msg->sequence = (uint32_t)Unpack_Bounded(in, UINT32_MAX);
    msg->is_last = Unpack_Bool(in);
    msg->status = (uint16_t)Unpack_Bounded(in, 999);
    take_fields(in, &msg->fields);
    msg->data = Unpack_Str(in);
    take_optional_load(in, &msg->load, &msg->load_omitted);
    return Unpack_Ok(in, err);
}

void
Callmsg_PackRejected(Pack *pack, const CallRejectedMessage *msg)
{
    Wire_Begin(pack, Wire_CALL_REJECTED, REJECTED_FIELDS);
    Callmsg_PutId(pack, msg->id);
    Pack_U64(pack, msg->reason);
    put_optional_load(pack, &msg->load, msg->load_omitted);
}

bool
Callmsg_ReadRejected(Unpack *in, CallRejectedMessage *msg, Err *err)
{
    msg->id = Callmsg_TakeId(in);
    msg->reason = (RejectReason)Unpack_Bounded(in, Reject_REASONS - 1);
    take_optional_load(in, &msg->load, &msg->load_omitted);
    return Unpack_Ok(in, err);
}

void
Callmsg_PackId(Pack *pack, MessageKind kind, AttemptId id)
{
    Wire_Begin(pack, kind, ID_FIELDS);
    Callmsg_PutId(pack, id);
}

bool
Callmsg_ReadId(Unpack *in, AttemptId *id, Err *err)
{
    *id = Callmsg_TakeId(in);
    return Unpack_Ok(in, err);
}

void
Callmsg_PackFence(Pack *pack, const FenceMessage *msg)
{
    bool begun = msg->next_piece > 0;

    Wire_Begin(pack, Wire_FENCE, FENCE_FIELDS + (begun ? BEGUN_FIELDS : 0));
    Callmsg_PutId(pack, msg->id);
    Pack_U64(pack, msg->target_incarnation);
    Pack_Bool(pack, msg->keep_long);
    Pack_Bool(pack, msg->cancel_if_queued);
    if (begun) {
        Pack_U64(pack, msg->next_piece);
        Pack_U64(pack, msg->uncredited_bytes);
    }
}

bool
Callmsg_ReadFence(Unpack *in, FenceMessage *msg, Err *err)
{
    msg->id = Callmsg_TakeId(in);
    msg->target_incarnation = Unpack_U64(in);
    msg->keep_long = Unpack_Bool(in);
    msg->cancel_if_queued = Unpack_Bool(in);
    msg->next_piece = 0;
    msg->uncredited_bytes = 0;
    if (Unpack_HasMore(in)) {
        msg->next_piece = (uint32_t)Unpack_Bounded(in, UINT32_MAX);
        msg->uncredited_bytes = (uint32_t)Unpack_Bounded(in, UINT32_MAX);
    }
    return Unpack_Ok(in, err);
}

void
Callmsg_PackAnswer(Pack *pack, const StoredAnswer *msg)
{
    Pack_Init(pack, ANSWER_FIELDS);
    Pack_U64(pack, msg->status);
    put_fields(pack, &msg->fields);
    Pack_Str(pack, msg->body);
}

bool
Callmsg_ReadAnswer(Unpack *in, StoredAnswer *msg, Err *err)
{
    msg->status = (uint16_t)Unpack_Bounded(in, 999);
    take_fields(in, &msg->fields);
    msg->body = Unpack_Str(in);
    return Unpack_Ok(in, err);
}

void
Callmsg_PackFenceReply(Pack *pack, const FenceReplyMessage *msg)
{
    Wire_Begin(pack, Wire_FENCE_REPLY, REJECTED_FIELDS);
    Callmsg_PutId(pack, msg->id);
    Pack_U64(pack, msg->result);
    Callmsg_PutLoad(pack, &msg->load);
}

bool
Callmsg_ReadFenceReply(Unpack *in, FenceReplyMessage *msg, Err *err)
{
    msg->id = Callmsg_TakeId(in);
    msg->result = (FenceResult)Unpack_Bounded(in, Fence_RESULTS - 1);
    Callmsg_TakeLoad(in, &msg->load);
    return Unpack_Ok(in, err);
}

void
Callmsg_PackCredit(Pack *pack, const CreditMessage *msg)
{
    Wire_Begin(pack, Wire_CREDIT, CREDIT_FIELDS);
    Callmsg_PutId(pack, msg->id);
    Pack_U64(pack, msg->bytes);
}

bool
Callmsg_ReadCredit(Unpack *in, CreditMessage *msg, Err *err)
{
    msg->id = Callmsg_TakeId(in);
    msg->bytes = (uint32_t)Unpack_Bounded(in, Callmsg_WINDOW_BYTES);
    return Unpack_Ok(in, err);
}

void
Callmsg_PackOffer(Pack *pack, const OfferMessage *msg)
{
    Wire_Begin(pack, Wire_OFFER, OFFER_FIELDS);
    Callmsg_PutId(pack, msg->id);
    Pack_U64(pack, msg->bytes);
}

bool
Callmsg_ReadOffer(Unpack *in, OfferMessage *msg, Err *err)
{
    msg->id = Callmsg_TakeId(in);
    msg->bytes = Unpack_Bounded(in, UINT32_MAX);
    return Unpack_Ok(in, err);
}

void
Callmsg_PackPing(Pack *pack)
{
    Wire_Begin(pack, Wire_PING, 0);
}

void
Callmsg_PackPong(Pack *pack, const LoadReport *load)
{
    Wire_Begin(pack, Wire_PONG, 1);
    Callmsg_PutLoad(pack, load);
}

bool
Callmsg_ReadPong(Unpack *in, LoadReport *load, Err *err)
{
    Callmsg_TakeLoad(in, load);
    return Unpack_Ok(in, err);
}
