/* Spl: chooses the service of each call of a split route, that is, a route
 * that divides its calls among several services by weight.
 *
 * The shares follow the weights over any window of calls, not only on average,
 * and do not depend on which service has room.  The position in the sequence
 * is kept in the route (PresetRoute) and is carried over to the next version
 * of the preset.
 *
 * Source: the additive recurrence of the golden ratio, a low-discrepancy
 * sequence (H. Weyl, "Ueber die Gleichverteilung von Zahlen mod. Eins",
 * 1916).
 */
#ifndef SPLIT_H
#define SPLIT_H

#include "value/rng.h"
#include "version/preset.h"

/* Sets the positions of the routes of PRESET, which replaces PREVIOUS (NULL:
 * none).  A route with the host, path and method of a previous one continues
 * at its position; the others start at a random position, so that the nodes do
 * not all send their first calls to the same part. */
void Spl_ContinueFrom(const Preset *preset, const Preset *previous, Rng *rng);

/* Returns the service of the next call and advances the position; empty when
 * no part has a weight above 0.  A route without parts has one service. */
Str Spl_ChooseService(const PresetRoute *route);

#endif
