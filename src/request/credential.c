#include "request/credential.h"

/* The part of the bound of revocation for which a word of the version counts;
 * the rest covers the drift of the node's clock. */
enum { WORD_PERCENT = 90, PERCENT = 100 };

CredentialVerdict
Cdt_FindAccount(const AccountKeyTable *keys, Str key, const VersionWord *word,
                const CredentialBounds *bounds, const PresetAccount **account,
                Instant now)
{
    const PresetAccount *found = Ack_Find(keys, key);
    Span word_age_max = bounds->revoke / PERCENT * WORD_PERCENT;

    *account = NULL;
    if (!found) {
        return Vwd_ProvesAbsence(word, bounds->apply, now) ? Cdt_UNKNOWN
                                                           : Cdt_UNSURE;
    }
    if (bounds->revoke && Vwd_Age(word, now) >= word_age_max) {
        return Cdt_UNSURE;
    }
    *account = found;
    return Cdt_KNOWN;
}
