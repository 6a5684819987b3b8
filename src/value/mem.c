#include "value/mem.h"

#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>

static void
abort_out_of_memory(size_t count, size_t size)
{
    fprintf(stderr, "out of memory: %zu items of %zu bytes\n", count, size);
    abort();
}

void *
Mem_Alloc(size_t count, size_t size)
{
    void *ptr = calloc(count ? count : 1, size ? size : 1);

    if (!ptr) {
        abort_out_of_memory(count, size);
    }
    return ptr;
}

void *
Mem_Resize(void *ptr, size_t count, size_t size)
{
    void *grown = NULL;
    size_t bytes = count * size;

    if (size == 0 || count <= SIZE_MAX / size) {
        grown = realloc(ptr, bytes > 0 ? bytes : 1);
    }
    if (!grown) {
        abort_out_of_memory(count, size);
    }
    return grown;
}

void
Mem_Free(void *ptr)
{
    free(ptr);
}
