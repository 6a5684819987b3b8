#include "process/membership/leavetable.h"

#include "value/mem.h"

BackendStart
Lvt_MakeStart(Str id, int64_t started_at_ms)
{
    uint64_t hash = Str_Hash(id);

    return (BackendStart){hash ? hash : 1, started_at_ms};
}

bool
Lvt_StartsAreEqual(BackendStart a, BackendStart b)
{
    return a.id_hash == b.id_hash && a.started_at_ms == b.started_at_ms;
}

bool
Lvt_Replaces(BackendStart a, BackendStart b)
{
    return a.id_hash &&
           (!b.id_hash || a.started_at_ms > b.started_at_ms ||
            (a.started_at_ms == b.started_at_ms && a.id_hash != b.id_hash));
}

void
Lvt_Finish(LeaveTable *table)
{
    Mem_Free(table->rows);
    *table = (LeaveTable){0};
}

static LeaveRow *
find_row(const LeaveTable *table, Addr node)
{
    for (size_t i = 0; i < table->count; i++) {
        if (table->rows[i].node == node) {
            return &table->rows[i];
        }
    }
    return NULL;
}

static LeaveRow *
find_oldest(LeaveTable *table)
{
    LeaveRow *oldest = &table->rows[0];

    for (size_t i = 1; i < table->count; i++) {
        if (table->rows[i].recorded_at < oldest->recorded_at) {
            oldest = &table->rows[i];
        }
    }
    return oldest;
}

static LeaveRow *
add_row(LeaveTable *table)
{
    if (table->count == Lvt_ROWS_MAX) {
        return find_oldest(table);
    }
    if (table->count == table->cap) {
        table->cap = table->cap ? table->cap * 2 : 8;
        table->rows = Mem_Resize(table->rows, table->cap, sizeof *table->rows);
    }
    return &table->rows[table->count++];
}

bool
Lvt_Merge(LeaveTable *table, Addr node, BackendStart start, Instant now)
{
    LeaveRow *row = find_row(table, node);

    if (!Lvt_Replaces(start, row ? row->start : (BackendStart){0})) {
        return false;
    }
    if (!row) {
        row = add_row(table);
    }
    *row = (LeaveRow){node, start, now};
    return true;
}

BackendStart
Lvt_Find(const LeaveTable *table, Addr node)
{
    const LeaveRow *row = find_row(table, node);

    return row ? row->start : (BackendStart){0};
}

bool
Lvt_Expire(LeaveTable *table, Instant now)
{
    size_t before = table->count;

    for (size_t i = table->count; i-- > 0;) {
        if (now - table->rows[i].recorded_at >= Lvt_RETENTION) {
            table->rows[i] = table->rows[--table->count];
        }
    }
    return table->count != before;
}
