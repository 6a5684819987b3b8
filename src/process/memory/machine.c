#include "process/memory/machine.h"

#include <malloc.h>
#include <stdio.h>
#include <sys/resource.h>
#include <unistd.h>

enum { MIB = 1024 * 1024 };

/* A process that is told nothing takes no more, however large its machine. */
enum { UNTOLD_BYTES_MAX = 256 * MIB };

/* A block of this size is mapped by itself, and unmapped when it is freed. */
enum { MAPPED_BYTES_MIN = 128 * 1024 };

/* Free memory at the end of the heap that the allocator keeps. */
enum { HEAP_REST_BYTES = 128 * 1024 };

/* For this process's thread and for those of ZeroMQ. */
enum { ARENAS_MAX = 2 };

/* How often is looked, and from what difference on memory is returned. */
#define TRIM_INTERVAL Span_S(1)
enum { TRIM_BYTES_MIN = 4 * MIB };

static const char group_limit_file[] = "/sys/fs/cgroup/memory.max";

void
Mch_InitAllocator(void)
{
    mallopt(M_MMAP_THRESHOLD, MAPPED_BYTES_MIN);
    mallopt(M_TRIM_THRESHOLD, HEAP_REST_BYTES);
    mallopt(M_ARENA_MAX, ARENAS_MAX);
}

/* Returns the limit of the control group; 0: none, or not known. */
static unsigned long long
read_group_limit(void)
{
    unsigned long long bytes = 0;
    FILE *file = fopen(group_limit_file, "r");

    if (file) {
        if (fscanf(file, "%llu", &bytes) != 1) {
            bytes = 0; /* "max" */
        }
        fclose(file);
    }
    return bytes;
}

size_t
Mch_GetMemory(uint32_t memory_mb)
{
    size_t bytes = UNTOLD_BYTES_MAX;
    long pages = sysconf(_SC_PHYS_PAGES);
    long page_bytes = sysconf(_SC_PAGESIZE);
    unsigned long long group = read_group_limit();

    if (memory_mb) {
        return (size_t)memory_mb * MIB;
    }
    if (pages > 0 && page_bytes > 0 &&
        (size_t)pages < bytes / (size_t)page_bytes) {
        bytes = (size_t)pages * (size_t)page_bytes;
    }
    return group && group < bytes ? (size_t)group : bytes;
}

uint32_t
Mch_GetDescriptors(uint32_t descriptors_max)
{
    struct rlimit limit;
    uint32_t most = UINT32_MAX;

    if (getrlimit(RLIMIT_NOFILE, &limit) == 0 && limit.rlim_cur < most) {
        most = (uint32_t)limit.rlim_cur;
    }
    return descriptors_max && descriptors_max < most ? descriptors_max : most;
}

void
Mch_Trim(MemoryTrim *trim, size_t kept, Instant now)
{
    if (kept > trim->peak_bytes) {
        trim->peak_bytes = kept;
    }
    if (now - trim->looked_at < TRIM_INTERVAL) {
        return;
    }
    trim->looked_at = now;
    if (trim->peak_bytes - kept >= TRIM_BYTES_MIN) {
        malloc_trim(0);
        trim->peak_bytes = kept;
    }
}
