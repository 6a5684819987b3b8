#include "process/admission.h"

#include <math.h>

#define SMOOTHING 0.1
#define TIME_AGE_US 250000.0 /* an older time gives way to the next one */

/* So many attempts turned away, over this time at least, are evidence that
 * the backend server leaves; a trial is made after the pause, and given the
 * time for its answer. */
enum { EVIDENCE = 3 };
#define EVIDENCE_SPAN Span_MS(500)
#define TRIAL_PAUSE Span_S(5)
#define TRIAL_TIME Span_S(1)

/* The pace changes many times a second: an older word is asked for anew, a
 * much older one counts for nothing. */
#define SAID_FRESH Span_MS(20)
#define SAID_OLD Span_MS(250)

/* Percent of the usual time from which work had better go elsewhere: above
 * what a start costs. */
enum { SLOW_PACE = 300 };

/* And so many times what it was in the last seconds. */
#define SLOW_FACTOR 1.3
#define PACE_MEAN_US 2000000.0

/* One slot in so many, of more than so many, is the reserve. */
enum { RESERVE_PART = 5, RESERVE_FROM = 3 };

/* Starts from one on the last slots to the next, while these are looked at. */
enum { LOOK_EVERY = 3 };

static void
tell(const Adm *adm, const AdmEvent *event)
{
    if (adm->observer) {
        adm->observer(adm->observer_context, event);
    }
}

void
Adm_Observe(Adm *adm, AdmObserver observer, void *context)
{
    adm->observer = observer;
    adm->observer_context = context;
}

void
Adm_Init(Adm *adm, const AdmSettings *settings)
{
    *adm = (Adm){.settings = *settings};
}

void
Adm_SetSettings(Adm *adm, const AdmSettings *settings)
{
    uint32_t slots = adm->settings.slots;

    adm->settings = *settings;
    adm->settings.slots = slots;
    tell(adm,
         &(AdmEvent){.kind = Adm_DID_SETTINGS,
                     .args = {settings->queue_max, settings->patient_queue_max,
                              settings->ramp}});
}

void
Adm_OnAnnounce(Adm *adm, uint32_t slots, bool draining, Instant now)
{
    if (!adm->present) {
        adm->since = now;
    }
    adm->present = true;
    adm->draining = draining;
    adm->settings.slots = slots;
    tell(adm, &(AdmEvent){Adm_DID_ANNOUNCE, now, {slots, draining}, 0});
}

void
Adm_OnGone(Adm *adm)
{
    adm->present = false;
    tell(adm, &(AdmEvent){.kind = Adm_DID_GONE});
}

void
Adm_Leave(Adm *adm)
{
    adm->leaving = true;
    tell(adm, &(AdmEvent){.kind = Adm_DID_LEAVE});
}

bool
Adm_IsLeaving(const Adm *adm)
{
    return adm->present && adm->draining;
}

void
Adm_OnTurnedAway(Adm *adm, Instant now)
{
    if (adm->turned_away++ == 0) {
        adm->turned_away_since = now;
    }
    if (adm->turned_away >= EVIDENCE &&
        now - adm->turned_away_since >= EVIDENCE_SPAN) {
        adm->refuse_until = now + TRIAL_PAUSE;
    }
    tell(adm, &(AdmEvent){.kind = Adm_DID_TURNED_AWAY, .at = now});
}

void
Adm_OnTaken(Adm *adm)
{
    adm->turned_away = 0;
    adm->refuse_until = 0;
    tell(adm, &(AdmEvent){.kind = Adm_DID_TAKEN});
}

/* True but for a trial. */
static bool
seems_to_leave(Adm *adm, Instant now)
{
    if (adm->refuse_until && now >= adm->refuse_until) {
        adm->refuse_until = now + TRIAL_TIME;
        return false;
    }
    return adm->refuse_until > 0;
}

void
Adm_OnSaid(Adm *adm, const LoadWord *word, Instant now)
{
    double keep = exp(-(double)(now - adm->said_at) / PACE_MEAN_US);

    adm->pace_mean = adm->pace_mean > 0
                         ? adm->pace_mean * keep + word->pace * (1 - keep)
                     : word->pace < SLOW_PACE ? word->pace
                                              : Load_USUAL;
    adm->pace = word->pace;
    adm->said_at = now;
    tell(adm, &(AdmEvent){Adm_DID_SAID, now, {word->pace}, 0});
}

bool
Adm_IsStale(const Adm *adm, Instant now)
{
    return !adm->said_at || now - adm->said_at >= SAID_FRESH;
}

bool
Adm_IsSlow(const Adm *adm, Instant now)
{
    /* Where it is slow nearly always, waiting does not help. */
    return adm->pace >= SLOW_PACE && now - adm->said_at < SAID_OLD &&
           adm->pace > adm->pace_mean * SLOW_FACTOR;
}

