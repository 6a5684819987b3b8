#include "request/crash.h"

#include <inttypes.h>

/* For the others to learn of a crash before anybody may repeat it. */
#define TELL_TIME Span_MS(150)

enum {
    ALONE_MAX = 2,   /* suspects at one backend server */
    OTHERS_SHARE = 4 /* time left to others, for one of a suspect's */
};

/* Who is suspect, as the two places that hold it back name it. */
typedef struct {
    uint64_t fingerprint;
    Str request_id;
    RequestClass cls;
    bool keyed;
} Suspect;

static void
log_held(const AttemptRunner *hub, const Suspect *suspect, Str verdict,
         Instant now)
{
    const SuspectRequest *entry =
        Sus_Find(&hub->suspects->table, suspect->fingerprint);

    Lgr_Log(hub->logger, Lgr_INFO, Str_LIT("suspect_held"),
            "request=%.*s fingerprint=%016" PRIx64
            " verdict=%.*s losses=%u age_us=%lld",
            Str_ARG(suspect->request_id), suspect->fingerprint,
            Str_ARG(verdict), Sus_CountActiveCrashes(entry),
            (long long)(now - entry->last_crash_at));
}

typedef enum { GOES_ON, HELD, REFUSED } Step;

/* What becomes of SUSPECT now; REASON where it is refused.  A claim for a key
 * was made for this node, and is not sent on to another. */
static Step
judge(AttemptRunner *hub, const Suspect *suspect, Refusal *reason, Instant now)
{
    switch (Sps_GetVerdict(hub->suspects, suspect->fingerprint, now)) {
    case Sus_CLEAR:
        return GOES_ON;
    case Sus_STOPPED:
        log_held(hub, suspect, Str_LIT("stopped"), now);
        Cnt_Add(hub->counters, Cnt_SUSPECTS, 1);
        *reason = Refusal_SUSPECT;
        return REFUSED;
    case Sus_ALONE:
        break;
    }
    if (!suspect->keyed &&
        !Sps_IsExclusiveNode(hub->suspects, suspect->fingerprint)) {
        *reason = Refusal_ELSEWHERE;
        return REFUSED;
    }
    if (hub->exclusive_count < ALONE_MAX &&
        Adm_QueueSuspect(hub->admission, suspect->cls)) {
        log_held(hub, suspect, Str_LIT("alone"), now);
        hub->exclusive_count++;
        return HELD;
    }
    *reason = Refusal_FULL;
    return REFUSED;
}

bool
Crs_FilterCall(AttemptRunner *hub, const NetOrigin *origin, const CallMsg *msg,
               Instant now)
{
    Suspect suspect = {
        .fingerprint = msg->fingerprint,
        .request_id = msg->request_id,
        .cls = msg->interactive ? Adm_INTERACTIVE : Adm_PATIENT,
        .keyed = msg->keyed,
    };
    /* While it is not known what is suspect, this may be the one. */
    Refusal reason = Refusal_ABSENT;
    Step step = hub->suspects->is_synced ? judge(hub, &suspect, &reason, now)
                                         : REFUSED;

    if (step == REFUSED) {
        Led_OnRefused(&hub->ledger, msg->id, now);
        Run_RefuseCall(hub, origin, msg, reason, now);
    }
    else if (step == HELD) {
        Run_Add(hub, origin, msg, now)->exclusive = true;
        Run_Tick(hub, now);
    }
    return step != GOES_ON;
}

/* RUN waits, by what was known when it came. */
static void
judge_again(BackendAttempt *run, Instant now)
{
    Suspect suspect = {
        .fingerprint = run->fingerprint,
        .request_id = StrBuf_View(&run->request_id),
        .cls = run->request_class,
        .keyed = run->keyed,
    };
    SuspectVerdict verdict =
        Sps_GetVerdict(run->hub->suspects, run->fingerprint, now);
    Refusal reason = Refusal_FULL;

    if (verdict == (run->exclusive ? Sus_ALONE : Sus_CLEAR)) {
        return; /* as it was */
    }
    Run_Dequeue(run);
    switch (judge(run->hub, &suspect, &reason, now)) {
    case GOES_ON:
        Run_Admit(run, now);
        break;
    case HELD:
        run->exclusive = true;
        break;
    case REFUSED:
        Run_Refuse(run, reason, now);
        Run_Free(run);
        break;
    }
}

void
Crs_ReviewQueued(void *context, Instant now)
{
    AttemptRunner *hub = context;
    BackendAttempt *next;

    for (BackendAttempt *run = hub->first; run; run = next) {
        next = run->next;
        if (Run_IsQueued(run) || run->awaits_load) {
            judge_again(run, now);
        }
    }
}

