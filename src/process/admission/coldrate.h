/* Cld: how many requests a backend server gets in a second while it may be
 * cold.
 *
 * A backend server is cold for a while after its start and may become cold
 * again at any moment; it bears only a certain rate then.  All its requests
 * start at the node beside it, which counts them here.  The load this answers
 * is that of a failure domain that takes work again, or of many servers that
 * start at once: all ingress nodes see free slots.
 *
 * Nobody tells this node the moment at which its backend server becomes cold.
 * So the bound does not ask whether the server is cold but for a proof that it
 * was not: a word, answered to a question that was sent at a known time, that
 * the server is warm.  Of the starts in the last second those count that came
 * after the time of the last such question; there are never more than the
 * limit.  A server that is warm says so as often as it is asked, and a node
 * asks before the limit is reached.  Starts before this process are not known:
 * for a second after its own start the node takes them for as many as the
 * limit, until a word proves otherwise.
 *
 * Where the server can't be asked, the bound holds while its announcements say
 * that it is cold.
 */
#ifndef COLDRATE_H
#define COLDRATE_H

#include <stdbool.h>
#include <stdint.h>

#include "value/instant.h"

/* Starts are counted by intervals of this length.  One interval more than
 * those of a second is kept: what counts is a second at least. */
#define Cld_INTERVAL Span_MS(20)
enum { Cld_INTERVALS = 51 };

typedef struct {
    uint32_t limit;    /* starts in a second; 0: no bound */
    bool is_asked;     /* the server can be asked whether it is cold */
    Instant opened_at; /* no start before is known; 0: all are */
    uint32_t counts[Cld_INTERVALS]; /* starts; interval N at N modulo all */
    int64_t newest;                 /* number of the newest interval */
    Instant warm_as_of;   /* the server was warm then; 0: not known */
    Instant cold_said_at; /* the last word that it is cold */
    Instant cold_until;   /* by that word */
} ColdRate;

/* Starts without a bound.  NOW is the start of this process. */
void Cld_Init(ColdRate *rate, Instant now);

/* Sets the bound; 0: none. */
void Cld_SetBound(ColdRate *rate, uint32_t limit, bool is_asked);

/* The server said that it stays cold for LEFT (above 0). */
void Cld_OnCold(ColdRate *rate, Span left, Instant now);

/* The server said that it is not cold, asked at AS_OF. */
void Cld_OnWarm(ColdRate *rate, Instant as_of);

/* Whether the server said that it is cold now. */
bool Cld_IsCold(const ColdRate *rate, Instant now);

/* Whether a request may start; Cld_OnStart counts it. */
bool Cld_MayStart(ColdRate *rate, Instant now);
void Cld_OnStart(ColdRate *rate, Instant now);

/* How long until another request may start behind AHEAD others that wait; 0:
 * it may now. */
Span Cld_EstimateWait(ColdRate *rate, uint32_t ahead, Instant now);

/* Whether the server should be asked before much more starts: half of the
 * limit has started since the last word, and it is not known to be cold. */
bool Cld_NeedsWord(ColdRate *rate, Instant now);

/* The limit that a server has with PER_S requests a second while it is cold,
 * which may be exceeded by OVERAGE_PERMILLE (1000: not at all) and SLACK
 * requests.  A part of the excess is kept for the ways of measuring; 0 when
 * PER_S is 0. */
uint32_t Cld_MakeLimit(uint32_t per_s, uint32_t overage_permille,
                       uint32_t slack);

#endif
