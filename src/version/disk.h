/* Disk: the storage of one control replica in its data folder.
 *
 *   identity   the replica's identity, written last when the folder is made
 *   vote       the first term and vote
 *   log        frames of appended entries, truncations and later votes
 *   snapshot   the state up to and including one entry
 *
 * Disk_Init opens the folder, Disk_Load reads it back once, and the Disk_Store
 * functions and Disk_TruncateEntries write to it.  When one of them returns
 * true, the data is synced.  After a failed write all further writes fail
 * until the folder is opened again.
 *
 * Disk_Load makes durable what it reads: an earlier process may have ended
 * before its sync.  An incomplete last frame of the log was never acknowledged
 * and is removed.  Any other data that does not match its
 * checksum is Err_CORRUPT: the operator replaces the folder by an empty one.
 */
#ifndef DISK_H
#define DISK_H

#include "version/rlog.h"

/* An open data folder, locked for this process. */
typedef struct {
    int folder_fd;
    int log_fd;
    uint64_t identity;      /* of the replica that the folder belongs to */
    bool is_new;            /* Disk_Init made the folder */
    bool write_failed;      /* all further writes fail too */
    size_t truncated_bytes; /* of an incomplete last frame of the log,
                               removed by Disk_Load */
} ReplicaStorage;

/* Callbacks that receive the stored data, in this order: the vote, the
 * snapshot if there is one, and each entry after the snapshot in order of
 * index.  Strings are valid during the call only.  A callback that returns
 * false sets ERR and ends Disk_Load with this error. */
typedef struct {
    void *context;
    bool (*on_vote)(void *context, uint64_t term, uint64_t voted_for,
                    Err *err);
    bool (*on_snapshot)(void *context, uint64_t term, uint64_t index,
                        Str snapshot, Err *err);
    bool (*on_entry)(void *context, const RaftEntry *entry, Err *err);
} StorageLoadCallbacks;

/* Opens FOLDER, or creates it with NEW_IDENTITY.  Fails with Err_BUSY while
 * another process has the folder open, and with Err_CORRUPT when the identity
 * or the log is missing or damaged. */
bool Disk_Init(ReplicaStorage *storage, Str folder, uint64_t new_identity,
               Err *err);

/* Closes the folder and releases its lock. */
void Disk_Finish(ReplicaStorage *storage);

/* Reads the whole folder back through CALLBACKS and writes the log anew;
 * returns false and sets ERR on failure. */
bool Disk_Load(ReplicaStorage *storage, const StorageLoadCallbacks *callbacks,
               Err *err);

/* Replaces the stored term and vote, by one append to the log: an election
 * waits for it.  VOTED_FOR is the identity of a replica;
 * 0 means no vote in TERM. */
bool Disk_StoreVote(ReplicaStorage *storage, uint64_t term, uint64_t voted_for,
                    Err *err);

/* Appends COUNT entries, which follow the last stored one without a gap. */
bool Disk_StoreEntries(ReplicaStorage *storage, const RaftEntry *entries,
                       size_t count, Err *err);

/* Removes the entries from FROM_INDEX on. */
bool Disk_TruncateEntries(ReplicaStorage *storage, uint64_t from_index,
                          Err *err);

/* Replaces the stored snapshot by SNAPSHOT, the state up to the entry at INDEX
 * of TERM, and removes the entries that it covers.  Entries after INDEX are
 * kept only when the stored entry at INDEX is of TERM. */
bool Disk_StoreSnapshot(ReplicaStorage *storage, uint64_t term, uint64_t index,
                        Str snapshot, Err *err);

#endif
