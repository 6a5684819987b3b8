#include "process/nodeversions.h"

#include "value/mem.h"

void
Nvs_Resize(NodeVersionTable *nvs, uint32_t count)
{
    nvs->rows = Mem_Resize(nvs->rows, count ? count : 1, sizeof *nvs->rows);
    nvs->count = count;
}

void
Nvs_Finish(NodeVersionTable *nvs)
{
    Mem_Free(nvs->rows);
    *nvs = (NodeVersionTable){0};
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
Nvs_Fill(NodeVersionTable *nvs, const MembershipTable *mbr)
{
    Nvs_Resize(nvs, (uint32_t)mbr->count);
    for (size_t i = 0; i < mbr->count; i++) {
        nvs->rows[i] = make_row(&mbr->rows[i]);
    }
}

static bool
has_node(const NodeVersionTable *nvs, uint32_t count, Addr node)
{
    for (uint32_t i = 0; i < count; i++) {
        if (nvs->rows[i].node == node) {
            return true;
        }
    }
    return false;
}

void
Nvs_AddMissing(NodeVersionTable *nvs, const MembershipTable *mbr)
{
    uint32_t told = nvs->count;
    uint32_t count = told;

    Nvs_Resize(nvs, told + (uint32_t)mbr->count);
    for (size_t i = 0; i < mbr->count; i++) {
        if (!has_node(nvs, told, mbr->rows[i].record.node)) {
            nvs->rows[count++] = make_row(&mbr->rows[i]);
        }
    }
    nvs->count = count;
}
