/* Lvt: which starts of backend servers are known to leave.
 *
 * A node records the start of the backend server beside it here before it
 * acknowledges that the backend server drains or leaves, so that no restart of
 * a process makes it ready again.  Of each node only the latest such start is
 * kept, since all earlier ones are gone as well.
 *
 * A control replica has the rows of all nodes; process/membership/leavesync.h
 * keeps them in its data folder and exchanges them.
 */
#ifndef LEAVETABLE_H
#define LEAVETABLE_H

#include <stdbool.h>
#include <stddef.h>

#include "value/addr.h"
#include "value/instant.h"
#include "value/str.h"

/* One start of a backend server. */
typedef struct {
    uint64_t id_hash;      /* of its name; 0: no start */
    int64_t started_at_ms; /* milliseconds since 1970; 0: not given */
} BackendStart;

/* A row is dropped after Lvt_RETENTION: by then no announcement of its start
 * is under way any more. */
#define Lvt_RETENTION Span_S(600)
enum { Lvt_ROWS_MAX = 4096 };

typedef struct {
    Addr node; /* beside the backend server */
    BackendStart start;
    Instant recorded_at;
} LeaveRow;

/* All zero at first. */
typedef struct {
    LeaveRow *rows; /* owned; in no order */
    size_t count;
    size_t cap;
} LeaveTable;

BackendStart Lvt_MakeStart(Str id, int64_t started_at_ms);
bool Lvt_StartsAreEqual(BackendStart a, BackendStart b);

/* Whether A is to replace B as the latest start that leaves.  Of two starts
 * whose times do not tell, the one that is heard later does. */
bool Lvt_Replaces(BackendStart a, BackendStart b);

void Lvt_Finish(LeaveTable *table);

/* The backend server's START beside NODE leaves.  Returns true when that
 * changes the table.  In a full table the oldest row is replaced. */
bool Lvt_Merge(LeaveTable *table, Addr node, BackendStart start, Instant now);

/* The latest start beside NODE that is known to leave; id_hash 0: none. */
BackendStart Lvt_Find(const LeaveTable *table, Addr node);

/* Drops the rows that are older than the retention.  Returns whether there
 * was one. */
bool Lvt_Expire(LeaveTable *table, Instant now);

#endif