void
Crs_OnExchangeEnd(BackendAttempt *run, BckEnd end, Instant now)
{
    AttemptRunner *hub = run->hub;

    if (!run->exclusive) {
        return;
    }
    hub->next_exclusive_at = now + OTHERS_SHARE * (now - run->started_at);
    Lgr_Log(hub->logger, Lgr_INFO, Str_LIT("suspect_ran_alone"),
            "request=%.*s fingerprint=%016" PRIx64 " end=%d status=%u",
            Str_ARG(run->request_id), run->fingerprint, (int)end, run->status);
    /* An error may come from before the place where it crashes. */
    if (end == Bck_WHOLE && run->status < Callmsg_FAILED) {
        Sps_OnExclusiveSuccess(hub->suspects, run->fingerprint, now);
    }
}

/* Its fate was only put off until the knock. */
static void
settle_cut(AttemptRunner *hub, Instant now)
{
    BackendAttempt *next;

    for (BackendAttempt *run = hub->first; run; run = next) {
        next = run->next;
        if (run->interrupted) {
            Run_ReportLost(run, now);
            Run_Free(run);
        }
    }
}

/* They wait for a backend server that is gone. */
static void
refuse_waiting(AttemptRunner *hub, Instant now)
{
    BackendAttempt *next;

    for (BackendAttempt *run = hub->first; run; run = next) {
        next = run->next;
        if (Run_IsQueued(run)) {
            Run_Refuse(run, Refusal_ABSENT, now);
            Run_DequeueAndFree(run);
        }
    }
}

static void
log_blamed(const BackendAttempt *run, Instant now)
{
    Lgr_Log(run->hub->logger, Lgr_INFO, Str_LIT("suspect_blamed"),
            "request=%.*s fingerprint=%016" PRIx64 " alone=%d ran_us=%lld",
            Str_ARG(run->request_id), run->fingerprint, run->exclusive,
            (long long)(now - run->started_at));
}

static void
blame_cut(AttemptRunner *hub, Instant now)
{
    uint64_t ran[Sps_BLAMED_PER_CRASH_MAX];
    size_t count = 0;

    for (const BackendAttempt *run = hub->first;
         run && count < Sps_BLAMED_PER_CRASH_MAX; run = run->next) {
        if (run->interrupted) {
            ran[count++] = run->fingerprint;
            log_blamed(run, now);
        }
    }
    Cnt_Add(hub->counters, Cnt_CRASHES, 1);
    Tml_Record(hub->timeline, Tml_BACKEND_LOST, "ran=%zu", count);
    Sps_OnCrash(hub->suspects, ran, count, now);
}

static void
on_knocked(void *context, KnkResult result)
{
    static const char *const results[] = {
        [Knk_OPENED] = "opened",
        [Knk_REFUSED] = "refused",
        [Knk_SILENT] = "silent",
    };
    AttemptRunner *hub = context;
    Instant now = Loop_Now();

    Lgr_Log(hub->logger, Lgr_INFO, Str_LIT("backend_knocked"),
            "after a cut: %s", results[result]);
    if (result == Knk_REFUSED) {
        blame_cut(hub, now);
        hub->on_backend_lost(hub->backend_lost_context, now);
        refuse_waiting(hub, now);
        hub->crash_report_deadline = now + TELL_TIME;
    }
    else if (!hub->crash_report_deadline) {
        settle_cut(hub, now);
    }
    Run_Tick(hub, now);
}

void
Crs_OnInterrupted(BackendAttempt *run)
{
    AttemptRunner *hub = run->hub;
    KnkSink sink = {hub, on_knocked};

    run->interrupted = true;
    Knk_Start(&hub->connect_probe, hub->pool->base, hub->pool->addr, &sink);
}

static BackendAttempt *
first_alone(AttemptRunner *hub)
{
    for (BackendAttempt *run = hub->first; run; run = run->next) {
        if (run->exclusive && Run_IsQueued(run)) {
            return run;
        }
    }
    return NULL;
}

static void
settle_told(AttemptRunner *hub, Instant now)
{
    if (hub->crash_report_deadline && !hub->connect_probe.event &&
        (Sps_IsCrashConfirmed(hub->suspects) ||
         now >= hub->crash_report_deadline)) {
        Lgr_Log(hub->logger, Lgr_INFO, Str_LIT("suspects_told"),
                "unconfirmed=%zu", hub->suspects->unconfirmed_nodes);
        hub->crash_report_deadline = 0;
        settle_cut(hub, now);
    }
}

void
Crs_Tick(AttemptRunner *hub, Instant now)
{
    BackendAttempt *run;
    bool running;

    settle_told(hub, now);
    run = hub->exclusive_count ? first_alone(hub) : NULL;
    running = hub->exclusive_count && !run;
    /* Others stop starting once a suspect's turn has come. */
    Adm_SetExclusive(hub->admission,
                     running || (run && now >= hub->next_exclusive_at));
    if (run && Adm_StartSuspect(hub->admission)) {
        Run_StartExchange(run, now);
    }
}
