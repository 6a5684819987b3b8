#include "process/quota/grantor.h"

#include "value/mem.h"

enum { PERMILLE = 1000 };

/* Where the settings state no bounds. */
static const QuotaBounds default_bounds = {.window = Span_S(5),
                                           .overage_permille = 100};

/* Credit does not outlive this: a lowered limit is to hold soon everywhere. */
#define LIFE_MAX Span_S(2)

/* Calls are as evenly spread as the network leaves them: a bucket holds what
 * accrues in this time beyond the burst, and one call. */
#define JITTER_MAX Span_MS(100)

/* The share of the bounds that is used: the rest is for clocks that drift. */
enum { USED_PERMILLE = 800 };

uint64_t
Grt_GetId(Str name)
{
    return Str_Hash(name);
}

void
Grt_Init(Grantor *grantor, const QuotaBounds *bounds)
{
    *grantor = (Grantor){.bounds = bounds->window ? *bounds : default_bounds};
    Hsh_Init(&grantor->by_id);
}

void
Grt_Finish(Grantor *grantor)
{
    Hsh_Finish(&grantor->by_id);
    for (size_t i = 0; i < grantor->account_count; i++) {
        StrBuf_Finish(&grantor->accounts[i].name);
    }
    Mem_Free(grantor->accounts);
    grantor->accounts = NULL;
    grantor->account_count = 0;
}

GrantTerms
Grt_MakeTerms(const QuotaBounds *bounds, uint32_t per_s, uint32_t burst)
{
    double window_s = (double)bounds->window / Span_S(1);
    double allowed = per_s * window_s + burst;
    double beyond =
        allowed * bounds->overage_permille / PERMILLE + bounds->slack;
    double jitter = 1 + per_s * ((double)JITTER_MAX / Span_S(1));
    double life_s;

    beyond = beyond * USED_PERMILLE / PERMILLE;
    jitter = jitter < beyond / 4 ? jitter : beyond / 4;
    if (burst + jitter < 1) {
        jitter = 1 - burst;
    }
    life_s = per_s ? (beyond - jitter) / per_s : 0;
    life_s = life_s > 0 ? life_s : 0;
    return (GrantTerms){
        .depth = burst + jitter,
        .life = life_s < (double)LIFE_MAX / Span_S(1)
                    ? (Span)(life_s * Span_S(1))
                    : LIFE_MAX,
    };
}

static GrantorAccount *
find_account(const Grantor *grantor, uint64_t id)
{
    return (GrantorAccount *)Hsh_First(&grantor->by_id, id);
}

static void
add_account(Grantor *to, const Grantor *from, const PresetAccount *account,
            Instant now)
{
    uint64_t id = Grt_GetId(StrBuf_View(&account->name));
    GrantTerms terms =
        Grt_MakeTerms(&to->bounds, account->per_s, account->burst);
    const GrantorAccount *old = find_account(from, id);
    GrantorAccount *new_one = &to->accounts[to->account_count++];

    if (old) {
        *new_one = *old;
        new_one->name = (StrBuf){0};
        Bkt_SetRate(&new_one->bucket, account->per_s, terms.depth, now);
    }
    else {
        Bkt_Init(&new_one->bucket, account->per_s, terms.depth, now);
        new_one->bucket.tokens = 0;
    }
    StrBuf_Set(&new_one->name, StrBuf_View(&account->name));
    new_one->life = terms.life;
    Hsh_Add(&to->by_id, &new_one->link, id);
}

void
Grt_SetAccounts(Grantor *grantor, const Preset *preset, Instant now)
{
    Grantor old = *grantor;

    Hsh_Init(&grantor->by_id);
    grantor->account_count = 0;
    grantor->accounts =
        Mem_Alloc(preset->account_count + 1, sizeof *grantor->accounts);
    for (size_t i = 0; i < preset->account_count; i++) {
        if (preset->accounts[i].per_s) {
            add_account(grantor, &old, &preset->accounts[i], now);
        }
    }
    Grt_Finish(&old);
}

void
Grt_Start(Grantor *grantor, uint64_t term, Instant now)
{
    grantor->term = term;
    for (size_t i = 0; i < grantor->account_count; i++) {
        GrantorAccount *account = &grantor->accounts[i];

        account->bucket.tokens = 0;
        account->bucket.refilled_at = now;
        account->line_end = 0;
        account->epoch = 0;
        account->outstanding = 0;
    }
}

/* Puts COUNT calls that were refused into the line of ACCOUNT, of which the
 * first can have credit in WAIT.  Returns when the last of them can. */
static Span
queue_refused(GrantorAccount *account, uint32_t count, Span wait,
              Span line_max, Instant now)
{
    Instant first = now + wait;

    if (account->line_end > first) {
        first = account->line_end;
    }
    account->line_end = first + (Span)(count * (double)Span_S(1) /
                                       account->bucket.tokens_per_s);
    if (account->line_end > now + line_max) {
        account->line_end = now + line_max;
    }
    return first < now + line_max ? first - now : line_max;
}

/* Adds what has accrued.  An epoch ends where the bucket would have been full
 * without the grants of the epoch. */
static void
refill(GrantorAccount *account, Instant now)
{
    Bkt_GiveBack(&account->bucket, 0, now);
    if (account->bucket.tokens + account->outstanding >
        account->bucket.burst) {
        account->epoch++;
        account->outstanding = 0;
    }
}

static void
take_back(GrantorAccount *account, double back, uint32_t epoch, Instant now)
{
    if (epoch != account->epoch) {
        return;
    }
    if (back > account->outstanding) {
        back = account->outstanding;
    }
    account->given_back += (uint32_t)back;
    account->outstanding -= back;
    Bkt_GiveBack(&account->bucket, back, now);
}

Grant
Grt_OnAsk(Grantor *grantor, uint64_t id, uint32_t want, uint32_t back,
          uint32_t epoch, Instant now)
{
    GrantorAccount *account = find_account(grantor, id);
    Grant grant = {0};

    if (!account) {
        return grant;
    }
    refill(account, now);
    take_back(account, back, epoch, now);
    grant.life = account->life;
    grant.epoch = account->epoch;
    grant.granted = account->bucket.tokens < want
                        ? (uint32_t)account->bucket.tokens
                        : want;
    Bkt_Charge(&account->bucket, grant.granted, now);
    account->outstanding += grant.granted;
    account->granted += grant.granted;
    account->refused += want - grant.granted;
    if (grant.granted < want) {
        grant.wait = Bkt_AvailableAt(&account->bucket, 1, now) - now;
        grant.retry_after =
            queue_refused(account, want - grant.granted, grant.wait,
                          grantor->bounds.window, now);
    }
    return grant;
}

void
Grt_ForgetUse(Grantor *grantor)
{
    for (size_t i = 0; i < grantor->account_count; i++) {
        grantor->accounts[i].granted = 0;
        grantor->accounts[i].given_back = 0;
        grantor->accounts[i].refused = 0;
    }
}
