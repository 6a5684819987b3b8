#include "process/membership.h"

#include "value/mem.h"

/* Rows that are gone are kept for so many expiries. */
enum { GONE_KEPT = 20 };

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
Mbr_Init(MembershipTable *mbr, const MembershipSettings *settings)
{
    *mbr = (MembershipTable){.settings = *settings};
}

void
Mbr_Finish(MembershipTable *mbr)
{
    for (size_t i = 0; i < mbr->count; i++) {
        Mbr_RecordFinish(&mbr->rows[i].record);
    }
    Mem_Free(mbr->rows);
    *mbr = (MembershipTable){0};
}

static MemberRow *
find_row(const MembershipTable *mbr, Addr node)
{
    for (size_t i = 0; i < mbr->count; i++) {
        if (mbr->rows[i].record.node == node) {
            return &mbr->rows[i];
        }
    }
    return NULL;
}

const MemberRow *
Mbr_Find(const MembershipTable *mbr, Addr node)
{
    return find_row(mbr, node);
}

static MemberRow *
add_row(MembershipTable *mbr)
{
    if (mbr->count == mbr->cap) {
        mbr->cap = mbr->cap ? mbr->cap * 2 : 16;
        mbr->rows = Mem_Resize(mbr->rows, mbr->cap, sizeof *mbr->rows);
    }
    mbr->rows[mbr->count] = (MemberRow){.is_removed = true};
    return &mbr->rows[mbr->count++];
}

static bool
is_newer(const MemberRecord *a, const MemberRecord *b)
{
    if (a->incarnation != b->incarnation) {
        return a->incarnation > b->incarnation;
    }
    return a->sequence > b->sequence;
}

/* The parts that nodes act on; load rides on answers. */
static bool
says_the_same(const MemberRecord *a, const MemberRecord *b)
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
tell_replicas(MembershipTable *mbr, MemberRow *row)
{
    row->change_number = ++mbr->last_change;
}

static void
tell(MembershipTable *mbr, MemberChange change, MemberRow *row, Instant now)
{
    tell_replicas(mbr, row);
    row->node_change_number = row->change_number;
    mbr->last_node_change = row->change_number;
    if (mbr->settings.listener) {
        mbr->settings.listener(mbr->settings.context, change, &row->record,
                               now);
    }
}

static void
set_gone(MembershipTable *mbr, MemberRow *row, Instant now)
{
    row->is_removed = true;
    row->heard_at = now;
    tell(mbr, Mbr_REMOVED, row, now);
}

/* Take RECORD over as it is now; true when that is a change. */
static bool
take(MembershipTable *mbr, MemberRow *row, const MemberRecord *record,
     Instant now)
{
    bool gone = record->is_leaving;
    bool came = row->is_removed && !gone;
    bool changed = came || (gone && !row->is_removed) ||
                   !says_the_same(&row->record, record);
    bool same_version = has_same_version(&row->record, record);

    Mbr_RecordCopy(&row->record, record);
    row->heard_at = now;
    if (!changed && same_version) {
        return false;
    }
    if (!changed) {
        tell_replicas(mbr, row);
        return true;
    }
    row->is_removed = gone;
    tell(mbr, gone ? Mbr_REMOVED : came ? Mbr_JOINED : Mbr_CHANGED, row, now);
    return true;
}

static MemberRow *
get_row(MembershipTable *mbr, Addr node)
{
    MemberRow *row = find_row(mbr, node);

    if (row || mbr->count >= Mbr_ROWS_MAX) {
        return row;
    }
    row = add_row(mbr);
    row->record.node = node;
    return row;
}

bool
Mbr_OnRecord(MembershipTable *mbr, const MemberRecord *record, Instant now)
{
    MemberRow *row = get_row(mbr, record->node);
    bool first;
    bool changed;

    if (!row || !is_newer(record, &row->record)) {
        return false;
    }
    if (record->node != mbr->settings.self) {
        mbr->node_heard_at = now;
    }
    first = row->direct_heard_at == 0;
    row->direct_heard_at = now;
    row->record_sequence = record->sequence;
    changed = take(mbr, row, record, now);
    if (first && !changed) {
        tell_replicas(mbr, row);
    }
    return changed;
}

static bool
is_old(const MemberRow *row, const MemberRenewal *renewal)
{
    const MemberRecord *record = &row->record;

    return renewal->incarnation < record->incarnation ||
           (renewal->incarnation == record->incarnation &&
            renewal->sequence <= record->sequence);
}

