#include "connection/membermsg.h"

#include "connection/callmsg.h"

enum {
    RECORD_FIELDS = 13,
    ROW_FIELDS = RECORD_FIELDS + 1,
    RENEWAL_FIELDS = 6,
    TABLE_FIELDS = 6
};

static void
put_record(Pack *pack, const MemberRecord *record)
{
    Pack_U64(pack, record->node);
    Pack_U64(pack, record->operator_addr);
    Pack_U64(pack, record->incarnation);
    Pack_U64(pack, record->sequence);
    Pack_U64(pack, record->region);
    Pack_U64(pack, record->domain);
    Pack_Bool(pack, record->is_replica);
    Pack_Bool(pack, record->is_leaving);
    Pack_Bool(pack, record->has_backend);
    Pack_Str(pack, StrBuf_View(&record->service));
    Callmsg_PutLoad(pack, &record->load);
    Pack_U64(pack, record->version_term);
    Pack_U64(pack, record->version_index);
}

static void
take_record(Unpack *in, MemberRecord *record)
{
    record->node = Unpack_U64(in);
    record->operator_addr = Unpack_U64(in);
    record->incarnation = Unpack_U64(in);
    record->sequence = Unpack_U64(in);
    record->region = (uint16_t)Unpack_Bounded(in, UINT16_MAX);
    record->domain = (uint16_t)Unpack_Bounded(in, UINT16_MAX);
    record->is_replica = Unpack_Bool(in);
    record->is_leaving = Unpack_Bool(in);
    record->has_backend = Unpack_Bool(in);
    StrBuf_Set(&record->service, Unpack_Str(in));
    Callmsg_TakeLoad(in, &record->load);
    record->version_term = Unpack_U64(in);
    record->version_index = Unpack_U64(in);
}

void
Membermsg_PackRecord(Pack *pack, const MemberRecord *record, uint64_t table,
                     uint64_t seen)
{
    Wire_Begin(pack, Wire_MEMBER_RECORD, RECORD_FIELDS + 2);
    put_record(pack, record);
    Pack_U64(pack, table);
    Pack_U64(pack, seen);
}

bool
Membermsg_ReadRecord(Unpack *in, MemberRecord *record, uint64_t *table,
                     uint64_t *seen, Err *err)
{
    take_record(in, record);
    *table = Unpack_U64(in);
    *seen = Unpack_U64(in);
    return Unpack_Ok(in, err);
}

void
Membermsg_PackRenewal(Pack *pack, const MemberRenewal *renewal, uint64_t table,
                      uint64_t seen)
{
    Wire_Begin(pack, Wire_RENEWAL, RENEWAL_FIELDS);
    Pack_U64(pack, renewal->node);
    Pack_U64(pack, renewal->incarnation);
    Pack_U64(pack, renewal->record_sequence);
    Pack_U64(pack, renewal->sequence);
    Pack_U64(pack, table);
    Pack_U64(pack, seen);
}

bool
Membermsg_ReadRenewal(Unpack *in, MemberRenewal *renewal, uint64_t *table,
                      uint64_t *seen, Err *err)
{
    renewal->node = Unpack_U64(in);
    renewal->incarnation = Unpack_U64(in);
    renewal->record_sequence = Unpack_U64(in);
    renewal->sequence = Unpack_U64(in);
    *table = Unpack_U64(in);
    *seen = Unpack_U64(in);
    return Unpack_Ok(in, err);
}

void
Membermsg_PackEmpty(Pack *pack, MessageKind kind)
{
    Wire_Begin(pack, kind, 0);
}

bool
Membermsg_ReadEmpty(const Unpack *in, Err *err)
{
    return Unpack_Ok(in, err);
}

/* Which rows a message carries, and how each stands. */
typedef struct {
    const MembershipTable *mbr;
    uint64_t since;
    bool whole;
    bool direct; /* an exchange: of rows that this replica hears directly */
} Choice;

static bool
stands(const Choice *choice, const MemberRow *row)
{
    return !row->is_removed && (!choice->direct || row->direct_heard_at);
}

/* A whole table holds only what stands. */
static bool
is_chosen(const Choice *choice, const MemberRow *row)
{
    uint64_t change =
        choice->direct ? row->change_number : row->node_change_number;

    return choice->whole ? stands(choice, row) : change > choice->since;
}

static uint32_t
count_rows(const Choice *choice)
{
    uint32_t count = 0;

    for (size_t i = 0; i < choice->mbr->count; i++) {
        count += is_chosen(choice, &choice->mbr->rows[i]);
    }
    return count;
}

