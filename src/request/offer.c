#include "request/offer.h"

/* From the grant until the body has come. */
#define OFFER_TIMEOUT Span_S(10)

static void
drop_offer(OfferTable *table, MemoryBudget *budget, Offer *offer)
{
    Bdg_Force(budget, Bdg_ATTEMPTS, &offer->held, 0);
    *offer = table->items[--table->count];
}

static Offer *
find_offer(OfferTable *table, AttemptId id)
{
    for (size_t i = 0; i < table->count; i++) {
        if (AttemptId_Equal(table->items[i].id, id)) {
            return &table->items[i];
        }
    }
    return NULL;
}

bool
Ofr_Grant(OfferTable *table, MemoryBudget *budget, AttemptId id, size_t bytes,
          Instant now)
{
    Offer *offer = find_offer(table, id);

    if (offer) {
        return true;
    }
    if (table->count == Ofr_OPEN_MAX) {
        return false;
    }
    offer = &table->items[table->count];
    *offer = (Offer){.id = id, .granted_at = now};
    if (!Bdg_Resize(budget, Bdg_ATTEMPTS, &offer->held, bytes)) {
        return false;
    }
    table->count++;
    return true;
}

void
Ofr_End(OfferTable *table, MemoryBudget *budget, AttemptId id)
{
    Offer *offer = find_offer(table, id);

    if (offer) {
        drop_offer(table, budget, offer);
    }
}

void
Ofr_Expire(OfferTable *table, MemoryBudget *budget, Instant now)
{
    for (size_t i = table->count; i-- > 0;) {
        if (now - table->items[i].granted_at >= OFFER_TIMEOUT) {
            drop_offer(table, budget, &table->items[i]);
        }
    }
}
