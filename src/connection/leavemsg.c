#include "connection/leavemsg.h"

enum { ROW_FIELDS = 3 };

static void
put_row(Pack *pack, Addr node, BackendStart start)
{
    Pack_U64(pack, node);
    Pack_U64(pack, start.id_hash);
    Pack_I64(pack, start.started_at_ms);
}

static void
take_row(Unpack *in, LeaveMessage *msg)
{
    msg->node = Unpack_U64(in);
    msg->start.id_hash = Unpack_U64(in);
    msg->start.started_at_ms = Unpack_I64(in);
}

void
Leavemsg_Pack(Pack *pack, MessageKind kind, const LeaveMessage *msg)
{
    Wire_Begin(pack, kind, ROW_FIELDS);
    put_row(pack, msg->node, msg->start);
}

bool
Leavemsg_Read(Unpack *in, LeaveMessage *msg, Err *err)
{
    take_row(in, msg);
    return Unpack_Ok(in, err);
}

void
Leavemsg_PackTable(Pack *pack, const LeaveTable *table)
{
    Pack_Init(pack, 1);
    Pack_Array(pack, (uint32_t)table->count);
    for (size_t i = 0; i < table->count; i++) {
        Pack_Array(pack, ROW_FIELDS);
        put_row(pack, table->rows[i].node, table->rows[i].start);
    }
}

static bool
merge_row(Unpack *rows, LeaveTable *table, Instant now)
{
    Unpack in;
    LeaveMessage row;

    Unpack_Array(rows, ROW_FIELDS, &in);
    take_row(&in, &row);
    if (!Unpack_Ok(&in, NULL)) {
        Unpack_Fail(rows);
        return false;
    }
    Lvt_Merge(table, row.node, row.start, now);
    return true;
}

bool
Leavemsg_ReadTable(Str bytes, LeaveTable *table, Instant now, Err *err)
{
    Unpack in;
    Unpack rows;
    uint32_t count;
    bool ok;

    if (!Unpack_Init(&in, bytes, err)) {
        return false;
    }
    count = Unpack_Array(&in, Lvt_ROWS_MAX, &rows);
    for (uint32_t i = 0; i < count && merge_row(&rows, table, now); i++) {
    }
    if (!Unpack_Ok(&rows, NULL)) {
        Unpack_Fail(&in);
    }
    ok = Unpack_Ok(&in, err);
    Unpack_Finish(&in);
    return ok;
}
