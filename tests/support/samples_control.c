#include "connection/claimmsg.h"
#include "connection/configmsg.h"
#include "connection/leavemsg.h"
#include "connection/logmsg.h"
#include "connection/quotamsg.h"
#include "support/samples.h"

static const AttemptId attempt = {UINT64_C(1796381848187260), 42};
static const ConfigVersion version = {2, 10};
static const SuspectSummary suspect_summary = {{UINT32_MAX, UINT64_MAX}, true};

static const PaxosBallot ballot = {3, {UINT64_C(1796381848187261), 7}};

static RegisterValue
make_value(void)
{
    return (RegisterValue){
        .state = Reg_ENDED,
        .ballot = ballot,
        .attempt = attempt,
        .node = 77,
        .node_incarnation = 5,
        .request_fingerprint = 99,
        .answer = Str_LIT("41 tons"),
    };
}

static void
pack_register_request(Pack *pack)
{
    RegisterRequestMessage msg = {attempt, 2, Claim_ACCEPT, Str_LIT("lot-4"),
                                  make_value()};

    Claimmsg_PackRequest(pack, &msg);
}

static bool
read_register_request(Unpack *in, Err *err)
{
    RegisterRequestMessage msg;
    bool good = Claimmsg_ReadRequest(in, &msg, err);

    if (good) {
        Sample_Touch(msg.key);
        Sample_Touch(msg.value.answer);
    }
    return good;
}

static void
pack_register_reply(Pack *pack)
{
    RegisterReplyMessage msg = {
        attempt, 2, {Reg_REJECTED, ballot, make_value()}};

    Claimmsg_PackReply(pack, &msg);
}

static bool
read_register_reply(Unpack *in, Err *err)
{
    RegisterReplyMessage msg;
    bool good = Claimmsg_ReadReply(in, &msg, err);

    if (good) {
        Sample_Touch(msg.reply.value.answer);
    }
    return good;
}

static void
pack_fate_request(Pack *pack)
{
    FateRequestMessage msg = {attempt, attempt, 5};

    Claimmsg_PackFateRequest(pack, &msg);
}

static bool
read_fate_request(Unpack *in, Err *err)
{
    FateRequestMessage msg;

    return Claimmsg_ReadFateRequest(in, &msg, err);
}

static void
pack_fate_reply(Pack *pack)
{
    FateReplyMessage msg = {attempt, attempt, Clm_FATE_ANSWERED,
                            Str_LIT("41 tons")};

    Claimmsg_PackFateReply(pack, &msg);
}

static bool
read_fate_reply(Unpack *in, Err *err)
{
    FateReplyMessage msg;
    bool good = Claimmsg_ReadFateReply(in, &msg, err);

    if (good) {
        Sample_Touch(msg.answer);
    }
    return good;
}

static void
pack_catch_up_request(Pack *pack)
{
    CatchUpRequestMessage msg = {77, 5, 6, true};

    Claimmsg_PackCatchUpRequest(pack, &msg);
}

static bool
read_catch_up_request(Unpack *in, Err *err)
{
    CatchUpRequestMessage msg;

    return Claimmsg_ReadCatchUpRequest(in, &msg, err);
}

static void
pack_catch_up_reply(Pack *pack)
{
    static CatchUpReplyMessage msg = {
        .request_number = 6, .is_last = true, .is_ready = true};

    msg.row_count = 2;
    for (uint32_t i = 0; i < msg.row_count; i++) {
        msg.rows[i] =
            (RegisterRow){Str_LIT("lot-4"), ballot, make_value(), false};
    }
    Claimmsg_PackCatchUpReply(pack, &msg);
}

static bool
read_catch_up_reply(Unpack *in, Err *err)
{
    static CatchUpReplyMessage msg;
    bool good = Claimmsg_ReadCatchUpReply(in, &msg, err);

    for (uint32_t i = 0; good && i < msg.row_count; i++) {
        Sample_Touch(msg.rows[i].key);
        Sample_Touch(msg.rows[i].value.answer);
    }
    return good;
}

static void
pack_raft_message(Pack *pack)
{
    static RaftMessage msg = {
        .kind = Rlog_APPEND_REQUEST,
        .from = 1,
        .to = 2,
        .term = 3,
        .last_term = 2,
        .last_index = 9,
        .commit_index = 8,
        .entry_count = 2,
    };

    msg.entries[0] = (RaftEntry){3, 10, Rlog_ENTRY_CHANGE, Str_LIT("change")};
    msg.entries[1] = (RaftEntry){3, 11, Rlog_ENTRY_NOOP, {0}};
    Logmsg_Pack(pack, &msg);
}