static uint32_t
open_slots(const Adm *adm, Instant now)
{
    uint32_t slots = adm->settings.slots;
    Span ramp = adm->settings.ramp;
    Span age = now - adm->since;

    if (adm->alone) {
        return 0;
    }
    if (ramp <= 0 || age >= ramp || slots <= 1) {
        return slots;
    }
    return 1 + (uint32_t)((slots - 1) * (uint64_t)age / (uint64_t)ramp);
}

static uint32_t
without_reserve(uint32_t slots)
{
    return slots > RESERVE_FROM
               ? slots - (slots + RESERVE_PART - 1) / RESERVE_PART
               : slots;
}

/* Where work takes longer when the backend server is nearly full, the last
 * slots are for what cannot wait; a start on them now and then shows it. */
static uint32_t
usual_slots(const Adm *adm, Instant now)
{
    uint32_t slots = open_slots(adm, now);
    uint32_t usual = without_reserve(slots);

    if (!Kne_IsSlower(&adm->knee)) {
        return slots;
    }
    return usual < slots && adm->starts >= LOOK_EVERY &&
                   Kne_WantsLook(&adm->knee)
               ? usual + 1
               : usual;
}

static void
count_start(Adm *adm)
{
    adm->running++;
    adm->starts = adm->running > without_reserve(adm->settings.slots)
                      ? 0
                      : adm->starts + 1;
}

static uint32_t
waiting(const Adm *adm)
{
    return adm->queued[Adm_INTERACTIVE] + adm->queued[Adm_PATIENT];
}

static bool
is_full(const Adm *adm, AdmClass cls)
{
    if (waiting(adm) >= adm->settings.queue_max) {
        return true;
    }
    return cls == Adm_PATIENT &&
           waiting(adm) >= adm->settings.patient_queue_max;
}

static Span
expected_wait(const Adm *adm, AdmClass cls, Instant now)
{
    uint32_t ahead =
        cls == Adm_INTERACTIVE ? adm->queued[Adm_INTERACTIVE] : waiting(adm);
    uint32_t slots = open_slots(adm, now);

    return slots ? (Span)(adm->service_us * (ahead + 1) / slots) : 0;
}

/* Whether it starts at once. */
static bool
may_start(const Adm *adm, const AdmAsk *ask, Instant now)
{
    if (ask->nested) {
        return adm->running < open_slots(adm, now);
    }
    return adm->running < usual_slots(adm, now) && waiting(adm) == 0;
}

static AdmVerdict
decide(Adm *adm, const AdmAsk *ask, Instant now)
{
    Span wait = expected_wait(adm, ask->cls, now);

    if (!adm->present) {
        return Adm_REFUSE_ABSENT;
    }
    if (adm->draining || adm->leaving) {
        return Adm_REFUSE_DRAINING;
    }
    if (ask->left <= 0) {
        return Adm_REFUSE_LATE;
    }
    if (seems_to_leave(adm, now)) {
        return Adm_REFUSE_DRAINING;
    }
    if (Adm_IsSlow(adm, now)) {
        return Adm_REFUSE_SLOW;
    }
    if (may_start(adm, ask, now)) {
        count_start(adm);
        return Adm_RUN;
    }
    if (ask->late || is_full(adm, ask->cls) ||
        (ask->slack && wait >= ask->slack)) {
        return Adm_REFUSE_FULL;
    }
    if (wait >= ask->left) {
        return Adm_REFUSE_LATE;
    }
    adm->queued[ask->cls]++;
    return Adm_QUEUE;
}

/* The slack with flags in its last bits, for traces. */
enum { FLAG_NESTED = 1, FLAG_LATE = 2, FLAGS = 4 };

AdmVerdict
Adm_Ask(Adm *adm, const AdmAsk *ask, Instant now)
{
    AdmVerdict verdict = decide(adm, ask, now);
    int64_t flags =
        (ask->nested ? FLAG_NESTED : 0) | (ask->late ? FLAG_LATE : 0);

    tell(adm, &(AdmEvent){Adm_DID_ASK,
                          now,
                          {ask->cls, ask->left, ask->slack * FLAGS + flags},
                          verdict});
    return verdict;
}

static int64_t
replay_ask(Adm *adm, const AdmEvent *event)
{
    AdmAsk ask = {
        .cls = event->args[0] ? Adm_PATIENT : Adm_INTERACTIVE,
        .left = event->args[1],
        .slack = event->args[2] / FLAGS,
        .nested = event->args[2] & FLAG_NESTED,
        .late = event->args[2] & FLAG_LATE,
    };

    return Adm_Ask(adm, &ask, event->at);
}

/* Few requests in a while, trials above all, count for more each. */
static void
take_time(Adm *adm, Span took, Instant now)
{
    double aged = 1 - exp(-(double)(now - adm->timed_at) / TIME_AGE_US);
    double weight = aged > SMOOTHING ? aged : SMOOTHING;

    if (adm->service_us <= 0) {
        weight = 1;
    }
    adm->service_us += weight * ((double)took - adm->service_us);
    adm->timed_at = now;
}

static void
take_level(Adm *adm, const AdmEnd *end, Instant now)
{
    uint32_t usual = without_reserve(adm->settings.slots);

    if (end->level) {
        Kne_OnTime(&adm->knee, end->kind, end->level > usual, end->took, now);
    }
}

