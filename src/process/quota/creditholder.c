#include "process/quota/creditholder.h"

#include "value/mem.h"

/* An ask without an answer for so long counts as lost. */
#define ANSWER_WAIT Span_MS(200)

/* The grantor does not know the account yet: it is asked again after this. */
#define UNKNOWN_RETRY Span_MS(50)

/* The account's calls are counted over periods of this length, to ask ahead
 * for a part of what the last one took, if that was not little: credit that
 * lies unspent is missing elsewhere. */
#define PERIOD Span_MS(250)
enum { AHEAD_DIVISOR = 4, AHEAD_CALLS_MIN = 8 };

/* Credit for which no call has come so long is given back, with the next ask,
 * or alone after GIVE_BACK_WAIT. */
#define IDLE_LOT Span_MS(100)
#define GIVE_BACK_WAIT Span_MS(50)

/* A call that is refused and can have credit within this time waits. */
#define SHORT_LINE Span_MS(60)

#define IDLE_MAX Span_S(10)

void
Crd_Init(CreditHolder *holder)
{
    *holder = (CreditHolder){.term = 0};
    Hsh_Init(&holder->by_id);
}

static void
free_row(CreditHolder *holder, CreditRow *row)
{
    Lst_Drop(&holder->rows, &row->list_link);
    Hsh_Drop(&holder->by_id, &row->link);
    Mem_Free(row);
}

void
Crd_Finish(CreditHolder *holder)
{
    CreditRow *row;

    while ((row = Lst_First(&holder->rows))) {
        free_row(holder, row);
    }
    Hsh_Finish(&holder->by_id);
}

const CreditRow *
Crd_Find(const CreditHolder *holder, uint64_t id)
{
    return (const CreditRow *)Hsh_First(&holder->by_id, id);
}

static CreditRow *
find_or_add(CreditHolder *holder, uint64_t id, Instant now)
{
    CreditRow *row = (CreditRow *)Hsh_First(&holder->by_id, id);

    if (!row) {
        row = Mem_Alloc(1, sizeof *row);
        row->period_began = now;
        Hsh_Add(&holder->by_id, &row->link, id);
        Lst_Append(&holder->rows, &row->list_link, row);
    }
    row->used_at = now;
    return row;
}

/* Credit of an earlier term or epoch can't be given back any more. */
static void
give_back(CreditHolder *holder, CreditRow *row, const Credit *credit,
          uint32_t count, Instant now)
{
    if (!count || credit->term != holder->term ||
        (row->give_back && credit->epoch < row->give_back_epoch)) {
        return;
    }
    if (!row->give_back || credit->epoch > row->give_back_epoch) {
        row->give_back = 0;
        row->give_back_epoch = credit->epoch;
        row->give_back_at = now;
    }
    row->give_back += count;
    holder->is_due = true;
}

static void
end_lot(CreditHolder *holder, CreditRow *row, CreditLot *lot, Instant now)
{
    give_back(holder, row, &lot->credit, lot->count, now);
    *lot = (CreditLot){.count = 0};
}

/* Ends the lots whose life is over; all of them, when no call has come. */
static void
end_old_lots(CreditHolder *holder, CreditRow *row, Instant now)
{
    bool is_idle = now - row->used_at >= IDLE_LOT;

    for (size_t i = 0; i < Crd_LOTS_MAX; i++) {
        if (row->lots[i].count &&
            (is_idle || now >= row->lots[i].credit.expires_at)) {
            end_lot(holder, row, &row->lots[i], now);
        }
    }
}

/* The lot that ends first, of those with credit; NULL: there is none. */
static CreditLot *
find_first_lot(CreditRow *row)
{
    CreditLot *first = NULL;

    for (size_t i = 0; i < Crd_LOTS_MAX; i++) {
        CreditLot *lot = &row->lots[i];

        if (lot->count &&
            (!first || lot->credit.expires_at < first->credit.expires_at)) {
            first = lot;
        }
    }
    return first;
}

static uint32_t
count_held(const CreditRow *row)
{
    uint32_t count = 0;

    for (size_t i = 0; i < Crd_LOTS_MAX; i++) {
        count += row->lots[i].count;
    }
    return count;
}

