/* The order in which queued attempts start, and which of them gives its place
 * to a newcomer. */
#include "process/admission/queueorder.h"
#include "request/runstate.h"

static QueuePlace
get_place(const BackendAttempt *attempt, Instant now)
{
    return (QueuePlace){
        .nested = attempt->nested,
        .priority = attempt->priority,
        .use = Fsh_GetUse(&attempt->runner->shares, attempt->account, now),
        .start_by = attempt->queue_time_max ? attempt->queue_deadline
                                            : attempt->deadline,
    };
}

static bool
waits_in_class(const BackendAttempt *attempt, RequestClass request_class)
{
    return Run_IsQueued(attempt) && !attempt->exclusive &&
           attempt->request_class == request_class;
}

BackendAttempt *
Run_FindNextQueued(AttemptRunner *runner, RequestClass request_class,
                   Instant now)
{
    QueueFirst first = {.item = NULL};

    for (ListLink *link = runner->attempts.first; link; link = link->next) {
        BackendAttempt *attempt = link->item;
        if (waits_in_class(attempt, request_class)) {
            const QueuePlace place = get_place(attempt, now);
            Quo_OfferFirst(&first, &place, attempt);
        }
    }
    return first.item;
}

static QueueDisplacement
find_displaced(const BackendAttempt *newcomer, Instant now)
{
    QueueDisplacement found = {.newcomer = get_place(newcomer, now)};

    for (ListLink *link = newcomer->runner->attempts.first; link;
         link = link->next) {
        BackendAttempt *attempt = link->item;
        if (attempt != newcomer &&
            waits_in_class(attempt, newcomer->request_class)) {
            const QueuePlace place = get_place(attempt, now);
            Quo_OfferDisplaced(&found, &place, attempt);
        }
    }
    return found;
}

bool
Run_Displace(BackendAttempt *attempt, Instant now)
{
    AttemptRunner *runner = attempt->runner;
    const AdmissionRequest request = Run_GetAdmissionRequest(attempt, now);
    const QueueDisplacement found = find_displaced(attempt, now);

    if (!found.item ||
        !Adm_QueueAhead(runner->admission, &request, found.ahead, now)) {
        return false;
    }
    Cnt_Add(runner->counters, Cnt_DISPLACED, 1);
    Run_Refuse(found.item, Reject_FULL, now);
    Run_DequeueAndFree(found.item);
    return true;
}
