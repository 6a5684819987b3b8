#include "process/admission/admission.h"

#include <math.h>

/* Weight of the newest sample in a smoothed value; of a service time, the
 * least weight. */
#define SMOOTHING_FACTOR 0.1

/* Time constant, microseconds, with which the smoothed service time loses its
 * weight against the next sample. */
#define SERVICE_TIME_AGE_US 250000.0

/* This many rejections in a row, over at least this time, are taken as a sign
 * that the backend server shuts down.  After the interval one attempt runs as
 * a trial; when it brings no result within the timeout, the next one runs. */
enum { REJECTIONS_MIN = 3 };
#define REJECTIONS_SPAN_MIN Span_MS(500)
#define TRIAL_INTERVAL Span_S(5)
#define TRIAL_TIMEOUT Span_S(1)

/* The pace changes many times a second: a report that is no longer fresh is
 * queried again, and one that has expired is ignored. */
#define PACE_FRESH Span_MS(20)
#define PACE_EXPIRES Span_MS(250)

/* Pace, percent of the usual, from which work should go to another backend
 * server.  It is above the pace that a cold start of the server causes. */
enum { SLOW_PACE_PERCENT = 300 };

/* The pace must also exceed the mean of the last seconds by this factor. */
#define SLOW_MEAN_FACTOR 1.3
#define MEAN_PACE_WINDOW_US 2000000.0

/* One slot in RESERVE_DIVISOR, rounded up, is reserved.  Backend servers with
 * NO_RESERVE_SLOTS_MAX slots or fewer have no reserve. */
enum { RESERVE_DIVISOR = 5, NO_RESERVE_SLOTS_MAX = 3 };

/* While samples of the reserve are needed: starts below the reserve before one
 * start in it. */
enum { RESERVE_SAMPLE_STARTS = 3 };

static void
notify_observer(const AdmissionController *controller,
                const AdmissionEvent *event)
{
    if (controller->observer) {
        controller->observer(controller->observer_context, event);
    }
}

void
Adm_SetObserver(AdmissionController *controller, AdmissionObserver observer,
                void *context)
{
    controller->observer = observer;
    controller->observer_context = context;
}

void
Adm_Init(AdmissionController *controller, const AdmissionSettings *settings)
{
    *controller = (AdmissionController){.settings = *settings};
}

void
Adm_SetSettings(AdmissionController *controller,
                const AdmissionSettings *settings)
{
    uint32_t slots = controller->settings.slots;

    controller->settings = *settings;
    controller->settings.slots = slots;
    notify_observer(controller,
                    &(AdmissionEvent){.kind = Adm_EVENT_SETTINGS,
                                      .args = {settings->queue_max,
                                               settings->patient_queue_max,
                                               settings->slow_start}});
}

void
Adm_OnAnnounce(AdmissionController *controller, uint32_t slots, bool draining,
               Instant now)
{
    if (!controller->backend_present) {
        controller->announced_at = now;
    }
    controller->backend_present = true;
    controller->draining = draining;
    controller->settings.slots = slots;
    notify_observer(
        controller,
        &(AdmissionEvent){Adm_EVENT_ANNOUNCE, now, {slots, draining}, 0});
}

void
Adm_OnBackendGone(AdmissionController *controller)
{
    controller->backend_present = false;
    notify_observer(controller,
                    &(AdmissionEvent){.kind = Adm_EVENT_BACKEND_GONE});
}

void
Adm_Stop(AdmissionController *controller)
{
    controller->stopping = true;
    notify_observer(controller, &(AdmissionEvent){.kind = Adm_EVENT_STOP});
}

void
Adm_SetEvacuated(AdmissionController *controller, bool evacuated)
{
    if (controller->evacuated != evacuated) {
        controller->evacuated = evacuated;
        notify_observer(controller,
                        &(AdmissionEvent){.kind = Adm_EVENT_EVACUATED,
                                          .args = {evacuated}});
    }
}

bool
Adm_IsDraining(const AdmissionController *controller)
{
    return controller->evacuated ||
           (controller->backend_present && controller->draining);
}

