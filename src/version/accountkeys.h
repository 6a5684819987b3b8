/* Ack: finds the client account that a key belongs to.
 *
 * The table is made with each version of the preset and refers to its
 * accounts.  A lookup takes the same work for a known key as for an unknown
 * one: one hash, one bucket, and a comparison whose time does not depend on
 * the bytes.  The seed of the hash is secret, so that nobody can make keys
 * that share a bucket.
 */
#ifndef ACCOUNTKEYS_H
#define ACCOUNTKEYS_H

#include "value/hash.h"
#include "version/preset.h"

/* One key of an account. */
typedef struct {
    HashLink link; /* must be the first member */
    Str key;       /* borrowed from the preset */
    const PresetAccount *account;
} AccountKey;

typedef struct {
    AccountKey *keys; /* owned */
    HashTable by_key;
    uint64_t seed;
} AccountKeyTable;

/* Makes the table of the accounts of PRESET, which must outlive it and not
 * move its accounts. */
void Ack_Init(AccountKeyTable *table, const Preset *preset, uint64_t seed);
void Ack_Finish(AccountKeyTable *table);

/* The account of KEY; NULL: there is none. */
const PresetAccount *Ack_Find(const AccountKeyTable *table, Str key);

#endif
