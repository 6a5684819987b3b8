#include "process/control/nodeversions.h"

#include "value/mem.h"

void
Nvs_Resize(NodeVersionTable *table, uint32_t count)
{
    table->rows =
        Mem_Resize(table->rows, count ? count : 1, sizeof *table->rows);
    table->count = count;
}

void
Nvs_Finish(NodeVersionTable *table)
{
    Mem_Free(table->rows);
    *table = (NodeVersionTable){0};
}

static NodeVersion
make_row(const MemberRow *row)
{
    const MemberRecord *record = &row->record;

    return (NodeVersion){
        .node = record->node,
        .domain = record->domain,
        .version = {record->version_term, record->version_index},
        .is_present = !row->is_removed && !record->is_leaving,
    };
}

void
Nvs_Fill(NodeVersionTable *table, const MembershipTable *membership)
{
    Nvs_Resize(table, (uint32_t)membership->count);
    for (size_t i = 0; i < membership->count; i++) {
        table->rows[i] = make_row(&membership->rows[i]);
    }
}

static bool
has_node(const NodeVersionTable *table, uint32_t count, Addr node)
{
    for (uint32_t i = 0; i < count; i++) {
        if (table->rows[i].node == node) {
            return true;
        }
    }
    return false;
}

void
Nvs_AddMissing(NodeVersionTable *table, const MembershipTable *membership)
{
    uint32_t old_count = table->count;
    uint32_t count = old_count;

    Nvs_Resize(table, old_count + (uint32_t)membership->count);
    for (size_t i = 0; i < membership->count; i++) {
        if (!has_node(table, old_count, membership->rows[i].record.node)) {
            table->rows[count++] = make_row(&membership->rows[i]);
        }
    }
    table->count = count;
}
