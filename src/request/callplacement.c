/* Where the next attempt of a call goes. */
#include "request/callstate.h"

/* So much slack before the end of it, other regions are asked as well. */
#define AWAY_SLACK Span_MS(40)

/* While there is time to wait for one at home, another region is not worth
 * its link. */
static bool
stays_home(const Call *call, Instant now)
{
    const PlacementTable *plc = &call->service->placement;

    if (!call->start_by_deadline || !Plc_HasLocalBackend(plc)) {
        return false;
    }
    return call->sent_cross_region || now >= call->start_by_objective ||
           (call->start_by_objective - now > AWAY_SLACK &&
            (call->local_was_slow || Plc_HasSlowLocalBackend(plc, now)));
}

/* Those that had the call, and those that turned it back. */
static size_t
list_tried(const Call *call, Addr *tried)
{
    size_t count = 0;

    for (uint32_t i = 0; i < call->retry.attempt_count && i < Rty_TRIED_MAX;
         i++) {
        tried[count++] = call->retry.tried_nodes[i];
    }
    for (uint32_t i = 0; i < call->rejected_by_count; i++) {
        tried[count++] = call->rejected_by[i];
    }
    return count;
}

const MbrRecord *
Call_FindIsolationNode(const Call *call, Instant now)
{
    const SuspectSync *suspects = call->dispatcher->suspects;

    if (call->keyed ||
        Sps_GetVerdict(suspects, call->fingerprint, now) != Sus_ALONE) {
        return NULL;
    }
    return Sps_FindExclusiveNode(suspects, StrBuf_View(&call->service->name),
                                 call->fingerprint);
}

static void
set_place(const Call *call, Addr node, uint64_t incarnation, uint16_t region,
          AttemptTarget *place)
{
    *place = (AttemptTarget){
        .attempt = {call->dispatcher->incarnation,
                    ++call->dispatcher->attempt_counter},
        .node = node,
        .incarnation = incarnation,
        .cross_region = region != call->dispatcher->services->placement.region,
    };
}

static bool
choose_turn(Call *call, const MbrRecord *turn, AttemptTarget *place)
{
    for (uint32_t i = 0; i < call->rejected_by_count; i++) {
        if (call->rejected_by[i] == turn->node) {
            call->wants_isolation_node = true;
            call->not_run_reason = Call_REASON_OVERLOAD;
            return false;
        }
    }
    set_place(call, turn->node, turn->incarnation, turn->region, place);
    return true;
}

bool
Call_ChooseTarget(Call *call, AttemptTarget *place, Instant now)
{
    const MbrRecord *turn = Call_FindIsolationNode(call, now);
    Addr tried[2 * Rty_TRIED_MAX];
    PlacementRequest ask = {
        .interactive = call->route->interactive,
        .local_only = !Lnk_CanSend(&call->dispatcher->link_budget,
                                   call->route->interactive,
                                   (uint32_t)call->request.body.len, now) ||
                      stays_home(call, now),
        .avoid_slow = call->start_by_deadline > 0,
        .time_left = call->deadline - now,
        .excluded = tried,
        .excluded_count = list_tried(call, tried),
    };
    const BackendRow *row;
    PlacementVerdict verdict;

    if (turn) {
        return choose_turn(call, turn, place);
    }
    verdict = Plc_Choose(&call->service->placement, &ask, now, &row);
    if (verdict == Plc_NO_BACKEND && call->may_have_run &&
        !call->wants_isolation_node) {
        /* A node that was silent is asked again over a fresh connection. */
        ask.excluded_count = 0;
        verdict = Plc_Choose(&call->service->placement, &ask, now, &row);
    }
    switch (verdict) {
    case Plc_CHOSEN:
        set_place(call, row->location.node, row->location.incarnation,
                  row->location.region, place);
        return true;
    case Plc_ALL_FULL:
        call->not_run_reason = Call_REASON_OVERLOAD;
        break;
    case Plc_NO_BACKEND:
        call->not_run_reason = call->retry.attempt_count
                                   ? Call_REASON_OVERLOAD
                                   : Call_REASON_NO_BACKEND;
        break;
    }
    return false;
}
