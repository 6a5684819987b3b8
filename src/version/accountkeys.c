#include "version/accountkeys.h"

#include <xxhash.h>

#include "value/mem.h"

static uint64_t
hash_key(const AccountKeyTable *table, Str key)
{
    return XXH64(key.ptr, key.len, table->seed);
}

/* Compares all bytes, so that the time taken reveals nothing about a key. */
static bool
equals_in_constant_time(Str a, Str b)
{
    unsigned char differs = a.len != b.len;

    for (size_t i = 0; i < a.len && i < b.len; i++) {
        differs |= (unsigned char)(a.ptr[i] ^ b.ptr[i]);
    }
    return differs == 0;
}

static size_t
count_keys(const Preset *preset)
{
    size_t count = 0;

    for (size_t i = 0; i < preset->account_count; i++) {
        count += preset->accounts[i].key_count;
    }
    return count;
}

void
Ack_Init(AccountKeyTable *table, const Preset *preset, uint64_t seed)
{
    AccountKey *next;

    *table = (AccountKeyTable){.seed = seed};
    Hsh_Init(&table->by_key);
    if (!preset->account_count) {
        return;
    }
    table->keys = Mem_Alloc(count_keys(preset) + 1, sizeof *table->keys);
    next = table->keys;
    for (size_t i = 0; i < preset->account_count; i++) {
        const PresetAccount *account = &preset->accounts[i];
        for (size_t k = 0; k < account->key_count; k++) {
            next->key = StrBuf_View(&account->keys[k]);
            next->account = account;
            Hsh_Add(&table->by_key, &next->link, hash_key(table, next->key));
            next++;
        }
    }
}

void
Ack_Finish(AccountKeyTable *table)
{
    Hsh_Finish(&table->by_key);
    Mem_Free(table->keys);
}

const PresetAccount *
Ack_Find(const AccountKeyTable *table, Str key)
{
    const PresetAccount *found = NULL;
    HashLink *link = Hsh_First(&table->by_key, hash_key(table, key));

    for (; link; link = Hsh_Next(link)) {
        const AccountKey *entry = (const AccountKey *)link;
        if (equals_in_constant_time(entry->key, key)) {
            found = entry->account;
        }
    }
    return found;
}
