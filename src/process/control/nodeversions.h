/* Nvs: the configuration version in force at each node, taken from a
 * membership table.  /v1/versions shows it: the node that serves the request
 * gets the table of the leader, or else builds one of its own.
 *
 * The table of a control replica is up to date.  At any other node a version
 * is as old as the last other change of that node's membership row, since a
 * change of the version alone is not sent to nodes.
 */
#ifndef NODEVERSIONS_H
#define NODEVERSIONS_H

#include "process/membership/membership.h"
#include "version/config.h"

/* The configuration version of one node. */
typedef struct {
    Addr node;
    uint16_t domain;       /* failure domain, an index in the settings */
    ConfigVersion version; /* {0, 0}: none in force */
    bool is_present;       /* neither gone nor leaving */
} NodeVersion;

/* Zeroed: empty. */
typedef struct {
    NodeVersion *rows; /* owned; in the order of the membership table */
    uint32_t count;
} NodeVersionTable;

/* Changes the number of rows to COUNT; added rows are not initialized. */
void Nvs_Resize(NodeVersionTable *table, uint32_t count);

/* Frees the rows; the table is empty then. */
void Nvs_Finish(NodeVersionTable *table);

/* Replaces the rows by those of MEMBERSHIP. */
void Nvs_Fill(NodeVersionTable *table, const MembershipTable *membership);

/* Adds the rows of those nodes in MEMBERSHIP that TABLE lacks: the control
 * replica that sent TABLE may have just started and lack their rows. */
void Nvs_AddMissing(NodeVersionTable *table,
                    const MembershipTable *membership);

#endif
