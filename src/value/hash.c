#include "value/hash.h"

#include "value/mem.h"

enum { BUCKETS_MIN = 16 };

void
Hsh_Init(Hsh *table)
{
    *table = (Hsh){0};
}

void
Hsh_Finish(Hsh *table)
{
    Mem_Free(table->buckets);
    *table = (Hsh){0};
}

static HshLink **
bucket_of(const Hsh *table, uint64_t hash)
{
    return &table->buckets[hash & (table->bucket_count - 1)];
}

static void
push(Hsh *table, HshLink *link)
{
    HshLink **bucket = bucket_of(table, link->hash);

    link->next = *bucket;
    *bucket = link;
}

static void
grow(Hsh *table)
{
    Hsh old = *table;

    table->bucket_count =
        old.bucket_count ? old.bucket_count * 2 : BUCKETS_MIN;
    table->buckets = Mem_Alloc(table->bucket_count, sizeof(HshLink *));
    for (size_t i = 0; i < old.bucket_count; i++) {
        HshLink *next;
        for (HshLink *link = old.buckets[i]; link; link = next) {
            next = link->next;
            push(table, link);
        }
    }
    Mem_Free(old.buckets);
}

void
Hsh_Add(Hsh *table, HshLink *link, uint64_t hash)
{
    if (table->count >= table->bucket_count) {
        grow(table);
    }
    link->hash = hash;
    push(table, link);
    table->count++;
}

void
Hsh_Drop(Hsh *table, HshLink *link)
{
    HshLink **place = bucket_of(table, link->hash);

    while (*place != link) {
        place = &(*place)->next;
    }
    *place = link->next;
    table->count--;
}

static HshLink *
skip_to(HshLink *link, uint64_t hash)
{
    while (link && link->hash != hash) {
        link = link->next;
    }
    return link;
}

HshLink *
Hsh_First(const Hsh *table, uint64_t hash)
{
    return table->count ? skip_to(*bucket_of(table, hash), hash) : NULL;
}

HshLink *
Hsh_Next(const HshLink *link)
{
    return skip_to(link->next, link->hash);
}
