#include "request/crash.h"

#include <inttypes.h>

/* Interrupted attempts are reported as lost only after the other nodes have
 * learned of the crash, so that no repeated request reaches a node that does
 * not know of it.  The wait ends after this time even if a node has not
 * confirmed the report. */
#define CRASH_REPORT_TIMEOUT Span_MS(150)

/* A backend server that still accepts connections after an interruption is
 * probed again this often. */
#define PROBE_INTERVAL Span_MS(100)

/* How long it is probed: a process that ends closes its listening socket soon
 * after its connections; one that no longer announces itself may be writing a
 * core file. */
#define CLOSING_TIME Span_MS(500)
#define HANG_TIME Span_S(5)

enum {
    EXCLUSIVE_MAX = 2, /* suspects queued or running at one backend server */
    /* time given to other attempts after a suspect ran, as a multiple of the
     * time that the suspect took */
    OTHERS_TIME_FACTOR = 4
};

/* The members of an attempt, new or queued, that decide_suspect reads. */
typedef struct {
    uint64_t fingerprint;
    RegionMask barred;
    Str request_id;
    RequestClass request_class;
    bool keyed;
} SuspectCandidate;

static void
log_restricted(const AttemptRunner *runner, const SuspectCandidate *suspect,
               Str verdict, Instant now)
{
    const SuspectRequest *entry =
        Sus_Find(&runner->suspects->table, suspect->fingerprint);

    Lgr_Log(runner->logger, Lgr_INFO, Str_LIT("suspect_restricted"),
            "request=%.*s fingerprint=%016" PRIx64
            " verdict=%.*s losses=%u age_us=%lld",
            Str_ARG(suspect->request_id), suspect->fingerprint,
            Str_ARG(verdict), Sus_CountActiveCrashes(entry),
            (long long)(now - entry->last_crash_at));
}

typedef enum { NOT_SUSPECT, QUEUED, REFUSED } SuspectDisposition;

/* Decides what becomes of SUSPECT now, and counts it if it is queued to run
 * exclusively.  REASON is set if it is refused.  A keyed attempt is not
 * referred to another node, since its key was claimed for this one. */
static SuspectDisposition
decide_suspect(AttemptRunner *runner, const SuspectCandidate *suspect,
               RejectReason *reason, Instant now)
{
    switch (Sps_GetVerdict(runner->suspects, suspect->fingerprint, now)) {
    case Sus_CLEAR:
        return NOT_SUSPECT;
    case Sus_STOPPED:
        log_restricted(runner, suspect, Str_LIT("stopped"), now);
        Cnt_Add(runner->counters, Cnt_SUSPECTS_STOPPED, 1);
        *reason = Reject_SUSPECT;
        return REFUSED;
    case Sus_EXCLUSIVE:
        break;
    }
    if (!suspect->keyed &&
        !Sps_IsExclusiveNode(runner->suspects, suspect->fingerprint,
                             suspect->barred)) {
        *reason = Reject_RUNS_ELSEWHERE;
        return REFUSED;
    }
    if (runner->exclusive_count < EXCLUSIVE_MAX &&
        Adm_QueueSuspect(runner->admission, suspect->request_class)) {
        log_restricted(runner, suspect, Str_LIT("alone"), now);
        runner->exclusive_count++;
        return QUEUED;
    }
    *reason = Reject_FULL;
    return REFUSED;
}

bool
Crs_FilterCall(AttemptRunner *runner, const NetOrigin *origin,
               const CallMessage *msg, Instant now)
{
    SuspectCandidate suspect = {
        .fingerprint = msg->fingerprint,
        .barred = msg->barred,
        .request_id = msg->request_id,
        .request_class = msg->interactive ? Adm_INTERACTIVE : Adm_PATIENT,
        .keyed = msg->keep_long,
    };
    /* Until this node knows the suspects, any request may be one. */
    RejectReason reason = Reject_NO_BACKEND;
    SuspectDisposition disposition =
        runner->suspects->is_synced
            ? decide_suspect(runner, &suspect, &reason, now)
            : REFUSED;

    if (disposition == REFUSED) {
        Led_OnRefused(&runner->ledger, msg->id, now);
        Run_RefuseCall(runner, origin, msg, reason, now);
    }
    else if (disposition == QUEUED) {
        BackendAttempt *attempt = Run_Add(runner, origin, msg, now);
        attempt->exclusive = true;
        if (!Run_Hold(attempt)) {
            Run_Refuse(attempt, Reject_FULL, now);
            Run_DequeueAndFree(attempt);
        }
        Run_Tick(runner, now);
    }
    return disposition != NOT_SUSPECT;
}

