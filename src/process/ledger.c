#include "process/ledger.h"

#include "value/mem.h"

struct LedEntry {
    HshLink link;
    LedEntry *next; /* newer */
    LedEntry *previous;
    AttemptId id;
    LedState state;
    bool fenced;
    bool keep;
    Instant at; /* of its end */
    StrBuf answer;
};

typedef struct {
    HshLink link;
    uint64_t incarnation;
    uint64_t mark; /* highest counter forgotten */
    Instant used_at;
} Origin;

static void
tell(const Led *led, const LedEvent *event)
{
    if (led->observer) {
        led->observer(led->observer_context, event);
    }
}

static void
tell_of(const Led *led, LedEventKind kind, AttemptId id, Instant at)
{
    tell(led,
         &(LedEvent){
             kind, at, {(int64_t)id.incarnation, (int64_t)id.counter}, 0});
}

void
Led_Init(Led *led, const LedSettings *settings, uint64_t incarnation)
{
    *led = (Led){.settings = *settings, .incarnation = incarnation};
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
    StrBuf_Finish(&((LedEntry *)link)->answer);
    Mem_Free(link);
}

static void
finish_origin(HshLink *link)
{
    Mem_Free(link);
}

void
Led_Finish(Led *led)
{
    finish_links(&led->entries, finish_entry);
    finish_links(&led->origins, finish_origin);
    *led = (Led){0};
}

void
Led_SetRetention(Led *led, Span retention)
{
    led->settings.retention = retention;
    tell(led, &(LedEvent){.kind = Led_DID_RETENTION, .args = {retention}});
}

static LedEntry *
find_entry(const Led *led, AttemptId id)
{
    HshLink *link = Hsh_First(&led->entries, AttemptId_Hash(id));

    while (link && !AttemptId_Equal(((LedEntry *)link)->id, id)) {
        link = Hsh_Next(link);
    }
    return (LedEntry *)link;
}

static uint64_t
hash_origin(uint64_t incarnation)
{
    return AttemptId_Hash((AttemptId){incarnation, 0});
}

static Origin *
find_origin(const Led *led, uint64_t incarnation)
{
    HshLink *link = Hsh_First(&led->origins, hash_origin(incarnation));

    while (link && ((Origin *)link)->incarnation != incarnation) {
        link = Hsh_Next(link);
    }
    return (Origin *)link;
}

static void
drop_unused_origin(Led *led)
{
    Origin *unused = NULL;

    for (size_t i = 0; i < led->origins.bucket_count; i++) {
        for (HshLink *link = led->origins.buckets[i]; link;
             link = link->next) {
            Origin *origin = (Origin *)link;
            if (!unused || origin->used_at < unused->used_at) {
                unused = origin;
            }
        }
    }
    if (unused) {
        if (unused->incarnation > led->floor) {
            led->floor = unused->incarnation;
        }
        Hsh_Drop(&led->origins, &unused->link);
        Mem_Free(unused);
    }
}

static void
raise_mark(Led *led, AttemptId id, Instant now)
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
    origin->used_at = now;
    if (id.counter > origin->mark) {
        origin->mark = id.counter;
    }
}

static bool
may_be_forgotten(const Led *led, AttemptId id)
{
    const Origin *origin = find_origin(led, id.incarnation);

    return origin ? id.counter <= origin->mark : id.incarnation <= led->floor;
}

static void
drop_answer(Led *led, LedEntry *entry)
{
    if (entry->state == Led_DONE) {
        entry->state = Led_ENDED;
    }
    led->bytes -= entry->answer.len;
    StrBuf_Finish(&entry->answer);
}