RenewalResult
Mbr_OnRenewal(MembershipTable *mbr, const MemberRenewal *renewal, Instant now)
{
    MemberRow *row = find_row(mbr, renewal->node);

    if (row && is_old(row, renewal)) {
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
    mbr->node_heard_at = now;
    return Mbr_RENEWED;
}

size_t
Mbr_CountBackends(const MembershipTable *mbr)
{
    size_t serving = 0;

    for (size_t i = 0; i < mbr->count; i++) {
        serving += !mbr->rows[i].is_removed && mbr->rows[i].record.has_backend;
    }
    return serving;
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
Mbr_DigestAll(const MembershipTable *mbr, Addr except)
{
    MembershipDigest digest = {0};

    for (size_t i = 0; i < mbr->count; i++) {
        const MemberRow *row = &mbr->rows[i];
        if (!row->is_removed && row->record.node != except) {
            add_to_digest(&digest, row->record.node);
        }
    }
    return digest;
}

MembershipDigest
Mbr_DigestDirect(const MembershipTable *mbr, Addr except)
{
    MembershipDigest digest = {0};

    for (size_t i = 0; i < mbr->count; i++) {
        const MemberRow *row = &mbr->rows[i];
        if (!row->is_removed && row->direct_heard_at &&
            row->record.node != except) {
            add_to_digest(&digest, row->record.node);
        }
    }
    return digest;
}

MembershipDigest
Mbr_DigestHeardBy(const MembershipTable *mbr, unsigned via, Addr except)
{
    MembershipDigest digest = {0};

    for (size_t i = 0; i < mbr->count; i++) {
        const MemberRow *row = &mbr->rows[i];
        if (!row->is_removed && row->heard_by & (1u << via) &&
            row->record.node != except) {
            add_to_digest(&digest, row->record.node);
        }
    }
    return digest;
}

void
Mbr_BeginTable(MembershipTable *mbr, bool whole)
{
    for (size_t i = 0; whole && i < mbr->count; i++) {
        mbr->rows[i].is_listed = false;
    }
}

void
Mbr_OnTableRow(MembershipTable *mbr, const MemberRecord *record, bool gone,
               Instant now)
{
    MemberRow *row;

    if (record->node == mbr->settings.self ||
        !(row = get_row(mbr, record->node))) {
        return;
    }
    row->is_listed = true;
    if (is_newer(&row->record, record)) {
        return;
    }
    if (!gone) {
        take(mbr, row, record, now);
    }
    else if (!row->is_removed) {
        set_gone(mbr, row, now);
    }
}

void
Mbr_EndTable(MembershipTable *mbr, bool whole, Instant now)
{
    for (size_t i = 0; whole && i < mbr->count; i++) {
        MemberRow *row = &mbr->rows[i];
        if (!row->is_listed && !row->is_removed &&
            row->record.node != mbr->settings.self) {
            set_gone(mbr, row, now);
        }
    }
}

void
Mbr_BeginExchange(MembershipTable *mbr, unsigned via, bool whole)
{
    for (size_t i = 0; whole && i < mbr->count; i++) {
        mbr->rows[i].heard_by &= (uint8_t) ~(1u << via);
    }
}

void
Mbr_ForgetReplica(MembershipTable *mbr, unsigned via)
{
    for (size_t i = 0; i < mbr->count; i++) {
        mbr->rows[i].heard_by &= (uint8_t) ~(1u << via);
    }
}

void
Mbr_OnExchangeRow(MembershipTable *mbr, unsigned via,
                  const MemberRecord *record, bool held, Instant now)
{
    MemberRow *row;

    if (record->node == mbr->settings.self ||
        !(row = get_row(mbr, record->node))) {
        return;
    }
    if (held) {
        row->heard_by |= (uint8_t)(1u << via);
    }
    else {
        row->heard_by &= (uint8_t) ~(1u << via);
    }
    if ((held || record->is_leaving) && !is_newer(&row->record, record)) {
        take(mbr, row, record, now);
    }
}

void
Mbr_EndExchange(MembershipTable *mbr, unsigned via, Instant now)
{
    mbr->replica_heard_at = now;
    for (size_t i = 0; i < mbr->count; i++) {
        if (mbr->rows[i].heard_by & (1u << via)) {
            mbr->rows[i].heard_at = now;
        }
    }
}

/* A replica that hears the row's node is still here, as others hear it, but
 * not from here: it alone can tell. */
static bool
is_held_out_of_sight(const MembershipTable *mbr, const MemberRow *row)
{
    const MembershipSettings *settings = &mbr->settings;

    for (size_t i = 0; settings->replica_addrs && i < settings->replica_count;
         i++) {
        const MemberRow *replica;
        if (!(row->heard_by & (1u << i)) ||
            settings->replica_addrs[i] == row->record.node) {
            continue;
        }
        replica = find_row(mbr, settings->replica_addrs[i]);
        if (replica && !replica->is_removed) {
            return true;
        }
    }
    return false;
}

/* A replica that hears nobody cannot tell who is gone. */
static bool
may_expire(const MembershipTable *mbr, const MemberRow *row, Instant now)
{
    const MembershipSettings *settings = &mbr->settings;

    if (!settings->is_replica) {
        return false;
    }
    return settings->replica_count < 2 ||
           (mbr->replica_heard_at &&
            now - mbr->replica_heard_at < settings->expiry) ||
           (row->record.region == settings->region &&
            now - mbr->node_heard_at < settings->expiry);
}

static void
forget_row(MembershipTable *mbr, size_t index)
{
    MemberRow *row = &mbr->rows[index];

    if (row->change_number > mbr->purged_change) {
        mbr->purged_change = row->change_number;
    }
    Mbr_RecordFinish(&row->record);
    *row = mbr->rows[--mbr->count];
}

void
Mbr_Expire(MembershipTable *mbr, Instant now)
{
    Span expiry = mbr->settings.expiry;

    for (size_t i = mbr->count; i-- > 0;) {
        MemberRow *row = &mbr->rows[i];
        if (row->is_removed) {
            if (now - row->heard_at >= expiry * GONE_KEPT) {
                forget_row(mbr, i);
            }
            continue;
        }
        if (row->direct_heard_at && now - row->direct_heard_at >= expiry &&
            row->record.node != mbr->settings.self) {
            row->direct_heard_at = 0;
            tell_replicas(mbr, row);
        }
        if (now - row->heard_at >= expiry && may_expire(mbr, row, now) &&
            !is_held_out_of_sight(mbr, row)) {
            set_gone(mbr, row, now);
        }
    }
}

bool
Mbr_NeedsFullTable(const MembershipTable *mbr, uint64_t since)
{
    return since < mbr->purged_change || since > mbr->last_change ||
           since == 0;
}

bool
Mbr_IsUnchanged(const MembershipTable *mbr, uint64_t since)
{
    return since >= mbr->last_node_change && since <= mbr->last_change;
}
