#include "process/admission/ledger.h"

#include "value/mem.h"

/* What the ledger records of one attempt id. */
struct LedgerEntry {
    HashLink link;
    LedgerEntry *next; /* in LedgerAgeList, once ended; newer */
    LedgerEntry *previous;
    AttemptId id;
    LedgerState state;
    bool fenced;    /* by Led_Fence, before the attempt arrived */
    bool keep_long; /* the long retention applies */
    Instant ended_at;
    StrBuf answer; /* of Led_ANSWERED */
};

/* One start of a node, some of whose attempts were forgotten. */
typedef struct {
    HashLink link;
    uint64_t incarnation;
    uint64_t forgotten_counter_max;
    Instant last_used_at;
} LedgerOrigin;

static void
notify_observer(const AttemptLedger *ledger, const LedgerEvent *event)
{
    if (ledger->observer) {
        ledger->observer(ledger->observer_context, event);
    }
}

static void
notify_attempt(const AttemptLedger *ledger, LedgerEventKind kind, AttemptId id,
               Instant at)
{
    notify_observer(
        ledger,
        &(LedgerEvent){
            kind, at, {(int64_t)id.incarnation, (int64_t)id.counter}, 0});
}

void
Led_Init(AttemptLedger *ledger, const LedgerSettings *settings,
         uint64_t incarnation)
{
    *ledger =
        (AttemptLedger){.settings = *settings, .incarnation = incarnation};
}

static void
finish_table(HashTable *table, void (*finish)(HashLink *link))
{
    for (size_t i = 0; i < table->bucket_count; i++) {
        HashLink *next;
        for (HashLink *link = table->buckets[i]; link; link = next) {
            next = link->next;
            finish(link);
        }
    }
    Hsh_Finish(table);
}

static void
finish_entry(HashLink *link)
{
    StrBuf_Finish(&((LedgerEntry *)link)->answer);
    Mem_Free(link);
}

static void
finish_origin(HashLink *link)
{
    Mem_Free(link);
}

void
Led_Finish(AttemptLedger *ledger)
{
    finish_table(&ledger->entries, finish_entry);
    finish_table(&ledger->origins, finish_origin);
    *ledger = (AttemptLedger){0};
}

void
Led_SetLongRetention(AttemptLedger *ledger, Span retention)
{
    ledger->settings.long_retention = retention;
    notify_observer(ledger, &(LedgerEvent){.kind = Led_EVENT_RETENTION,
                                           .args = {retention}});
}

static LedgerEntry *
find_entry(const AttemptLedger *ledger, AttemptId id)
{
    HashLink *link = Hsh_First(&ledger->entries, AttemptId_Hash(id));

    while (link && !AttemptId_Equal(((LedgerEntry *)link)->id, id)) {
        link = Hsh_Next(link);
    }
    return (LedgerEntry *)link;
}

static uint64_t
hash_origin(uint64_t incarnation)
{
    return AttemptId_Hash((AttemptId){incarnation, 0});
}

static LedgerOrigin *
find_origin(const AttemptLedger *ledger, uint64_t incarnation)
{
    HashLink *link = Hsh_First(&ledger->origins, hash_origin(incarnation));

    while (link && ((LedgerOrigin *)link)->incarnation != incarnation) {
        link = Hsh_Next(link);
    }
    return (LedgerOrigin *)link;
}

static void
drop_least_recent_origin(AttemptLedger *ledger)
{
    LedgerOrigin *least_recent = NULL;

    for (size_t i = 0; i < ledger->origins.bucket_count; i++) {
        for (HashLink *link = ledger->origins.buckets[i]; link;
             link = link->next) {
            LedgerOrigin *origin = (LedgerOrigin *)link;
            if (!least_recent ||
                origin->last_used_at < least_recent->last_used_at) {
                least_recent = origin;
            }
        }
    }
    if (least_recent) {
        if (least_recent->incarnation > ledger->forgotten_incarnation_max) {
            ledger->forgotten_incarnation_max = least_recent->incarnation;
        }
        Hsh_Drop(&ledger->origins, &least_recent->link);
        Mem_Free(least_recent);
    }
}