/* Whether no attempt may start, but for those that a backend server lets
 * through that rejects everything. */
static bool
is_closed(const AdmissionController *controller)
{
    return controller->draining || controller->stopping ||
           controller->evacuated;
}

void
Adm_OnBackendReject(AdmissionController *controller, Instant now)
{
    if (controller->rejections++ == 0) {
        controller->first_rejected_at = now;
    }
    if (controller->rejections >= REJECTIONS_MIN &&
        now - controller->first_rejected_at >= REJECTIONS_SPAN_MIN) {
        controller->next_trial_at = now + TRIAL_INTERVAL;
    }
    notify_observer(
        controller,
        &(AdmissionEvent){.kind = Adm_EVENT_BACKEND_REJECT, .time = now});
}

void
Adm_OnBackendAccept(AdmissionController *controller)
{
    controller->rejections = 0;
    controller->next_trial_at = 0;
    notify_observer(controller,
                    &(AdmissionEvent){.kind = Adm_EVENT_BACKEND_ACCEPT});
}

/* False also for the one attempt that is admitted as a trial. */
static bool
is_rejecting_all(AdmissionController *controller, Instant now)
{
    if (controller->next_trial_at && now >= controller->next_trial_at) {
        controller->next_trial_at = now + TRIAL_TIMEOUT;
        return false;
    }
    return controller->next_trial_at > 0;
}

void
Adm_OnPaceReport(AdmissionController *controller, const BackendLoad *report,
                 Instant now)
{
    double keep = exp(-(double)(now - controller->pace_reported_at) /
                      MEAN_PACE_WINDOW_US);

    controller->mean_pace =
        controller->mean_pace > 0
            ? controller->mean_pace * keep + report->pace * (1 - keep)
        : report->pace < SLOW_PACE_PERCENT ? report->pace
                                           : Load_USUAL_PACE_PERCENT;
    controller->pace = report->pace;
    controller->pace_reported_at = now;
    notify_observer(
        controller,
        &(AdmissionEvent){Adm_EVENT_PACE_REPORT, now, {report->pace}, 0});
}

bool
Adm_IsPaceStale(const AdmissionController *controller, Instant now)
{
    return !controller->pace_reported_at ||
           now - controller->pace_reported_at >= PACE_FRESH;
}

bool
Adm_IsBackendSlow(const AdmissionController *controller, Instant now)
{
    /* Where the backend server is slow nearly always, waiting does not
     * help. */
    return controller->pace >= SLOW_PACE_PERCENT &&
           now - controller->pace_reported_at < PACE_EXPIRES &&
           controller->pace > controller->mean_pace * SLOW_MEAN_FACTOR;
}

static uint32_t
count_available_slots(const AdmissionController *controller, Instant now)
{
    uint32_t slots = controller->settings.slots;
    Span ramp = controller->settings.slow_start;
    Span age = now - controller->announced_at;

    if (controller->exclusive) {
        return 0;
    }
    if (ramp <= 0 || age >= ramp || slots <= 1) {
        return slots;
    }
    return 1 + (uint32_t)((slots - 1) * (uint64_t)age / (uint64_t)ramp);
}

void
Adm_OpenColdRate(AdmissionController *controller, Instant now)
{
    Cld_Init(&controller->cold, now);
    notify_observer(controller, &(AdmissionEvent){.kind = Adm_EVENT_COLD_OPEN,
                                                  .time = now});
}

void
Adm_SetColdBound(AdmissionController *controller, uint32_t limit,
                 bool is_asked)
{
    Cld_SetBound(&controller->cold, limit, is_asked);
    notify_observer(controller, &(AdmissionEvent){.kind = Adm_EVENT_COLD_BOUND,
                                                  .args = {limit, is_asked}});
}

void
Adm_OnColdWord(AdmissionController *controller, Instant as_of, Span left,
               Instant now)
{
    if (left > 0) {
        Cld_OnCold(&controller->cold, left, now);
    }
    else {
        Cld_OnWarm(&controller->cold, as_of);
    }
    notify_observer(
        controller,
        &(AdmissionEvent){Adm_EVENT_COLD_WORD, now, {as_of, left}, 0});
}

