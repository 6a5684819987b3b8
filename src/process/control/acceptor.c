#include "process/control/acceptor.h"

#include <fcntl.h>
#include <unistd.h>

#include "connection/claimmsg.h"
#include "request/keyed.h"

#define TIMER_PERIOD Span_MS(100)
#define REQUEST_TIMEOUT Span_MS(500)

enum {
    REGISTERS_MAX = 65536,
    KEPT_BYTES_MAX = 8 * 1024 * 1024,
    /* A part of a reply is sent once its keys and answers are this long. */
    PART_BYTES_TARGET = 256 * 1024
};

/* Opens the file "holder" in the data folder, which exists if this acceptor
 * was ever ready. */
static bool
open_ready_file(const RegisterAcceptor *acceptor, int flags, int *fd)
{
    StrBuf path = {0};

    StrBuf_AppendFmt(&path, "%.*s/holder",
                     Str_ARG(acceptor->settings->data_folder));
    *fd = open(StrBuf_CStr(&path), flags, 0644);
    StrBuf_Finish(&path);
    return *fd >= 0;
}

static bool
has_ready_file(const RegisterAcceptor *acceptor)
{
    int fd;
    bool found = open_ready_file(acceptor, O_RDONLY | O_CLOEXEC, &fd);

    if (found) {
        close(fd);
    }
    return found;
}

