#include "process/membership/membership.h"

#include "value/mem.h"

/* Removed rows are kept as tombstones for this many expiries. */
enum { TOMBSTONE_EXPIRIES = 20 };

void
Mbr_RecordInit(MemberRecord *record)
{
    *record = (MemberRecord){0};
}

void
Mbr_RecordFinish(MemberRecord *record)
{
    StrBuf_Finish(&record->service);
}

void
Mbr_RecordCopy(MemberRecord *to, const MemberRecord *from)
{
    StrBuf service = to->service;

    *to = *from;
    to->service = service;
    StrBuf_Set(&to->service, StrBuf_View(&from->service));
}

void
Mbr_Init(MembershipTable *table, const MembershipSettings *settings)
{
    *table = (MembershipTable){.settings = *settings};
}

void
Mbr_Finish(MembershipTable *table)
{
    for (size_t i = 0; i < table->count; i++) {
        Mbr_RecordFinish(&table->rows[i].record);
    }
    Mem_Free(table->rows);
    *table = (MembershipTable){0};
}

static MemberRow *
find_row(const MembershipTable *table, Addr node)
{
    for (size_t i = 0; i < table->count; i++) {
        if (table->rows[i].record.node == node) {
            return &table->rows[i];
        }
    }
    return NULL;
}

const MemberRow *
Mbr_Find(const MembershipTable *table, Addr node)
{
    return find_row(table, node);
}

static MemberRow *
add_row(MembershipTable *table)
{
    if (table->count == table->cap) {
        table->cap = table->cap ? table->cap * 2 : 16;
        table->rows = Mem_Resize(table->rows, table->cap, sizeof *table->rows);
    }
    table->rows[table->count] = (MemberRow){.is_removed = true};
    return &table->rows[table->count++];
}

static bool
is_newer(const MemberRecord *a, const MemberRecord *b)
{
    if (a->incarnation != b->incarnation) {
        return a->incarnation > b->incarnation;
    }
    return a->sequence > b->sequence;
}

/* Compares what nodes act on.  The load itself is not compared, since answers
 * to calls carry it. */
static bool
has_same_node_state(const MemberRecord *a, const MemberRecord *b)
{
    return a->incarnation == b->incarnation && a->region == b->region &&
           a->domain == b->domain && a->is_replica == b->is_replica &&
           a->is_leaving == b->is_leaving &&
           a->has_backend == b->has_backend &&
           a->operator_addr == b->operator_addr &&
           a->load.slots == b->load.slots &&
           a->load.draining == b->load.draining &&
           Str_Equal(StrBuf_View(&a->service), StrBuf_View(&b->service));
}

static bool
has_same_version(const MemberRecord *a, const MemberRecord *b)
{
    return a->version_term == b->version_term &&
           a->version_index == b->version_index;
}

static void
bump_change_number(MembershipTable *table, MemberRow *row)
{
    row->change_number = ++table->last_change;
}

static void
publish_change(MembershipTable *table, MemberChange change, MemberRow *row,
               Instant now)
{
    bump_change_number(table, row);
    row->node_change_number = row->change_number;
    table->last_node_change = row->change_number;
    if (table->settings.listener) {
        table->settings.listener(table->settings.context, change, &row->record,
                                 now);
    }
}

static void
remove_member(MembershipTable *table, MemberRow *row, Instant now)
{
    row->is_removed = true;
    row->heard_at = now;
    publish_change(table, Mbr_REMOVED, row, now);
}

/* Replaces the row's record; returns true when that is a change for nodes or
 * replicas. */
static bool
apply_record(MembershipTable *table, MemberRow *row,
             const MemberRecord *record, Instant now)
{
    bool removed = record->is_leaving;
    bool joined = row->is_removed && !removed;
    bool changed = joined || (removed && !row->is_removed) ||
                   !has_same_node_state(&row->record, record);
    bool same_version = has_same_version(&row->record, record);

    Mbr_RecordCopy(&row->record, record);
    row->heard_at = now;
    if (!changed && same_version) {
        return false;
    }
    if (!changed) {
        bump_change_number(table, row);
        return true;
    }
    row->is_removed = removed;
    publish_change(table,
                   removed  ? Mbr_REMOVED
                   : joined ? Mbr_JOINED
                            : Mbr_CHANGED,
                   row, now);
    return true;
}