uint32_t
Crd_CountHeld(const CreditHolder *holder, uint64_t id, Instant now)
{
    const CreditRow *row = Crd_Find(holder, id);
    uint32_t count = 0;

    for (size_t i = 0; row && i < Crd_LOTS_MAX; i++) {
        if (now < row->lots[i].credit.expires_at) {
            count += row->lots[i].count;
        }
    }
    return count;
}

static void
turn_period(CreditRow *row, Instant now)
{
    Span passed = now - row->period_began;

    if (passed >= PERIOD) {
        row->taken_before = passed < 2 * PERIOD ? row->taken : 0;
        row->taken = 0;
        row->period_began = now;
    }
}

CreditAnswer
Crd_Take(CreditHolder *holder, uint64_t id, Credit *credit, Instant now)
{
    CreditRow *row = find_or_add(holder, id, now);
    CreditLot *lot;

    end_old_lots(holder, row, now);
    turn_period(row, now);
    lot = find_first_lot(row);
    if (lot) {
        *credit = lot->credit;
        lot->count--;
        row->taken++;
        holder->is_due = true; /* for what is asked ahead */
        return Crd_TAKEN;
    }
    if (now < row->refused_until) {
        return Crd_REFUSED;
    }
    holder->is_due = true;
    return Crd_WAIT;
}

void
Crd_AddWaiting(CreditHolder *holder, uint64_t id, Instant now)
{
    find_or_add(holder, id, now)->waiting++;
    holder->is_due = true;
}

void
Crd_DropWaiting(CreditHolder *holder, uint64_t id)
{
    CreditRow *row = (CreditRow *)Hsh_First(&holder->by_id, id);

    if (row && row->waiting) {
        row->waiting--;
    }
}

/* Adds COUNT calls of CREDIT.  Of more lots than there is room for, the one
 * that ends first is given back. */
static void
add_lot(CreditHolder *holder, CreditRow *row, const Credit *credit,
        uint32_t count, Instant now)
{
    CreditLot *at = NULL;

    for (size_t i = 0; i < Crd_LOTS_MAX; i++) {
        CreditLot *lot = &row->lots[i];

        if (lot->count && lot->credit.term == credit->term &&
            lot->credit.epoch == credit->epoch &&
            lot->credit.expires_at == credit->expires_at) {
            lot->count += count;
            return;
        }
        if (!lot->count) {
            at = lot;
        }
    }
    if (!at) {
        at = find_first_lot(row);
        if (at->credit.expires_at > credit->expires_at) {
            give_back(holder, row, credit, count, now);
            return;
        }
        end_lot(holder, row, at, now);
    }
    *at = (CreditLot){*credit, count};
}

void
Crd_PutBack(CreditHolder *holder, uint64_t id, const Credit *credit,
            Instant now)
{
    CreditRow *row = find_or_add(holder, id, now);

    if (now >= credit->expires_at) {
        give_back(holder, row, credit, 1, now);
        return;
    }
    add_lot(holder, row, credit, 1, now);
}

/* How many calls are to be asked for. */
static uint32_t
count_wanted(CreditRow *row, Instant now)
{
    uint32_t ahead;
    uint32_t have;

    turn_period(row, now);
    if (row->asked && now - row->asked_at >= ANSWER_WAIT) {
        row->asked = 0;
    }
    if (now < row->refused_until || now < row->next_ask_at) {
        return 0;
    }
    have = count_held(row) + row->asked;
    ahead = row->taken_before < AHEAD_CALLS_MIN
                ? 0
                : row->taken_before / AHEAD_DIVISOR;
    if (row->waiting <= have && have - row->waiting > ahead / 2) {
        return 0;
    }
    return row->waiting + ahead > have ? row->waiting + ahead - have : 0;
}

static bool
must_give_back(const CreditRow *row, Instant now)
{
    return row->give_back && now - row->give_back_at >= GIVE_BACK_WAIT;
}

/* Whether the calls of ROW, or what it holds too long, call for an ask. */
static bool
is_row_due(CreditRow *row, Instant now)
{
    return count_wanted(row, now) > 0 || must_give_back(row, now);
}