static void
record_forgotten_id(AttemptLedger *ledger, AttemptId id, Instant now)
{
    LedgerOrigin *origin = find_origin(ledger, id.incarnation);

    if (!origin) {
        if (ledger->origins.count >= ledger->settings.origins_max) {
            drop_least_recent_origin(ledger);
        }
        origin = Mem_Alloc(1, sizeof *origin);
        origin->incarnation = id.incarnation;
        Hsh_Add(&ledger->origins, &origin->link, hash_origin(id.incarnation));
    }
    origin->last_used_at = now;
    if (id.counter > origin->forgotten_counter_max) {
        origin->forgotten_counter_max = id.counter;
    }
}

static bool
may_have_been_forgotten(const AttemptLedger *ledger, AttemptId id)
{
    const LedgerOrigin *origin = find_origin(ledger, id.incarnation);

    return origin ? id.counter <= origin->forgotten_counter_max
                  : id.incarnation <= ledger->forgotten_incarnation_max;
}

static void
drop_answer(AttemptLedger *ledger, LedgerEntry *entry)
{
    if (entry->state == Led_ANSWERED) {
        entry->state = Led_ANSWER_DROPPED;
    }
    ledger->kept_bytes -= entry->answer.len;
    StrBuf_Finish(&entry->answer);
}

static void
unlink_ended_entry(AttemptLedger *ledger, LedgerEntry *entry)
{
    LedgerAgeList *list = &ledger->ended[entry->keep_long];

    if (entry->previous) {
        entry->previous->next = entry->next;
    }
    else {
        list->oldest = entry->next;
    }
    if (entry->next) {
        entry->next->previous = entry->previous;
    }
    else {
        list->newest = entry->previous;
    }
}

static void
forget_entry(AttemptLedger *ledger, LedgerEntry *entry, Instant now)
{
    unlink_ended_entry(ledger, entry);
    record_forgotten_id(ledger, entry->id, now);
    drop_answer(ledger, entry);
    Hsh_Drop(&ledger->entries, &entry->link);
    Mem_Free(entry);
}

static void
expire_list(AttemptLedger *ledger, bool keep_long, Span retention, Instant now)
{
    LedgerEntry *entry;

    while ((entry = ledger->ended[keep_long].oldest) &&
           now - entry->ended_at >= retention) {
        forget_entry(ledger, entry, now);
    }
}

static void
expire_all(AttemptLedger *ledger, Instant now)
{
    expire_list(ledger, false, ledger->settings.short_retention, now);
    expire_list(ledger, true, ledger->settings.long_retention, now);
}

static int64_t
expire_and_count(AttemptLedger *ledger, Instant now)
{
    size_t before = ledger->entries.count;

    expire_all(ledger, now);
    return (int64_t)(before - ledger->entries.count);
}

void
Led_Expire(AttemptLedger *ledger, Instant now)
{
    int64_t dropped = expire_and_count(ledger, now);

    if (dropped) {
        notify_observer(ledger,
                        &(LedgerEvent){Led_EVENT_EXPIRE, now, {0}, dropped});
    }
}

/* Returns NULL when there is no room: no entry is forgotten before its
 * retention has passed, and running attempts never are. */
static LedgerEntry *
add_entry(AttemptLedger *ledger, AttemptId id, LedgerState state,
          bool keep_long, Instant now)
{
    LedgerEntry *entry;

    if (ledger->entries.count >= ledger->settings.entries_max) {
        expire_all(ledger, now);
    }
    if (ledger->entries.count >= ledger->settings.entries_max) {
        return NULL;
    }
    entry = Mem_Alloc(1, sizeof *entry);
    entry->id = id;
    entry->state = state;
    entry->keep_long = keep_long;
    Hsh_Add(&ledger->entries, &entry->link, AttemptId_Hash(id));
    return entry;
}

/* Sets the final state.  The retention of the entry starts now. */
static void
set_ended(AttemptLedger *ledger, LedgerEntry *entry, LedgerState state,
          Instant now)
{
    LedgerAgeList *list = &ledger->ended[entry->keep_long];

    entry->state = state;
    entry->ended_at = now;
    entry->previous = list->newest;
    entry->next = NULL;
    if (list->newest) {
        list->newest->next = entry;
    }
    else {
        list->oldest = entry;
    }
    list->newest = entry;
}

