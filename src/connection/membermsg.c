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
Membermsg_PackRecord(Pack *pack, const MemberRecord *record, uint64_t table_id,
                     uint64_t seen)
{
    Wire_Begin(pack, Wire_MEMBER_RECORD, RECORD_FIELDS + 2);
    put_record(pack, record);
    Pack_U64(pack, table_id);
    Pack_U64(pack, seen);
}

bool
Membermsg_ReadRecord(Unpack *in, MemberRecord *record, uint64_t *table_id,
                     uint64_t *seen, Err *err)
{
    take_record(in, record);
    *table_id = Unpack_U64(in);
    *seen = Unpack_U64(in);
    return Unpack_Ok(in, err);
}

void
Membermsg_PackRenewal(Pack *pack, const MemberRenewal *renewal,
                      uint64_t table_id, uint64_t seen)
{
    Wire_Begin(pack, Wire_RENEWAL, RENEWAL_FIELDS);
    Pack_U64(pack, renewal->node);
    Pack_U64(pack, renewal->incarnation);
    Pack_U64(pack, renewal->record_sequence);
    Pack_U64(pack, renewal->sequence);
    Pack_U64(pack, table_id);
    Pack_U64(pack, seen);
}

bool
Membermsg_ReadRenewal(Unpack *in, MemberRenewal *renewal, uint64_t *table_id,
                      uint64_t *seen, Err *err)
{
    renewal->node = Unpack_U64(in);
    renewal->incarnation = Unpack_U64(in);
    renewal->record_sequence = Unpack_U64(in);
    renewal->sequence = Unpack_U64(in);
    *table_id = Unpack_U64(in);
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

/* Selects the rows of a message. */
typedef struct {
    const MembershipTable *members;
    uint64_t since;
    bool is_full;
    bool direct; /* only nodes heard directly, for an exchange */
} RowFilter;

static bool
is_live(const RowFilter *filter, const MemberRow *row)
{
    return !row->is_removed && (!filter->direct || row->direct_heard_at);
}

/* A full table has only live rows; a delta also has the removed ones. */
static bool
is_selected(const RowFilter *filter, const MemberRow *row)
{
    uint64_t change =
        filter->direct ? row->change_number : row->node_change_number;

    return filter->is_full ? is_live(filter, row) : change > filter->since;
}

static uint32_t
count_rows(const RowFilter *filter)
{
    uint32_t count = 0;

    for (size_t i = 0; i < filter->members->count; i++) {
        count += is_selected(filter, &filter->members->rows[i]);
    }
    return count;
}

static MembershipDigest
make_digest(const RowFilter *filter, Addr to, bool complete)
{
    if (!complete) {
        return (MembershipDigest){0};
    }
    return filter->direct ? Mbr_DigestDirect(filter->members, to)
                          : Mbr_DigestAll(filter->members, to);
}

static void
put_header(Pack *pack, const MemberTableHeader *header)
{
    Pack_U64(pack, header->table_id);
    Pack_U64(pack, header->change_number);
    Pack_Bool(pack, header->is_full);
    Pack_U64(pack, header->digest.count);
    Pack_U64(pack, header->digest.hash);
}

void
Membermsg_PackTable(Pack *pack, MessageKind kind,
                    const MembershipTable *members, uint64_t table_id,
                    uint64_t since, Addr to, bool complete)
{
    RowFilter filter = {members, since, Mbr_NeedsFullTable(members, since),
                        kind == Wire_MEMBER_EXCHANGE};
    MemberTableHeader header = {
        .table_id = table_id,
        .change_number = members->last_change,
        .is_full = filter.is_full && complete,
        .digest = make_digest(&filter, to, complete),
    };

    Wire_Begin(pack, kind, TABLE_FIELDS);
    put_header(pack, &header);
    Pack_Array(pack, count_rows(&filter));
    for (size_t i = 0; i < members->count; i++) {
        const MemberRow *row = &members->rows[i];
        if (is_selected(&filter, row)) {
            Pack_Array(pack, ROW_FIELDS);
            put_record(pack, &row->record);
            Pack_Bool(pack, !is_live(&filter, row));
        }
    }
}

static bool
take_row(Unpack *rows, const MemberTableTarget *target, Instant now)
{
    Unpack row;
    MemberRecord record;
    bool is_removed;
    bool is_valid;

    Mbr_RecordInit(&record);
    Unpack_Array(rows, ROW_FIELDS, &row);
    take_record(&row, &record);
    is_removed = Unpack_Bool(&row);
    is_valid = Unpack_Ok(&row, NULL);
    if (is_valid && target->replica < 0) {
        Mbr_OnTableRow(target->members, &record, is_removed, now);
    }
    else if (is_valid) {
        Mbr_OnExchangeRow(target->members, (unsigned)target->replica, &record,
                          !is_removed, now);
    }
    Mbr_RecordFinish(&record);
    return is_valid;
}

static void
begin_rows(const MemberTableTarget *target, bool is_full)
{
    if (target->replica < 0) {
        Mbr_BeginTable(target->members, is_full);
    }
    else {
        Mbr_BeginExchange(target->members, (unsigned)target->replica, is_full);
    }
}

static void
end_rows(const MemberTableTarget *target, bool is_full, Instant now)
{
    if (target->replica < 0) {
        Mbr_EndTable(target->members, is_full, now);
    }
    else {
        Mbr_EndExchange(target->members, (unsigned)target->replica, now);
    }
}

static void
take_header(Unpack *in, MemberTableHeader *header)
{
    header->table_id = Unpack_U64(in);
    header->change_number = Unpack_U64(in);
    header->is_full = Unpack_Bool(in);
    header->digest.count = (uint32_t)Unpack_Bounded(in, Mbr_ROWS_MAX);
    header->digest.hash = Unpack_U64(in);
}

bool
Membermsg_ReadTable(Unpack *in, const MemberTableTarget *target,
                    MemberTableHeader *header, Instant now, Err *err)
{
    Unpack rows;
    uint32_t count;

    take_header(in, header);
    count = Unpack_Array(in, Mbr_ROWS_MAX, &rows);
    if (in->failed) {
        return Unpack_Ok(in, err);
    }
    begin_rows(target, header->is_full);
    for (uint32_t i = 0; i < count; i++) {
        if (!take_row(&rows, target, now)) {
            Unpack_Fail(in);
            break;
        }
    }
    if (!in->failed) {
        end_rows(target, header->is_full, now);
    }
    return Unpack_Ok(in, err);
}

bool
Membermsg_MatchesDigest(const MemberTableTarget *target,
                        const MemberTableHeader *header)
{
    Addr self = target->members->settings.self;
    MembershipDigest mine =
        target->replica < 0
            ? Mbr_DigestAll(target->members, self)
            : Mbr_DigestHeardBy(target->members, (unsigned)target->replica,
                                self);

    return (header->digest.count == 0 && header->digest.hash == 0) ||
           Mbr_DigestsEqual(mine, header->digest);
}
