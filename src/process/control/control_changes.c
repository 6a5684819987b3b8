#include "connection/configmsg.h"
#include "process/control/control.h"
#include "version/routing.h"

bool
Ctl_RejectMalformed(ControlReplica *control, bool is_read, const Err *err)
{
    if (!is_read) {
        Cnt_Add(control->counters, Cnt_MALFORMED, 1);
        Lgr_LogErr(control->timeline->logger, Lgr_WARNING,
                   Str_LIT("message_refused"), err);
    }
    return !is_read;
}

void
Ctl_Answer(ControlReplica *control, const NetOrigin *origin, Pack *pack,
           Instant now)
{
    Ctl_CountMessage(control, pack);
    Net_Answer(control->net, origin, Pack_View(pack), now);
    Pack_Finish(pack);
}

static void
answer_change(ControlReplica *control, const NetOrigin *origin,
              ConfigChangeReplyMessage *msg, Instant now)
{
    Pack pack;

    msg->leader = Ctl_Leader(control);
    Configmsg_PackChangeReply(&pack, msg);
    Ctl_Answer(control, origin, &pack, now);
}

void
Ctl_OnChangeApplied(ControlReplica *control, uint64_t term, uint64_t index,
                    const ConfigResult *result, Instant now)
{
    for (size_t i = 0; i < Ctl_PENDING_CHANGES_MAX; i++) {
        PendingChange *pending = &control->pending_changes[i];
        if (pending->index == index && pending->term == term) {
            ConfigChangeReplyMessage msg = {
                .request_number = pending->request_number,
                .is_decided = true,
                .result = *result,
                .detail = Cfg_ReasonText(result->reason)};
            pending->index = 0;
            answer_change(control, &pending->origin, &msg, now);
        }
    }
}

static PendingChange *
find_free_change(ControlReplica *control)
{
    for (size_t i = 0; i < Ctl_PENDING_CHANGES_MAX; i++) {
        if (control->pending_changes[i].index == 0) {
            return &control->pending_changes[i];
        }
    }
    return NULL;
}

/* False when the change is invalid; the sender then gets Cfg_REJECTED with the
 * findings as the detail. */
static bool
validate_change(ControlReplica *control, const ConfigChangeMessage *msg,
                const NetOrigin *origin, Instant now)
{
    const ConfigChange *change = &msg->change;
    FindingList findings;
    StrBuf text = {0};
    StrBuf json = {0};
    bool valid;

    Fnd_Init(&findings);
    Fnd_SetFile(&findings, Str_LIT("change"));
    valid = Cfg_ValidateChange(change, &findings);
    /* A revision on another base ends as a conflict, valid or not. */
    if (valid && Cfg_IsRoutingChange(change) &&
        change->base_version.index == control->cfg.routing_revision) {
        valid = Cfg_ReviseRouting(&control->cfg, change, &json, &findings);
        if (valid) {
            Rtg_CheckProposed(StrBuf_View(&json), &findings);
            valid = findings.count == 0;
        }
    }
    if (!valid) {
        ConfigChangeReplyMessage refusal = {
            .request_number = msg->request_number,
            .is_decided = true,
            .result = {.outcome = Cfg_REJECTED}};
        Fnd_Print(&findings, &text);
        refusal.detail =
            Str_Slice(StrBuf_View(&text), 0, Configmsg_DETAIL_MAX);
        answer_change(control, origin, &refusal, now);
    }
    Fnd_Finish(&findings);
    StrBuf_Finish(&text);
    StrBuf_Finish(&json);
    return valid;
}

static void
propose(ControlReplica *control, const ConfigChangeMessage *msg,
        PendingChange *pending, const NetOrigin *origin, Instant now)
{
    Pack pack;

    /* A single replica commits before Rlog_Propose returns, so the slot is
     * filled first. */
    pending->origin = *origin;
    pending->request_number = msg->request_number;
    pending->term = control->rlog.term;
    pending->index = Rlog_LastIndex(&control->rlog) + 1;
    Pack_Init(&pack, Cfg_CHANGE_FIELDS);
    Cfg_PackChange(&pack, &msg->change);
    Rlog_Propose(&control->rlog, Pack_View(&pack), now);
    Pack_Finish(&pack);
}

static void
on_change(void *context, const NetOrigin *origin, Unpack *in, Instant now)
{
    ControlReplica *control = context;
    ConfigChangeMessage msg;
    ConfigChangeReplyMessage reply = {0};
    PendingChange *pending = find_free_change(control);
    Err err = {0};

    if (Ctl_RejectMalformed(control, Configmsg_ReadChange(in, &msg, &err),
                            &err)) {
        return;
    }
    reply.request_number = msg.request_number;
    if (!Ctl_IsLeading(control, now) || !pending ||
        !Cfg_CanJudge(&control->cfg, &msg.change)) {
        answer_change(control, origin, &reply, now);
        return;
    }
    if (Cfg_FindOutcome(&control->cfg, &msg.change, &reply.result)) {
        reply.is_decided = true;
        reply.detail = Cfg_ReasonText(reply.result.reason);
        answer_change(control, origin, &reply, now);
        return;
    }
    if (!validate_change(control, &msg, origin, now)) {
        return;
    }
    propose(control, &msg, pending, origin, now);
}

void
Ctl_ServeChanges(ControlReplica *control)
{
    Net_SetHandler(control->net, Wire_CONFIG_CHANGE, on_change, control);
}