/* Decides again about an attempt that has not started, since more suspects
 * are known than when the attempt arrived. */
static void
review_attempt(BackendAttempt *attempt, Instant now)
{
    SuspectCandidate suspect = {
        .fingerprint = attempt->fingerprint,
        .barred = attempt->barred,
        .request_id = StrBuf_View(&attempt->request_id),
        .request_class = attempt->request_class,
        .keyed = attempt->keyed,
    };
    SuspectVerdict verdict =
        Sps_GetVerdict(attempt->runner->suspects, attempt->fingerprint, now);
    RejectReason reason = Reject_FULL;

    if (verdict == (attempt->exclusive ? Sus_EXCLUSIVE : Sus_CLEAR)) {
        return; /* the verdict did not change */
    }
    Run_Dequeue(attempt);
    switch (decide_suspect(attempt->runner, &suspect, &reason, now)) {
    case NOT_SUSPECT:
        Run_Admit(attempt, now);
        break;
    case QUEUED:
        attempt->exclusive = true;
        break;
    case REFUSED:
        Run_Refuse(attempt, reason, now);
        Run_Free(attempt);
        break;
    }
}

void
Crs_ReviewQueued(void *context, Instant now)
{
    AttemptRunner *runner = context;
    ListWalk walk;
    BackendAttempt *attempt;

    Lst_Begin(&walk, &runner->attempts);
    while ((attempt = Lst_Next(&walk))) {
        if (Run_IsQueued(attempt) || attempt->awaits_load) {
            review_attempt(attempt, now);
        }
    }
}

void
Crs_OnExchangeEnd(BackendAttempt *attempt, BackendResult result, Instant now)
{
    AttemptRunner *runner = attempt->runner;

    if (!attempt->exclusive) {
        return;
    }
    runner->next_exclusive_at =
        now + OTHERS_TIME_FACTOR * (now - attempt->started_at);
    Lgr_Log(runner->logger, Lgr_INFO, Str_LIT("suspect_ran_alone"),
            "request=%.*s fingerprint=%016" PRIx64 " end=%d status=%u",
            Str_ARG(attempt->request_id), attempt->fingerprint, (int)result,
            attempt->status);
    /* An error may be returned before the code that crashes is reached, so
     * only a good answer clears the suspect. */
    if (result == Bck_COMPLETE && attempt->status < Callmsg_SERVER_ERROR_MIN) {
        Sps_OnExclusiveSuccess(runner->suspects, attempt->fingerprint, now);
    }
}

/* Reports all interrupted attempts as lost.  This was deferred until the
 * connect probe ended and the crash report, if any, was confirmed. */
static void
report_interrupted_lost(AttemptRunner *runner, Instant now)
{
    ListWalk walk;
    BackendAttempt *attempt;

    Lst_Begin(&walk, &runner->attempts);
    while ((attempt = Lst_Next(&walk))) {
        if (attempt->interrupted) {
            Run_ReportLost(attempt, now);
            Run_Free(attempt);
        }
    }
}

/* Refuses what is queued for a backend server that crashed. */
static void
refuse_queued(AttemptRunner *runner, Instant now)
{
    ListWalk walk;
    BackendAttempt *attempt;

    Lst_Begin(&walk, &runner->attempts);
    while ((attempt = Lst_Next(&walk))) {
        if (Run_IsQueued(attempt)) {
            Run_Refuse(attempt, Reject_NO_BACKEND, now);
            Run_DequeueAndFree(attempt);
        }
    }
}

static void
log_blamed(const BackendAttempt *attempt, Instant now)
{
    Lgr_Log(attempt->runner->logger, Lgr_INFO, Str_LIT("suspect_blamed"),
            "request=%.*s fingerprint=%016" PRIx64 " alone=%d ran_us=%lld",
            Str_ARG(attempt->request_id), attempt->fingerprint,
            attempt->exclusive, (long long)(now - attempt->started_at));
}

/* The connections to a backend server that crashes end one after the other,
 * with probes between them.  While the first ones await the report of the
 * crash, the later ones belong to it; none is blamed twice. */
static void
blame_interrupted(AttemptRunner *runner, Instant now)
{
    uint64_t blamed[Sps_BLAMED_PER_CRASH_MAX];
    size_t count = 0;

    for (const ListLink *link = runner->attempts.first;
         link && count < Sps_BLAMED_PER_CRASH_MAX; link = link->next) {
        BackendAttempt *attempt = link->item;
        if (attempt->interrupted && !attempt->blamed) {
            attempt->blamed = true;
            blamed[count++] = attempt->fingerprint;
            log_blamed(attempt, now);
        }
    }
    Cnt_Add(runner->counters, Cnt_BACKEND_LOSSES,
            runner->crash_report_deadline == 0);
    Tml_Record(runner->timeline, Tml_BACKEND_LOST, "ran=%zu", count);
    Sps_OnCrash(runner->suspects, blamed, count, now);
}