static MemberRow *
find_or_add_row(MembershipTable *table, Addr node)
{
    MemberRow *row = find_row(table, node);

    if (row || table->count >= Mbr_ROWS_MAX) {
        return row;
    }
    row = add_row(table);
    row->record.node = node;
    return row;
}

bool
Mbr_OnRecord(MembershipTable *table, const MemberRecord *record, Instant now)
{
    MemberRow *row = find_or_add_row(table, record->node);
    bool first;
    bool changed;

    if (!row || !is_newer(record, &row->record)) {
        return false;
    }
    if (record->node != table->settings.self) {
        table->node_heard_at = now;
    }
    first = row->direct_heard_at == 0;
    row->direct_heard_at = now;
    row->record_sequence = record->sequence;
    changed = apply_record(table, row, record, now);
    if (first && !changed) {
        bump_change_number(table, row);
    }
    return changed;
}

static bool
is_stale(const MemberRow *row, const MemberRenewal *renewal)
{
    const MemberRecord *record = &row->record;

    return renewal->incarnation < record->incarnation ||
           (renewal->incarnation == record->incarnation &&
            renewal->sequence <= record->sequence);
}

RenewalResult
Mbr_OnRenewal(MembershipTable *table, const MemberRenewal *renewal,
              Instant now)
{
    MemberRow *row = find_row(table, renewal->node);

    if (row && is_stale(row, renewal)) {
        return Mbr_STALE;
    }
    if (!row || row->is_removed || !row->direct_heard_at ||
        row->record.incarnation != renewal->incarnation ||
        row->record_sequence != renewal->record_sequence) {
        return Mbr_NEEDS_RECORD;
    }
    row->record.sequence = renewal->sequence;
    row->heard_at = now;
    row->direct_heard_at = now;
    table->node_heard_at = now;
    return Mbr_RENEWED;
}

size_t
Mbr_CountBackends(const MembershipTable *table)
{
    size_t backends = 0;

    for (size_t i = 0; i < table->count; i++) {
        backends +=
            !table->rows[i].is_removed && table->rows[i].record.has_backend;
    }
    return backends;
}

bool
Mbr_DigestsEqual(MembershipDigest a, MembershipDigest b)
{
    return a.count == b.count && a.hash == b.hash;
}

static void
add_to_digest(MembershipDigest *digest, Addr node)
{
    digest->count++;
    digest->hash ^= Str_Hash(Str_From((const char *)&node, sizeof node));
}

MembershipDigest
Mbr_DigestAll(const MembershipTable *table, Addr except)
{
    MembershipDigest digest = {0};

    for (size_t i = 0; i < table->count; i++) {
        const MemberRow *row = &table->rows[i];
        if (!row->is_removed && row->record.node != except) {
            add_to_digest(&digest, row->record.node);
        }
    }
    return digest;
}

MembershipDigest
Mbr_DigestDirect(const MembershipTable *table, Addr except)
{
    MembershipDigest digest = {0};

    for (size_t i = 0; i < table->count; i++) {
        const MemberRow *row = &table->rows[i];
        if (!row->is_removed && row->direct_heard_at &&
            row->record.node != except) {
            add_to_digest(&digest, row->record.node);
        }
    }
    return digest;
}

MembershipDigest
Mbr_DigestHeardBy(const MembershipTable *table, unsigned replica, Addr except)
{
    MembershipDigest digest = {0};

    for (size_t i = 0; i < table->count; i++) {
        const MemberRow *row = &table->rows[i];
        if (!row->is_removed && row->heard_by & (1u << replica) &&
            row->record.node != except) {
            add_to_digest(&digest, row->record.node);
        }
    }
    return digest;
}

void
Mbr_BeginTable(MembershipTable *table, bool is_full)
{
    for (size_t i = 0; is_full && i < table->count; i++) {
        table->rows[i].is_listed = false;
    }
}

void
Mbr_OnTableRow(MembershipTable *table, const MemberRecord *record,
               bool removed, Instant now)
{
    MemberRow *row;

    if (record->node == table->settings.self ||
        !(row = find_or_add_row(table, record->node))) {
        return;
    }
    row->is_listed = true;
    if (is_newer(&row->record, record)) {
        return;
    }
    if (!removed) {
        apply_record(table, row, record, now);
    }
    else if (!row->is_removed) {
        remove_member(table, row, now);
    }
}

