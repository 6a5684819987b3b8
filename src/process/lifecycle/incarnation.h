/* Inc: the incarnation of a node, a number that identifies one start of one
 * process.
 *
 * A later start of the same node has a higher incarnation.  No two nodes share
 * one, even if they start in the same microsecond: attempt ids and request ids
 * are unique only because incarnations are.
 */
#ifndef INCARNATION_H
#define INCARNATION_H

#include <stdint.h>

/* The high bits hold the time, in steps of 16 ms, and the low bits a random
 * number.  WALL_US: microseconds since 1970; ENTROPY: random bits from the
 * operating system. */
uint64_t Inc_Make(int64_t wall_us, uint64_t entropy);

#endif