bool
Adm_NeedsColdWord(AdmissionController *controller, Instant now)
{
    return Cld_NeedsWord(&controller->cold, now);
}

void
Adm_OnRepeat(AdmissionController *controller, Instant now)
{
    Cld_OnStart(&controller->cold, now);
    notify_observer(controller,
                    &(AdmissionEvent){.kind = Adm_EVENT_REPEAT, .time = now});
}

static uint32_t
count_slots_below_reserve(uint32_t slots)
{
    return slots > NO_RESERVE_SLOTS_MAX
               ? slots - (slots + RESERVE_DIVISOR - 1) / RESERVE_DIVISOR
               : slots;
}

/* The slots for requests that are not nested.  Where work takes longer when
 * the backend server is nearly full, the reserve is left to nested requests.
 * A start in it at intervals measures whether that is still so. */
static uint32_t
count_usable_slots(const AdmissionController *controller, Instant now)
{
    uint32_t slots = count_available_slots(controller, now);
    uint32_t below_reserve = count_slots_below_reserve(slots);

    if (!Kne_IsReserveSlower(&controller->knee)) {
        return slots;
    }
    return below_reserve < slots &&
                   controller->starts_below_reserve >= RESERVE_SAMPLE_STARTS &&
                   Kne_NeedsSamples(&controller->knee)
               ? below_reserve + 1
               : below_reserve;
}

static void
count_start(AdmissionController *controller, Instant now)
{
    Cld_OnStart(&controller->cold, now);
    controller->running++;
    controller->starts_below_reserve =
        controller->running >
                count_slots_below_reserve(controller->settings.slots)
            ? 0
            : controller->starts_below_reserve + 1;
}

static uint32_t
count_queued(const AdmissionController *controller)
{
    return controller->queued[Adm_INTERACTIVE] +
           controller->queued[Adm_PATIENT];
}

static bool
is_queue_full(const AdmissionController *controller, RequestClass cls)
{
    if (count_queued(controller) >= controller->settings.queue_max) {
        return true;
    }
    return cls == Adm_PATIENT &&
           count_queued(controller) >= controller->settings.patient_queue_max;
}

/* The wait of an attempt behind AHEAD queued ones. */
static Span
estimate_wait(AdmissionController *controller, uint32_t ahead, Instant now)
{
    uint32_t slots = count_available_slots(controller, now);
    Span for_slot =
        slots ? (Span)(controller->service_us * (ahead + 1) / slots) : 0;
    Span for_cold = Cld_EstimateWait(&controller->cold, ahead, now);

    return for_cold > for_slot ? for_cold : for_slot;
}

static bool
can_start(AdmissionController *controller, const AdmissionRequest *request,
          Instant now)
{
    if (!Cld_MayStart(&controller->cold, now)) {
        return false;
    }
    if (request->nested) {
        return controller->running < count_available_slots(controller, now);
    }
    return controller->running < count_usable_slots(controller, now) &&
           count_queued(controller) == 0;
}

static AdmissionVerdict
decide(AdmissionController *controller, const AdmissionRequest *request,
       Instant now)
{
    uint32_t ahead = request->cls == Adm_INTERACTIVE
                         ? controller->queued[Adm_INTERACTIVE]
                         : count_queued(controller);
    Span wait = estimate_wait(controller, ahead, now);

    if (!controller->backend_present) {
        return Adm_REFUSE_ABSENT;
    }
    if (is_closed(controller)) {
        return Adm_REFUSE_DRAINING;
    }
    if (request->time_left <= 0) {
        return Adm_REFUSE_LATE;
    }
    if (is_rejecting_all(controller, now)) {
        return Adm_REFUSE_DRAINING;
    }
    if (Adm_IsBackendSlow(controller, now)) {
        return Adm_REFUSE_SLOW;
    }
    if (can_start(controller, request, now)) {
        count_start(controller, now);
        return Adm_RUN;
    }
    if (request->misses_objective || is_queue_full(controller, request->cls) ||
        (request->queue_time_max && wait >= request->queue_time_max)) {
        return Adm_REFUSE_FULL;
    }
    if (wait >= request->time_left) {
        return Adm_REFUSE_LATE;
    }
    controller->queued[request->cls]++;
    return Adm_QUEUE;
}