static bool
sync_folder(const RegisterAcceptor *acceptor)
{
    StrBuf path = {0};
    int fd;
    bool synced;

    StrBuf_Set(&path, StrBuf_View(&acceptor->settings->data_folder));
    fd = open(StrBuf_CStr(&path), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    StrBuf_Finish(&path);
    synced = fd >= 0 && fsync(fd) == 0;
    if (fd >= 0) {
        close(fd);
    }
    return synced;
}

static bool
create_ready_file(const RegisterAcceptor *acceptor)
{
    int fd;
    bool synced;

    if (!open_ready_file(acceptor, O_WRONLY | O_CREAT | O_CLOEXEC, &fd)) {
        return false;
    }
    synced = fsync(fd) == 0;
    close(fd);
    return synced && sync_folder(acceptor);
}

static void
become_ready(RegisterAcceptor *acceptor, const char *reason)
{
    if (!create_ready_file(acceptor)) {
        Lgr_Log(acceptor->timeline->logger, Lgr_ERROR,
                Str_LIT("acceptor_not_ready"),
                "can't create or sync the file \"holder\" in %.*s",
                Str_ARG(acceptor->settings->data_folder));
        return;
    }
    Reg_SetReady(&acceptor->registers);
    Tml_Record(acceptor->timeline, Tml_HOLDER_READY, "%s registers=%zu",
               reason, acceptor->registers.entries.count);
}

static bool
is_other_replica(const RegisterAcceptor *acceptor, size_t number)
{
    return acceptor->settings->replicas[number] != acceptor->settings->address;
}

static AcceptorPeer *
find_peer(RegisterAcceptor *acceptor, Addr addr)
{
    for (size_t i = 0; i < acceptor->settings->replica_count; i++) {
        if (acceptor->settings->replicas[i] == addr) {
            return &acceptor->peers[i];
        }
    }
    return NULL;
}

/* The acceptor has caught up when it has read so many others that at least one
 * of them was in every majority that it was part of. */
static void
become_ready_if_caught_up(RegisterAcceptor *acceptor)
{
    size_t count = acceptor->settings->replica_count;
    size_t first_starts = 0;
    size_t read_peers = 0;

    for (size_t i = 0; i < count; i++) {
        if (is_other_replica(acceptor, i)) {
            first_starts += acceptor->peers[i].is_first_start;
            read_peers += acceptor->peers[i].is_fully_read;
        }
    }
    if (acceptor->lacked_ready_file && first_starts == count - 1) {
        become_ready(acceptor, "first start");
    }
    else if (count > 1 && read_peers >= count - count / 2 &&
             !acceptor->has_overflow) {
        become_ready(acceptor, "caught up");
    }
}

static void
request_registers(RegisterAcceptor *acceptor, size_t number, Instant now)
{
    AcceptorPeer *peer = &acceptor->peers[number];
    CatchUpRequestMessage msg = {
        .from = acceptor->settings->address,
        .incarnation = acceptor->incarnation,
        .request_number = ++peer->request_number,
        .wants_rows = Reg_MayCatchUp(&acceptor->registers, now),
    };
    Pack pack;

    peer->next_part = 0;
    peer->last_active_at = now;
    Claimmsg_PackCatchUpRequest(&pack, &msg);
    Cnt_Add(acceptor->counters, Cnt_CONTROL_MESSAGES, 1);
    Cnt_Add(acceptor->counters, Cnt_CONTROL_BYTES, Pack_View(&pack).len);
    Net_Send(acceptor->net, acceptor->settings->replicas[number],
             Pack_View(&pack), now);
    Pack_Finish(&pack);
}

static void
on_timer(void *context, Instant now)
{
    RegisterAcceptor *acceptor = context;
    bool was_ready = acceptor->registers.is_ready;

    Reg_Expire(&acceptor->registers, now);
    if (acceptor->registers.is_ready) {
        if (!was_ready) {
            become_ready(acceptor, "retention passed");
        }
        return;
    }
    become_ready_if_caught_up(acceptor);
    for (size_t i = 0; i < acceptor->settings->replica_count; i++) {
        const AcceptorPeer *peer = &acceptor->peers[i];
        if (is_other_replica(acceptor, i) && !peer->is_fully_read &&
            (peer->request_number == 0 ||
             now - peer->last_active_at >= REQUEST_TIMEOUT)) {
            request_registers(acceptor, i, now);
        }
    }
}

/* The reply that carries all registers to an acceptor that catches up, in
 * parts. */
typedef struct {
    RegisterAcceptor *acceptor;
    const NetOrigin *origin;
    CatchUpReplyMessage msg;
    size_t bytes; /* keys and answers in msg.rows */
    Instant now;
} RegisterTransfer;

static void
send_part(RegisterTransfer *transfer, bool last)
{
    Pack pack;

    transfer->msg.is_last = last;
    Claimmsg_PackCatchUpReply(&pack, &transfer->msg);
    Cnt_Add(transfer->acceptor->counters, Cnt_CONTROL_MESSAGES, 1);
    Cnt_Add(transfer->acceptor->counters, Cnt_CONTROL_BYTES,
            Pack_View(&pack).len);
    Net_Answer(transfer->acceptor->net, transfer->origin, Pack_View(&pack),
               transfer->now);
    Pack_Finish(&pack);
    transfer->msg.part++;
    transfer->msg.row_count = 0;
    transfer->bytes = 0;
}

static void
add_row(void *context, Str key, PaxosBallot promised,
        const RegisterValue *value, bool has_conflict)
{
    RegisterTransfer *transfer = context;

    transfer->msg.rows[transfer->msg.row_count++] =
        (RegisterRow){key, promised, *value, has_conflict};
    transfer->bytes += key.len + value->answer.len;
    if (transfer->msg.row_count == Claimmsg_ROWS_MAX ||
        transfer->bytes >= PART_BYTES_TARGET) {
        send_part(transfer, false);
    }
}

/* Counts and logs a malformed message.  Returns whether it is one. */
static bool
report_malformed(RegisterAcceptor *acceptor, bool is_well_formed,
                 const Err *err)
{
    if (!is_well_formed) {
        Cnt_Add(acceptor->counters, Cnt_MALFORMED, 1);
        Lgr_LogErr(acceptor->timeline->logger, Lgr_WARNING,
                   Str_LIT("message_refused"), err);
    }
    return !is_well_formed;
}

/* Whether neither this acceptor nor the one at ADDR, which has INCARNATION
 * now, is known to have run before. */
static bool
is_shared_first_start(RegisterAcceptor *acceptor, Addr addr,
                      uint64_t incarnation)
{
    AcceptorPeer *peer = find_peer(acceptor, addr);

    if (!peer) {
        return false;
    }
    if (peer->first_incarnation == 0) {
        peer->first_incarnation = incarnation;
    }
    return acceptor->lacked_ready_file &&
           peer->first_incarnation == incarnation;
}

static void
on_catch_up_request(void *context, const NetOrigin *origin, Unpack *in,
                    Instant now)
{
    RegisterAcceptor *acceptor = context;
    CatchUpRequestMessage msg;
    RegisterTransfer transfer = {acceptor, origin, {0}, 0, now};
    Err err = {0};

    if (report_malformed(acceptor, Claimmsg_ReadCatchUpRequest(in, &msg, &err),
                         &err)) {
        return;
    }
    transfer.msg.request_number = msg.request_number;
    transfer.msg.is_ready = acceptor->registers.is_ready;
    transfer.msg.is_first_start =
        is_shared_first_start(acceptor, msg.from, msg.incarnation);
    if (acceptor->registers.is_ready && msg.wants_rows) {
        Reg_ForEach(&acceptor->registers, add_row, &transfer);
    }
    transfer.msg.is_ready &= msg.wants_rows;
    send_part(&transfer, true);
}

static void
merge_rows(RegisterAcceptor *acceptor, const CatchUpReplyMessage *msg,
           Instant now)
{
    for (uint32_t i = 0; i < msg->row_count; i++) {
        const RegisterRow *row = &msg->rows[i];
        acceptor->has_overflow |=
            !Reg_Merge(&acceptor->registers, row->key, row->promised,
                       &row->value, row->has_conflict, now);
    }
}

static void
on_catch_up_reply(void *context, const NetOrigin *origin, Unpack *in,
                  Instant now)
{
    RegisterAcceptor *acceptor = context;
    AcceptorPeer *peer = find_peer(acceptor, origin->peer);
    CatchUpReplyMessage msg;
    Err err = {0};

    if (report_malformed(acceptor, Claimmsg_ReadCatchUpReply(in, &msg, &err),
                         &err) ||
        !peer || acceptor->registers.is_ready ||
        msg.request_number != peer->request_number ||
        msg.part != peer->next_part) {
        return;
    }
    peer->next_part++;
    peer->last_active_at = now;
    peer->is_first_start = msg.is_first_start;
    merge_rows(acceptor, &msg, now);
    peer->is_fully_read = msg.is_last && msg.is_ready;
    become_ready_if_caught_up(acceptor);
}

static void
reply_to_proposer(RegisterAcceptor *acceptor, const NetOrigin *origin,
                  const RegisterRequestMessage *msg,
                  const RegisterReply *reply, Instant now)
{
    RegisterReplyMessage reply_msg = {msg->claim_id, msg->phase, *reply};
    Pack pack;

    Claimmsg_PackReply(&pack, &reply_msg);
    Cnt_Add(acceptor->counters, Cnt_CONTROL_MESSAGES, 1);
    Cnt_Add(acceptor->counters, Cnt_CONTROL_BYTES, Pack_View(&pack).len);
    Net_Answer(acceptor->net, origin, Pack_View(&pack), now);
    Pack_Finish(&pack);
}

static void
on_register_request(void *context, const NetOrigin *origin, Unpack *in,
                    Instant now)
{
    RegisterAcceptor *acceptor = context;
    RegisterRequestMessage msg;
    RegisterReply reply;
    Err err = {0};

    if (report_malformed(acceptor, Claimmsg_ReadRequest(in, &msg, &err),
                         &err)) {
        return;
    }
    switch (msg.operation) {
    case Claim_ACCEPT:
        reply = Reg_Accept(&acceptor->registers, msg.key, &msg.value, now);
        reply_to_proposer(acceptor, origin, &msg, &reply, now);
        break;
    case Claim_PREPARE:
        reply =
            Reg_Promise(&acceptor->registers, msg.key, msg.value.ballot, now);
        reply_to_proposer(acceptor, origin, &msg, &reply, now);
        break;
    case Claim_ENDED:
        Reg_OnEnded(&acceptor->registers, msg.key, &msg.value, now);
        break;
    default:
        Reg_OnReleased(&acceptor->registers, msg.key, msg.value.attempt);
        break;
    }
}

void
Acc_Init(RegisterAcceptor *acceptor, Loop *loop, Net *net, Counters *counters,
         Timeline *timeline, const Settings *settings, uint64_t incarnation,
         const PresetLimits *limits)
{
    RegisterSettings register_settings = {
        .retention = limits->key_retention,
        .entries_max = REGISTERS_MAX,
        .kept_bytes_max = KEPT_BYTES_MAX,
        .answer_bytes_max = Key_ANSWER_BYTES_MAX,
    };

    *acceptor = (RegisterAcceptor){
        .settings = settings,
        .net = net,
        .counters = counters,
        .timeline = timeline,
        .incarnation = incarnation,
    };
    /* Majorities are counted over a fixed list of replicas, which a node with
     * seeds does not have. */
    if (!settings->control || settings->seed_count) {
        return;
    }
    acceptor->lacked_ready_file = !has_ready_file(acceptor);
    Reg_Init(&acceptor->registers, &register_settings, false, Loop_Now());
    Net_SetHandler(net, Wire_REGISTER_REQUEST, on_register_request, acceptor);
    Net_SetHandler(net, Wire_CATCH_UP_REQUEST, on_catch_up_request, acceptor);
    Net_SetHandler(net, Wire_CATCH_UP_REPLY, on_catch_up_reply, acceptor);
    LoopTimer_Init(&acceptor->timer, loop, TIMER_PERIOD, on_timer, acceptor);
}

void
Acc_Finish(RegisterAcceptor *acceptor)
{
    LoopTimer_Finish(&acceptor->timer);
    Reg_Finish(&acceptor->registers);
}

bool
Acc_IsReady(const RegisterAcceptor *acceptor)
{
    return !acceptor->settings->control || acceptor->settings->seed_count ||
           acceptor->registers.is_ready;
}

void
Acc_SetLimits(RegisterAcceptor *acceptor, const PresetLimits *limits)
{
    Reg_SetRetention(&acceptor->registers, limits->key_retention);
}
