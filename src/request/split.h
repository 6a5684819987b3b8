/* Spl, the decider of which service a call of a split route goes to.
 *
 * The shares follow the weights over any stretch of calls, not only in the
 * mean, and do not depend on which part has room.  Source: the additive
 * recurrence of the golden ratio, a sequence of low discrepancy (H. Weyl,
 * "Ueber die Gleichverteilung von Zahlen mod. Eins", 1916).
 */
#ifndef SPLIT_H
#define SPLIT_H

#include "version/preset.h"

/* The service of the next call; empty when no part has any weight. */
Str Spl_Choose(const PstRoute *route);

#endif