static bool
can_queue_ahead(AdmissionController *controller,
                const AdmissionRequest *request, uint32_t ahead, Instant now)
{
    Span wait;

    if (!controller->backend_present || is_closed(controller) ||
        controller->next_trial_at || request->misses_objective ||
        !count_available_slots(controller, now) ||
        ahead >= controller->queued[request->cls] ||
        Adm_IsBackendSlow(controller, now)) {
        return false;
    }
    if (request->cls == Adm_PATIENT) {
        ahead += controller->queued[Adm_INTERACTIVE];
    }
    wait = estimate_wait(controller, ahead, now);
    return wait < request->time_left &&
           (!request->queue_time_max || wait < request->queue_time_max);
}

/* In recorded events, ahead * CLASSES_FACTOR + class. */
enum { CLASSES_FACTOR = 2 };

bool
Adm_QueueAhead(AdmissionController *controller,
               const AdmissionRequest *request, uint32_t ahead, Instant now)
{
    bool queues = can_queue_ahead(controller, request, ahead, now);

    controller->queued[request->cls] += queues;
    notify_observer(
        controller,
        &(AdmissionEvent){Adm_EVENT_QUEUE_AHEAD,
                          now,
                          {(int64_t)ahead * CLASSES_FACTOR + request->cls,
                           request->time_left, request->queue_time_max},
                          queues});
    return queues;
}

static int64_t
replay_queue_ahead(AdmissionController *controller,
                   const AdmissionEvent *event)
{
    AdmissionRequest request = {
        .cls = event->args[0] % CLASSES_FACTOR ? Adm_PATIENT : Adm_INTERACTIVE,
        .time_left = event->args[1],
        .queue_time_max = event->args[2],
    };

    return Adm_QueueAhead(controller, &request,
                          (uint32_t)(event->args[0] / CLASSES_FACTOR),
                          event->time);
}

bool
Adm_TakesRepeat(AdmissionController *controller, bool may_still_run,
                Instant now)
{
    if (!controller->backend_present || is_closed(controller) ||
        controller->next_trial_at || !Cld_MayStart(&controller->cold, now) ||
        Adm_IsBackendSlow(controller, now)) {
        return false;
    }
    /* One that runs no more starts in the slot that it was given. */
    return may_still_run
               ? controller->running < count_usable_slots(controller, now) &&
                     count_queued(controller) == 0
               : controller->running <= count_available_slots(controller, now);
}

/* In recorded events the flags are the lowest bits of queue_time_max. */
enum { FLAG_NESTED = 1, FLAG_MISSES_OBJECTIVE = 2, FLAGS_FACTOR = 4 };

AdmissionVerdict
Adm_Admit(AdmissionController *controller, const AdmissionRequest *request,
          Instant now)
{
    AdmissionVerdict verdict = decide(controller, request, now);
    int64_t flags = (request->nested ? FLAG_NESTED : 0) |
                    (request->misses_objective ? FLAG_MISSES_OBJECTIVE : 0);

    notify_observer(
        controller,
        &(AdmissionEvent){Adm_EVENT_ADMIT,
                          now,
                          {request->cls, request->time_left,
                           request->queue_time_max * FLAGS_FACTOR + flags},
                          verdict});
    return verdict;
}

static int64_t
replay_admit(AdmissionController *controller, const AdmissionEvent *event)
{
    AdmissionRequest request = {
        .cls = event->args[0] ? Adm_PATIENT : Adm_INTERACTIVE,
        .time_left = event->args[1],
        .queue_time_max = event->args[2] / FLAGS_FACTOR,
        .nested = event->args[2] & FLAG_NESTED,
        .misses_objective = event->args[2] & FLAG_MISSES_OBJECTIVE,
    };

    return Adm_Admit(controller, &request, event->time);
}

/* The longer ago the last sample, the more this one counts: where requests are
 * rare, as with trial attempts, the smoothed time still follows. */