static AttemptVerdict
admit_attempt(AttemptLedger *ledger, AttemptId id, uint64_t incarnation,
              bool keep_long, Instant now)
{
    const LedgerEntry *entry = find_entry(ledger, id);

    if (incarnation != ledger->incarnation) {
        return Led_WRONG_INCARNATION;
    }
    if (entry) {
        return entry->fenced ? Led_FENCED : Led_DUPLICATE;
    }
    if (may_have_been_forgotten(ledger, id)) {
        return Led_EXPIRED;
    }
    return add_entry(ledger, id, Led_RUNNING, keep_long, now) ? Led_NEW
                                                              : Led_FULL;
}

/* Reports a Led_EVENT_ATTEMPT or Led_EVENT_FENCE. */
static void
notify_verdict(const AttemptLedger *ledger, LedgerEventKind kind, AttemptId id,
               uint64_t incarnation, bool keep_long, Instant now,
               int64_t outcome)
{
    notify_observer(
        ledger, &(LedgerEvent){kind,
                               now,
                               {(int64_t)id.incarnation, (int64_t)id.counter,
                                (int64_t)incarnation, keep_long},
                               outcome});
}

AttemptVerdict
Led_OnAttempt(AttemptLedger *ledger, AttemptId id, uint64_t incarnation,
              bool keep_long, Instant now)
{
    AttemptVerdict verdict =
        admit_attempt(ledger, id, incarnation, keep_long, now);

    notify_verdict(ledger, Led_EVENT_ATTEMPT, id, incarnation, keep_long, now,
                   (int64_t)verdict);
    return verdict;
}

static LedgerEntry *
find_running(const AttemptLedger *ledger, AttemptId id)
{
    LedgerEntry *entry = find_entry(ledger, id);

    return entry && entry->state == Led_RUNNING ? entry : NULL;
}

void
Led_OnRefused(AttemptLedger *ledger, AttemptId id, Instant now)
{
    LedgerEntry *entry = find_running(ledger, id);

    notify_attempt(ledger, Led_EVENT_REFUSED, id, now);
    if (entry) {
        set_ended(ledger, entry, Led_NEVER_RAN, now);
    }
}

/* Drops answers until the others fit into kept_bytes_max: those with the short
 * retention first, and the oldest first. */
static void
evict_answers(AttemptLedger *ledger)
{
    for (int keep_long = 0; keep_long < 2; keep_long++) {
        LedgerEntry *entry = ledger->ended[keep_long].oldest;
        while (entry && ledger->kept_bytes > ledger->settings.kept_bytes_max) {
            drop_answer(ledger, entry);
            entry = entry->next;
        }
    }
}

void
Led_OnEnded(AttemptLedger *ledger, AttemptId id, bool is_complete, Str answer,
            Instant now)
{
    LedgerEntry *entry = find_running(ledger, id);

    notify_observer(
        ledger, &(LedgerEvent){Led_EVENT_ENDED,
                               now,
                               {(int64_t)id.incarnation, (int64_t)id.counter,
                                is_complete, (int64_t)answer.len},
                               0});
    if (!entry) {
        return;
    }
    if (!is_complete || answer.len > ledger->settings.answer_bytes_max) {
        set_ended(ledger, entry, Led_ANSWER_DROPPED, now);
        return;
    }
    set_ended(ledger, entry, Led_ANSWERED, now);
    StrBuf_Set(&entry->answer, answer);
    ledger->kept_bytes += answer.len;
    evict_answers(ledger);
}

void
Led_OnUnknown(AttemptLedger *ledger, AttemptId id, Instant now)
{
    LedgerEntry *entry = find_running(ledger, id);

    notify_attempt(ledger, Led_EVENT_UNKNOWN, id, now);
    if (entry) {
        set_ended(ledger, entry, Led_UNKNOWN, now);
    }
}

