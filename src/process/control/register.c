#include "process/control/register.h"

#include "value/mem.h"

/* How long an acceptor that restarted waits before it reads the registers of
 * others.  Longer than a proposer counts the replies of a phase: a reply from
 * before the restart no longer counts when the catch-up starts. */
#define CATCH_UP_DELAY Span_S(1)

enum { FAST_ROUND = 1 }; /* see PaxosBallot */

struct RegisterEntry {
    HashLink link;
    RegisterEntry *next; /* changed later */
    RegisterEntry *previous;
    StrBuf key;
    PaxosBallot promised;
    RegisterValue value;
    StrBuf answer; /* owns the bytes of value.answer */
    /* Other acceptors held different attempts, and which is the latest is not
     * known.  The acceptor promises nothing and reports no value for the key
     * until a value of a later round is accepted or the end is reported. */
    bool has_conflict;
    Instant changed_at;
};

static int
compare_numbers(uint64_t a, uint64_t b)
{
    return a < b ? -1 : a > b;
}

int
Reg_CompareBallots(PaxosBallot a, PaxosBallot b)
{
    int order = compare_numbers(a.round, b.round);

    if (order == 0) {
        order =
            compare_numbers(a.proposer.incarnation, b.proposer.incarnation);
    }
    return order ? order
                 : compare_numbers(a.proposer.counter, b.proposer.counter);
}

void
Reg_Init(KeyRegisters *registers, const RegisterSettings *settings,
         bool starts_ready, Instant now)
{
    *registers = (KeyRegisters){
        .settings = *settings,
        .is_ready = starts_ready,
        .started_at = now,
        .ready_at_latest = now + settings->retention,
    };
}

static void
unlink_entry(KeyRegisters *registers, RegisterEntry *entry)
{
    if (entry->previous) {
        entry->previous->next = entry->next;
    }
    else {
        registers->oldest = entry->next;
    }
    if (entry->next) {
        entry->next->previous = entry->previous;
    }
    else {
        registers->newest = entry->previous;
    }
}

static void
append_entry(KeyRegisters *registers, RegisterEntry *entry)
{
    entry->previous = registers->newest;
    entry->next = NULL;
    if (registers->newest) {
        registers->newest->next = entry;
    }
    else {
        registers->oldest = entry;
    }
    registers->newest = entry;
}

static void
drop_answer(KeyRegisters *registers, RegisterEntry *entry)
{
    registers->kept_bytes -= entry->answer.len;
    StrBuf_Finish(&entry->answer);
    entry->value.answer = (Str){0};
}

static void
drop_entry(KeyRegisters *registers, RegisterEntry *entry)
{
    unlink_entry(registers, entry);
    drop_answer(registers, entry);
    Hsh_Drop(&registers->entries, &entry->link);
    StrBuf_Finish(&entry->key);
    Mem_Free(entry);
}

void
Reg_Finish(KeyRegisters *registers)
{
    while (registers->oldest) {
        drop_entry(registers, registers->oldest);
    }
    Hsh_Finish(&registers->entries);
}

void
Reg_SetRetention(KeyRegisters *registers, Span retention)
{
    /* A register that was lost in the restart may be as old as the longest
     * retention that was in force. */
    if (retention > registers->settings.retention && !registers->is_ready) {
        registers->ready_at_latest +=
            retention - registers->settings.retention;
    }
    registers->settings.retention = retention;
}

static RegisterEntry *
find_entry(const KeyRegisters *registers, Str key)
{
    HashLink *link = Hsh_First(&registers->entries, Str_Hash(key));

    while (link &&
           !Str_Equal(StrBuf_View(&((RegisterEntry *)link)->key), key)) {
        link = Hsh_Next(link);
    }
    return (RegisterEntry *)link;
}

void
Reg_Expire(KeyRegisters *registers, Instant now)
{
    while (registers->oldest && now - registers->oldest->changed_at >=
                                    registers->settings.retention) {
        drop_entry(registers, registers->oldest);
    }
    if (now >= registers->ready_at_latest) {
        registers->is_ready = true;
    }
}

/* Returns the register of KEY, which it adds when it is missing; NULL when
 * there is no room. */
static RegisterEntry *
find_or_add_entry(KeyRegisters *registers, Str key, Instant now)
{
    RegisterEntry *entry = find_entry(registers, key);

    if (entry) {
        return entry;
    }
    if (registers->entries.count >= registers->settings.entries_max) {
        return NULL;
    }
    entry = Mem_Alloc(1, sizeof *entry);
    StrBuf_Set(&entry->key, key);
    Hsh_Add(&registers->entries, &entry->link, Str_Hash(key));
    append_entry(registers, entry);
    entry->changed_at = now;
    return entry;
}

static void
mark_changed(KeyRegisters *registers, RegisterEntry *entry, Instant now)
{
    unlink_entry(registers, entry);
    append_entry(registers, entry);
    entry->changed_at = now;
}

static RegisterReply
reply_from(const RegisterEntry *entry, RegisterVerdict verdict)
{
    return (RegisterReply){verdict, entry->promised, entry->value};
}

/* Returns KEY's register for a proposer.  NULL, with the reply to send, when
 * the acceptor is not ready or has no room. */
