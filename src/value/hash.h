/* Hsh: an intrusive hash table with chaining.
 *
 * The links are members of the caller's structs.  The table knows hashes only,
 * not keys: the caller iterates over the links of a hash with Hsh_First and
 * Hsh_Next and compares the keys itself.  A struct whose first member is its
 * HashLink is obtained from the link by a cast.
 */
#ifndef HASH_H
#define HASH_H

#include <stddef.h>
#include <stdint.h>

typedef struct HashLink HashLink;

/* Member of a struct that is in one table at a time.  Set by Hsh_Add. */
struct HashLink {
    HashLink *next; /* in the same bucket */
    uint64_t hash;
};

typedef struct {
    HashLink **buckets;
    size_t bucket_count; /* a power of two, or 0 */
    size_t count;        /* links in the table */
} HashTable;

/* Starts an empty table; allocates nothing. */
void Hsh_Init(HashTable *table);

/* Frees the buckets.  The links remain owned by the caller. */
void Hsh_Finish(HashTable *table);

/* Adds LINK under HASH.  Several links may have the same hash.  The table may
 * grow, which reorders the links: do not add during an iteration. */
void Hsh_Add(HashTable *table, HashLink *link, uint64_t hash);

/* Removes LINK, which must be in the table. */
void Hsh_Drop(HashTable *table, HashLink *link);

/* Iterate over the links with a hash.  NULL when there is no further one. */
HashLink *Hsh_First(const HashTable *table, uint64_t hash);
HashLink *Hsh_Next(const HashLink *link);

#endif
