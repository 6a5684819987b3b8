/* Crd: the credit that a node holds for the calls of client accounts, and what
 * it asks the grantor for.
 *
 * A call takes credit with Crd_Take before it is sent; without any it waits
 * and Crd_Take is called again after each grant.  What the waiting calls want,
 * and what an account is likely to want soon, goes into the next ask.  Credit
 * that ends unspent is given back with a later ask, to the grantor that
 * granted it; credit is taken by a call while its life lasts, or never.
 *
 * The life of credit counts from the moment at which it was asked for, on this
 * node's clock.
 */
#ifndef CREDITHOLDER_H
#define CREDITHOLDER_H

#include <stdbool.h>
#include <stdint.h>

#include "value/hash.h"
#include "value/instant.h"
#include "value/list.h"

enum { Crd_LOTS_MAX = 2, Crd_ROWS_MAX = 64 };

/* Credit for one call. */
typedef struct {
    uint64_t term;  /* of the grantor */
    uint32_t epoch; /* of the account in that term */
    Instant expires_at;
} Credit;

/* Credit that came with one grant. */
typedef struct {
    Credit credit;
    uint32_t count; /* calls */
} CreditLot;

/* What is known of one account. */
typedef struct {
    HashLink link; /* first member; by the account's id */
    ListLink list_link;
    CreditLot lots[Crd_LOTS_MAX];
    uint32_t give_back; /* unspent, granted in the holder's term */
    uint32_t give_back_epoch;
    Instant give_back_at;
    uint32_t waiting;      /* calls */
    uint32_t asked;        /* calls, in an ask without an answer */
    Instant asked_at;      /* the last ask; 0: none yet */
    Instant next_ask_at;   /* the grantor did not know the account */
    Instant granted_at;    /* the last grant came; 0: none yet */
    Instant refused_until; /* there is no credit before */
    Instant retry_at;      /* when a call that is refused may come back */
    Instant period_began;
    uint32_t taken; /* in this period */
    uint32_t taken_before;
    Instant used_at;
} CreditRow;

typedef struct {
    HashTable by_id;
    List rows;
    uint64_t term; /* latest one of a grantor that this node heard of */
    /* Whether a row may have something for Crd_MakeAsk. */
    bool is_due;
} CreditHolder;

typedef enum {
    Crd_TAKEN,
    Crd_WAIT,   /* ask for it */
    Crd_REFUSED /* the account is at its limit */
} CreditAnswer;

/* One account in an ask. */
typedef struct {
    uint64_t id;
    uint32_t want;
    uint32_t back;  /* unspent */
    uint32_t epoch; /* in which that was granted */
} CreditAsk;

/* One account in a grant. */
typedef struct {
    uint64_t id;
    uint32_t wanted; /* in the ask */
    uint32_t granted;
    uint32_t epoch;
    Span life;        /* 0: the grantor does not know the account */
    Span wait;        /* until there is credit again; 0: no call was refused */
    Span retry_after; /* the same, behind those that were refused before */
} CreditGrant;

void Crd_Init(CreditHolder *holder);
void Crd_Finish(CreditHolder *holder);

/* Takes credit for one call of the account ID; sets CREDIT when it does. */
CreditAnswer Crd_Take(CreditHolder *holder, uint64_t id, Credit *credit,
                      Instant now);

/* A call of the account ID waits for credit, or waits no longer. */
void Crd_AddWaiting(CreditHolder *holder, uint64_t id, Instant now);
void Crd_DropWaiting(CreditHolder *holder, uint64_t id);

/* A call that took CREDIT was not sent to any backend server. */
void Crd_PutBack(CreditHolder *holder, uint64_t id, const Credit *credit,
                 Instant now);

/* Fills ROWS, at most Crd_ROWS_MAX, with what is to be asked and given back
 * NOW, and takes it as sent.  Returns the number of rows; 0: nothing is due.
 */
size_t Crd_MakeAsk(CreditHolder *holder, CreditAsk *rows, Instant now);

/* The asks under way will not be answered: what they wanted is due again.
 * What they gave back is lost. */
void Crd_ForgetAsks(CreditHolder *holder);

/* Takes GRANT of the grantor of TERM, which answers an ask that was sent at
 * SENT_AT. */
void Crd_OnGrant(CreditHolder *holder, uint64_t term, const CreditGrant *grant,
                 Instant sent_at, Instant now);

/* The time after which a refused call of the account ID may come back; 0: not
 * known. */
Span Crd_GetRetryAfter(const CreditHolder *holder, uint64_t id, Instant now);

/* The row of the account ID; NULL when there is none. */
const CreditRow *Crd_Find(const CreditHolder *holder, uint64_t id);

/* Calls for which the account ID has credit. */
uint32_t Crd_CountHeld(const CreditHolder *holder, uint64_t id, Instant now);

/* Ends the life of credit, and drops rows that are not used any more. */
void Crd_Tick(CreditHolder *holder, Instant now);

#endif
