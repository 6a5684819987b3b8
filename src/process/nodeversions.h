/* Nvs: the configuration version in force at each node, as a membership table
 * has it.  A control replica's is up to date; a plain node's is as old as the
 * last other change of each row, since a change of version alone is not told
 * to nodes.
 */
#ifndef NODEVERSIONS_H
#define NODEVERSIONS_H

#include "process/membership.h"
#include "version/config.h"

typedef struct {
    Addr node;
    uint16_t domain;
    CfgVersion version;
    bool is_present; /* neither gone nor leaving */
} NodeVersion;

/* Zeroed: none. */
typedef struct {
    NodeVersion *rows;
    uint32_t count;
} NodeVersionTable;

/* Make it COUNT rows; those added are not set. */
void Nvs_Resize(NodeVersionTable *nvs, uint32_t count);
void Nvs_Finish(NodeVersionTable *nvs);

/* Take the rows of MBR. */
void Nvs_Fill(NodeVersionTable *nvs, const MembershipTable *mbr);

/* Add the rows of MBR's nodes that are not there: whoever told the others may
 * have started a moment ago. */
void Nvs_AddMissing(NodeVersionTable *nvs, const MembershipTable *mbr);

#endif
