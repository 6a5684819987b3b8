#include "request/recent.h"

#include "value/mem.h"

typedef struct {
    ListLink link;
    AttemptId id;
    Instant sent_at;
    StrBuf answer;
} RecentAnswer;

static void
drop_oldest(RecentAnswers *recent)
{
    RecentAnswer *oldest = Lst_First(&recent->answers);

    Lst_Drop(&recent->answers, &oldest->link);
    recent->bytes -= oldest->answer.len;
    StrBuf_Finish(&oldest->answer);
    Mem_Free(oldest);
}

void
Rcn_Finish(RecentAnswers *recent)
{
    while (Lst_First(&recent->answers)) {
        drop_oldest(recent);
    }
}

void
Rcn_Add(RecentAnswers *recent, AttemptId id, Str answer, Instant now)
{
    RecentAnswer *added;

    if (answer.len > Rcn_ANSWER_BYTES_MAX) {
        return;
    }
    while (recent->bytes + answer.len > Rcn_BYTES_MAX) {
        drop_oldest(recent);
    }
    added = Mem_Alloc(1, sizeof *added);
    added->id = id;
    added->sent_at = now;
    StrBuf_Set(&added->answer, answer);
    recent->bytes += answer.len;
    Lst_Append(&recent->answers, &added->link, added);
}

void
Rcn_Expire(RecentAnswers *recent, Instant now)
{
    const RecentAnswer *oldest;

    while ((oldest = Lst_First(&recent->answers)) &&
           now - oldest->sent_at >= Rcn_RETENTION) {
        drop_oldest(recent);
    }
}

bool
Rcn_Find(const RecentAnswers *recent, AttemptId id, Str *answer)
{
    for (const ListLink *link = recent->answers.first; link;
         link = link->next) {
        const RecentAnswer *item = link->item;
        if (AttemptId_Equal(item->id, id)) {
            *answer = StrBuf_View(&item->answer);
            return true;
        }
    }
    return false;
}
