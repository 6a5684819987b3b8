#include "connection/quotamsg.h"

enum {
    ASK_FIELDS = 4,
    ASK_ROW_FIELDS = 4,
    GRANT_FIELDS = 4,
    GRANT_ROW_FIELDS = 7,
    CALLS_MAX = 1000000, /* in one row */
    TIME_MAX_MS = 3600 * 1000
};

static Span
take_ms(Unpack *in)
{
    return Span_MS(Unpack_Bounded(in, TIME_MAX_MS));
}

static uint32_t
take_calls(Unpack *in)
{
    return (uint32_t)Unpack_Bounded(in, CALLS_MAX);
}

static uint32_t
bound_calls(uint32_t calls)
{
    return calls < CALLS_MAX ? calls : CALLS_MAX;
}

static uint64_t
to_ms(Span span)
{
    Span ms = span / Span_MS(1);

    return ms < TIME_MAX_MS ? (uint64_t)ms : TIME_MAX_MS;
}

void
Quotamsg_PackAsk(Pack *pack, const QuotaAskMessage *msg)
{
    Wire_Begin(pack, Wire_QUOTA_ASK, ASK_FIELDS);
    Pack_U64(pack, msg->node);
    Pack_I64(pack, msg->sent_at);
    Pack_U64(pack, msg->term);
    Pack_Array(pack, (uint32_t)msg->count * ASK_ROW_FIELDS);
    for (size_t i = 0; i < msg->count; i++) {
        Pack_U64(pack, msg->rows[i].id);
        Pack_U64(pack, bound_calls(msg->rows[i].want));
        Pack_U64(pack, bound_calls(msg->rows[i].back));
        Pack_U64(pack, msg->rows[i].epoch);
    }
}

bool
Quotamsg_ReadAsk(Unpack *in, QuotaAskMessage *msg, Err *err)
{
    Unpack rows;

    msg->node = Unpack_U64(in);
    msg->sent_at = Unpack_I64(in);
    msg->term = Unpack_U64(in);
    msg->count = Unpack_Array(in, Crd_ROWS_MAX * ASK_ROW_FIELDS, &rows) /
                 ASK_ROW_FIELDS;
    for (size_t i = 0; i < msg->count; i++) {
        msg->rows[i].id = Unpack_U64(&rows);
        msg->rows[i].want = take_calls(&rows);
        msg->rows[i].back = take_calls(&rows);
        msg->rows[i].epoch = (uint32_t)Unpack_Bounded(&rows, UINT32_MAX);
    }
    if (!Unpack_Ok(&rows, NULL)) {
        Unpack_Fail(in);
    }
    return Unpack_Ok(in, err);
}

void
Quotamsg_PackGrant(Pack *pack, const QuotaGrantMessage *msg)
{
    Wire_Begin(pack, Wire_QUOTA_GRANT, GRANT_FIELDS);
    Pack_I64(pack, msg->sent_at);
    Pack_U64(pack, msg->term);
    Pack_U64(pack, msg->leader);
    Pack_Array(pack, (uint32_t)msg->count * GRANT_ROW_FIELDS);
    for (size_t i = 0; i < msg->count; i++) {
        const CreditGrant *row = &msg->rows[i];

        Pack_U64(pack, row->id);
        Pack_U64(pack, bound_calls(row->wanted));
        Pack_U64(pack, bound_calls(row->granted));
        Pack_U64(pack, row->epoch);
        Pack_U64(pack, to_ms(row->life));
        Pack_U64(pack, to_ms(row->wait));
        Pack_U64(pack, to_ms(row->retry_after + Span_MS(1) - 1));
    }
}

bool
Quotamsg_ReadGrant(Unpack *in, QuotaGrantMessage *msg, Err *err)
{
    Unpack rows;

    msg->sent_at = Unpack_I64(in);
    msg->term = Unpack_U64(in);
    msg->leader = Unpack_U64(in);
    msg->count = Unpack_Array(in, Crd_ROWS_MAX * GRANT_ROW_FIELDS, &rows) /
                 GRANT_ROW_FIELDS;
    for (size_t i = 0; i < msg->count; i++) {
        CreditGrant *row = &msg->rows[i];

        row->id = Unpack_U64(&rows);
        row->wanted = take_calls(&rows);
        row->granted = take_calls(&rows);
        row->epoch = (uint32_t)Unpack_Bounded(&rows, UINT32_MAX);
        row->life = take_ms(&rows);
        row->wait = take_ms(&rows);
        row->retry_after = take_ms(&rows);
    }
    if (!Unpack_Ok(&rows, NULL)) {
        Unpack_Fail(in);
    }
    return Unpack_Ok(in, err);
}
