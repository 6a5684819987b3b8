#include "value/hash.h"

#include "value/mem.h"

enum { BUCKET_COUNT_MIN = 16 };

void
Hsh_Init(HashTable *table)
{
    *table = (HashTable){0};
}

void
Hsh_Finish(HashTable *table)
{
    Mem_Free(table->buckets);
    *table = (HashTable){0};
}

static HashLink **
find_bucket(const HashTable *table, uint64_t hash)
{
    return &table->buckets[hash & (table->bucket_count - 1)];
}

static void
push_link(HashTable *table, HashLink *link)
{
    HashLink **bucket = find_bucket(table, link->hash);

    link->next = *bucket;
    *bucket = link;
}

static void
grow_buckets(HashTable *table)
{
    HashTable old = *table;

    table->bucket_count =
        old.bucket_count ? old.bucket_count * 2 : BUCKET_COUNT_MIN;
    table->buckets = Mem_Alloc(table->bucket_count, sizeof(HashLink *));
    for (size_t i = 0; i < old.bucket_count; i++) {
        HashLink *next;
        for (HashLink *link = old.buckets[i]; link; link = next) {
            next = link->next;
            push_link(table, link);
        }
    }
    Mem_Free(old.buckets);
}

void
Hsh_Add(HashTable *table, HashLink *link, uint64_t hash)
{
    if (table->count >= table->bucket_count) {
        grow_buckets(table);
    }
    link->hash = hash;
    push_link(table, link);
    table->count++;
}

void
Hsh_Drop(HashTable *table, HashLink *link)
{
    HashLink **position = find_bucket(table, link->hash);

    while (*position != link) {
        position = &(*position)->next;
    }
    *position = link->next;
    table->count--;
}

/* Returns LINK or the first link after it in its bucket that has HASH, or
 * NULL. */
static HashLink *
find_in_chain(HashLink *link, uint64_t hash)
{
    while (link && link->hash != hash) {
        link = link->next;
    }
    return link;
}

HashLink *
Hsh_First(const HashTable *table, uint64_t hash)
{
    return table->count ? find_in_chain(*find_bucket(table, hash), hash)
                        : NULL;
}

HashLink *
Hsh_Next(const HashLink *link)
{
    return find_in_chain(link->next, link->hash);
}
