/* Dlg: the encoding of the log file of a control replica (see disk.h).
 *
 * The file is a sequence of frames (frame.h).  Each frame holds entries, one
 * truncation, which removes the entries from an index on, or a vote, which
 * replaces the one before it.  The append functions make frames;
 * Dlg_ReadFrames reads a file and applies its truncations and votes, so that
 * the list holds what is left.
 */
#ifndef DISKLOG_H
#define DISKLOG_H

#include "version/rlog.h"

/* The entries of a log file. */
typedef struct {
    RaftEntry *entries; /* consecutive indexes; their data points
                           into the bytes that were read */
    size_t count;
    size_t capacity;
    size_t intact_bytes; /* length of the file up to its last complete
                            frame */
    bool has_vote;       /* the file holds a vote, the members below */
    uint64_t vote_term;
    uint64_t voted_for; /* identity of a replica; 0: no vote in the term */
} LogEntryList;

void Dlg_Init(LogEntryList *list);
void Dlg_Finish(LogEntryList *list);

/* Reads BYTES, the content of a log file, into LIST, which is empty.  BYTES
 * must stay valid as long as LIST.  An incomplete last frame is no error and
 * is left out; Err_CORRUPT when any other frame is damaged. */
bool Dlg_ReadFrames(LogEntryList *list, Str bytes, Err *err);

/* Removes the entries that a snapshot up to the entry at INDEX of TERM covers,
 * or all entries when the one at INDEX is not of TERM.  Err_CORRUPT when there
 * is a gap between the snapshot and the first entry. */
bool Dlg_DropThroughSnapshot(LogEntryList *list, uint64_t term, uint64_t index,
                             Err *err);

/* Append one frame to OUT: COUNT entries, a truncation that removes the
 * entries from FROM_INDEX on, or a vote. */
void Dlg_AppendEntries(StrBuf *out, const RaftEntry *entries, size_t count);
void Dlg_AppendTruncation(StrBuf *out, uint64_t from_index);
void Dlg_AppendVote(StrBuf *out, uint64_t term, uint64_t voted_for);

#endif