static bool
read_raft_message(Unpack *in, Err *err)
{
    static RaftMessage msg;
    bool good = Logmsg_Read(in, &msg, err);

    for (uint32_t i = 0; good && i < msg.entry_count; i++) {
        Sample_Touch(msg.entries[i].data);
    }
    if (good) {
        Sample_Touch(msg.snapshot);
    }
    return good;
}

static void
pack_hello(Pack *pack)
{
    ReplicaHelloMessage msg = {UINT64_MAX,       77, true,           false,
                               {78, UINT64_MAX}, 2,  suspect_summary};

    Logmsg_PackHello(pack, &msg);
}

static bool
read_hello(Unpack *in, Err *err)
{
    ReplicaHelloMessage msg;

    return Logmsg_ReadHello(in, &msg, err);
}

static void
pack_change(Pack *pack)
{
    ConfigChangeMessage msg = {6,
                               {Cfg_PUT_PRESET, Str_LIT("id-1"), version,
                                Str_LIT("peak"), Str_LIT("{}")}};

    Configmsg_PackChange(pack, &msg);
}

static bool
read_change(Unpack *in, Err *err)
{
    ConfigChangeMessage msg;
    bool good = Configmsg_ReadChange(in, &msg, err);

    if (good) {
        Sample_Touch(msg.change.id);
        Sample_Touch(msg.change.preset_name);
        Sample_Touch(msg.change.json);
    }
    return good;
}

static void
pack_change_reply(Pack *pack)
{
    ConfigChangeReplyMessage msg = {
        .request_number = 6,
        .is_decided = true,
        .leader = 77,
        .result =
            {
                .outcome = Cfg_CONFLICT,
                .version = version,
                .has_winner = true,
                .winner_id = Str_LIT("id-1"),
                .winner_preset = Str_LIT("peak"),
                .winner_version = version,
            },
    };

    Configmsg_PackChangeReply(pack, &msg);
}

static bool
read_change_reply(Unpack *in, Err *err)
{
    ConfigChangeReplyMessage msg;
    bool good = Configmsg_ReadChangeReply(in, &msg, err);

    if (good) {
        Sample_Touch(msg.detail);
        Sample_Touch(msg.result.winner_id);
        Sample_Touch(msg.result.winner_preset);
    }
    return good;
}

static void
pack_version_request(Pack *pack)
{
    VersionRequestMessage msg = {77,   version, true,
                                 true, 4000,    suspect_summary};

    Configmsg_PackVersionRequest(pack, &msg);
}

static bool
read_version_request(Unpack *in, Err *err)
{
    VersionRequestMessage msg;

    return Configmsg_ReadVersionRequest(in, &msg, err);
}

static void
pack_version(Pack *pack)
{
    VersionMessage msg = {
        .is_current = true,
        .age = Span_MS(30),
        .request_sent_at = 4000,
        .leader = 77,
        .version = version,
        .json = Str_LIT("{}"),
        .evacuated = Str_LIT("norte-a\n"),
    };

    Configmsg_PackVersion(pack, &msg);
}

static bool
read_version(Unpack *in, Err *err)
{
    VersionMessage msg;
    bool good = Configmsg_ReadVersion(in, &msg, err);

    if (good) {
        Sample_Touch(msg.json);
        Sample_Touch(msg.evacuated);
    }
    return good;
}

static void
pack_presets_request(Pack *pack)
{
    PresetsRequestMessage msg = {6, Str_LIT("peak"), true, true, true};

    Configmsg_PackPresetsRequest(pack, &msg);
}

static bool
read_presets_request(Unpack *in, Err *err)
{
    PresetsRequestMessage msg;
    bool good = Configmsg_ReadPresetsRequest(in, &msg, err);

    if (good) {
        Sample_Touch(msg.name);
    }
    return good;
}

static void
pack_presets_reply(Pack *pack)
{
    NodeVersion nodes[] = {{77, 2, version, true}, {78, 3, {0}, false}};
    PresetsReplyMessage msg = {
        .request_number = 6,
        .is_current = true,
        .leader = 77,
        .version = version,
        .in_force = Str_LIT("peak"),
        .items = {{Str_LIT("ordinary"), version}, {Str_LIT("peak"), version}},
        .count = 2,
        .json = Str_LIT("{}"),
        .evacuated = Str_LIT("norte-a\n"),
        .nodes = {nodes, 2},
    };

    Configmsg_PackPresetsReply(pack, &msg);
}

