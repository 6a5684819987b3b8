#include "process/membership.h"

#include "value/mem.h"

void
Mbr_RecordInit(MbrRecord *record)
{
    *record = (MbrRecord){0};
}

void
Mbr_RecordFinish(MbrRecord *record)
{
    StrBuf_Finish(&record->service);
}

void
Mbr_RecordCopy(MbrRecord *to, const MbrRecord *from)
{
    StrBuf service = to->service;

    *to = *from;
    to->service = service;
    StrBuf_Set(&to->service, StrBuf_View(&from->service));
}

void
Mbr_Init(Mbr *mbr, const MbrSettings *settings)
{
    *mbr = (Mbr){.settings = *settings};
}

void
Mbr_Finish(Mbr *mbr)
{
    for (size_t i = 0; i < mbr->count; i++) {
        Mbr_RecordFinish(&mbr->rows[i].record);
    }
    Mem_Free(mbr->rows);
    *mbr = (Mbr){0};
}

static MbrRow *
find_row(const Mbr *mbr, Addr node)
{
    for (size_t i = 0; i < mbr->count; i++) {
        if (mbr->rows[i].record.node == node) {
            return &mbr->rows[i];
        }
    }
    return NULL;
}

const MbrRow *
Mbr_Find(const Mbr *mbr, Addr node)
{
    return find_row(mbr, node);
}

static MbrRow *
add_row(Mbr *mbr)
{
    if (mbr->count == mbr->cap) {
        mbr->cap = mbr->cap ? mbr->cap * 2 : 16;
        mbr->rows = Mem_Resize(mbr->rows, mbr->cap, sizeof *mbr->rows);
    }
    mbr->rows[mbr->count] = (MbrRow){.gone = true};
    return &mbr->rows[mbr->count++];
}

static bool
is_newer(const MbrRecord *a, const MbrRecord *b)
{
    if (a->incarnation != b->incarnation) {
        return a->incarnation > b->incarnation;
    }
    return a->sequence > b->sequence;
}

static void
tell(Mbr *mbr, MbrChange change, MbrRow *row, Instant now)
{
    row->change = ++mbr->change;
    if (mbr->settings.listener) {
        mbr->settings.listener(mbr->settings.context, change, &row->record,
                               now);
    }
}

bool
Mbr_OnRecord(Mbr *mbr, const MbrRecord *record, Span age, Instant now)
{
    MbrRow *row = find_row(mbr, record->node);
    bool came;

    if (age >= mbr->settings.expiry ||
        (row && !is_newer(record, &row->record))) {
        return false;
    }
    if (!row) {
        row = add_row(mbr);
    }
    came = row->gone;
    Mbr_RecordCopy(&row->record, record);
    row->heard_at = now - age;
    row->gone = record->leaving;
    if (record->leaving) {
        tell(mbr, Mbr_GONE, row, now);
    }
    else {
        tell(mbr, came ? Mbr_CAME : Mbr_CHANGED, row, now);
    }
    return true;
}

void
Mbr_Expire(Mbr *mbr, Instant now)
{
    for (size_t i = 0; i < mbr->count; i++) {
        MbrRow *row = &mbr->rows[i];
        if (!row->gone && now - row->heard_at >= mbr->settings.expiry) {
            row->gone = true;
            tell(mbr, Mbr_GONE, row, now);
        }
    }
}