static MembershipDigest
digest(const Choice *choice, Addr to, bool complete)
{
    if (!complete) {
        return (MembershipDigest){0};
    }
    return choice->direct ? Mbr_DigestDirect(choice->mbr, to)
                          : Mbr_DigestAll(choice->mbr, to);
}

static void
put_head(Pack *pack, const MemberTableHeader *head)
{
    Pack_U64(pack, head->table_id);
    Pack_U64(pack, head->change_number);
    Pack_Bool(pack, head->is_full);
    Pack_U64(pack, head->digest.count);
    Pack_U64(pack, head->digest.hash);
}

void
Membermsg_PackTable(Pack *pack, MessageKind kind, const MembershipTable *mbr,
                    uint64_t table, uint64_t since, Addr to, bool complete)
{
    Choice choice = {mbr, since, Mbr_NeedsFullTable(mbr, since),
                     kind == Wire_MEMBER_EXCHANGE};
    MemberTableHeader head = {
        .table_id = table,
        .change_number = mbr->last_change,
        .is_full = choice.whole && complete,
        .digest = digest(&choice, to, complete),
    };

    Wire_Begin(pack, kind, TABLE_FIELDS);
    put_head(pack, &head);
    Pack_Array(pack, count_rows(&choice));
    for (size_t i = 0; i < mbr->count; i++) {
        const MemberRow *row = &mbr->rows[i];
        if (is_chosen(&choice, row)) {
            Pack_Array(pack, ROW_FIELDS);
            put_record(pack, &row->record);
            Pack_Bool(pack, !stands(&choice, row));
        }
    }
}

static bool
take_row(Unpack *rows, const MemberTableTarget *sink, Instant now)
{
    Unpack row;
    MemberRecord record;
    bool gone;
    bool whole;

    Mbr_RecordInit(&record);
    Unpack_Array(rows, ROW_FIELDS, &row);
    take_record(&row, &record);
    gone = Unpack_Bool(&row);
    whole = Unpack_Ok(&row, NULL);
    if (whole && sink->replica < 0) {
        Mbr_OnTableRow(sink->members, &record, gone, now);
    }
    else if (whole) {
        Mbr_OnExchangeRow(sink->members, (unsigned)sink->replica, &record,
                          !gone, now);
    }
    Mbr_RecordFinish(&record);
    return whole;
}

static void
begin(const MemberTableTarget *sink, bool whole)
{
    if (sink->replica < 0) {
        Mbr_BeginTable(sink->members, whole);
    }
    else {
        Mbr_BeginExchange(sink->members, (unsigned)sink->replica, whole);
    }
}

static void
end(const MemberTableTarget *sink, bool whole, Instant now)
{
    if (sink->replica < 0) {
        Mbr_EndTable(sink->members, whole, now);
    }
    else {
        Mbr_EndExchange(sink->members, (unsigned)sink->replica, now);
    }
}

static void
take_head(Unpack *in, MemberTableHeader *head)
{
    head->table_id = Unpack_U64(in);
    head->change_number = Unpack_U64(in);
    head->is_full = Unpack_Bool(in);
    head->digest.count = (uint32_t)Unpack_Bounded(in, Mbr_ROWS_MAX);
    head->digest.hash = Unpack_U64(in);
}

bool
Membermsg_ReadTable(Unpack *in, const MemberTableTarget *sink,
                    MemberTableHeader *head, Instant now, Err *err)
{
    Unpack rows;
    uint32_t count;

    take_head(in, head);
    count = Unpack_Array(in, Mbr_ROWS_MAX, &rows);
    if (in->failed) {
        return Unpack_Ok(in, err);
    }
    begin(sink, head->is_full);
    for (uint32_t i = 0; i < count; i++) {
        if (!take_row(&rows, sink, now)) {
            Unpack_Fail(in);
            break;
        }
    }
    if (!in->failed) {
        end(sink, head->is_full, now);
    }
    return Unpack_Ok(in, err);
}

bool
Membermsg_MatchesDigest(const MemberTableTarget *sink,
                        const MemberTableHeader *head)
{
    Addr self = sink->members->settings.self;
    MembershipDigest mine =
        sink->replica < 0
            ? Mbr_DigestAll(sink->members, self)
            : Mbr_DigestHeardBy(sink->members, (unsigned)sink->replica, self);

    return (head->digest.count == 0 && head->digest.hash == 0) ||
           Mbr_DigestsEqual(mine, head->digest);
}