void
Mbr_EndTable(MembershipTable *table, bool is_full, Instant now)
{
    for (size_t i = 0; is_full && i < table->count; i++) {
        MemberRow *row = &table->rows[i];
        if (!row->is_listed && !row->is_removed &&
            row->record.node != table->settings.self) {
            remove_member(table, row, now);
        }
    }
}

void
Mbr_BeginExchange(MembershipTable *table, unsigned replica, bool is_full)
{
    for (size_t i = 0; is_full && i < table->count; i++) {
        table->rows[i].heard_by &= (uint8_t) ~(1u << replica);
    }
}

void
Mbr_ForgetReplica(MembershipTable *table, unsigned replica)
{
    for (size_t i = 0; i < table->count; i++) {
        table->rows[i].heard_by &= (uint8_t) ~(1u << replica);
    }
}

void
Mbr_OnExchangeRow(MembershipTable *table, unsigned replica,
                  const MemberRecord *record, bool heard, Instant now)
{
    MemberRow *row;

    if (record->node == table->settings.self ||
        !(row = find_or_add_row(table, record->node))) {
        return;
    }
    if (heard) {
        row->heard_by |= (uint8_t)(1u << replica);
    }
    else {
        row->heard_by &= (uint8_t) ~(1u << replica);
    }
    if ((heard || record->is_leaving) && !is_newer(&row->record, record)) {
        apply_record(table, row, record, now);
    }
}

void
Mbr_EndExchange(MembershipTable *table, unsigned replica, Instant now)
{
    table->replica_heard_at = now;
    for (size_t i = 0; i < table->count; i++) {
        if (table->rows[i].heard_by & (1u << replica)) {
            table->rows[i].heard_at = now;
        }
    }
}

/* True when a replica that reported to hear the row's node is still a member.
 * It stays a member while other replicas hear it, even if this one does not,
 * and only it can tell whether the node is alive. */
static bool
is_heard_elsewhere(const MembershipTable *table, const MemberRow *row)
{
    const MembershipSettings *settings = &table->settings;

    for (size_t i = 0; settings->replica_addrs && i < settings->replica_count;
         i++) {
        const MemberRow *replica;
        if (!(row->heard_by & (1u << i)) ||
            settings->replica_addrs[i] == row->record.node) {
            continue;
        }
        replica = find_row(table, settings->replica_addrs[i]);
        if (replica && !replica->is_removed) {
            return true;
        }
    }
    return false;
}

/* False on a replica that hears neither another replica nor a node of the
 * row's region: such a replica cannot tell a failed node from its own loss of
 * connection. */
static bool
may_expire(const MembershipTable *table, const MemberRow *row, Instant now)
{
    const MembershipSettings *settings = &table->settings;

    if (!settings->is_replica) {
        return false;
    }
    return settings->replica_count < 2 ||
           (table->replica_heard_at &&
            now - table->replica_heard_at < settings->expiry) ||
           (row->record.region == settings->region &&
            now - table->node_heard_at < settings->expiry);
}

static void
purge_row(MembershipTable *table, size_t index)
{
    MemberRow *row = &table->rows[index];

    if (row->change_number > table->purged_change) {
        table->purged_change = row->change_number;
    }
    Mbr_RecordFinish(&row->record);
    *row = table->rows[--table->count];
}

void
Mbr_Expire(MembershipTable *table, Instant now)
{
    Span expiry = table->settings.expiry;

    for (size_t i = table->count; i-- > 0;) {
        MemberRow *row = &table->rows[i];
        if (row->is_removed) {
            if (now - row->heard_at >= expiry * TOMBSTONE_EXPIRIES) {
                purge_row(table, i);
            }
            continue;
        }
        if (row->direct_heard_at && now - row->direct_heard_at >= expiry &&
            row->record.node != table->settings.self) {
            row->direct_heard_at = 0;
            bump_change_number(table, row);
        }
        if (now - row->heard_at >= expiry && may_expire(table, row, now) &&
            !is_heard_elsewhere(table, row)) {
            remove_member(table, row, now);
        }
    }
}

bool
Mbr_NeedsFullTable(const MembershipTable *table, uint64_t since)
{
    return since < table->purged_change || since > table->last_change ||
           since == 0;
}

bool
Mbr_IsUnchanged(const MembershipTable *table, uint64_t since)
{
    return since >= table->last_node_change && since <= table->last_change;
}
