#include "process/register.h"

#include "value/mem.h"

/* Longer than a proposer counts answers. */
#define SILENCE Span_S(1)

enum { FAST_ROUND = 1 };

struct RegisterEntry {
    HshLink link;
    RegisterEntry *next; /* newer */
    RegisterEntry *previous;
    StrBuf key;
    PaxosBallot promised;
    RegisterValue value;
    StrBuf answer; /* storage of value.answer */
    bool mixed;    /* others held different attempts: no word on this key */
    Instant changed_at; /* of the last change */
};

static int
compare(uint64_t a, uint64_t b)
{
    return a < b ? -1 : a > b;
}

int
Reg_CompareBallots(PaxosBallot a, PaxosBallot b)
{
    int order = compare(a.round, b.round);

    if (order == 0) {
        order = compare(a.proposer.incarnation, b.proposer.incarnation);
    }
    return order ? order : compare(a.proposer.counter, b.proposer.counter);
}

void
Reg_Init(KeyRegisters *reg, const RegisterSettings *settings, bool ready,
         Instant now)
{
    *reg = (KeyRegisters){
        .settings = *settings,
        .is_ready = ready,
        .started_at = now,
        .ready_at_latest = now + settings->retention,
    };
}

static void
unlink_entry(KeyRegisters *reg, RegisterEntry *entry)
{
    if (entry->previous) {
        entry->previous->next = entry->next;
    }
    else {
        reg->oldest = entry->next;
    }
    if (entry->next) {
        entry->next->previous = entry->previous;
    }
    else {
        reg->newest = entry->previous;
    }
}

static void
append_entry(KeyRegisters *reg, RegisterEntry *entry)
{
    entry->previous = reg->newest;
    entry->next = NULL;
    if (reg->newest) {
        reg->newest->next = entry;
    }
    else {
        reg->oldest = entry;
    }
    reg->newest = entry;
}

static void
drop_answer(KeyRegisters *reg, RegisterEntry *entry)
{
    reg->kept_bytes -= entry->answer.len;
    StrBuf_Finish(&entry->answer);
    entry->value.answer = (Str){0};
}

static void
drop_entry(KeyRegisters *reg, RegisterEntry *entry)
{
    unlink_entry(reg, entry);
    drop_answer(reg, entry);
    Hsh_Drop(&reg->entries, &entry->link);
    StrBuf_Finish(&entry->key);
    Mem_Free(entry);
}

void
Reg_Finish(KeyRegisters *reg)
{
    while (reg->oldest) {
        drop_entry(reg, reg->oldest);
    }
    Hsh_Finish(&reg->entries);
}

void
Reg_SetRetention(KeyRegisters *reg, Span retention)
{
    /* A register lost in a restart may be as old as the longest of them. */
    if (retention > reg->settings.retention && !reg->is_ready) {
        reg->ready_at_latest += retention - reg->settings.retention;
    }
    reg->settings.retention = retention;
}

static RegisterEntry *
find_entry(const KeyRegisters *reg, Str key)
{
    HshLink *link = Hsh_First(&reg->entries, Str_Hash(key));

    while (link &&
           !Str_Equal(StrBuf_View(&((RegisterEntry *)link)->key), key)) {
        link = Hsh_Next(link);
    }
    return (RegisterEntry *)link;
}

void
Reg_Expire(KeyRegisters *reg, Instant now)
{
    while (reg->oldest &&
           now - reg->oldest->changed_at >= reg->settings.retention) {
        drop_entry(reg, reg->oldest);
    }
    if (now >= reg->ready_at_latest) {
        reg->is_ready = true;
    }
}

/* The register of KEY, made when it is new; NULL when there is no room. */
static RegisterEntry *
open_entry(KeyRegisters *reg, Str key, Instant now)
{
    RegisterEntry *entry = find_entry(reg, key);

    if (entry) {
        return entry;
    }
    if (reg->entries.count >= reg->settings.entries_max) {
        return NULL;
    }
    entry = Mem_Alloc(1, sizeof *entry);
    StrBuf_Set(&entry->key, key);
    Hsh_Add(&reg->entries, &entry->link, Str_Hash(key));
    append_entry(reg, entry);
    entry->changed_at = now;
    return entry;
}

static void
touch(KeyRegisters *reg, RegisterEntry *entry, Instant now)
{
    unlink_entry(reg, entry);
    append_entry(reg, entry);
    entry->changed_at = now;
}

static RegisterReply
answer_of(const RegisterEntry *entry, RegisterVerdict verdict)
{
    return (RegisterReply){verdict, entry->promised, entry->value};
}

/* Find KEY's register for a proposer; NULL with ANSWER when there is none
 * that may speak. */
static RegisterEntry *
open_for(KeyRegisters *reg, Str key, Instant now, RegisterReply *answer)
{
    RegisterEntry *entry;

    *answer = (RegisterReply){.verdict = Reg_NOT_READY};
    Reg_Expire(reg, now);
    if (!reg->is_ready) {
        return NULL;
    }
    entry = open_entry(reg, key, now);
    if (!entry) {
        answer->verdict = Reg_FULL;
    }
    return entry;
}

