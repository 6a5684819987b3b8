/* Lnk: the budget of bytes that this node's calls may send over the
 * inter-region link, and the priority of the two request classes.
 *
 * The interactive class goes first: its bytes are charged, but a call is kept
 * in its region only when the rate is 0.  The debt is limited to one burst, so
 * that one large answer closes the link to the patient class for less than
 * half a second.  The patient class uses the link only while half of the burst
 * is left, and stays in its region otherwise.
 *
 * The caller checks Lnk_CanSend before it places a call, and calls Lnk_Charge
 * for each message of the call that crosses the link.
 */
#ifndef LINKBUDGET_H
#define LINKBUDGET_H

#include "value/tokenbucket.h"

typedef struct {
    TokenBucket bucket; /* tokens are bytes; negative: debt */
} LinkBudget;

/* A rate of 0 closes the link for calls of both classes. */
void Lnk_Init(LinkBudget *budget, uint32_t bytes_per_s, Instant now);
void Lnk_SetRate(LinkBudget *budget, uint32_t bytes_per_s, Instant now);

/* True when a call of BYTES may cross now.  Charges nothing. */
bool Lnk_CanSend(const LinkBudget *budget, bool is_interactive, uint32_t bytes,
                 Instant now);

/* BYTES crossed the link, in either direction. */
void Lnk_Charge(LinkBudget *budget, uint32_t bytes, Instant now);

#endif
