#include "process/acceptor.h"

#include <fcntl.h>
#include <unistd.h>

#include "connection/claimmsg.h"
#include "request/keyed.h"

#define PERIOD Span_MS(100)
#define ASK_AGAIN Span_MS(500)

enum {
    ENTRIES_MAX = 65536,
    ANSWER_BYTES = 8 * 1024 * 1024,
    PART_BYTES = 256 * 1024
};

static bool
open_file(const RegisterAcceptor *holder, int flags, int *fd)
{
    StrBuf path = {0};

    StrBuf_AppendFmt(&path, "%.*s/holder",
                     Str_ARG(holder->settings->data_folder));
    *fd = open(StrBuf_CStr(&path), flags, 0644);
    StrBuf_Finish(&path);
    return *fd >= 0;
}

static bool
has_file(const RegisterAcceptor *holder)
{
    int fd;
    bool found = open_file(holder, O_RDONLY | O_CLOEXEC, &fd);

    if (found) {
        close(fd);
    }
    return found;
}

static bool
sync_folder(const RegisterAcceptor *holder)
{
    StrBuf path = {0};
    int fd;
    bool synced;

    StrBuf_Set(&path, StrBuf_View(&holder->settings->data_folder));
    fd = open(StrBuf_CStr(&path), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    StrBuf_Finish(&path);
    synced = fd >= 0 && fsync(fd) == 0;
    if (fd >= 0) {
        close(fd);
    }
    return synced;
}

static bool
make_file(const RegisterAcceptor *holder)
{
    int fd;
    bool synced;

    if (!open_file(holder, O_WRONLY | O_CREAT | O_CLOEXEC, &fd)) {
        return false;
    }
    synced = fsync(fd) == 0;
    close(fd);
    return synced && sync_folder(holder);
}

static void
become_ready(RegisterAcceptor *holder, const char *how)
{
    if (!make_file(holder)) {
        Lgr_Log(holder->timeline->logger, Lgr_ERROR,
                Str_LIT("holder_not_ready"), "cannot write in %.*s",
                Str_ARG(holder->settings->data_folder));
        return;
    }
    Reg_SetReady(&holder->registers);
    Tml_Record(holder->timeline, Tml_HOLDER_READY, "%s registers=%zu", how,
               holder->registers.entries.count);
}

static bool
is_other(const RegisterAcceptor *holder, size_t number)
{
    return holder->settings->replicas[number] != holder->settings->address;
}

static AcceptorPeer *
find_peer(RegisterAcceptor *holder, Addr addr)
{
    for (size_t i = 0; i < holder->settings->replica_count; i++) {
        if (holder->settings->replicas[i] == addr) {
            return &holder->peers[i];
        }
    }
    return NULL;
}

/* Enough others that one of them is in every majority this holder was in. */
static void
check_ready(RegisterAcceptor *holder)
{
    size_t count = holder->settings->replica_count;
    size_t fresh = 0;
    size_t read = 0;

    for (size_t i = 0; i < count; i++) {
        if (is_other(holder, i)) {
            fresh += holder->peers[i].is_first_start;
            read += holder->peers[i].is_fully_read;
        }
    }
    if (holder->lacked_ready_file && fresh == count - 1) {
        become_ready(holder, "first start");
    }
    else if (count > 1 && read >= count - count / 2 && !holder->has_overflow) {
        become_ready(holder, "caught up");
    }
}

static void
ask_peer(RegisterAcceptor *holder, size_t number, Instant now)
{
    AcceptorPeer *peer = &holder->peers[number];
    RegistersAskMsg msg = {
        .from = holder->settings->address,
        .incarnation = holder->incarnation,
        .number = ++peer->request_number,
        .contents = Reg_MayCatchUp(&holder->registers, now),
    };
    Pack pack;

    peer->next_part = 0;
    peer->last_active_at = now;
    Claimmsg_PackRegistersAsk(&pack, &msg);
    Cnt_Add(holder->counters, Cnt_CONTROL_MESSAGES, 1);
    Cnt_Add(holder->counters, Cnt_CONTROL_BYTES, Pack_View(&pack).len);
    Net_Send(holder->net, holder->settings->replicas[number], Pack_View(&pack),
             now);
    Pack_Finish(&pack);
}

static void
on_timer(void *context, Instant now)
{
    RegisterAcceptor *holder = context;
    bool was_ready = holder->registers.is_ready;

    Reg_Expire(&holder->registers, now);
    if (holder->registers.is_ready) {
        if (!was_ready) {
            become_ready(holder, "retention passed");
        }
        return;
    }
    check_ready(holder);
    for (size_t i = 0; i < holder->settings->replica_count; i++) {
        const AcceptorPeer *peer = &holder->peers[i];
        if (is_other(holder, i) && !peer->is_fully_read &&
            (peer->request_number == 0 ||
             now - peer->last_active_at >= ASK_AGAIN)) {
            ask_peer(holder, i, now);
        }
    }
}

/* Registers on their way to a holder that catches up. */
typedef struct {
    RegisterAcceptor *holder;
    const NetOrigin *origin;
    RegistersMsg msg;
    size_t bytes;
    Instant now;
} Transfer;

static void
send_part(Transfer *transfer, bool last)
{
    Pack pack;

    transfer->msg.last = last;
    Claimmsg_PackRegisters(&pack, &transfer->msg);
    Cnt_Add(transfer->holder->counters, Cnt_CONTROL_MESSAGES, 1);
    Cnt_Add(transfer->holder->counters, Cnt_CONTROL_BYTES,
            Pack_View(&pack).len);
    Net_Answer(transfer->holder->net, transfer->origin, Pack_View(&pack),
               transfer->now);
    Pack_Finish(&pack);
    transfer->msg.part++;
    transfer->msg.row_count = 0;
    transfer->bytes = 0;
}

static void
add_row(void *context, Str key, PaxosBallot promised,
        const RegisterValue *value, bool mixed)
{
    Transfer *transfer = context;

    transfer->msg.rows[transfer->msg.row_count++] =
        (RegisterRow){key, promised, *value, mixed};
    transfer->bytes += key.len + value->answer.len;
    if (transfer->msg.row_count == Claimmsg_ROWS_MAX ||
        transfer->bytes >= PART_BYTES) {
        send_part(transfer, false);
    }
}

static bool
read_failed(RegisterAcceptor *holder, bool whole, const Err *err)
{
    if (!whole) {
        Cnt_Add(holder->counters, Cnt_MALFORMED, 1);
        Lgr_LogErr(holder->timeline->logger, Lgr_WARNING,
                   Str_LIT("message_refused"), err);
    }
    return !whole;
}

/* INCARNATION of the holder at ADDR is its first start that was heard of. */
static bool
is_first_start(RegisterAcceptor *holder, Addr addr, uint64_t incarnation)
{
    AcceptorPeer *peer = find_peer(holder, addr);

    if (!peer) {
        return false;
    }
    if (peer->first_incarnation == 0) {
        peer->first_incarnation = incarnation;
    }
    return holder->lacked_ready_file && peer->first_incarnation == incarnation;
}

static void
on_registers_ask(void *context, const NetOrigin *origin, Unpack *in,
                 Instant now)
{
    RegisterAcceptor *holder = context;
    RegistersAskMsg msg;
    Transfer transfer = {holder, origin, {0}, 0, now};
    Err err = {0};

    if (read_failed(holder, Claimmsg_ReadRegistersAsk(in, &msg, &err), &err)) {
        return;
    }
    transfer.msg.number = msg.number;
    transfer.msg.ready = holder->registers.is_ready;
    transfer.msg.fresh = is_first_start(holder, msg.from, msg.incarnation);
    if (holder->registers.is_ready && msg.contents) {
        Reg_ForEach(&holder->registers, add_row, &transfer);
    }
    transfer.msg.ready &= msg.contents;
    send_part(&transfer, true);
}

static void
merge_rows(RegisterAcceptor *holder, const RegistersMsg *msg, Instant now)
{
    for (uint32_t i = 0; i < msg->row_count; i++) {
        const RegisterRow *row = &msg->rows[i];
        holder->has_overflow |=
            !Reg_Merge(&holder->registers, row->key, row->promised,
                       &row->value, row->mixed, now);
    }
}

static void
on_registers(void *context, const NetOrigin *origin, Unpack *in, Instant now)
{
    RegisterAcceptor *holder = context;
    AcceptorPeer *peer = find_peer(holder, origin->peer);
    RegistersMsg msg;
    Err err = {0};

    if (read_failed(holder, Claimmsg_ReadRegisters(in, &msg, &err), &err) ||
        !peer || holder->registers.is_ready ||
        msg.number != peer->request_number || msg.part != peer->next_part) {
        return;
    }
    peer->next_part++;
    peer->last_active_at = now;
    peer->is_first_start = msg.fresh;
    merge_rows(holder, &msg, now);
    peer->is_fully_read = msg.last && msg.ready;
    check_ready(holder);
}

static void
answer_claim(RegisterAcceptor *holder, const NetOrigin *origin,
             const ClaimMsg *msg, const RegisterReply *answer, Instant now)
{
    ClaimedMsg claimed = {msg->claim, msg->phase, *answer};
    Pack pack;

    Claimmsg_PackClaimed(&pack, &claimed);
    Cnt_Add(holder->counters, Cnt_CONTROL_MESSAGES, 1);
    Cnt_Add(holder->counters, Cnt_CONTROL_BYTES, Pack_View(&pack).len);
    Net_Answer(holder->net, origin, Pack_View(&pack), now);
    Pack_Finish(&pack);
}

static void
on_claim(void *context, const NetOrigin *origin, Unpack *in, Instant now)
{
    RegisterAcceptor *holder = context;
    ClaimMsg msg;
    RegisterReply answer;
    Err err = {0};

    if (read_failed(holder, Claimmsg_ReadClaim(in, &msg, &err), &err)) {
        return;
    }
    switch (msg.verb) {
    case Claim_ACCEPT:
        answer = Reg_Accept(&holder->registers, msg.key, &msg.value, now);
        answer_claim(holder, origin, &msg, &answer, now);
        break;
    case Claim_PROMISE:
        answer =
            Reg_Promise(&holder->registers, msg.key, msg.value.ballot, now);
        answer_claim(holder, origin, &msg, &answer, now);
        break;
    case Claim_ENDED:
        Reg_OnEnded(&holder->registers, msg.key, &msg.value, now);
        break;
    default:
        Reg_OnReleased(&holder->registers, msg.key, msg.value.attempt);
        break;
    }
}

void
Acc_Init(RegisterAcceptor *holder, Loop *loop, Net *net, Counters *counters,
         Timeline *timeline, const Settings *settings, uint64_t incarnation,
         const PstLimits *limits)
{
    RegisterSettings reg = {
        .retention = limits->key_retention,
        .entries_max = ENTRIES_MAX,
        .kept_bytes_max = ANSWER_BYTES,
        .answer_bytes_max = Key_ANSWER_BYTES_MAX,
    };

    *holder = (RegisterAcceptor){
        .settings = settings,
        .net = net,
        .counters = counters,
        .timeline = timeline,
        .incarnation = incarnation,
    };
    /* Holders are counted by a fixed list. */
    if (!settings->control || settings->seed_count) {
        return;
    }
    holder->lacked_ready_file = !has_file(holder);
    Reg_Init(&holder->registers, &reg, false, Loop_Now());
    Net_On(net, Wire_CLAIM, on_claim, holder);
    Net_On(net, Wire_REGISTERS_ASK, on_registers_ask, holder);
    Net_On(net, Wire_REGISTERS, on_registers, holder);
    LoopTimer_Init(&holder->timer, loop, PERIOD, on_timer, holder);
}

void
Acc_Finish(RegisterAcceptor *holder)
{
    LoopTimer_Finish(&holder->timer);
    Reg_Finish(&holder->registers);
}

bool
Acc_IsReady(const RegisterAcceptor *holder)
{
    return !holder->settings->control || holder->settings->seed_count ||
           holder->registers.is_ready;
}

void
Acc_SetLimits(RegisterAcceptor *holder, const PstLimits *limits)
{
    Reg_SetRetention(&holder->registers, limits->key_retention);
}
