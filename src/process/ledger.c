#include "process/ledger.h"

#include "value/mem.h"

struct LedgerEntry {
    HshLink link;
    LedgerEntry *next; /* newer */
    LedgerEntry *previous;
    AttemptId id;
    LedgerState state;
    bool fenced;
    bool keep;
    Instant ended_at; /* of its end */
    StrBuf answer;
};

typedef struct {
    HshLink link;
    uint64_t incarnation;
    uint64_t forgotten_counter_max; /* highest counter forgotten */
    Instant last_used_at;
} Origin;

static void
tell(const AttemptLedger *led, const LedgerEvent *event)
{
    if (led->observer) {
        led->observer(led->observer_context, event);
    }
}

static void
tell_of(const AttemptLedger *led, LedgerEventKind kind, AttemptId id,
        Instant at)
{
    tell(led,
         &(LedgerEvent){
             kind, at, {(int64_t)id.incarnation, (int64_t)id.counter}, 0});
}

void
Led_Init(AttemptLedger *led, const LedgerSettings *settings,
         uint64_t incarnation)
{
    *led = (AttemptLedger){.settings = *settings, .incarnation = incarnation};
}

static void
finish_links(Hsh *table, void (*finish)(HshLink *link))
{
    for (size_t i = 0; i < table->bucket_count; i++) {
        HshLink *next;
        for (HshLink *link = table->buckets[i]; link; link = next) {
            next = link->next;
            finish(link);
        }
    }
    Hsh_Finish(table);
}

static void
finish_entry(HshLink *link)
{
    StrBuf_Finish(&((LedgerEntry *)link)->answer);
    Mem_Free(link);
}

static void
finish_origin(HshLink *link)
{
    Mem_Free(link);
}

void
Led_Finish(AttemptLedger *led)
{
    finish_links(&led->entries, finish_entry);
    finish_links(&led->origins, finish_origin);
    *led = (AttemptLedger){0};
}

void
Led_SetLongRetention(AttemptLedger *led, Span retention)
{
    led->settings.long_retention = retention;
    tell(led,
         &(LedgerEvent){.kind = Led_EVENT_RETENTION, .args = {retention}});
}