static RegisterEntry *
open_for_proposer(KeyRegisters *registers, Str key, Instant now,
                  RegisterReply *reply)
{
    RegisterEntry *entry;

    *reply = (RegisterReply){.verdict = Reg_NOT_READY};
    Reg_Expire(registers, now);
    if (!registers->is_ready) {
        return NULL;
    }
    entry = find_or_add_entry(registers, key, now);
    if (!entry) {
        reply->verdict = Reg_FULL;
    }
    return entry;
}

/* Returns whether A is a later value than B.  One proposer makes its next
 * attempt only after a proof that its previous one never ran, so the higher
 * counter is the later value under an equal ballot. */
static bool
is_newer(const RegisterValue *a, const RegisterValue *b)
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
        (entry->value.state == Reg_PLACED && is_newer(&entry->value, value))) {
        return false;
    }
    if (ballot.round == FAST_ROUND) {
        return order == 0 || entry->promised.round == 0;
    }
    return order >= 0;
}

RegisterReply
Reg_Accept(KeyRegisters *registers, Str key, const RegisterValue *value,
           Instant now)
{
    RegisterReply reply;
    RegisterEntry *entry = open_for_proposer(registers, key, now, &reply);

    if (!entry) {
        return reply;
    }
    if (entry->has_conflict && value->ballot.round == FAST_ROUND) {
        return reply;
    }
    if (!may_accept(entry, value)) {
        return entry->has_conflict ? reply : reply_from(entry, Reg_REJECTED);
    }
    entry->promised = value->ballot;
    entry->value = *value;
    entry->value.state = Reg_PLACED;
    entry->value.answer = (Str){0};
    entry->has_conflict = false;
    mark_changed(registers, entry, now);
    return reply_from(entry, Reg_OK);
}

RegisterReply
Reg_Promise(KeyRegisters *registers, Str key, PaxosBallot ballot, Instant now)
{
    RegisterReply reply;
    RegisterEntry *entry = open_for_proposer(registers, key, now, &reply);

    if (!entry || entry->has_conflict) {
        return reply;
    }
    if (Reg_CompareBallots(ballot, entry->promised) < 0) {
        return reply_from(entry, Reg_REJECTED);
    }
    entry->promised = ballot;
    mark_changed(registers, entry, now);
    return reply_from(entry, Reg_OK);
}

static void
evict_answers(KeyRegisters *registers)
{
    RegisterEntry *entry = registers->oldest;

    while (entry &&
           registers->kept_bytes > registers->settings.kept_bytes_max) {
        drop_answer(registers, entry);
        entry = entry->next;
    }
}

void
Reg_OnEnded(KeyRegisters *registers, Str key, const RegisterValue *value,
            Instant now)
{
    RegisterEntry *entry = find_or_add_entry(registers, key, now);

    if (!entry || entry->value.state == Reg_ENDED) {
        return;
    }
    entry->value = *value;
    entry->value.state = Reg_ENDED;
    entry->value.answer = (Str){0};
    entry->has_conflict = false;
    if (value->answer.len <= registers->settings.answer_bytes_max) {
        StrBuf_Set(&entry->answer, value->answer);
        entry->value.answer = StrBuf_View(&entry->answer);
        registers->kept_bytes += entry->answer.len;
    }
    mark_changed(registers, entry, now);
    evict_answers(registers);
}

void
Reg_OnReleased(KeyRegisters *registers, Str key, AttemptId attempt)
{
    RegisterEntry *entry = find_entry(registers, key);

    if (!entry || entry->has_conflict || entry->value.state != Reg_PLACED ||
        !AttemptId_Equal(entry->value.attempt, attempt)) {
        return;
    }
    /* The proposer is done with the key, and no other was promised a ballot:
     * without the register the fast path is open again. */
    if (entry->promised.round <= FAST_ROUND) {
        drop_entry(registers, entry);
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
        entry->has_conflict = true;
    }
    if (entry->value.state == Reg_EMPTY || is_newer(value, &entry->value)) {
        entry->value = *value;
        entry->value.answer = (Str){0};
    }
}

bool
Reg_MayCatchUp(const KeyRegisters *registers, Instant now)
{
    return now - registers->started_at >= CATCH_UP_DELAY;
}

bool
Reg_Merge(KeyRegisters *registers, Str key, PaxosBallot promised,
          const RegisterValue *value, bool has_conflict, Instant now)
{
    RegisterEntry *entry = find_or_add_entry(registers, key, now);

    if (!entry) {
        return false;
    }
    if (Reg_CompareBallots(promised, entry->promised) > 0) {
        entry->promised = promised;
    }
    if (value->state == Reg_ENDED) {
        Reg_OnEnded(registers, key, value, now);
    }
    if (entry->value.state != Reg_ENDED) {
        entry->has_conflict |= has_conflict;
        if (value->state == Reg_PLACED) {
            merge_placed(entry, value);
        }
    }
    mark_changed(registers, entry, now);
    return true;
}

void
Reg_SetReady(KeyRegisters *registers)
{
    registers->is_ready = true;
}

void
Reg_ForEach(const KeyRegisters *registers, RegisterVisitor visit,
            void *context)
{
    for (const RegisterEntry *entry = registers->oldest; entry;
         entry = entry->next) {
        visit(context, StrBuf_View(&entry->key), entry->promised,
              &entry->value, entry->has_conflict);
    }
}
