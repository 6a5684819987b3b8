/* Rgm: sets of regions, as bit masks of region numbers.
 *
 * A route or a client account may be bound to regions: its calls run nowhere
 * else, and their bodies are sent to no node elsewhere.  The ingress node
 * computes once for each call which regions are barred to it, and all choices
 * of a node test the mask.  That no bit is set means that the call is free.
 */
#ifndef REGIONMASK_H
#define REGIONMASK_H

#include <stdbool.h>
#include <stdint.h>

/* Bit N: the region of number N (see settings.h). */
typedef uint64_t RegionMask;

/* Region numbers are below this. */
enum { Rgm_REGIONS_MAX = 64 };

static inline RegionMask
Rgm_Bit(uint16_t region)
{
    return region < Rgm_REGIONS_MAX ? (RegionMask)1 << region : 0;
}

/* Whether MASK has REGION; a mask with any bit has every region that is out of
 * bounds. */
static inline bool
Rgm_Has(RegionMask mask, uint16_t region)
{
    return region < Rgm_REGIONS_MAX ? mask >> region & 1 : mask != 0;
}

#endif
