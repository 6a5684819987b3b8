#include "process/presence.h"

void
Prs_Finish(Prs *prs)
{
    StrBuf_Finish(&prs->id);
}

static bool
is_same_start(const Prs *prs, const PrsWord *word)
{
    return Str_Equal(StrBuf_View(&prs->id), word->id) &&
           prs->born == word->born;
}

PrsVerdict
Prs_OnWord(Prs *prs, const PrsWord *word)
{
    bool known = prs->id.len > 0;

    if (known && is_same_start(prs, word)) {
        if (word->sequence <= prs->sequence && !word->draining) {
            return Prs_LATE;
        }
        if (word->sequence > prs->sequence) {
            prs->sequence = word->sequence;
        }
        prs->draining |= word->draining;
        return Prs_TAKE;
    }
    if (known && word->born && word->born < prs->born) {
        return Prs_LATE;
    }
    StrBuf_Set(&prs->id, word->id);
    prs->born = word->born;
    prs->sequence = word->sequence;
    prs->draining = word->draining;
    return Prs_FRESH;
}

bool
Prs_OnLeave(Prs *prs, Str id)
{
    if (!Str_Equal(StrBuf_View(&prs->id), id)) {
        return false;
    }
    prs->draining = true;
    return true;
}
