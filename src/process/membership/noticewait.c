#include "process/membership/noticewait.h"

#include "process/operators/operatorapi.h"

/* A backend server waits about a second for an answer. */
#define WAIT_MAX Span_MS(800)

static const int ACKNOWLEDGED = 200;
static const int NOT_RECORDED = 503;

bool
Ntw_Add(WaitingNotices *waiting, struct evhttp_request *request, Instant now)
{
    if (waiting->count == Ntw_NOTICES_MAX) {
        return false;
    }
    waiting->notices[waiting->count++] =
        (WaitingNotice){request, now + WAIT_MAX};
    return true;
}

/* Answers the first COUNT. */
static void
answer(WaitingNotices *waiting, size_t count, int status)
{
    for (size_t i = 0; i < count; i++) {
        json_t *body = status == ACKNOWLEDGED
                           ? json_object()
                           : Opr_Error(Str_LIT("not_recorded"),
                                       Str_LIT("no majority of the control "
                                               "replicas has recorded it"));
        Opr_Answer(waiting->notices[i].request, status, body);
    }
    waiting->count -= count;
    for (size_t i = 0; i < waiting->count; i++) {
        waiting->notices[i] = waiting->notices[i + count];
    }
}

void
Ntw_Acknowledge(WaitingNotices *waiting)
{
    answer(waiting, waiting->count, ACKNOWLEDGED);
}

void
Ntw_Expire(WaitingNotices *waiting, Instant now)
{
    size_t expired = 0;

    while (expired < waiting->count &&
           now >= waiting->notices[expired].deadline) {
        expired++;
    }
    answer(waiting, expired, NOT_RECORDED);
}

void
Ntw_Finish(WaitingNotices *waiting)
{
    answer(waiting, waiting->count, NOT_RECORDED);
}
