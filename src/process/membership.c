#include "process/membership.h"

#include "value/mem.h"

/* Rows that are gone are kept for so many expiries. */
enum { GONE_KEPT = 20 };

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

/* The parts that nodes act on; load rides on answers. */
static bool
says_the_same(const MbrRecord *a, const MbrRecord *b)
{
    return a->incarnation == b->incarnation && a->region == b->region &&
           a->domain == b->domain && a->control == b->control &&
           a->leaving == b->leaving && a->present == b->present &&
           a->operators == b->operators && a->load.slots == b->load.slots &&
           a->load.draining == b->load.draining &&
           Str_Equal(StrBuf_View(&a->service), StrBuf_View(&b->service));
}

static bool
has_same_version(const MbrRecord *a, const MbrRecord *b)
{
    return a->version_term == b->version_term &&
           a->version_index == b->version_index;
}

static void
tell_replicas(Mbr *mbr, MbrRow *row)
{
    row->change = ++mbr->change;
}

static void
tell(Mbr *mbr, MbrChange change, MbrRow *row, Instant now)
{
    tell_replicas(mbr, row);
    row->acted = row->change;
    mbr->acted = row->change;
    if (mbr->settings.listener) {
        mbr->settings.listener(mbr->settings.context, change, &row->record,
                               now);
    }
}

static void
set_gone(Mbr *mbr, MbrRow *row, Instant now)
{
    row->gone = true;
    row->heard_at = now;
    tell(mbr, Mbr_GONE, row, now);
}

/* Take RECORD over as it is now; true when that is a change. */
static bool
take(Mbr *mbr, MbrRow *row, const MbrRecord *record, Instant now)
{
    bool gone = record->leaving;
    bool came = row->gone && !gone;
    bool changed =
        came || (gone && !row->gone) || !says_the_same(&row->record, record);
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
    row->gone = gone;
    tell(mbr, gone ? Mbr_GONE : came ? Mbr_CAME : Mbr_CHANGED, row, now);
    return true;
}

static MbrRow *
get_row(Mbr *mbr, Addr node)
{
    MbrRow *row = find_row(mbr, node);

    if (row || mbr->count >= Mbr_ROWS_MAX) {
        return row;
    }
    row = add_row(mbr);
    row->record.node = node;
    return row;
}

bool
Mbr_OnRecord(Mbr *mbr, const MbrRecord *record, Instant now)
{
    MbrRow *row = get_row(mbr, record->node);
    bool first;
    bool changed;

    if (!row || !is_newer(record, &row->record)) {
        return false;
    }
    if (record->node != mbr->settings.self) {
        mbr->node_heard_at = now;
    }
    first = row->direct_at == 0;
    row->direct_at = now;
    row->said = record->sequence;
    changed = take(mbr, row, record, now);
    if (first && !changed) {
        tell_replicas(mbr, row);
    }
    return changed;
}

static bool
is_old(const MbrRow *row, const MbrRenewal *renewal)
{
    const MbrRecord *record = &row->record;

    return renewal->incarnation < record->incarnation ||
           (renewal->incarnation == record->incarnation &&
            renewal->sequence <= record->sequence);
}

MbrRenewed
Mbr_OnRenewal(Mbr *mbr, const MbrRenewal *renewal, Instant now)
{
    MbrRow *row = find_row(mbr, renewal->node);

    if (row && is_old(row, renewal)) {
        return Mbr_OLD;
    }
    if (!row || row->gone || !row->direct_at ||
        row->record.incarnation != renewal->incarnation ||
        row->said != renewal->said) {
        return Mbr_UNKNOWN;
    }
    row->record.sequence = renewal->sequence;
    row->heard_at = now;
    row->direct_at = now;
    mbr->node_heard_at = now;
    return Mbr_RENEWED;
}

size_t
Mbr_CountServing(const Mbr *mbr)
{
    size_t serving = 0;

    for (size_t i = 0; i < mbr->count; i++) {
        serving += !mbr->rows[i].gone && mbr->rows[i].record.present;
    }
    return serving;
}

bool
Mbr_IsEqual(MbrDigest a, MbrDigest b)
{
    return a.count == b.count && a.hash == b.hash;
}

static void
add_to_digest(MbrDigest *digest, Addr node)
{
    digest->count++;
    digest->hash ^= Str_Hash(Str_From((const char *)&node, sizeof node));
}

MbrDigest
Mbr_DigestAll(const Mbr *mbr, Addr except)
{
    MbrDigest digest = {0};

    for (size_t i = 0; i < mbr->count; i++) {
        const MbrRow *row = &mbr->rows[i];
        if (!row->gone && row->record.node != except) {
            add_to_digest(&digest, row->record.node);
        }
    }
    return digest;
}

MbrDigest
Mbr_DigestDirect(const Mbr *mbr, Addr except)
{
    MbrDigest digest = {0};

    for (size_t i = 0; i < mbr->count; i++) {
        const MbrRow *row = &mbr->rows[i];
        if (!row->gone && row->direct_at && row->record.node != except) {
            add_to_digest(&digest, row->record.node);
        }
    }
    return digest;
}

