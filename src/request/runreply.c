#include <string.h>

#include "request/runstate.h"

bool
Run_IncludesLoadReport(AttemptRunner *runner, const NetOrigin *origin,
                       bool cross_region, Instant now)
{
    uint64_t node =
        Str_Hash(Str_From(origin->routing_id, origin->routing_id_len));

    return Rpt_ShouldAttach(&runner->report_throttle, node, cross_region, now);
}

bool
Run_AnswerOrigin(AttemptRunner *runner, const NetOrigin *origin, Str message,
                 Instant now)
{
    Net_Answer(runner->net, origin, message, now);
    if (runner->net->has_lost_origin) {
        return false;
    }
    if (origin->peer == Addr_NONE) {
        Rcp_OnSent(&runner->receipts,
                   Str_From(origin->routing_id, origin->routing_id_len), now);
    }
    return true;
}

static void
send_refused(AttemptRunner *runner, const NetOrigin *origin, AttemptId id,
             bool cross_region, RejectReason reason, Instant now)
{
    CallRejectedMessage msg = {
        .id = id,
        .reason = reason,
        .load = Adm_GetLoadReport(runner->admission, now),
        .load_omitted =
            !Run_IncludesLoadReport(runner, origin, cross_region, now),
    };
    Pack pack;

    Cnt_Add(runner->counters, Cnt_ATTEMPTS_REFUSED, 1);
    Callmsg_PackRejected(&pack, &msg);
    Run_AnswerOrigin(runner, origin, Pack_View(&pack), now);
    Pack_Finish(&pack);
}

void
Run_RefuseCall(AttemptRunner *runner, const NetOrigin *origin,
               const CallMessage *msg, RejectReason reason, Instant now)
{
    send_refused(runner, origin, msg->id, msg->cross_region, reason, now);
}

static Str
get_reason_name(RejectReason reason)
{
    static const Str names[Reject_REASONS] = {
        [Reject_FULL] = Str_LIT("full"),
        [Reject_DEADLINE] = Str_LIT("late"),
        [Reject_DRAINING] = Str_LIT("draining"),
        [Reject_NO_BACKEND] = Str_LIT("absent"),
        [Reject_FENCED] = Str_LIT("fenced"),
        [Reject_SUSPECT] = Str_LIT("suspect"),
        [Reject_WRONG_INCARNATION] = Str_LIT("incarnation"),
        [Reject_TRUNCATED] = Str_LIT("cut"),
        [Reject_SLOW] = Str_LIT("slow"),
        [Reject_BY_BACKEND] = Str_LIT("turned_away"),
        [Reject_EXPIRED] = Str_LIT("expired"),
        [Reject_RUNS_ELSEWHERE] = Str_LIT("elsewhere"),
    };

    return names[reason];
}

void
Run_Refuse(BackendAttempt *attempt, RejectReason reason, Instant now)
{
    const AdmissionController *admission = attempt->runner->admission;

    Lgr_Log(attempt->runner->logger, Lgr_DEBUG, Str_LIT("run_refused"),
            "request=%.*s reason=%.*s running=%u queued=%u pace=%u "
            "pace_age_us=%lld",
            Str_ARG(attempt->request_id), Str_ARG(get_reason_name(reason)),
            admission->running, admission->queued[Adm_INTERACTIVE],
            admission->pace, (long long)(now - admission->pace_reported_at));
    Led_OnRefused(&attempt->runner->ledger, attempt->id, now);
    if (!attempt->detached) {
        send_refused(attempt->runner, &attempt->origin, attempt->id,
                     attempt->cross_region, reason, now);
    }
}

void
Run_ReportLost(BackendAttempt *attempt, Instant now)
{
    Led_OnUnknown(&attempt->runner->ledger, attempt->id, now);
    if (!attempt->detached) {
        send_refused(attempt->runner, &attempt->origin, attempt->id,
                     attempt->cross_region, Reject_TRUNCATED, now);
    }
}

void
Run_OnOriginPong(void *context, const NetOrigin *origin)
{
    AttemptRunner *runner = context;

    Rcp_OnPong(&runner->receipts,
               Str_From(origin->routing_id, origin->routing_id_len));
}

size_t
Run_ConfirmPieces(AttemptRunner *runner, Instant now)
{
    NetOrigin origin = {.peer = Addr_NONE};
    Str id;

    while (Rcp_NextPing(&runner->receipts, &id, now)) {
        memcpy(origin.routing_id, id.ptr, id.len);
        origin.routing_id_len = id.len;
        if (!Net_PingOrigin(runner->net, &origin, now)) {
            Rcp_OnLost(&runner->receipts,
                       Str_From(origin.routing_id, origin.routing_id_len));
        }
    }
    return Rcp_CountUnconfirmed(&runner->receipts, now);
}
