/* Lnk, the budget of the regions' link: what of this node's calls may cross,
 * and in which order.
 *
 * Interactive calls go first: they are charged, and held back only when the
 * rate is nil.  The debt is bounded by one burst, so that one large answer
 * closes the link to the patient class for less than half a second.
 * The patient class crosses only while half the burst is left, and keeps to
 * its region otherwise.
 */
#ifndef LINKBUDGET_H
#define LINKBUDGET_H

#include "process/tokenbucket.h"

typedef struct {
    TokenBucket bucket;
} LinkBudget;

void Lnk_Init(LinkBudget *link, uint32_t bytes_per_s, Instant now);
void Lnk_SetRate(LinkBudget *link, uint32_t bytes_per_s, Instant now);

/* May a call of BYTES cross now?  Nothing is charged. */
bool Lnk_CanSend(const LinkBudget *link, bool interactive, uint32_t bytes,
                 Instant now);

/* BYTES crossed, either way. */
void Lnk_Charge(LinkBudget *link, uint32_t bytes, Instant now);

#endif