static void
leave_ages(Led *led, LedEntry *entry)
{
    LedAges *ages = &led->ages[entry->keep];

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
forget(Led *led, LedEntry *entry, Instant now)
{
    leave_ages(led, entry);
    raise_mark(led, entry->id, now);
    drop_answer(led, entry);
    Hsh_Drop(&led->entries, &entry->link);
    Mem_Free(entry);
}

static void
expire(Led *led, bool keep, Span retention, Instant now)
{
    LedEntry *entry;

    while ((entry = led->ages[keep].oldest) && now - entry->at >= retention) {
        forget(led, entry, now);
    }
}

static void
expire_all(Led *led, Instant now)
{
    expire(led, false, led->settings.brief, now);
    expire(led, true, led->settings.retention, now);
}

static int64_t
count_expired(Led *led, Instant now)
{
    size_t before = led->entries.count;

    expire_all(led, now);
    return (int64_t)(before - led->entries.count);
}

void
Led_Expire(Led *led, Instant now)
{
    int64_t dropped = count_expired(led, now);

    if (dropped) {
        tell(led, &(LedEvent){Led_DID_EXPIRE, now, {0}, dropped});
    }
}

/* NULL when there is no room: nothing is forgotten before its time. */
static LedEntry *
add_entry(Led *led, AttemptId id, LedState state, bool keep, Instant now)
{
    LedEntry *entry;

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
end_entry(Led *led, LedEntry *entry, LedState state, Instant now)
{
    LedAges *ages = &led->ages[entry->keep];

    entry->state = state;
    entry->at = now;
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

static LedBegin
begin(Led *led, AttemptId id, uint64_t incarnation, bool keep, Instant now)
{
    const LedEntry *entry = find_entry(led, id);

    if (incarnation != led->incarnation) {
        return Led_WRONG_INCARNATION;
    }
    if (entry) {
        return entry->fenced ? Led_FENCED : Led_SEEN;
    }
    if (may_be_forgotten(led, id)) {
        return Led_EXPIRED;
    }
    return add_entry(led, id, Led_RUNNING, keep, now) ? Led_FIRST : Led_FULL;
}

/* An attempt or a fence. */
static void
tell_verdict(const Led *led, LedEventKind kind, AttemptId id,
             uint64_t incarnation, bool keep, Instant now, int64_t outcome)
{
    tell(led, &(LedEvent){kind,
                          now,
                          {(int64_t)id.incarnation, (int64_t)id.counter,
                           (int64_t)incarnation, keep},
                          outcome});
}

LedBegin
Led_OnAttempt(Led *led, AttemptId id, uint64_t incarnation, bool keep,
              Instant now)
{
    LedBegin verdict = begin(led, id, incarnation, keep, now);

    tell_verdict(led, Led_DID_ATTEMPT, id, incarnation, keep, now,
                 (int64_t)verdict);
    return verdict;
}

static LedEntry *
find_running(const Led *led, AttemptId id)
{
    LedEntry *entry = find_entry(led, id);

    return entry && entry->state == Led_RUNNING ? entry : NULL;
}

void
Led_OnRefused(Led *led, AttemptId id, Instant now)
{
    LedEntry *entry = find_running(led, id);

    tell_of(led, Led_DID_REFUSED, id, now);
    if (entry) {
        end_entry(led, entry, Led_NEVER, now);
    }
}

static void
make_room(Led *led)
{
    for (int keep = 0; keep < 2; keep++) {
        LedEntry *entry = led->ages[keep].oldest;
        while (entry && led->bytes > led->settings.bytes_max) {
            drop_answer(led, entry);
            entry = entry->next;
        }
    }
}

void
Led_OnDone(Led *led, AttemptId id, bool whole, Str answer, Instant now)
{
    LedEntry *entry = find_running(led, id);

    tell(led, &(LedEvent){Led_DID_DONE,
                          now,
                          {(int64_t)id.incarnation, (int64_t)id.counter, whole,
                           (int64_t)answer.len},
                          0});
    if (!entry) {
        return;
    }
    if (!whole || answer.len > led->settings.answer_max) {
        end_entry(led, entry, Led_ENDED, now);
        return;
    }
    end_entry(led, entry, Led_DONE, now);
    StrBuf_Set(&entry->answer, answer);
    led->bytes += answer.len;
    make_room(led);
}

void
Led_OnLost(Led *led, AttemptId id, Instant now)
{
    LedEntry *entry = find_running(led, id);

    tell_of(led, Led_DID_LOST, id, now);
    if (entry) {
        end_entry(led, entry, Led_LOST, now);
    }
}

static LedState
fence(Led *led, AttemptId id, uint64_t incarnation, bool keep, Instant now,
      Str *answer)
{
    LedEntry *entry = find_entry(led, id);

    *answer = (Str){0};
    if (incarnation != led->incarnation) {
        return Led_LOST;
    }
    if (entry) {
        *answer = StrBuf_View(&entry->answer);
        return entry->state;
    }
    if (may_be_forgotten(led, id)) {
        return Led_LOST;
    }
    entry = add_entry(led, id, Led_NEVER, keep, now);
    if (!entry) {
        return Led_LOST;
    }
    entry->fenced = true;
    end_entry(led, entry, Led_NEVER, now);
    return Led_NEVER;
}

LedState
Led_Fence(Led *led, AttemptId id, uint64_t incarnation, bool keep, Instant now,
          Str *answer)
{
    LedState state = fence(led, id, incarnation, keep, now, answer);

    tell_verdict(led, Led_DID_FENCE, id, incarnation, keep, now,
                 (int64_t)state);
    return state;
}

void
Led_Observe(Led *led, LedObserver observer, void *context)
{
    const LedSettings *settings = &led->settings;

    led->observer = observer;
    led->observer_context = context;
    tell(led, &(LedEvent){.kind = Led_DID_SETTINGS,
                          .args = {settings->brief, settings->retention,
                                   (int64_t)settings->bytes_max,
                                   (int64_t)settings->answer_max,
                                   (int64_t)settings->entries_max,
                                   (int64_t)settings->origins_max}});
    tell(led, &(LedEvent){.kind = Led_DID_START,
                          .args = {(int64_t)led->incarnation}});
}

static LedSettings
settings_of(const int64_t *args)
{
    return (LedSettings){args[0],         args[1],         (size_t)args[2],
                         (size_t)args[3], (size_t)args[4], (size_t)args[5]};
}

/* Only the length matters, and not beyond the bound. */
static void
replay_done(Led *led, AttemptId id, const LedEvent *event)
{
    size_t len = (size_t)event->args[3];
    char *answer;

    if (len > led->settings.answer_max) {
        len = led->settings.answer_max + 1;
    }
    answer = Mem_Alloc(len + 1, 1);
    Led_OnDone(led, id, event->args[2] != 0, Str_From(answer, len), event->at);
    Mem_Free(answer);
}

int64_t
Led_Replay(Led *led, const LedEvent *event)
{
    const int64_t *args = event->args;
    AttemptId id = {(uint64_t)args[0], (uint64_t)args[1]};
    Str answer;

    switch (event->kind) {
    case Led_DID_SETTINGS:
        led->settings = settings_of(args);
        break;
    case Led_DID_START:
        led->incarnation = (uint64_t)args[0];
        break;
    case Led_DID_RETENTION:
        Led_SetRetention(led, args[0]);
        break;
    case Led_DID_ATTEMPT:
        return (int64_t)Led_OnAttempt(led, id, (uint64_t)args[2], args[3] != 0,
                                      event->at);
    case Led_DID_REFUSED:
        Led_OnRefused(led, id, event->at);
        break;
    case Led_DID_DONE:
        replay_done(led, id, event);
        break;
    case Led_DID_LOST:
        Led_OnLost(led, id, event->at);
        break;
    case Led_DID_FENCE:
        return (int64_t)Led_Fence(led, id, (uint64_t)args[2], args[3] != 0,
                                  event->at, &answer);
    case Led_DID_EXPIRE:
        return count_expired(led, event->at);
    case Led_EVENTS:
        break;
    }
    return 0;
}
