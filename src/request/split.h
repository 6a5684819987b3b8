/* Spl, the decider of which service a call of a split route goes to.
 *
 * The shares follow the weights over any stretch of calls, not only in the
 * mean, and do not depend on which part has room.  Source: the additive
 * recurrence of the golden ratio, a sequence of low discrepancy (H. Weyl,
 * "Ueber die Gleichverteilung von Zahlen mod. Eins", 1916).
 */
#ifndef SPLIT_H
#define SPLIT_H

#include "value/rng.h"
#include "version/preset.h"

/* PRESET comes into force after BEFORE (NULL: none): routes that select the
 * same go on where they were, others start anywhere, so that nodes do not
 * send their first calls to the same part. */
void Spl_ContinueFrom(const Preset *preset, const Preset *before, Rng *rng);

/* The service of the next call; empty when no part has any weight. */
Str Spl_ChooseService(const PstRoute *route);

#endif
