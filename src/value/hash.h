/* HashTable: a hash table of links that live inside the caller's structs.
 *
 * The table knows only hashes: a caller walks the links of one hash with
 * Hsh_First and Hsh_Next and compares its own keys.  A struct whose first
 * member is its HashLink is found by a cast.
 */
#ifndef HASH_H
#define HASH_H

#include <stddef.h>
#include <stdint.h>

typedef struct HashLink HashLink;

struct HashLink {
    HashLink *next; /* in the same bucket */
    uint64_t hash;
};

typedef struct {
    HashLink **buckets;
    size_t bucket_count; /* a power of two, or 0 */
    size_t count;
} HashTable;

void Hsh_Init(HashTable *table);

/* The links stay the caller's. */
void Hsh_Finish(HashTable *table);

void Hsh_Add(HashTable *table, HashLink *link, uint64_t hash);
void Hsh_Drop(HashTable *table, HashLink *link);

/* Links with HASH, one after another; NULL at the end. */
HashLink *Hsh_First(const HashTable *table, uint64_t hash);
HashLink *Hsh_Next(const HashLink *link);

#endif