/* Level and kind in one, for traces. */
enum { LEVELS = 65536 };

void
Adm_OnEnd(Adm *adm, const AdmEnd *end, Instant now)
{
    if (adm->running) {
        adm->running--;
    }
    if (!end->failed) {
        take_time(adm, end->took, now);
        take_level(adm, end, now);
    }
    adm->error += SMOOTHING * ((end->failed ? 1.0 : 0.0) - adm->error);
    tell(adm, &(AdmEvent){Adm_DID_END,
                          now,
                          {end->took, end->failed,
                           (int64_t)end->kind * LEVELS + end->level},
                          0});
}

void
Adm_OnLeave(Adm *adm, AdmClass cls)
{
    if (adm->queued[cls]) {
        adm->queued[cls]--;
    }
    tell(adm, &(AdmEvent){.kind = Adm_DID_LEAVE_LINE, .args = {cls}});
}

bool
Adm_Next(Adm *adm, Instant now, AdmClass *cls)
{
    if (!adm->present || adm->running >= usual_slots(adm, now) ||
        Adm_IsSlow(adm, now)) {
        return false;
    }
    if (adm->queued[Adm_INTERACTIVE]) {
        *cls = Adm_INTERACTIVE;
    }
    else if (adm->queued[Adm_PATIENT]) {
        *cls = Adm_PATIENT;
    }
    else {
        return false;
    }
    adm->queued[*cls]--;
    count_start(adm);
    tell(adm, &(AdmEvent){.kind = Adm_DID_NEXT, .at = now, .outcome = *cls});
    return true;
}

void
Adm_SetAlone(Adm *adm, bool alone)
{
    adm->alone = alone;
}

bool
Adm_Wait(Adm *adm, AdmClass cls)
{
    if (!adm->present || adm->draining || adm->leaving || is_full(adm, cls)) {
        return false;
    }
    adm->held++;
    return true;
}

void
Adm_OnHeldLeave(Adm *adm)
{
    if (adm->held) {
        adm->held--;
    }
}

bool
Adm_NextAlone(Adm *adm)
{
    if (!adm->present || !adm->alone || adm->running) {
        return false;
    }
    Adm_OnHeldLeave(adm);
    adm->running++;
    return true;
}

LoadReport
Adm_Report(const Adm *adm, Instant now)
{
    return (LoadReport){
        .slots = adm->present ? adm->settings.slots : 0,
        .running = adm->running,
        .queued = waiting(adm),
        .service_us = (uint32_t)adm->service_us,
        .error_permille = (uint32_t)(adm->error * 1000),
        .draining = adm->draining || adm->leaving || adm->refuse_until > now,
        .pace = adm->said_at && now - adm->said_at < SAID_OLD ? adm->pace : 0,
        .slow = Adm_IsSlow(adm, now),
    };
}

static void
replay_end(Adm *adm, const AdmEvent *event)
{
    AdmEnd end = {
        .took = event->args[0],
        .failed = event->args[1] != 0,
        .level = (uint32_t)(event->args[2] % LEVELS),
        .kind = (uint32_t)(event->args[2] / LEVELS),
    };

    Adm_OnEnd(adm, &end, event->at);
}

static int64_t
replay_next(Adm *adm, Instant now)
{
    AdmClass cls;

    return Adm_Next(adm, now, &cls) ? (int64_t)cls : -1;
}

int64_t
Adm_Replay(Adm *adm, const AdmEvent *event)
{
    const int64_t *args = event->args;
    AdmSettings settings = {.queue_max = (uint32_t)args[0],
                            .patient_queue_max = (uint32_t)args[1],
                            .ramp = args[2]};

    switch (event->kind) {
    case Adm_DID_SETTINGS:
        Adm_SetSettings(adm, &settings);
        break;
    case Adm_DID_ANNOUNCE:
        Adm_OnAnnounce(adm, (uint32_t)args[0], args[1] != 0, event->at);
        break;
    case Adm_DID_GONE:
        Adm_OnGone(adm);
        break;
    case Adm_DID_LEAVE:
        Adm_Leave(adm);
        break;
    case Adm_DID_ASK:
        return replay_ask(adm, event);
    case Adm_DID_TURNED_AWAY:
        Adm_OnTurnedAway(adm, event->at);
        break;
    case Adm_DID_TAKEN:
        Adm_OnTaken(adm);
        break;
    case Adm_DID_END:
        replay_end(adm, event);
        break;
    case Adm_DID_LEAVE_LINE:
        Adm_OnLeave(adm, args[0] ? Adm_PATIENT : Adm_INTERACTIVE);
        break;
    case Adm_DID_NEXT:
        return replay_next(adm, event->at);
    case Adm_DID_SAID:
        Adm_OnSaid(adm, &(LoadWord){.pace = (uint32_t)args[0]}, event->at);
        break;
    case Adm_EVENTS:
        break;
    }
    return 0;
}