static LedgerEntry *
find_entry(const AttemptLedger *led, AttemptId id)
{
    HshLink *link = Hsh_First(&led->entries, AttemptId_Hash(id));

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

static Origin *
find_origin(const AttemptLedger *led, uint64_t incarnation)
{
    HshLink *link = Hsh_First(&led->origins, hash_origin(incarnation));

    while (link && ((Origin *)link)->incarnation != incarnation) {
        link = Hsh_Next(link);
    }
    return (Origin *)link;
}

static void
drop_unused_origin(AttemptLedger *led)
{
    Origin *unused = NULL;

    for (size_t i = 0; i < led->origins.bucket_count; i++) {
        for (HshLink *link = led->origins.buckets[i]; link;
             link = link->next) {
            Origin *origin = (Origin *)link;
            if (!unused || origin->last_used_at < unused->last_used_at) {
                unused = origin;
            }
        }
    }
    if (unused) {
        if (unused->incarnation > led->forgotten_incarnation_max) {
            led->forgotten_incarnation_max = unused->incarnation;
        }
        Hsh_Drop(&led->origins, &unused->link);
        Mem_Free(unused);
    }
}

static void
raise_mark(AttemptLedger *led, AttemptId id, Instant now)
{
    Origin *origin = find_origin(led, id.incarnation);

    if (!origin) {
        if (led->origins.count >= led->settings.origins_max) {
            drop_unused_origin(led);
        }
        origin = Mem_Alloc(1, sizeof *origin);
        origin->incarnation = id.incarnation;
        Hsh_Add(&led->origins, &origin->link, hash_origin(id.incarnation));
    }
    origin->last_used_at = now;
    if (id.counter > origin->forgotten_counter_max) {
        origin->forgotten_counter_max = id.counter;
    }
}

static bool
may_be_forgotten(const AttemptLedger *led, AttemptId id)
{
    const Origin *origin = find_origin(led, id.incarnation);

    return origin ? id.counter <= origin->forgotten_counter_max
                  : id.incarnation <= led->forgotten_incarnation_max;
}

static void
drop_answer(AttemptLedger *led, LedgerEntry *entry)
{
    if (entry->state == Led_ANSWERED) {
        entry->state = Led_ANSWER_DROPPED;
    }
    led->kept_bytes -= entry->answer.len;
    StrBuf_Finish(&entry->answer);
}

static void
leave_ages(AttemptLedger *led, LedgerEntry *entry)
{
    LedgerAgeList *ages = &led->ended[entry->keep];

    if (entry->previous) {
        entry->previous->next = entry->next;
    }
    else {
        ages->oldest = entry->next;
    }
    if (entry->next) {
        entry->next->previous = entry->previous;
    }
    else {
        ages->newest = entry->previous;
    }
}

static void
forget(AttemptLedger *led, LedgerEntry *entry, Instant now)
{
    leave_ages(led, entry);
    raise_mark(led, entry->id, now);
    drop_answer(led, entry);
    Hsh_Drop(&led->entries, &entry->link);
    Mem_Free(entry);
}

static void
expire(AttemptLedger *led, bool keep, Span retention, Instant now)
{
    LedgerEntry *entry;

    while ((entry = led->ended[keep].oldest) &&
           now - entry->ended_at >= retention) {
        forget(led, entry, now);
    }
}

static void
expire_all(AttemptLedger *led, Instant now)
{
    expire(led, false, led->settings.short_retention, now);
    expire(led, true, led->settings.long_retention, now);
}

static int64_t
count_expired(AttemptLedger *led, Instant now)
{
    size_t before = led->entries.count;

    expire_all(led, now);
    return (int64_t)(before - led->entries.count);
}

void
Led_Expire(AttemptLedger *led, Instant now)
{
    int64_t dropped = count_expired(led, now);

    if (dropped) {
        tell(led, &(LedgerEvent){Led_EVENT_EXPIRE, now, {0}, dropped});
    }
}

/* NULL when there is no room: nothing is forgotten before its time. */
static LedgerEntry *
add_entry(AttemptLedger *led, AttemptId id, LedgerState state, bool keep,
          Instant now)
{
    LedgerEntry *entry;

    if (led->entries.count >= led->settings.entries_max) {
        expire_all(led, now);
    }
    if (led->entries.count >= led->settings.entries_max) {
        return NULL;
    }
    entry = Mem_Alloc(1, sizeof *entry);
    entry->id = id;
    entry->state = state;
    entry->keep = keep;
    Hsh_Add(&led->entries, &entry->link, AttemptId_Hash(id));
    return entry;
}

/* The entry has its last state and grows old from now on. */
static void
end_entry(AttemptLedger *led, LedgerEntry *entry, LedgerState state,
          Instant now)
{
    LedgerAgeList *ages = &led->ended[entry->keep];

    entry->state = state;
    entry->ended_at = now;
    entry->previous = ages->newest;
    entry->next = NULL;
    if (ages->newest) {
        ages->newest->next = entry;
    }
    else {
        ages->oldest = entry;
    }
    ages->newest = entry;
}

static AttemptVerdict
begin(AttemptLedger *led, AttemptId id, uint64_t incarnation, bool keep,
      Instant now)
{
    const LedgerEntry *entry = find_entry(led, id);

    if (incarnation != led->incarnation) {
        return Led_WRONG_INCARNATION;
    }
    if (entry) {
        return entry->fenced ? Led_FENCED : Led_DUPLICATE;
    }
    if (may_be_forgotten(led, id)) {
        return Led_EXPIRED;
    }
    return add_entry(led, id, Led_RUNNING, keep, now) ? Led_NEW : Led_FULL;
}

/* An attempt or a fence. */
static void
tell_verdict(const AttemptLedger *led, LedgerEventKind kind, AttemptId id,
             uint64_t incarnation, bool keep, Instant now, int64_t outcome)
{
    tell(led, &(LedgerEvent){kind,
                             now,
                             {(int64_t)id.incarnation, (int64_t)id.counter,
                              (int64_t)incarnation, keep},
                             outcome});
}

AttemptVerdict
Led_OnAttempt(AttemptLedger *led, AttemptId id, uint64_t incarnation,
              bool keep, Instant now)
{
    AttemptVerdict verdict = begin(led, id, incarnation, keep, now);

    tell_verdict(led, Led_EVENT_ATTEMPT, id, incarnation, keep, now,
                 (int64_t)verdict);
    return verdict;
}

static LedgerEntry *
find_running(const AttemptLedger *led, AttemptId id)
{
    LedgerEntry *entry = find_entry(led, id);

    return entry && entry->state == Led_RUNNING ? entry : NULL;
}

void
Led_OnRefused(AttemptLedger *led, AttemptId id, Instant now)
{
    LedgerEntry *entry = find_running(led, id);

    tell_of(led, Led_EVENT_REFUSED, id, now);
    if (entry) {
        end_entry(led, entry, Led_NEVER_RAN, now);
    }
}

static void
make_room(AttemptLedger *led)
{
    for (int keep = 0; keep < 2; keep++) {
        LedgerEntry *entry = led->ended[keep].oldest;
        while (entry && led->kept_bytes > led->settings.kept_bytes_max) {
            drop_answer(led, entry);
            entry = entry->next;
        }
    }
}

void
Led_OnEnded(AttemptLedger *led, AttemptId id, bool whole, Str answer,
            Instant now)
{
    LedgerEntry *entry = find_running(led, id);

    tell(led, &(LedgerEvent){Led_EVENT_DONE,
                             now,
                             {(int64_t)id.incarnation, (int64_t)id.counter,
                              whole, (int64_t)answer.len},
                             0});
    if (!entry) {
        return;
    }
    if (!whole || answer.len > led->settings.answer_bytes_max) {
        end_entry(led, entry, Led_ANSWER_DROPPED, now);
        return;
    }
    end_entry(led, entry, Led_ANSWERED, now);
    StrBuf_Set(&entry->answer, answer);
    led->kept_bytes += answer.len;
    make_room(led);
}

void
Led_OnUnknown(AttemptLedger *led, AttemptId id, Instant now)
{
    LedgerEntry *entry = find_running(led, id);

    tell_of(led, Led_EVENT_LOST, id, now);
    if (entry) {
        end_entry(led, entry, Led_UNKNOWN, now);
    }
}

static LedgerState
fence(AttemptLedger *led, AttemptId id, uint64_t incarnation, bool keep,
      Instant now, Str *answer)
{
    LedgerEntry *entry = find_entry(led, id);

    *answer = (Str){0};
    if (incarnation != led->incarnation) {
        return Led_UNKNOWN;
    }
    if (entry) {
        *answer = StrBuf_View(&entry->answer);
        return entry->state;
    }
    if (may_be_forgotten(led, id)) {
        return Led_UNKNOWN;
    }
    entry = add_entry(led, id, Led_NEVER_RAN, keep, now);
    if (!entry) {
        return Led_UNKNOWN;
    }
    entry->fenced = true;
    end_entry(led, entry, Led_NEVER_RAN, now);
    return Led_NEVER_RAN;
}

LedgerState
Led_Fence(AttemptLedger *led, AttemptId id, uint64_t incarnation, bool keep,
          Instant now, Str *answer)
{
    LedgerState state = fence(led, id, incarnation, keep, now, answer);

    tell_verdict(led, Led_EVENT_FENCE, id, incarnation, keep, now,
                 (int64_t)state);
    return state;
}

void
Led_SetObserver(AttemptLedger *led, LedgerObserver observer, void *context)
{
    const LedgerSettings *settings = &led->settings;

    led->observer = observer;
    led->observer_context = context;
    tell(led, &(LedgerEvent){.kind = Led_EVENT_SETTINGS,
                             .args = {settings->short_retention,
                                      settings->long_retention,
                                      (int64_t)settings->kept_bytes_max,
                                      (int64_t)settings->answer_bytes_max,
                                      (int64_t)settings->entries_max,
                                      (int64_t)settings->origins_max}});
    tell(led, &(LedgerEvent){.kind = Led_EVENT_START,
                             .args = {(int64_t)led->incarnation}});
}

static LedgerSettings
settings_of(const int64_t *args)
{
    return (LedgerSettings){args[0],         args[1],         (size_t)args[2],
                            (size_t)args[3], (size_t)args[4], (size_t)args[5]};
}

/* Only the length matters, and not beyond the bound. */
static void
replay_done(AttemptLedger *led, AttemptId id, const LedgerEvent *event)
{
    size_t len = (size_t)event->args[3];
    char *answer;

    if (len > led->settings.answer_bytes_max) {
        len = led->settings.answer_bytes_max + 1;
    }
    answer = Mem_Alloc(len + 1, 1);
    Led_OnEnded(led, id, event->args[2] != 0, Str_From(answer, len),
                event->at);
    Mem_Free(answer);
}

int64_t
Led_ReplayEvent(AttemptLedger *led, const LedgerEvent *event)
{
    const int64_t *args = event->args;
    AttemptId id = {(uint64_t)args[0], (uint64_t)args[1]};
    Str answer;

    switch (event->kind) {
    case Led_EVENT_SETTINGS:
        led->settings = settings_of(args);
        break;
    case Led_EVENT_START:
        led->incarnation = (uint64_t)args[0];
        break;
    case Led_EVENT_RETENTION:
        Led_SetLongRetention(led, args[0]);
        break;
    case Led_EVENT_ATTEMPT:
        return (int64_t)Led_OnAttempt(led, id, (uint64_t)args[2], args[3] != 0,
                                      event->at);
    case Led_EVENT_REFUSED:
        Led_OnRefused(led, id, event->at);
        break;
    case Led_EVENT_DONE:
        replay_done(led, id, event);
        break;
    case Led_EVENT_LOST:
        Led_OnUnknown(led, id, event->at);
        break;
    case Led_EVENT_FENCE:
        return (int64_t)Led_Fence(led, id, (uint64_t)args[2], args[3] != 0,
                                  event->at, &answer);
    case Led_EVENT_EXPIRE:
        return count_expired(led, event->at);
    case Led_EVENT_COUNT:
        break;
    }
    return 0;
}
