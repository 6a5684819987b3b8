/* Vwd: how old a node's word of its version is.
 *
 * A control replica answers a node with a version and with how long ago it was
 * known to hold every change that was accepted before.  Once that version is
 * in force at the node, so is every change that was accepted before the
 * answered request was sent less that age.  Nothing compares the clocks of two
 * machines: the replica counts its age to the moment of its answer, which came
 * after the request was sent.
 */
#ifndef VERSIONWORD_H
#define VERSIONWORD_H

#include <stdbool.h>

#include "value/addr.h"
#include "value/instant.h"

/* Zeroed: nothing is known. */
typedef struct {
    Instant as_of; /* each change that was accepted before is in force here;
                      0: not known */
    Addr from;     /* the control replica that gave this word */
    bool is_old;   /* as Vwd_UpdateOld found it last */
    Instant old_as_of; /* as_of when it last became old */
} VersionWord;

/* Age of a word that is not known. */
#define Vwd_NOT_KNOWN INT64_MAX

/* Returns the moment as of which a word of AGE holds that answers a request
 * sent at SENT_AT; 0: not known, or no request was sent at SENT_AT: the first
 * one was sent at FIRST_SENT_AT. */
Instant Vwd_ComputeAsOf(Instant sent_at, Span age, Instant first_sent_at,
                        Instant now);

/* FROM gave a word as of AS_OF of a version that is in force here, or of one
 * that is older.  An earlier word than the known one changes nothing. */
void Vwd_Advance(VersionWord *word, Instant as_of, Addr from);

/* The age of WORD, or Vwd_NOT_KNOWN. */
Span Vwd_Age(const VersionWord *word, Instant now);

/* Sets is_old to whether WORD, which must be known, is older than in calm.
 * Returns whether that changed. */
bool Vwd_UpdateOld(VersionWord *word, Instant now);

/* Whether a node may say that a route does not exist, although it is missing
 * from its version only.  A change must be in force everywhere within
 * APPLY_BOUND after it was accepted.  One that is missing here was accepted
 * after WORD, so before that time has passed since WORD, nobody may count on
 * it yet. */
bool Vwd_ProvesAbsence(const VersionWord *word, Span apply_bound, Instant now);

#endif
