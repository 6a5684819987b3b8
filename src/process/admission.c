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
tell(const AdmissionController *adm, const AdmissionEvent *event)
{
    if (adm->observer) {
        adm->observer(adm->observer_context, event);
    }
}

void
Adm_SetObserver(AdmissionController *adm, AdmissionObserver observer,
                void *context)
{
    adm->observer = observer;
    adm->observer_context = context;
}

void
Adm_Init(AdmissionController *adm, const AdmissionSettings *settings)
{
    *adm = (AdmissionController){.settings = *settings};
}

void
Adm_SetSettings(AdmissionController *adm, const AdmissionSettings *settings)
{
    uint32_t slots = adm->settings.slots;

    adm->settings = *settings;
    adm->settings.slots = slots;
    tell(adm, &(AdmissionEvent){.kind = Adm_EVENT_SETTINGS,
                                .args = {settings->queue_max,
                                         settings->patient_queue_max,
                                         settings->slow_start}});
}

void
Adm_OnAnnounce(AdmissionController *adm, uint32_t slots, bool draining,
               Instant now)
{
    if (!adm->backend_present) {
        adm->announced_at = now;
    }
    adm->backend_present = true;
    adm->draining = draining;
    adm->settings.slots = slots;
    tell(adm,
         &(AdmissionEvent){Adm_EVENT_ANNOUNCE, now, {slots, draining}, 0});
}

void
Adm_OnBackendGone(AdmissionController *adm)
{
    adm->backend_present = false;
    tell(adm, &(AdmissionEvent){.kind = Adm_EVENT_BACKEND_GONE});
}

void
Adm_Stop(AdmissionController *adm)
{
    adm->stopping = true;
    tell(adm, &(AdmissionEvent){.kind = Adm_EVENT_STOP});
}

bool
Adm_IsDraining(const AdmissionController *adm)
{
    return adm->backend_present && adm->draining;
}

void
Adm_OnBackendReject(AdmissionController *adm, Instant now)
{
    if (adm->rejections++ == 0) {
        adm->first_rejected_at = now;
    }
    if (adm->rejections >= EVIDENCE &&
        now - adm->first_rejected_at >= EVIDENCE_SPAN) {
        adm->next_trial_at = now + TRIAL_PAUSE;
    }
    tell(adm,
         &(AdmissionEvent){.kind = Adm_EVENT_BACKEND_REJECT, .time = now});
}

void
Adm_OnBackendAccept(AdmissionController *adm)
{
    adm->rejections = 0;
    adm->next_trial_at = 0;
    tell(adm, &(AdmissionEvent){.kind = Adm_EVENT_BACKEND_ACCEPT});
}

/* True but for a trial. */
static bool
seems_to_leave(AdmissionController *adm, Instant now)
{
    if (adm->next_trial_at && now >= adm->next_trial_at) {
        adm->next_trial_at = now + TRIAL_TIME;
        return false;
    }
    return adm->next_trial_at > 0;
}

void
Adm_OnPaceReport(AdmissionController *adm, const LoadWord *word, Instant now)
{
    double keep = exp(-(double)(now - adm->pace_reported_at) / PACE_MEAN_US);

    adm->mean_pace = adm->mean_pace > 0
                         ? adm->mean_pace * keep + word->pace * (1 - keep)
                     : word->pace < SLOW_PACE ? word->pace
                                              : Load_USUAL;
    adm->pace = word->pace;
    adm->pace_reported_at = now;
    tell(adm, &(AdmissionEvent){Adm_EVENT_PACE_REPORT, now, {word->pace}, 0});
}

bool
Adm_IsPaceStale(const AdmissionController *adm, Instant now)
{
    return !adm->pace_reported_at || now - adm->pace_reported_at >= SAID_FRESH;
}

bool
Adm_IsBackendSlow(const AdmissionController *adm, Instant now)
{
    /* Where it is slow nearly always, waiting does not help. */
    return adm->pace >= SLOW_PACE && now - adm->pace_reported_at < SAID_OLD &&
           adm->pace > adm->mean_pace * SLOW_FACTOR;
}