static LedgerState
fence_attempt(AttemptLedger *ledger, AttemptId id, uint64_t incarnation,
              bool keep_long, Instant now, Str *answer)
{
    LedgerEntry *entry = find_entry(ledger, id);

    *answer = (Str){0};
    if (incarnation != ledger->incarnation) {
        return Led_UNKNOWN;
    }
    if (entry) {
        *answer = StrBuf_View(&entry->answer);
        return entry->state;
    }
    if (may_have_been_forgotten(ledger, id)) {
        return Led_UNKNOWN;
    }
    entry = add_entry(ledger, id, Led_NEVER_RAN, keep_long, now);
    if (!entry) {
        return Led_UNKNOWN;
    }
    entry->fenced = true;
    set_ended(ledger, entry, Led_NEVER_RAN, now);
    return Led_NEVER_RAN;
}

LedgerState
Led_Fence(AttemptLedger *ledger, AttemptId id, uint64_t incarnation,
          bool keep_long, Instant now, Str *answer)
{
    LedgerState state =
        fence_attempt(ledger, id, incarnation, keep_long, now, answer);

    notify_verdict(ledger, Led_EVENT_FENCE, id, incarnation, keep_long, now,
                   (int64_t)state);
    return state;
}

void
Led_SetObserver(AttemptLedger *ledger, LedgerObserver observer, void *context)
{
    const LedgerSettings *settings = &ledger->settings;

    ledger->observer = observer;
    ledger->observer_context = context;
    notify_observer(
        ledger, &(LedgerEvent){.kind = Led_EVENT_SETTINGS,
                               .args = {settings->short_retention,
                                        settings->long_retention,
                                        (int64_t)settings->kept_bytes_max,
                                        (int64_t)settings->answer_bytes_max,
                                        (int64_t)settings->entries_max,
                                        (int64_t)settings->origins_max}});
    notify_observer(ledger,
                    &(LedgerEvent){.kind = Led_EVENT_START,
                                   .args = {(int64_t)ledger->incarnation}});
}

static LedgerSettings
make_settings(const int64_t *args)
{
    return (LedgerSettings){args[0],         args[1],         (size_t)args[2],
                            (size_t)args[3], (size_t)args[4], (size_t)args[5]};
}

/* A trace holds only the length of the answer.  All lengths above the limit
 * have the same effect, so the replay allocates no more than that. */
static void
replay_ended(AttemptLedger *ledger, AttemptId id, const LedgerEvent *event)
{
    size_t len = (size_t)event->args[3];
    char *answer;

    if (len > ledger->settings.answer_bytes_max) {
        len = ledger->settings.answer_bytes_max + 1;
    }
    answer = Mem_Alloc(len + 1, 1);
    Led_OnEnded(ledger, id, event->args[2] != 0, Str_From(answer, len),
                event->at);
    Mem_Free(answer);
}

int64_t
Led_ReplayEvent(AttemptLedger *ledger, const LedgerEvent *event)
{
    const int64_t *args = event->args;
    AttemptId id = {(uint64_t)args[0], (uint64_t)args[1]};
    Str answer;

    switch (event->kind) {
    case Led_EVENT_SETTINGS:
        ledger->settings = make_settings(args);
        break;
    case Led_EVENT_START:
        ledger->incarnation = (uint64_t)args[0];
        break;
    case Led_EVENT_RETENTION:
        Led_SetLongRetention(ledger, args[0]);
        break;
    case Led_EVENT_ATTEMPT:
        return (int64_t)Led_OnAttempt(ledger, id, (uint64_t)args[2],
                                      args[3] != 0, event->at);
    case Led_EVENT_REFUSED:
        Led_OnRefused(ledger, id, event->at);
        break;
    case Led_EVENT_ENDED:
        replay_ended(ledger, id, event);
        break;
    case Led_EVENT_UNKNOWN:
        Led_OnUnknown(ledger, id, event->at);
        break;
    case Led_EVENT_FENCE:
        return (int64_t)Led_Fence(ledger, id, (uint64_t)args[2], args[3] != 0,
                                  event->at, &answer);
    case Led_EVENT_EXPIRE:
        return expire_and_count(ledger, event->at);
    case Led_EVENT_COUNT:
        break;
    }
    return 0;
}