/* Whether a backend server that still accepts connections may be about to
 * end. */
static bool
may_be_ending(const AttemptRunner *runner, Instant now)
{
    return now - runner->interrupted_at <
           (runner->admission->backend_present ? CLOSING_TIME : HANG_TIME);
}

/* Reports all interrupted attempts as lost, but keeps them: if the backend
 * server ends after all, they are blamed. */
static void
await_end_of_backend(AttemptRunner *runner, Instant now)
{
    ListWalk walk;
    BackendAttempt *attempt;

    Lst_Begin(&walk, &runner->attempts);
    while ((attempt = Lst_Next(&walk))) {
        if (attempt->interrupted && !attempt->detached) {
            Run_ReportLost(attempt, now);
            attempt->detached = true;
        }
    }
    runner->probe_again_at = now + PROBE_INTERVAL;
}

static void
on_connect_probe(void *context, ConnectResult result)
{
    static const char *const results[] = {
        [Cpr_CONNECTED] = "opened",
        [Cpr_REFUSED] = "refused",
        [Cpr_TIMED_OUT] = "silent",
    };
    AttemptRunner *runner = context;
    Instant now = Loop_Now();

    Lgr_Log(runner->logger, Lgr_INFO, Str_LIT("backend_probed"),
            "probe after an interrupted exchange: %s", results[result]);
    if (result == Cpr_REFUSED) {
        blame_interrupted(runner, now);
        runner->on_backend_lost(runner->backend_lost_context, now);
        refuse_queued(runner, now);
        runner->crash_report_deadline = now + CRASH_REPORT_TIMEOUT;
    }
    else if (!runner->crash_report_deadline) {
        if (may_be_ending(runner, now)) {
            await_end_of_backend(runner, now);
        }
        else {
            report_interrupted_lost(runner, now);
        }
    }
    Run_Tick(runner, now);
}

static void
start_probe(AttemptRunner *runner)
{
    ConnectProbeCallback callback = {runner, on_connect_probe};

    Cpr_Start(&runner->connect_probe, runner->pool->base, runner->pool->addr,
              &callback);
}

void
Crs_OnInterrupted(BackendAttempt *attempt, Instant now)
{
    AttemptRunner *runner = attempt->runner;

    attempt->interrupted = true;
    runner->interrupted_at = now;
    start_probe(runner);
}

static void
probe_again(AttemptRunner *runner, Instant now)
{
    if (!runner->probe_again_at || now < runner->probe_again_at) {
        return;
    }
    runner->probe_again_at = 0;
    if (may_be_ending(runner, now)) {
        start_probe(runner);
    }
    else {
        report_interrupted_lost(runner, now);
    }
}

static BackendAttempt *
find_queued_exclusive(AttemptRunner *runner)
{
    for (ListLink *link = runner->attempts.first; link; link = link->next) {
        BackendAttempt *attempt = link->item;
        if (attempt->exclusive && Run_IsQueued(attempt)) {
            return attempt;
        }
    }
    return NULL;
}

static void
finish_crash_report(AttemptRunner *runner, Instant now)
{
    if (runner->crash_report_deadline && !runner->connect_probe.event &&
        (Sps_IsCrashConfirmed(runner->suspects) ||
         now >= runner->crash_report_deadline)) {
        Lgr_Log(runner->logger, Lgr_INFO, Str_LIT("suspects_reported"),
                "unconfirmed=%zu", runner->suspects->unconfirmed_nodes);
        runner->crash_report_deadline = 0;
        report_interrupted_lost(runner, now);
    }
}

void
Crs_Tick(AttemptRunner *runner, Instant now)
{
    BackendAttempt *attempt;
    bool running;

    finish_crash_report(runner, now);
    probe_again(runner, now);
    attempt = runner->exclusive_count ? find_queued_exclusive(runner) : NULL;
    running = runner->exclusive_count && !attempt;
    /* Other attempts stop starting once a queued suspect may start. */
    Adm_SetExclusive(runner->admission,
                     running || (attempt && now >= runner->next_exclusive_at));
    if (attempt && Adm_StartSuspect(runner->admission, now)) {
        Run_StartExchange(attempt, now);
    }
}