static uint32_t
open_slots(const AdmissionController *adm, Instant now)
{
    uint32_t slots = adm->settings.slots;
    Span ramp = adm->settings.slow_start;
    Span age = now - adm->announced_at;

    if (adm->exclusive) {
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
usual_slots(const AdmissionController *adm, Instant now)
{
    uint32_t slots = open_slots(adm, now);
    uint32_t usual = without_reserve(slots);

    if (!Kne_IsReserveSlower(&adm->knee)) {
        return slots;
    }
    return usual < slots && adm->starts_below_reserve >= LOOK_EVERY &&
                   Kne_NeedsSamples(&adm->knee)
               ? usual + 1
               : usual;
}

static void
count_start(AdmissionController *adm)
{
    adm->running++;
    adm->starts_below_reserve =
        adm->running > without_reserve(adm->settings.slots)
            ? 0
            : adm->starts_below_reserve + 1;
}

static uint32_t
waiting(const AdmissionController *adm)
{
    return adm->queued[Adm_INTERACTIVE] + adm->queued[Adm_PATIENT];
}

static bool
is_full(const AdmissionController *adm, RequestClass cls)
{
    if (waiting(adm) >= adm->settings.queue_max) {
        return true;
    }
    return cls == Adm_PATIENT &&
           waiting(adm) >= adm->settings.patient_queue_max;
}

static Span
expected_wait(const AdmissionController *adm, RequestClass cls, Instant now)
{
    uint32_t ahead =
        cls == Adm_INTERACTIVE ? adm->queued[Adm_INTERACTIVE] : waiting(adm);
    uint32_t slots = open_slots(adm, now);

    return slots ? (Span)(adm->service_us * (ahead + 1) / slots) : 0;
}

/* Whether it starts at once. */
static bool
may_start(const AdmissionController *adm, const AdmissionRequest *ask,
          Instant now)
{
    if (ask->nested) {
        return adm->running < open_slots(adm, now);
    }
    return adm->running < usual_slots(adm, now) && waiting(adm) == 0;
}

static AdmissionVerdict
decide(AdmissionController *adm, const AdmissionRequest *ask, Instant now)
{
    Span wait = expected_wait(adm, ask->cls, now);

    if (!adm->backend_present) {
        return Adm_REFUSE_ABSENT;
    }
    if (adm->draining || adm->stopping) {
        return Adm_REFUSE_DRAINING;
    }
    if (ask->time_left <= 0) {
        return Adm_REFUSE_LATE;
    }
    if (seems_to_leave(adm, now)) {
        return Adm_REFUSE_DRAINING;
    }
    if (Adm_IsBackendSlow(adm, now)) {
        return Adm_REFUSE_SLOW;
    }
    if (may_start(adm, ask, now)) {
        count_start(adm);
        return Adm_RUN;
    }
    if (ask->misses_objective || is_full(adm, ask->cls) ||
        (ask->queue_time_max && wait >= ask->queue_time_max)) {
        return Adm_REFUSE_FULL;
    }
    if (wait >= ask->time_left) {
        return Adm_REFUSE_LATE;
    }
    adm->queued[ask->cls]++;
    return Adm_QUEUE;
}

/* The slack with flags in its last bits, for traces. */
enum { FLAG_NESTED = 1, FLAG_LATE = 2, FLAGS = 4 };

AdmissionVerdict
Adm_Admit(AdmissionController *adm, const AdmissionRequest *ask, Instant now)
{
    AdmissionVerdict verdict = decide(adm, ask, now);
    int64_t flags = (ask->nested ? FLAG_NESTED : 0) |
                    (ask->misses_objective ? FLAG_LATE : 0);

    tell(adm, &(AdmissionEvent){Adm_EVENT_ADMIT,
                                now,
                                {ask->cls, ask->time_left,
                                 ask->queue_time_max * FLAGS + flags},
                                verdict});
    return verdict;
}

static int64_t
replay_ask(AdmissionController *adm, const AdmissionEvent *event)
{
    AdmissionRequest ask = {
        .cls = event->args[0] ? Adm_PATIENT : Adm_INTERACTIVE,
        .time_left = event->args[1],
        .queue_time_max = event->args[2] / FLAGS,
        .nested = event->args[2] & FLAG_NESTED,
        .misses_objective = event->args[2] & FLAG_LATE,
    };

    return Adm_Admit(adm, &ask, event->time);
}

/* Few requests in a while, trials above all, count for more each. */
static void
take_time(AdmissionController *adm, Span took, Instant now)
{
    double aged =
        1 - exp(-(double)(now - adm->service_updated_at) / TIME_AGE_US);
    double weight = aged > SMOOTHING ? aged : SMOOTHING;

    if (adm->service_us <= 0) {
        weight = 1;
    }
    adm->service_us += weight * ((double)took - adm->service_us);
    adm->service_updated_at = now;
}

static void
take_level(AdmissionController *adm, const AttemptCompletion *end, Instant now)
{
    uint32_t usual = without_reserve(adm->settings.slots);

    if (end->concurrency) {
        Kne_AddSample(&adm->knee, end->work_kind, end->concurrency > usual,
                      end->normalized_time, now);
    }
}

/* Level and kind in one, for traces. */
enum { LEVELS = 65536 };

void
Adm_OnAttemptEnd(AdmissionController *adm, const AttemptCompletion *end,
                 Instant now)
{
    if (adm->running) {
        adm->running--;
    }
    if (!end->failed) {
        take_time(adm, end->normalized_time, now);
        take_level(adm, end, now);
    }
    adm->error_rate +=
        SMOOTHING * ((end->failed ? 1.0 : 0.0) - adm->error_rate);
    tell(adm, &(AdmissionEvent){
                  Adm_EVENT_ATTEMPT_END,
                  now,
                  {end->normalized_time, end->failed,
                   (int64_t)end->work_kind * LEVELS + end->concurrency},
                  0});
}

void
Adm_OnQueueCancel(AdmissionController *adm, RequestClass cls)
{
    if (adm->queued[cls]) {
        adm->queued[cls]--;
    }
    tell(adm,
         &(AdmissionEvent){.kind = Adm_EVENT_QUEUE_CANCEL, .args = {cls}});
}

bool
Adm_StartNext(AdmissionController *adm, Instant now, RequestClass *cls)
{
    if (!adm->backend_present || adm->running >= usual_slots(adm, now) ||
        Adm_IsBackendSlow(adm, now)) {
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
    tell(adm, &(AdmissionEvent){
                  .kind = Adm_EVENT_START_NEXT, .time = now, .outcome = *cls});
    return true;
}

void
Adm_SetExclusive(AdmissionController *adm, bool alone)
{
    adm->exclusive = alone;
}

bool
Adm_QueueSuspect(AdmissionController *adm, RequestClass cls)
{
    if (!adm->backend_present || adm->draining || adm->stopping ||
        is_full(adm, cls)) {
        return false;
    }
    adm->queued_suspects++;
    return true;
}

void
Adm_OnSuspectCancel(AdmissionController *adm)
{
    if (adm->queued_suspects) {
        adm->queued_suspects--;
    }
}

bool
Adm_StartSuspect(AdmissionController *adm)
{
    if (!adm->backend_present || !adm->exclusive || adm->running) {
        return false;
    }
    Adm_OnSuspectCancel(adm);
    adm->running++;
    return true;
}

LoadReport
Adm_GetLoadReport(const AdmissionController *adm, Instant now)
{
    return (LoadReport){
        .slots = adm->backend_present ? adm->settings.slots : 0,
        .running = adm->running,
        .queued = waiting(adm),
        .service_us = (uint32_t)adm->service_us,
        .error_permille = (uint32_t)(adm->error_rate * 1000),
        .draining = adm->draining || adm->stopping || adm->next_trial_at > now,
        .pace = adm->pace_reported_at && now - adm->pace_reported_at < SAID_OLD
                    ? adm->pace
                    : 0,
        .slow = Adm_IsBackendSlow(adm, now),
    };
}

static void
replay_end(AdmissionController *adm, const AdmissionEvent *event)
{
    AttemptCompletion end = {
        .normalized_time = event->args[0],
        .failed = event->args[1] != 0,
        .concurrency = (uint32_t)(event->args[2] % LEVELS),
        .work_kind = (uint32_t)(event->args[2] / LEVELS),
    };

    Adm_OnAttemptEnd(adm, &end, event->time);
}

static int64_t
replay_next(AdmissionController *adm, Instant now)
{
    RequestClass cls;

    return Adm_StartNext(adm, now, &cls) ? (int64_t)cls : -1;
}

int64_t
Adm_Replay(AdmissionController *adm, const AdmissionEvent *event)
{
    const int64_t *args = event->args;
    AdmissionSettings settings = {.queue_max = (uint32_t)args[0],
                                  .patient_queue_max = (uint32_t)args[1],
                                  .slow_start = args[2]};

    switch (event->kind) {
    case Adm_EVENT_SETTINGS:
        Adm_SetSettings(adm, &settings);
        break;
    case Adm_EVENT_ANNOUNCE:
        Adm_OnAnnounce(adm, (uint32_t)args[0], args[1] != 0, event->time);
        break;
    case Adm_EVENT_BACKEND_GONE:
        Adm_OnBackendGone(adm);
        break;
    case Adm_EVENT_STOP:
        Adm_Stop(adm);
        break;
    case Adm_EVENT_ADMIT:
        return replay_ask(adm, event);
    case Adm_EVENT_BACKEND_REJECT:
        Adm_OnBackendReject(adm, event->time);
        break;
    case Adm_EVENT_BACKEND_ACCEPT:
        Adm_OnBackendAccept(adm);
        break;
    case Adm_EVENT_ATTEMPT_END:
        replay_end(adm, event);
        break;
    case Adm_EVENT_QUEUE_CANCEL:
        Adm_OnQueueCancel(adm, args[0] ? Adm_PATIENT : Adm_INTERACTIVE);
        break;
    case Adm_EVENT_START_NEXT:
        return replay_next(adm, event->time);
    case Adm_EVENT_PACE_REPORT:
        Adm_OnPaceReport(adm, &(LoadWord){.pace = (uint32_t)args[0]},
                         event->time);
        break;
    case Adm_EVENT_COUNT:
        break;
    }
    return 0;
}
