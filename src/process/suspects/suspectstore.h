/* Sst: keeps the table of suspect requests in a file of a control replica's
 * data folder, so that the table outlives every process of the fleet.
 *
 * The one file, "suspects", is replaced as a whole by each save.  A file that
 * is missing or does not match its checksum counts as none, because the other
 * processes know more.
 */
#ifndef SUSPECTSTORE_H
#define SUSPECTSTORE_H

#include "process/suspects/suspecttable.h"
#include "value/err.h"

/* One moment on two clocks.  Ages of crashes are carried over a restart by the
 * wall clock, in microseconds since 1970. */
typedef struct {
    Instant monotonic_now;
    int64_t wall_us;
} SuspectStoreTime;

/* Returns true once the file is synced to disk, else false with ERR. */
bool Sst_Save(Str folder, const SuspectTable *table,
              const SuspectStoreTime *time, Err *err);

/* Merges the records of the file in FOLDER into TABLE.  Returns false with ERR
 * when there is no valid file. */
bool Sst_Load(Str folder, SuspectTable *table, const SuspectStoreTime *time,
              Err *err);

#endif