MbrDigest
Mbr_DigestVia(const Mbr *mbr, unsigned via, Addr except)
{
    MbrDigest digest = {0};

    for (size_t i = 0; i < mbr->count; i++) {
        const MbrRow *row = &mbr->rows[i];
        if (!row->gone && row->via & (1u << via) &&
            row->record.node != except) {
            add_to_digest(&digest, row->record.node);
        }
    }
    return digest;
}

void
Mbr_BeginTable(Mbr *mbr, bool whole)
{
    for (size_t i = 0; whole && i < mbr->count; i++) {
        mbr->rows[i].listed = false;
    }
}

void
Mbr_OnRow(Mbr *mbr, const MbrRecord *record, bool gone, Instant now)
{
    MbrRow *row;

    if (record->node == mbr->settings.self ||
        !(row = get_row(mbr, record->node))) {
        return;
    }
    row->listed = true;
    if (is_newer(&row->record, record)) {
        return;
    }
    if (!gone) {
        take(mbr, row, record, now);
    }
    else if (!row->gone) {
        set_gone(mbr, row, now);
    }
}

void
Mbr_EndTable(Mbr *mbr, bool whole, Instant now)
{
    for (size_t i = 0; whole && i < mbr->count; i++) {
        MbrRow *row = &mbr->rows[i];
        if (!row->listed && !row->gone &&
            row->record.node != mbr->settings.self) {
            set_gone(mbr, row, now);
        }
    }
}

void
Mbr_BeginExchange(Mbr *mbr, unsigned via, bool whole)
{
    for (size_t i = 0; whole && i < mbr->count; i++) {
        mbr->rows[i].via &= (uint8_t) ~(1u << via);
    }
}

void
Mbr_ForgetVia(Mbr *mbr, unsigned via)
{
    for (size_t i = 0; i < mbr->count; i++) {
        mbr->rows[i].via &= (uint8_t) ~(1u << via);
    }
}

void
Mbr_OnHeld(Mbr *mbr, unsigned via, const MbrRecord *record, bool held,
           Instant now)
{
    MbrRow *row;

    if (record->node == mbr->settings.self ||
        !(row = get_row(mbr, record->node))) {
        return;
    }
    if (held) {
        row->via |= (uint8_t)(1u << via);
    }
    else {
        row->via &= (uint8_t) ~(1u << via);
    }
    if ((held || record->leaving) && !is_newer(&row->record, record)) {
        take(mbr, row, record, now);
    }
}

void
Mbr_EndExchange(Mbr *mbr, unsigned via, Instant now)
{
    mbr->replica_heard_at = now;
    for (size_t i = 0; i < mbr->count; i++) {
        if (mbr->rows[i].via & (1u << via)) {
            mbr->rows[i].heard_at = now;
        }
    }
}

/* A replica that hears the row's node is still here, as others hear it, but
 * not from here: it alone can tell. */
static bool
is_held_out_of_sight(const Mbr *mbr, const MbrRow *row)
{
    const MbrSettings *settings = &mbr->settings;

    for (size_t i = 0; settings->addrs && i < settings->replicas; i++) {
        const MbrRow *replica;
        if (!(row->via & (1u << i)) ||
            settings->addrs[i] == row->record.node) {
            continue;
        }
        replica = find_row(mbr, settings->addrs[i]);
        if (replica && !replica->gone) {
            return true;
        }
    }
    return false;
}

/* A replica that hears nobody cannot tell who is gone. */
static bool
may_expire(const Mbr *mbr, const MbrRow *row, Instant now)
{
    const MbrSettings *settings = &mbr->settings;

    if (!settings->replica) {
        return false;
    }
    return settings->replicas < 2 ||
           (mbr->replica_heard_at &&
            now - mbr->replica_heard_at < settings->expiry) ||
           (row->record.region == settings->region &&
            now - mbr->node_heard_at < settings->expiry);
}

static void
forget_row(Mbr *mbr, size_t index)
{
    MbrRow *row = &mbr->rows[index];

    if (row->change > mbr->forgotten) {
        mbr->forgotten = row->change;
    }
    Mbr_RecordFinish(&row->record);
    *row = mbr->rows[--mbr->count];
}

void
Mbr_Expire(Mbr *mbr, Instant now)
{
    Span expiry = mbr->settings.expiry;

    for (size_t i = mbr->count; i-- > 0;) {
        MbrRow *row = &mbr->rows[i];
        if (row->gone) {
            if (now - row->heard_at >= expiry * GONE_KEPT) {
                forget_row(mbr, i);
            }
            continue;
        }
        if (row->direct_at && now - row->direct_at >= expiry &&
            row->record.node != mbr->settings.self) {
            row->direct_at = 0;
            tell_replicas(mbr, row);
        }
        if (now - row->heard_at >= expiry && may_expire(mbr, row, now) &&
            !is_held_out_of_sight(mbr, row)) {
            set_gone(mbr, row, now);
        }
    }
}

bool
Mbr_NeedsWhole(const Mbr *mbr, uint64_t since)
{
    return since < mbr->forgotten || since > mbr->change || since == 0;
}

bool
Mbr_IsUnchanged(const Mbr *mbr, uint64_t since)
{
    return since >= mbr->acted && since <= mbr->change;
}