/* One proposer's later attempt follows a proof that the earlier never ran. */
static bool
is_later(const RegisterValue *a, const RegisterValue *b)
{
    int order = Reg_CompareBallots(a->ballot, b->ballot);

    return order > 0 ||
           (order == 0 && a->attempt.counter > b->attempt.counter);
}

static bool
may_accept(const RegisterEntry *entry, const RegisterValue *value)
{
    PaxosBallot ballot = value->ballot;
    int order = Reg_CompareBallots(ballot, entry->promised);

    if (entry->value.state == Reg_ENDED ||
        (entry->value.state == Reg_PLACED && is_later(&entry->value, value))) {
        return false;
    }
    if (ballot.round == FAST_ROUND) {
        return order == 0 || entry->promised.round == 0;
    }
    return order >= 0;
}

RegisterReply
Reg_Accept(KeyRegisters *reg, Str key, const RegisterValue *value, Instant now)
{
    RegisterReply answer;
    RegisterEntry *entry = open_for(reg, key, now, &answer);

    if (!entry) {
        return answer;
    }
    if (entry->mixed && value->ballot.round == FAST_ROUND) {
        return answer;
    }
    if (!may_accept(entry, value)) {
        return entry->mixed ? answer : answer_of(entry, Reg_REJECTED);
    }
    entry->promised = value->ballot;
    entry->value = *value;
    entry->value.state = Reg_PLACED;
    entry->value.answer = (Str){0};
    entry->mixed = false;
    touch(reg, entry, now);
    return answer_of(entry, Reg_OK);
}

RegisterReply
Reg_Promise(KeyRegisters *reg, Str key, PaxosBallot ballot, Instant now)
{
    RegisterReply answer;
    RegisterEntry *entry = open_for(reg, key, now, &answer);

    if (!entry || entry->mixed) {
        return answer;
    }
    if (Reg_CompareBallots(ballot, entry->promised) < 0) {
        return answer_of(entry, Reg_REJECTED);
    }
    entry->promised = ballot;
    touch(reg, entry, now);
    return answer_of(entry, Reg_OK);
}

static void
make_room(KeyRegisters *reg)
{
    RegisterEntry *entry = reg->oldest;

    while (entry && reg->kept_bytes > reg->settings.kept_bytes_max) {
        drop_answer(reg, entry);
        entry = entry->next;
    }
}

void
Reg_OnEnded(KeyRegisters *reg, Str key, const RegisterValue *value,
            Instant now)
{
    RegisterEntry *entry = open_entry(reg, key, now);

    if (!entry || entry->value.state == Reg_ENDED) {
        return;
    }
    entry->value = *value;
    entry->value.state = Reg_ENDED;
    entry->value.answer = (Str){0};
    entry->mixed = false;
    if (value->answer.len <= reg->settings.answer_bytes_max) {
        StrBuf_Set(&entry->answer, value->answer);
        entry->value.answer = StrBuf_View(&entry->answer);
        reg->kept_bytes += entry->answer.len;
    }
    touch(reg, entry, now);
    make_room(reg);
}

void
Reg_OnReleased(KeyRegisters *reg, Str key, AttemptId attempt)
{
    RegisterEntry *entry = find_entry(reg, key);

    if (!entry || entry->mixed || entry->value.state != Reg_PLACED ||
        !AttemptId_Equal(entry->value.attempt, attempt)) {
        return;
    }
    /* Its proposer is done with the key: the fast path is open again. */
    if (entry->promised.round <= FAST_ROUND) {
        drop_entry(reg, entry);
        return;
    }
    entry->value = (RegisterValue){0};
}

static void
merge_placed(RegisterEntry *entry, const RegisterValue *value)
{
    if (entry->value.state == Reg_PLACED &&
        !AttemptId_Equal(entry->value.attempt, value->attempt) &&
        Reg_CompareBallots(entry->value.ballot, value->ballot) != 0) {
        entry->mixed = true;
    }
    if (entry->value.state == Reg_EMPTY || is_later(value, &entry->value)) {
        entry->value = *value;
        entry->value.answer = (Str){0};
    }
}

bool
Reg_MayCatchUp(const KeyRegisters *reg, Instant now)
{
    return now - reg->started_at >= SILENCE;
}

bool
Reg_Merge(KeyRegisters *reg, Str key, PaxosBallot promised,
          const RegisterValue *value, bool mixed, Instant now)
{
    RegisterEntry *entry = open_entry(reg, key, now);

    if (!entry) {
        return false;
    }
    if (Reg_CompareBallots(promised, entry->promised) > 0) {
        entry->promised = promised;
    }
    if (value->state == Reg_ENDED) {
        Reg_OnEnded(reg, key, value, now);
    }
    if (entry->value.state != Reg_ENDED) {
        entry->mixed |= mixed;
        if (value->state == Reg_PLACED) {
            merge_placed(entry, value);
        }
    }
    touch(reg, entry, now);
    return true;
}

void
Reg_SetReady(KeyRegisters *reg)
{
    reg->is_ready = true;
}

void
Reg_ForEach(const KeyRegisters *reg, RegisterVisitor visit, void *context)
{
    for (const RegisterEntry *entry = reg->oldest; entry;
         entry = entry->next) {
        visit(context, StrBuf_View(&entry->key), entry->promised,
              &entry->value, entry->mixed);
    }
}