static void
add_service_time(AdmissionController *controller, Span took, Instant now)
{
    double aged = 1 - exp(-(double)(now - controller->service_updated_at) /
                          SERVICE_TIME_AGE_US);
    double weight = aged > SMOOTHING_FACTOR ? aged : SMOOTHING_FACTOR;

    if (controller->service_us <= 0) {
        weight = 1;
    }
    controller->service_us += weight * ((double)took - controller->service_us);
    controller->service_updated_at = now;
}

static void
add_knee_sample(AdmissionController *controller,
                const AttemptCompletion *completion, Instant now)
{
    uint32_t below_reserve =
        count_slots_below_reserve(controller->settings.slots);

    if (completion->concurrency) {
        Kne_AddSample(&controller->knee, completion->work_kind,
                      completion->concurrency > below_reserve,
                      completion->normalized_time, now);
    }
}

/* In recorded events, work_kind * CONCURRENCY_FACTOR + concurrency. */
enum { CONCURRENCY_FACTOR = 65536 };

void
Adm_OnAttemptEnd(AdmissionController *controller,
                 const AttemptCompletion *completion, Instant now)
{
    if (controller->running) {
        controller->running--;
    }
    if (!completion->failed) {
        add_service_time(controller, completion->normalized_time, now);
        add_knee_sample(controller, completion, now);
    }
    controller->error_rate +=
        SMOOTHING_FACTOR *
        ((completion->failed ? 1.0 : 0.0) - controller->error_rate);
    notify_observer(controller,
                    &(AdmissionEvent){
                        Adm_EVENT_ATTEMPT_END,
                        now,
                        {completion->normalized_time, completion->failed,
                         (int64_t)completion->work_kind * CONCURRENCY_FACTOR +
                             completion->concurrency},
                        0});
}

void
Adm_OnQueueCancel(AdmissionController *controller, RequestClass cls)
{
    if (controller->queued[cls]) {
        controller->queued[cls]--;
    }
    notify_observer(
        controller,
        &(AdmissionEvent){.kind = Adm_EVENT_QUEUE_CANCEL, .args = {cls}});
}

bool
Adm_StartNext(AdmissionController *controller, Instant now, RequestClass *cls)
{
    if (!controller->backend_present ||
        controller->running >= count_usable_slots(controller, now) ||
        Adm_IsBackendSlow(controller, now) ||
        !Cld_MayStart(&controller->cold, now)) {
        return false;
    }
    if (controller->queued[Adm_INTERACTIVE]) {
        *cls = Adm_INTERACTIVE;
    }
    else if (controller->queued[Adm_PATIENT]) {
        *cls = Adm_PATIENT;
    }
    else {
        return false;
    }
    controller->queued[*cls]--;
    count_start(controller, now);
    notify_observer(controller, &(AdmissionEvent){.kind = Adm_EVENT_START_NEXT,
                                                  .time = now,
                                                  .outcome = *cls});
    return true;
}

void
Adm_SetExclusive(AdmissionController *controller, bool exclusive)
{
    controller->exclusive = exclusive;
}

bool
Adm_QueueSuspect(AdmissionController *controller, RequestClass cls)
{
    if (!controller->backend_present || is_closed(controller) ||
        is_queue_full(controller, cls)) {
        return false;
    }
    controller->queued_suspects++;
    return true;
}

void
Adm_OnSuspectCancel(AdmissionController *controller)
{
    if (controller->queued_suspects) {
        controller->queued_suspects--;
    }
}

bool
Adm_StartSuspect(AdmissionController *controller, Instant now)
{
    if (!controller->backend_present || !controller->exclusive ||
        controller->running || !Cld_MayStart(&controller->cold, now)) {
        return false;
    }
    Adm_OnSuspectCancel(controller);
    Cld_OnStart(&controller->cold, now);
    controller->running++;
    return true;
}

/* The slots to report.  A cold backend server is reported with those that its
 * rate can keep in use. */
