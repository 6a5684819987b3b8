/* Mck: checks what became of the requests of a mix.
 *
 * Each whole answer belongs to its request, a request that was answered has
 * run, one that "was not run" has not, and what must not run twice has not,
 * with its repetition.  The requests carry an Idempotency-Key, so that the
 * fake backend servers record each run.
 */
#ifndef FLEET_MIX_CHECK_H
#define FLEET_MIX_CHECK_H

#include "fleet_mix.h"

typedef struct {
    int by_outcome[Mix_WRONG + 1];
    int sent;           /* completely */
    int wrong;          /* answers to other requests, or not as sent */
    int answered_unrun; /* answered, without a run */
    int rejected_run;   /* "not run", with a run */
    int run_twice;      /* bookings */
} MixCheck;

/* Counts, and appends the callers with a fault to OUT. */
MixCheck Mck_Check(Fleet *fleet, const Mix *mix, StrBuf *out);

int Mck_CountFaults(const MixCheck *check);

/* Appends a line of the counts. */
void Mck_Print(const MixCheck *check, StrBuf *out);

#endif
