/* Inc: the incarnation of a node, which names one start of one process.
 *
 * A later start of the same node has a higher one, and no two nodes share
 * one, even if they start in the same microsecond: attempt ids and request
 * ids are unique only because incarnations are.
 */
#ifndef INCARNATION_H
#define INCARNATION_H

#include <stdint.h>

/* Time in the high bits (16 ms a step), chance in the low ones.  WALL_US:
 * microseconds since 1970; ENTROPY: from the system's generator. */
uint64_t Inc_Make(int64_t wall_us, uint64_t entropy);

#endif
