/* Grt: grants credit for the calls of client accounts.  There is one grantor
 * at a time for all nodes, so that what it grants bounds what they run.
 *
 * Each account with a limit has a token bucket of its rate and burst.  A grant
 * takes tokens; its credit is void when its life has passed, counted from the
 * moment at which the node sent the ask.  Any window of calls was so paid by
 * the grants of that window and of one life before it: the life is chosen so
 * that this stays within the bounds.
 *
 * Credit that is given back is as good as never granted, unless the bucket
 * would have been full meanwhile without that grant: then it is lost.  For
 * this the grants of an account are counted by epochs.  The tokens of a bucket
 * and all that was granted in its epoch are never more than its depth; an
 * epoch ends when they would be.
 *
 * A grantor begins with empty buckets, since it does not know what the one
 * before it granted.  Its owner makes sure that no two grant at the same time,
 * and passes the time.
 */
#ifndef GRANTOR_H
#define GRANTOR_H

#include "process/settings/settings.h"
#include "value/hash.h"
#include "value/tokenbucket.h"
#include "version/preset.h"

/* How the limit of one account is kept. */
typedef struct {
    double depth; /* most tokens in its bucket */
    Span life;    /* of its credit */
} GrantTerms;

typedef struct {
    HashLink link; /* first member; by the account's id */
    TokenBucket bucket;
    Span life;
    uint32_t epoch;     /* counts from 0 in each term */
    double outstanding; /* granted in the epoch and not given back */
    Instant line_end;   /* when all who were refused could have had credit */
    StrBuf name;
    /* Calls since Grt_ForgetUse. */
    uint32_t granted;
    uint32_t given_back;
    uint32_t refused;
} GrantorAccount;

typedef struct {
    QuotaBounds bounds;
    uint64_t term; /* in which this grantor grants; 0: it never did */
    HashTable by_id;
    GrantorAccount *accounts; /* owned; those that have a limit */
    size_t account_count;
} Grantor;

/* The answer to an ask for one account. */
typedef struct {
    uint32_t granted;
    uint32_t epoch;   /* in which it was granted */
    Span life;        /* of what was granted; 0: the account is not known */
    Span wait;        /* until there is credit again; 0: all was granted */
    Span retry_after; /* the same, behind those that were refused before */
} Grant;

/* The id of the account NAME, the same in every process. */
uint64_t Grt_GetId(Str name);

/* Without a window in BOUNDS, one of 5 s with an overage of a tenth counts. */
void Grt_Init(Grantor *grantor, const QuotaBounds *bounds);
void Grt_Finish(Grantor *grantor);

GrantTerms Grt_MakeTerms(const QuotaBounds *bounds, uint32_t per_s,
                         uint32_t burst);

/* Takes the limits of PRESET.  An account keeps its tokens, up to its new
 * depth; a new one begins without any. */
void Grt_SetAccounts(Grantor *grantor, const Preset *preset, Instant now);

/* Begins to grant in TERM, with empty buckets. */
void Grt_Start(Grantor *grantor, uint64_t term, Instant now);

/* An ask for the account ID: for WANT calls, with BACK unspent ones, which
 * were granted in this term and in EPOCH. */
Grant Grt_OnAsk(Grantor *grantor, uint64_t id, uint32_t want, uint32_t back,
                uint32_t epoch, Instant now);

/* Counts what is granted, given back and refused from 0 again. */
void Grt_ForgetUse(Grantor *grantor);

#endif
