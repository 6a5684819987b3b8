/* Hsh: a hash table of links that live inside the caller's structs.
 *
 * The table knows only hashes: a caller walks the links of one hash with
 * Hsh_First and Hsh_Next and compares its own keys.  A struct whose first
 * member is its HshLink is found by a cast.
 */
#ifndef HASH_H
#define HASH_H

#include <stddef.h>
#include <stdint.h>

typedef struct HshLink HshLink;

struct HshLink {
    HshLink *next; /* in the same bucket */
    uint64_t hash;
};

typedef struct {
    HshLink **buckets;
    size_t bucket_count; /* a power of two, or 0 */
    size_t count;
} Hsh;

void Hsh_Init(Hsh *table);

/* The links stay the caller's. */
void Hsh_Finish(Hsh *table);

void Hsh_Add(Hsh *table, HshLink *link, uint64_t hash);
void Hsh_Drop(Hsh *table, HshLink *link);

/* Links with HASH, one after another; NULL at the end. */
HshLink *Hsh_First(const Hsh *table, uint64_t hash);
HshLink *Hsh_Next(const HshLink *link);

#endif