static bool
has_due_row(CreditHolder *holder, Instant now)
{
    ListWalk walk;
    CreditRow *row;
    bool is_due = false;
    bool is_due_later = false;

    Lst_Begin(&walk, &holder->rows);
    while ((row = Lst_Next(&walk))) {
        is_due |= is_row_due(row, now);
        is_due_later |=
            row->give_back || row->waiting || row->asked || row->taken_before;
    }
    holder->is_due = is_due_later;
    return is_due;
}

size_t
Crd_MakeAsk(CreditHolder *holder, CreditAsk *rows, Instant now)
{
    size_t count = 0;
    ListWalk walk;
    CreditRow *row;

    if (!holder->is_due || !has_due_row(holder, now)) {
        return 0;
    }
    Lst_Begin(&walk, &holder->rows);
    while (count < Crd_ROWS_MAX && (row = Lst_Next(&walk))) {
        uint32_t want = count_wanted(row, now);

        if (!want && !row->give_back) {
            continue;
        }
        rows[count++] = (CreditAsk){row->link.hash, want, row->give_back,
                                    row->give_back_epoch};
        row->give_back = 0;
        if (want) {
            row->asked += want;
            row->asked_at = now;
        }
    }
    if (count == Crd_ROWS_MAX) {
        Lst_Stop(&walk);
    }
    return count;
}

void
Crd_ForgetAsks(CreditHolder *holder)
{
    ListWalk walk;
    CreditRow *row;

    Lst_Begin(&walk, &holder->rows);
    while ((row = Lst_Next(&walk))) {
        holder->is_due |= row->asked > 0;
        row->asked = 0;
    }
}

/* What was granted in an earlier term can't be given back any more. */
static void
set_term(CreditHolder *holder, uint64_t term)
{
    ListWalk walk;
    CreditRow *row;

    holder->term = term;
    Lst_Begin(&walk, &holder->rows);
    while ((row = Lst_Next(&walk))) {
        row->give_back = 0;
        row->refused_until = 0;
    }
}

/* Less was granted than wanted.  Calls wait on when the line is short. */
static void
on_shortage(CreditRow *row, const CreditGrant *grant, Instant sent_at,
            Instant now)
{
    row->retry_at = sent_at + grant->retry_after;
    if (grant->retry_after <= SHORT_LINE) {
        row->next_ask_at = row->retry_at;
        return;
    }
    row->refused_until = sent_at + grant->wait;
    if (row->refused_until <= now) {
        row->refused_until = now + 1; /* for the calls that wait now */
    }
}

void
Crd_OnGrant(CreditHolder *holder, uint64_t term, const CreditGrant *grant,
            Instant sent_at, Instant now)
{
    CreditRow *row = find_or_add(holder, grant->id, now);
    Credit credit = {term, grant->epoch, sent_at + grant->life};

    if (term > holder->term) {
        set_term(holder, term);
    }
    row->asked -= grant->wanted < row->asked ? grant->wanted : row->asked;
    holder->is_due = true;
    if (!grant->life) {
        row->next_ask_at = now + UNKNOWN_RETRY;
        return;
    }
    row->granted_at = now;
    if (grant->wait && term == holder->term) {
        on_shortage(row, grant, sent_at, now);
    }
    if (!grant->granted) {
        return;
    }
    if (now >= credit.expires_at) {
        give_back(holder, row, &credit, grant->granted, now);
    }
    else {
        add_lot(holder, row, &credit, grant->granted, now);
    }
}

Span
Crd_GetRetryAfter(const CreditHolder *holder, uint64_t id, Instant now)
{
    const CreditRow *row = Crd_Find(holder, id);

    return row && row->retry_at > now ? row->retry_at - now : 0;
}

void
Crd_Tick(CreditHolder *holder, Instant now)
{
    ListWalk walk;
    CreditRow *row;

    Lst_Begin(&walk, &holder->rows);
    while ((row = Lst_Next(&walk))) {
        end_old_lots(holder, row, now);
        if (now - row->used_at >= IDLE_MAX && !row->waiting &&
            !row->give_back && !count_held(row)) {
            free_row(holder, row);
        }
    }
}
