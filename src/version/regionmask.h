/* Rgm: sets of regions, or of failure domains, as bit masks of their numbers.
 *
 * A route or a client account may be bound to regions: its calls run nowhere
 * else, and their bodies are sent to no node elsewhere.  The ingress node
 * computes once for each call which regions are barred to it, and all choices
 * of a node test the mask.  That no bit is set means that the call is free.
 * Which failure domains are evacuated is such a mask too.
 */
#ifndef REGIONMASK_H
#define REGIONMASK_H

#include <stdbool.h>
#include <stdint.h>

/* Bit N: the region of number N (see settings.h). */
typedef uint64_t RegionMask;

/* Bit N: the failure domain of index N in the settings. */
typedef uint64_t DomainMask;

/* The numbers of regions and of failure domains are below this. */
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