static uint32_t
count_reported_slots(const AdmissionController *controller, Instant now)
{
    uint32_t slots = controller->settings.slots;
    double in_use =
        controller->cold.limit * controller->service_us / (double)Span_S(1);

    if (!controller->backend_present) {
        return 0;
    }
    if (!Cld_IsCold(&controller->cold, now) || controller->service_us <= 0 ||
        in_use >= slots) {
        return slots;
    }
    return in_use < 1 ? 1 : (uint32_t)in_use;
}

LoadReport
Adm_GetLoadReport(const AdmissionController *controller, Instant now)
{
    return (LoadReport){
        .slots = count_reported_slots(controller, now),
        .running = controller->running,
        .queued = count_queued(controller),
        .service_us = (uint32_t)controller->service_us,
        .error_permille = (uint32_t)(controller->error_rate * 1000),
        .draining = controller->draining || controller->stopping ||
                    controller->next_trial_at > now,
        .pace = controller->pace_reported_at &&
                        now - controller->pace_reported_at < PACE_EXPIRES
                    ? controller->pace
                    : 0,
        .slow = Adm_IsBackendSlow(controller, now),
    };
}

static void
replay_end(AdmissionController *controller, const AdmissionEvent *event)
{
    AttemptCompletion completion = {
        .normalized_time = event->args[0],
        .failed = event->args[1] != 0,
        .concurrency = (uint32_t)(event->args[2] % CONCURRENCY_FACTOR),
        .work_kind = (uint32_t)(event->args[2] / CONCURRENCY_FACTOR),
    };

    Adm_OnAttemptEnd(controller, &completion, event->time);
}

static int64_t
replay_next(AdmissionController *controller, Instant now)
{
    RequestClass cls;

    return Adm_StartNext(controller, now, &cls) ? (int64_t)cls : -1;
}

int64_t
Adm_Replay(AdmissionController *controller, const AdmissionEvent *event)
{
    const int64_t *args = event->args;
    AdmissionSettings settings = {.queue_max = (uint32_t)args[0],
                                  .patient_queue_max = (uint32_t)args[1],
                                  .slow_start = args[2]};

    switch (event->kind) {
    case Adm_EVENT_SETTINGS:
        Adm_SetSettings(controller, &settings);
        break;
    case Adm_EVENT_ANNOUNCE:
        Adm_OnAnnounce(controller, (uint32_t)args[0], args[1] != 0,
                       event->time);
        break;
    case Adm_EVENT_BACKEND_GONE:
        Adm_OnBackendGone(controller);
        break;
    case Adm_EVENT_STOP:
        Adm_Stop(controller);
        break;
    case Adm_EVENT_ADMIT:
        return replay_admit(controller, event);
    case Adm_EVENT_BACKEND_REJECT:
        Adm_OnBackendReject(controller, event->time);
        break;
    case Adm_EVENT_BACKEND_ACCEPT:
        Adm_OnBackendAccept(controller);
        break;
    case Adm_EVENT_ATTEMPT_END:
        replay_end(controller, event);
        break;
    case Adm_EVENT_QUEUE_CANCEL:
        Adm_OnQueueCancel(controller, args[0] ? Adm_PATIENT : Adm_INTERACTIVE);
        break;
    case Adm_EVENT_START_NEXT:
        return replay_next(controller, event->time);
    case Adm_EVENT_PACE_REPORT:
        Adm_OnPaceReport(controller, &(BackendLoad){.pace = (uint32_t)args[0]},
                         event->time);
        break;
    case Adm_EVENT_QUEUE_AHEAD:
        return replay_queue_ahead(controller, event);
    case Adm_EVENT_EVACUATED:
        Adm_SetEvacuated(controller, args[0] != 0);
        break;
    case Adm_EVENT_COLD_OPEN:
        Adm_OpenColdRate(controller, event->time);
        break;
    case Adm_EVENT_COLD_BOUND:
        Adm_SetColdBound(controller, (uint32_t)args[0], args[1] != 0);
        break;
    case Adm_EVENT_COLD_WORD:
        Adm_OnColdWord(controller, args[0], args[1], event->time);
        break;
    case Adm_EVENT_REPEAT:
        Adm_OnRepeat(controller, event->time);
        break;
    case Adm_EVENT_COUNT:
        break;
    }
    return 0;
}
