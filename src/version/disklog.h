/* Dlg: the entries in a log file's frames, as they stand after its cuts. */
#ifndef DISKLOG_H
#define DISKLOG_H

#include "version/rlog.h"

typedef struct {
    RaftEntry *entries; /* data point into the bytes that were read */
    size_t count;
    size_t capacity;
    size_t intact_bytes; /* of the file, before a torn last frame */
} LogEntryList;

void Dlg_Init(LogEntryList *list);
void Dlg_Finish(LogEntryList *list);

/* Read BYTES of a log file; they must outlive LIST. */
bool Dlg_ReadFrames(LogEntryList *list, Str bytes, Err *err);

/* Leave what comes after a snapshot of entry INDEX of TERM; Err_CORRUPT when
 * entries between it and the first one are missing. */
bool Dlg_DropThroughSnapshot(LogEntryList *list, uint64_t term, uint64_t index,
                             Err *err);

/* Append one frame of entries, or of a cut, to OUT. */
void Dlg_AppendEntries(StrBuf *out, const RaftEntry *entries, size_t count);
void Dlg_AppendTruncation(StrBuf *out, uint64_t from_index);

#endif
