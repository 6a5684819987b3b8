/* Dlg: the entries in a log file's frames, as they stand after its cuts. */
#ifndef DISKLOG_H
#define DISKLOG_H

#include "version/rlog.h"

typedef struct {
    RaftEntry *items; /* data point into the bytes that were read */
    size_t count;
    size_t cap;
    size_t whole_bytes; /* of the file, before a torn last frame */
} DlgList;

void Dlg_Init(DlgList *list);
void Dlg_Finish(DlgList *list);

/* Read BYTES of a log file; they must outlive LIST. */
bool Dlg_Read(DlgList *list, Str bytes, Err *err);

/* Leave what comes after a snapshot of entry INDEX of TERM; Err_CORRUPT when
 * entries between it and the first one are missing. */
bool Dlg_KeepAfter(DlgList *list, uint64_t term, uint64_t index, Err *err);

/* Append one frame of entries, or of a cut, to OUT. */
void Dlg_AppendEntries(StrBuf *out, const RaftEntry *entries, size_t count);
void Dlg_AppendCut(StrBuf *out, uint64_t from_index);

#endif
