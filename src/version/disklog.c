#include "version/disklog.h"

#include "value/mem.h"
#include "value/pack.h"
#include "version/frame.h"

enum {
    FRAME_ENTRIES = 1,
    FRAME_TRUNCATION = 2,
    FRAME_VOTE = 3,
    ENTRY_FIELDS = 4,
    PER_FRAME_MAX = 65536
};

void
Dlg_Init(LogEntryList *list)
{
    *list = (LogEntryList){0};
}

void
Dlg_Finish(LogEntryList *list)
{
    Mem_Free(list->entries);
    *list = (LogEntryList){0};
}

static void
append_frame(StrBuf *out, Pack *pack)
{
    Frm_Append(out, Pack_View(pack));
    Pack_Finish(pack);
}

void
Dlg_AppendEntries(StrBuf *out, const RaftEntry *entries, size_t count)
{
    Pack pack;

    Pack_Init(&pack, (uint32_t)count + 1);
    Pack_U64(&pack, FRAME_ENTRIES);
    for (size_t i = 0; i < count; i++) {
        Pack_Array(&pack, ENTRY_FIELDS);
        Pack_U64(&pack, entries[i].term);
        Pack_U64(&pack, entries[i].index);
        Pack_U64(&pack, entries[i].kind);
        Pack_Str(&pack, entries[i].data);
    }
    append_frame(out, &pack);
}

void
Dlg_AppendTruncation(StrBuf *out, uint64_t from_index)
{
    Pack pack;

    Pack_Init(&pack, 2);
    Pack_U64(&pack, FRAME_TRUNCATION);
    Pack_U64(&pack, from_index);
    append_frame(out, &pack);
}

void
Dlg_AppendVote(StrBuf *out, uint64_t term, uint64_t voted_for)
{
    Pack pack;

    Pack_Init(&pack, 3);
    Pack_U64(&pack, FRAME_VOTE);
    Pack_U64(&pack, term);
    Pack_U64(&pack, voted_for);
    append_frame(out, &pack);
}

static bool
add_entry(LogEntryList *list, const RaftEntry *entry)
{
    if (list->count &&
        entry->index != list->entries[list->count - 1].index + 1) {
        return false;
    }
    if (list->count == list->capacity) {
        list->capacity = list->capacity ? list->capacity * 2 : 64;
        list->entries =
            Mem_Resize(list->entries, list->capacity, sizeof *list->entries);
    }
    list->entries[list->count++] = *entry;
    return true;
}

static bool
unpack_entry(LogEntryList *list, Unpack *in)
{
    Unpack item;
    RaftEntry entry;

    Unpack_Array(in, ENTRY_FIELDS, &item);
    entry.term = Unpack_U64(&item);
    entry.index = Unpack_U64(&item);
    entry.kind = (RaftEntryKind)Unpack_Bounded(&item, Rlog_ENTRY_KINDS - 1);
    entry.data = Unpack_Str(&item);
    return Unpack_Ok(&item, NULL) && add_entry(list, &entry);
}

static bool
unpack_entries(LogEntryList *list, Unpack *in)
{
    while (in->next < in->count) {
        if (!unpack_entry(list, in)) {
            return false;
        }
    }
    return true;
}

static void
drop_entries(LogEntryList *list, uint64_t from_index)
{
    while (list->count && list->entries[list->count - 1].index >= from_index) {
        list->count--;
    }
}

static void
unpack_vote(LogEntryList *list, Unpack *in)
{
    list->has_vote = true;
    list->vote_term = Unpack_U64(in);
    list->voted_for = Unpack_U64(in);
}

static bool
unpack_frame(LogEntryList *list, Str payload, Err *err)
{
    Unpack in;
    bool good = true;

    if (!Unpack_Init(&in, payload, err)) {
        return false;
    }
    switch (Unpack_U64(&in)) {
    case FRAME_ENTRIES:
        good = unpack_entries(list, &in);
        break;
    case FRAME_TRUNCATION:
        drop_entries(list, Unpack_U64(&in));
        break;
    case FRAME_VOTE:
        unpack_vote(list, &in);
        break;
    default:
        good = false;
    }
    good = good && Unpack_Ok(&in, NULL);
    Unpack_Finish(&in);
    return good || Err_SET(err, Err_CORRUPT, "malformed log frame");
}

bool
Dlg_ReadFrames(LogEntryList *list, Str bytes, Err *err)
{
    Str rest = bytes;
    Str payload;
    FrameStatus status;

    while ((status = Frm_ReadNext(&rest, &payload)) == Frm_COMPLETE) {
        if (!unpack_frame(list, payload, err)) {
            return false;
        }
    }
    list->intact_bytes = bytes.len - rest.len;
    if (status == Frm_CORRUPT) {
        return Err_SET(err, Err_CORRUPT, "log is corrupt at byte %zu",
                       list->intact_bytes);
    }
    return true;
}

bool
Dlg_DropThroughSnapshot(LogEntryList *list, uint64_t term, uint64_t index,
                        Err *err)
{
    size_t skip = 0;

    if (list->count && list->entries[0].index > index + 1) {
        return Err_SET(err, Err_CORRUPT,
                       "log entries %llu to %llu are missing",
                       (unsigned long long)index + 1,
                       (unsigned long long)list->entries[0].index - 1);
    }
    while (skip < list->count && list->entries[skip].index <= index) {
        skip++;
    }
    if (skip > 0 && (list->entries[skip - 1].index != index ||
                     list->entries[skip - 1].term != term)) {
        skip = list->count; /* the log diverged: the snapshot replaces it */
    }
    list->count -= skip;
    for (size_t i = 0; i < list->count; i++) {
        list->entries[i] = list->entries[i + skip];
    }
    return true;
}
