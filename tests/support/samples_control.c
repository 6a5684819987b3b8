#include "support/samples_control.h"

#include "connection/configmsg.h"
#include "connection/logmsg.h"

static const Str json = Str_LIT("{\"name\":\"peak\"}");
static const CfgVersion version = {3, 17};

/* See samples.c: every byte of a string that was read is looked at. */
static uint64_t touched;

static void
touch(Str text)
{
    for (size_t i = 0; i < text.len; i++) {
        touched += (unsigned char)text.ptr[i];
    }
}

void
Sample_PackLog(Pack *pack)
{
    static RlogMessage message;

    message = (RlogMessage){
        .kind = Rlog_APPEND,
        .from = UINT64_C(0xfedcba9876543210),
        .to = 2,
        .term = 3,
        .last_term = 2,
        .last_index = 16,
        .commit = 15,
        .round = 123456789,
        .entry_count = 2,
        .entries = {{3, 17, Rlog_CHANGE, json}, {3, 18, Rlog_NOOP, {0}}},
        .snapshot = Str_LIT("state"),
    };
    Logmsg_Pack(pack, &message);
}

bool
Sample_ReadLog(Unpack *in, Err *err)
{
    static RlogMessage message;

    if (!Logmsg_Read(in, &message, err)) {
        return false;
    }
    touch(message.snapshot);
    for (uint32_t i = 0; i < message.entry_count; i++) {
        touch(message.entries[i].data);
    }
    return true;
}

void
Sample_PackHello(Pack *pack)
{
    HelloMsg msg = {UINT64_C(0xfedcba9876543210), 7400, true, false};

    Logmsg_PackHello(pack, &msg);
}

bool
Sample_ReadHello(Unpack *in, Err *err)
{
    HelloMsg msg;

    return Logmsg_ReadHello(in, &msg, err);
}

void
Sample_PackChange(Pack *pack)
{
    ChangeMsg msg = {5,
                     {Cfg_PUT, Str_LIT("id"), version, Str_LIT("peak"), json}};

    Configmsg_PackChange(pack, &msg);
}

bool
Sample_ReadChange(Unpack *in, Err *err)
{
    ChangeMsg msg;
    bool good = Configmsg_ReadChange(in, &msg, err);

    if (good) {
        touch(msg.change.id);
        touch(msg.change.preset);
        touch(msg.change.json);
    }
    return good;
}

void
Sample_PackChanged(Pack *pack)
{
    ChangedMsg msg = {
        .ask = 5,
        .decided = true,
        .leader = 7400,
        .result = {.outcome = Cfg_CONFLICT,
                   .version = version,
                   .has_winner = true,
                   .winner_id = Str_LIT("other"),
                   .winner_verb = Cfg_USE,
                   .winner_preset = Str_LIT("peak"),
                   .winner_version = version},
        .detail = Str_LIT("why"),
    };

    Configmsg_PackChanged(pack, &msg);
}

bool
Sample_ReadChanged(Unpack *in, Err *err)
{
    ChangedMsg msg;
    bool good = Configmsg_ReadChanged(in, &msg, err);

    if (good) {
        touch(msg.result.winner_id);
        touch(msg.result.winner_preset);
        touch(msg.detail);
    }
    return good;
}

void
Sample_PackVersionAsk(Pack *pack)
{
    VersionAskMsg msg = {7400, version, true};

    Configmsg_PackVersionAsk(pack, &msg);
}

bool
Sample_ReadVersionAsk(Unpack *in, Err *err)
{
    VersionAskMsg msg;

    return Configmsg_ReadVersionAsk(in, &msg, err);
}

void
Sample_PackVersion(Pack *pack)
{
    VersionMsg msg = {true, 7400, version, json};

    Configmsg_PackVersion(pack, &msg);
}

bool
Sample_ReadVersion(Unpack *in, Err *err)
{
    VersionMsg msg;
    bool good = Configmsg_ReadVersion(in, &msg, err);

    if (good) {
        touch(msg.json);
    }
    return good;
}

void
Sample_PackPresetsAsk(Pack *pack)
{
    PresetsAskMsg msg = {5, Str_LIT("peak")};

    Configmsg_PackPresetsAsk(pack, &msg);
}

bool
Sample_ReadPresetsAsk(Unpack *in, Err *err)
{
    PresetsAskMsg msg;
    bool good = Configmsg_ReadPresetsAsk(in, &msg, err);

    if (good) {
        touch(msg.name);
    }
    return good;
}

void
Sample_PackPresets(Pack *pack)
{
    PresetsMsg msg = {
        .ask = 5,
        .current = true,
        .leader = 7400,
        .version = version,
        .in_force = Str_LIT("peak"),
        .items = {{Str_LIT("ordinary"), {2, 3}}, {Str_LIT("peak"), version}},
        .count = 2,
        .json = json,
    };

    Configmsg_PackPresets(pack, &msg);
}

bool
Sample_ReadPresets(Unpack *in, Err *err)
{
    PresetsMsg msg;

    if (!Configmsg_ReadPresets(in, &msg, err)) {
        return false;
    }
    touch(msg.in_force);
    touch(msg.json);
    for (uint32_t i = 0; i < msg.count; i++) {
        touch(msg.items[i].name);
    }
    return true;
}
