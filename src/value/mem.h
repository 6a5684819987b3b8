/* Mem: memory allocation that aborts the process on failure.
 *
 * Callers need no error handling.  A node without memory could not finish its
 * requests as guaranteed, so it stops at once, and the other nodes treat it as
 * failed.
 */
#ifndef MEM_H
#define MEM_H

#include <stddef.h>

/* Returns zeroed memory for COUNT items of SIZE bytes, never NULL.  Release it
 * with Mem_Free. */
void *Mem_Alloc(size_t count, size_t size);

/* Resizes PTR, which may be NULL, to COUNT items of SIZE bytes and returns the
 * new memory, never NULL.  PTR is invalid afterwards; additional bytes are not
 * initialized. */
void *Mem_Resize(void *ptr, size_t count, size_t size);

/* Releases PTR, which may be NULL. */
void Mem_Free(void *ptr);

#endif
