/* Choice of the target of a call's next attempt. */
#include "request/callstate.h"

/* When the latest start that meets the objective is less than this away, other
 * regions are considered even if a local backend server is only slow. */
#define CROSS_REGION_SLACK Span_MS(40)

/* Whether only this region is considered.  While a slow local backend server
 * may still become fast in time, another region is not worth the traffic on
 * the inter-region link.  An attempt goes to another region once per call, and
 * none after the objective is missed. */
static bool
is_local_only(const Call *call, Instant now)
{
    const PlacementTable *plc = &call->service->placement;

    if (!call->start_by_deadline || !Plc_HasLocalBackend(plc) ||
        Rgm_Has(call->barred, plc->settings.region)) {
        return false;
    }
    return call->sent_cross_region || now >= call->start_by_objective ||
           (call->start_by_objective - now > CROSS_REGION_SLACK &&
            (call->local_was_slow || Plc_HasSlowLocalBackend(plc, now)));
}

/* Lists the nodes that had an attempt of the call or rejected it. */
static size_t
list_excluded_nodes(const Call *call, Addr *tried)
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

const MemberRecord *
Call_FindExclusiveNode(const Call *call, Instant now)
{
    const SuspectSync *suspects = call->dispatcher->suspects;

    if (call->claim_session ||
        Sps_GetVerdict(suspects, call->fingerprint, now) != Sus_EXCLUSIVE) {
        return NULL;
    }
    return Sps_FindExclusiveNode(suspects, StrBuf_View(&call->service->name),
                                 call->fingerprint, call->barred);
}

static void
set_target(const Call *call, Addr node, uint64_t incarnation, uint16_t region,
           AttemptTarget *target)
{
    *target = (AttemptTarget){
        .attempt = {call->dispatcher->incarnation,
                    ++call->dispatcher->attempt_counter},
        .node = node,
        .incarnation = incarnation,
        .cross_region =
            region != call->dispatcher->services->placement_settings.region,
    };
}

static bool
choose_exclusive_node(Call *call, const MemberRecord *exclusive_node,
                      AttemptTarget *target)
{
    for (uint32_t i = 0; i < call->rejected_by_count; i++) {
        if (call->rejected_by[i] == exclusive_node->node) {
            call->wants_exclusive_node = true;
            call->not_run_reason = Call_REASON_OVERLOAD;
            return false;
        }
    }
    set_target(call, exclusive_node->node, exclusive_node->incarnation,
               exclusive_node->region, target);
    return true;
}

bool
Call_ChooseTarget(Call *call, AttemptTarget *target, Instant now)
{
    const MemberRecord *exclusive_node = Call_FindExclusiveNode(call, now);
    Addr tried[2 * Rty_TRIED_MAX];
    PlacementRequest request = {
        .interactive = call->route->is_interactive,
        .local_only = !Lnk_CanSend(&call->dispatcher->link_budget,
                                   call->route->is_interactive,
                                   (uint32_t)call->request.body.len, now) ||
                      is_local_only(call, now),
        .avoid_slow = call->start_by_deadline > 0,
        .barred = call->barred,
        .time_left = call->deadline - now,
        .excluded = tried,
        .excluded_count = list_excluded_nodes(call, tried),
    };
    const BackendRow *row;
    PlacementVerdict verdict;

    if (exclusive_node) {
        return choose_exclusive_node(call, exclusive_node, target);
    }
    verdict = Plc_Choose(&call->service->placement, &request, now, &row);
    if (verdict == Plc_NO_BACKEND && call->may_have_run &&
        !call->wants_exclusive_node) {
        /* A node that did not answer is tried again over a new connection. */
        request.excluded_count = 0;
        verdict = Plc_Choose(&call->service->placement, &request, now, &row);
    }
    switch (verdict) {
    case Plc_CHOSEN:
        set_target(call, row->location.node, row->location.incarnation,
                   row->location.region, target);
        return true;
    case Plc_ALL_FULL:
        call->not_run_reason = Call_REASON_OVERLOAD;
        break;
    case Plc_NO_BACKEND:
        call->not_run_reason =
            call->barred && !Plc_HasAllowedBackend(&call->service->placement,
                                                   call->barred)
                ? Call_REASON_NO_REGION
            : call->retry.attempt_count ? Call_REASON_OVERLOAD
                                        : Call_REASON_NO_BACKEND;
        break;
    }
    return false;
}
