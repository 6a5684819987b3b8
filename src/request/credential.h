/* Cdt: decides whether a key may be served, by what this node knows of the
 * keys of client accounts and by how old that is.
 *
 * A key that is missing here may have been added, and one that is here may
 * have been taken away, since the node last heard of its version.  So a node
 * that is cut off from the control replicas soon serves no key, and it says
 * "unknown" of none: it says that it can't tell.  It serves again as soon as
 * its version is confirmed.
 */
#ifndef CREDENTIAL_H
#define CREDENTIAL_H

#include "process/control/versionword.h"
#include "version/accountkeys.h"

typedef enum {
    Cdt_KNOWN,   /* the key of an account */
    Cdt_UNKNOWN, /* no account has it */
    Cdt_UNSURE   /* the node's version is too old to tell */
} CredentialVerdict;

typedef struct {
    Span apply;  /* time for a change to be in force everywhere */
    Span revoke; /* the same, for a key that is taken away, also at nodes that
                    are cut off; 0: those are not bound */
} CredentialBounds;

/* Looks KEY up.  ACCOUNT is set to its account for Cdt_KNOWN, else to NULL.
 * WORD is of the version that KEYS belong to. */
CredentialVerdict Cdt_FindAccount(const AccountKeyTable *keys, Str key,
                                  const VersionWord *word,
                                  const CredentialBounds *bounds,
                                  const PresetAccount **account, Instant now);

#endif
