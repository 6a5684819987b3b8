/* Mch: the memory and the descriptors that the machine gives this process, and
 * the return of freed memory to it.
 */
#ifndef MACHINE_H
#define MACHINE_H

#include <stddef.h>
#include <stdint.h>

#include "value/instant.h"

/* Makes the allocator give large blocks back when they are freed.  To be
 * called once, before other threads begin. */
void Mch_InitAllocator(void);

/* Returns the bytes that this process may take: MEMORY_MB, or if that is 0,
 * what the machine or the control group of the process has, within bounds. */
size_t Mch_GetMemory(uint32_t memory_mb);

/* Returns the descriptors that this process may open: DESCRIPTORS_MAX, or if
 * that is 0 or too many, its limit. */
uint32_t Mch_GetDescriptors(uint32_t descriptors_max);

/* When freed memory was last returned.  Begins zeroed. */
typedef struct {
    size_t peak_bytes; /* kept since then, at most */
    Instant looked_at;
} MemoryTrim;

/* Returns freed memory to the machine when much less is kept than at the peak.
 * KEPT: bytes kept now. */
void Mch_Trim(MemoryTrim *trim, size_t kept, Instant now);

#endif
