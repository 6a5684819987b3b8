/* Disk: the data folder of one control replica.
 *
 *   identity   made with the folder, last of all
 *   vote       term and vote
 *   log        frames of entries, and of cuts, appended and synced
 *   snapshot   the state up to an entry
 *
 * Everything that returns true is synced.  After a write that failed, what
 * follows fails too, until the folder is opened again.  A last frame of the
 * log that was not wholly written was never acknowledged: it is cut off when
 * the folder is opened.  Anything else that does not match its checksum is
 * Err_CORRUPT: the folder is to be replaced by an empty one.
 */
#ifndef DISK_H
#define DISK_H

#include "version/rlog.h"

typedef struct {
    int folder_fd;
    int log_fd;
    uint64_t identity;
    bool is_new;            /* the folder was made by this Init */
    bool write_failed;      /* a write failed */
    size_t truncated_bytes; /* bytes cut off the log when it was opened */
} ReplicaStorage;

/* What Disk_Load hands over, in this order; false ends it with ERR. */
typedef struct {
    void *context;
    bool (*on_vote)(void *context, uint64_t term, uint64_t voted_for,
                    Err *err);
    bool (*on_snapshot)(void *context, uint64_t term, uint64_t index,
                        Str snapshot, Err *err);
    bool (*on_entry)(void *context, const RaftEntry *entry, Err *err);
} StorageLoadCallbacks;

/* Open FOLDER, or make it with NEW_IDENTITY.  One process at a time. */
bool Disk_Init(ReplicaStorage *disk, Str folder, uint64_t new_identity,
               Err *err);
void Disk_Finish(ReplicaStorage *disk);

bool Disk_Load(ReplicaStorage *disk, const StorageLoadCallbacks *reader,
               Err *err);

bool Disk_StoreVote(ReplicaStorage *disk, uint64_t term, uint64_t voted_for,
                    Err *err);
bool Disk_StoreEntries(ReplicaStorage *disk, const RaftEntry *entries,
                       size_t count, Err *err);

/* Drop the entries from FROM_INDEX on. */
bool Disk_TruncateEntries(ReplicaStorage *disk, uint64_t from_index, Err *err);

/* Keep SNAPSHOT, and of the log the entries after INDEX if the one at INDEX
 * is of TERM, else none. */
bool Disk_StoreSnapshot(ReplicaStorage *disk, uint64_t term, uint64_t index,
                        Str snapshot, Err *err);

#endif