static bool
read_presets_reply(Unpack *in, Err *err)
{
    PresetsReplyMessage msg;
    bool good = Configmsg_ReadPresetsReply(in, &msg, err);

    for (uint32_t i = 0; good && i < msg.count; i++) {
        Sample_Touch(msg.items[i].name);
    }
    if (good) {
        Sample_Touch(msg.in_force);
        Sample_Touch(msg.json);
    }
    Configmsg_FinishPresetsReply(&msg);
    return good;
}

static void
pack_suspects(Pack *pack)
{
    SuspectsHeader header = {UINT64_MAX, true, suspect_summary};
    SuspectRecord rows[] = {{1, UINT64_MAX, 77, Span_S(3), Sus_BLAMED},
                            {UINT64_MAX, 8, 78, 0, Sus_RELEASED}};

    Suspectmsg_Begin(pack, &header, 2);
    Suspectmsg_PutRecord(pack, &rows[0]);
    Suspectmsg_PutRecord(pack, &rows[1]);
}

static bool
read_suspects(Unpack *in, Err *err)
{
    SuspectsHeader header;
    SuspectRecord row;
    Unpack rows;
    uint32_t count = Suspectmsg_Open(in, &header, &rows);

    while (count && Suspectmsg_TakeRecord(&rows, &row)) {
        count--;
    }
    return Unpack_Ok(&rows, err) && Unpack_Ok(in, err);
}

static void
pack_suspects_ack(Pack *pack)
{
    Suspectmsg_PackAck(pack, UINT64_MAX);
}

static bool
read_suspects_ack(Unpack *in, Err *err)
{
    uint64_t number;

    return Suspectmsg_ReadAck(in, &number, err);
}

static void
pack_leave(Pack *pack)
{
    LeaveMessage msg = {77, {UINT64_MAX, 1700000000000}};

    Leavemsg_Pack(pack, Wire_LEAVE, &msg);
}

static void
pack_leave_reply(Pack *pack)
{
    LeaveMessage msg = {77, {0, 0}};

    Leavemsg_Pack(pack, Wire_LEAVE_REPLY, &msg);
}

static bool
read_leave(Unpack *in, Err *err)
{
    LeaveMessage msg;

    return Leavemsg_Read(in, &msg, err);
}

static void
pack_quota_ask(Pack *pack)
{
    QuotaAskMessage msg = {
        .node = 77,
        .sent_at = Span_S(3),
        .term = UINT64_MAX,
        .rows = {{UINT64_MAX, 3, 0, 0}, {1, 0, 2, UINT32_MAX}},
        .count = 2,
    };

    Quotamsg_PackAsk(pack, &msg);
}

static bool
read_quota_ask(Unpack *in, Err *err)
{
    QuotaAskMessage msg;

    return Quotamsg_ReadAsk(in, &msg, err);
}

static void
pack_quota_grant(Pack *pack)
{
    QuotaGrantMessage msg = {
        .sent_at = Span_S(3),
        .term = 4,
        .leader = 77,
        .rows = {{UINT64_MAX, 3, 1, 9, Span_MS(350), Span_MS(20), Span_MS(60)},
                 {1, 0, 0, 0, 0, 0, 0}},
        .count = 2,
    };

    Quotamsg_PackGrant(pack, &msg);
}

static bool
read_quota_grant(Unpack *in, Err *err)
{
    QuotaGrantMessage msg;

    return Quotamsg_ReadGrant(in, &msg, err);
}

const Sample control_samples[] = {
    {"register request", pack_register_request, read_register_request},
    {"register reply", pack_register_reply, read_register_reply},
    {"fate request", pack_fate_request, read_fate_request},
    {"fate reply", pack_fate_reply, read_fate_reply},
    {"catch-up request", pack_catch_up_request, read_catch_up_request},
    {"catch-up reply", pack_catch_up_reply, read_catch_up_reply},
    {"append request", pack_raft_message, read_raft_message},
    {"replica hello", pack_hello, read_hello},
    {"suspects", pack_suspects, read_suspects},
    {"suspects ack", pack_suspects_ack, read_suspects_ack},
    {"leave", pack_leave, read_leave},
    {"leave reply", pack_leave_reply, read_leave},
    {"quota ask", pack_quota_ask, read_quota_ask},
    {"quota grant", pack_quota_grant, read_quota_grant},
    {"configuration change", pack_change, read_change},
    {"configuration change reply", pack_change_reply, read_change_reply},
    {"version request", pack_version_request, read_version_request},
    {"version", pack_version, read_version},
    {"presets request", pack_presets_request, read_presets_request},
    {"presets reply", pack_presets_reply, read_presets_reply},
};

const int control_sample_count =
    sizeof control_samples / sizeof control_samples[0];
