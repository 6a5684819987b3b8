#include "connection/logmsg.h"

enum { MESSAGE_FIELDS = 12, ENTRY_FIELDS = 4, HELLO_FIELDS = 6 };

void
Logmsg_Pack(Pack *pack, const RaftMessage *message)
{
    Wire_Begin(pack, Wire_RAFT, MESSAGE_FIELDS);
    Pack_U64(pack, message->kind);
    Pack_U64(pack, message->from);
    Pack_U64(pack, message->to);
    Pack_U64(pack, message->term);
    Pack_Bool(pack, message->is_pre_vote);
    Pack_Bool(pack, message->granted);
    Pack_U64(pack, message->last_term);
    Pack_U64(pack, message->last_index);
    Pack_U64(pack, message->commit_index);
    Pack_U64(pack, message->request_sent_at);
    Pack_Str(pack, message->snapshot);
    Pack_Array(pack, message->entry_count);
    for (uint32_t i = 0; i < message->entry_count; i++) {
        Pack_Array(pack, ENTRY_FIELDS);
        Pack_U64(pack, message->entries[i].term);
        Pack_U64(pack, message->entries[i].index);
        Pack_U64(pack, message->entries[i].kind);
        Pack_Str(pack, message->entries[i].data);
    }
}

static bool
take_entry(Unpack *list, RaftEntry *entry)
{
    Unpack in;

    Unpack_Array(list, ENTRY_FIELDS, &in);
    entry->term = Unpack_U64(&in);
    entry->index = Unpack_U64(&in);
    entry->kind = (RaftEntryKind)Unpack_Bounded(&in, Rlog_ENTRY_KINDS - 1);
    entry->data = Unpack_Str(&in);
    return Unpack_Ok(&in, NULL) && entry->data.len <= Logmsg_DATA_MAX;
}

static void
take_entries(Unpack *in, RaftMessage *message)
{
    Unpack list;
    uint32_t count = Unpack_Array(in, Rlog_BATCH_ENTRIES_MAX, &list);

    for (uint32_t i = 0; i < count; i++) {
        if (!take_entry(&list, &message->entries[i])) {
            Unpack_Fail(in);
            return;
        }
    }
    message->entry_count = count;
}

bool
Logmsg_Read(Unpack *in, RaftMessage *message, Err *err)
{
    message->kind =
        (RaftMessageKind)Unpack_Bounded(in, Rlog_MESSAGE_KINDS - 1);
    message->from = Unpack_U64(in);
    message->to = Unpack_U64(in);
    message->term = Unpack_U64(in);
    message->is_pre_vote = Unpack_Bool(in);
    message->granted = Unpack_Bool(in);
    message->last_term = Unpack_U64(in);
    message->last_index = Unpack_U64(in);
    message->commit_index = Unpack_U64(in);
    message->request_sent_at = Unpack_Bounded(in, INT64_MAX);
    message->snapshot = Unpack_Str(in);
    if (message->snapshot.len > Logmsg_SNAPSHOT_MAX) {
        Unpack_Fail(in);
    }
    message->entry_count = 0;
    take_entries(in, message);
    return Unpack_Ok(in, err);
}

void
Logmsg_PackHello(Pack *pack, const ReplicaHelloMessage *hello)
{
    Wire_Begin(pack, Wire_REPLICA_HELLO, HELLO_FIELDS);
    Pack_U64(pack, hello->identity);
    Pack_U64(pack, hello->addr);
    Pack_Bool(pack, hello->is_blank);
    Pack_Bool(pack, hello->is_reply);
    Pack_Array(pack, hello->known_replica_count);
    for (uint32_t i = 0; i < hello->known_replica_count; i++) {
        Pack_U64(pack, hello->known_replicas[i]);
    }
    Suspectmsg_PutSummary(pack, &hello->suspects);
}

bool
Logmsg_ReadHello(Unpack *in, ReplicaHelloMessage *hello, Err *err)
{
    Unpack known;

    hello->identity = Unpack_U64(in);
    hello->addr = Unpack_U64(in);
    hello->is_blank = Unpack_Bool(in);
    hello->is_reply = Unpack_Bool(in);
    hello->known_replica_count = Unpack_Array(in, Logmsg_KNOWN_MAX, &known);
    for (uint32_t i = 0; i < hello->known_replica_count; i++) {
        hello->known_replicas[i] = Unpack_U64(&known);
    }
    if (!Unpack_Ok(&known, NULL)) {
        Unpack_Fail(in);
    }
    Suspectmsg_TakeSummary(in, &hello->suspects);
    return Unpack_Ok(in, err);
}
