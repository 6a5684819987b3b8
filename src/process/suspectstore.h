/* Sst: what is known of suspect requests, kept in a file of a control
 * replica's data folder, so that it outlives every process of the fleet.
 *
 * One file, replaced as a whole.  A file that is missing or does not match its
 * checksum is as none: the other processes know more.
 */
#ifndef SUSPECTSTORE_H
#define SUSPECTSTORE_H

#include "process/suspecttable.h"
#include "value/err.h"

/* WALL: microseconds since 1970, from which ages are told over a restart. */
typedef struct {
    Instant monotonic_now;
    int64_t wall_us;
} SuspectStoreTime;

/* Synced when this returns true. */
bool Sst_Save(Str folder, const SuspectTable *sus,
              const SuspectStoreTime *time, Err *err);

/* Add what the file in FOLDER holds to SUS; false, with ERR, without one. */
bool Sst_Load(Str folder, SuspectTable *sus, const SuspectStoreTime *time,
              Err *err);

#endif
