/* Adm, the admission decider of the node beside a backend server: run, queue
 * or refuse one attempt.
 *
 * Adm counts what runs and what waits; it owns neither.  The caller keeps the
 * waiting attempts and asks Adm_StartNext which of them starts when a slot
 * frees.
 */
#ifndef ADMISSION_H
#define ADMISSION_H

#include "process/knee.h"
#include "value/instant.h"
#include "value/load.h"

typedef enum {
    Adm_RUN,
    Adm_QUEUE,
    Adm_REFUSE_FULL,     /* queue at its bound for the class */
    Adm_REFUSE_LATE,     /* would not start before its deadline */
    Adm_REFUSE_DRAINING, /* the backend server is leaving */
    Adm_REFUSE_ABSENT,   /* no backend server is announced */
    Adm_REFUSE_SLOW      /* work takes long there at this moment */
} AdmissionVerdict;

typedef enum {
    Adm_INTERACTIVE = 0,
    Adm_PATIENT = 1,
    Adm_CLASS_COUNT
} RequestClass;

/* One attempt that asks to run. */
typedef struct {
    RequestClass cls;
    Span time_left;      /* until its deadline */
    Span queue_time_max; /* it may wait for a slot so long; 0: until its
                            deadline */
    bool nested; /* it comes from inside a run: with the last slots, too */
    bool misses_objective; /* it misses its objective: only where nobody waits
                            */
} AdmissionRequest;

/* How a running attempt ended. */
typedef struct {
    Span normalized_time; /* in terms of the usual pace */
    bool failed;
    uint32_t concurrency; /* attempts that ran when it started, itself too; 0:
                       its time tells nothing of that */
    uint32_t work_kind;   /* of work, for comparing times */
} AttemptCompletion;

typedef struct {
    uint32_t slots;
    uint32_t queue_max; /* waiting, both classes */
    uint32_t patient_queue_max;
    Span slow_start; /* cold start: slots open one by one over this span */
} AdmissionSettings;

/* What was fed to a decider and what it answered, for traces. */
typedef enum {
    Adm_EVENT_SETTINGS = 0, /* queue_max, patient_queue_max, ramp */
    Adm_EVENT_ANNOUNCE,     /* slots, draining */
    Adm_EVENT_BACKEND_GONE,
    Adm_EVENT_STOP,
    Adm_EVENT_ADMIT, /* class, time left, slack with what it asks for; outcome:
                    the verdict */
    Adm_EVENT_BACKEND_REJECT,
    Adm_EVENT_BACKEND_ACCEPT,
    Adm_EVENT_ATTEMPT_END,  /* time it took, failed, level and kind */
    Adm_EVENT_QUEUE_CANCEL, /* class */
    Adm_EVENT_START_NEXT,   /* outcome: the class */
    Adm_EVENT_PACE_REPORT,  /* pace */
    Adm_EVENT_COUNT
} AdmissionEventKind;

enum { Adm_EVENT_ARGS = 3 };

typedef struct {
    AdmissionEventKind kind;
    Instant time; /* 0: the time does not matter */
    int64_t args[Adm_EVENT_ARGS];
    int64_t outcome;
} AdmissionEvent;

typedef void (*AdmissionObserver)(void *context, const AdmissionEvent *event);

typedef struct {
    AdmissionObserver observer; /* NULL: nobody */
    void *observer_context;
    AdmissionSettings settings;
    bool backend_present; /* a backend server is announced */
    bool draining;
    bool stopping;             /* the node itself stops */
    uint32_t rejections;       /* answers in a row that refused the work */
    Instant first_rejected_at; /* first of these */
    Instant next_trial_at;     /* it leaves, to all appearance; 0: no */
    Instant announced_at;      /* of the announcement, for the ramp */
    bool exclusive; /* nothing new starts: a suspect runs alone, or is next */
    uint32_t running;
    uint32_t queued[Adm_CLASS_COUNT];
    uint32_t queued_suspects;   /* suspects waiting to run alone */
    double service_us;          /* smoothed time of one request */
    Instant service_updated_at; /* last request that counted for it */
    double error_rate;          /* smoothed share of failed requests */
    uint32_t pace;              /* as the backend server said last; 0: never */
    Instant pace_reported_at;
    double mean_pace; /* of the last seconds */
    KneeDetector knee;
    uint32_t starts_below_reserve; /* since the last one on the last slots */
} AdmissionController;

void Adm_Init(AdmissionController *adm, const AdmissionSettings *settings);
void Adm_SetSettings(AdmissionController *adm,
                     const AdmissionSettings *settings);

/* The backend server announced itself with SLOTS, or drains, or is gone. */
void Adm_OnAnnounce(AdmissionController *adm, uint32_t slots, bool draining,
                    Instant now);
void Adm_OnBackendGone(AdmissionController *adm);

/* The node stops: no attempt is taken from now on. */
void Adm_Stop(AdmissionController *adm);

/* The backend server, or the node, leaves: what waits will not start. */
bool Adm_IsDraining(const AdmissionController *adm);

/* Decide; Adm_RUN and Adm_QUEUE are counted at once. */
AdmissionVerdict Adm_Admit(AdmissionController *adm,
                           const AdmissionRequest *ask, Instant now);

/* The backend server said how long work takes there now. */
void Adm_OnPaceReport(AdmissionController *adm, const LoadWord *word,
                      Instant now);

/* What it said is too old to go by. */
bool Adm_IsPaceStale(const AdmissionController *adm, Instant now);

/* It said lately that work takes long. */
bool Adm_IsBackendSlow(const AdmissionController *adm, Instant now);

/* The backend server turned an attempt away (503, or no connection), or took
 * one.  One that turns everything away gets no work but a trial now and
 * then, as if it had announced that it leaves. */
void Adm_OnBackendReject(AdmissionController *adm, Instant now);
void Adm_OnBackendAccept(AdmissionController *adm);

void Adm_OnAttemptEnd(AdmissionController *adm, const AttemptCompletion *end,
                      Instant now);

/* A waiting attempt left the queue without running. */
void Adm_OnQueueCancel(AdmissionController *adm, RequestClass cls);

/* Which class starts next, when one may: counted as running at once. */
bool Adm_StartNext(AdmissionController *adm, Instant now, RequestClass *cls);

/* Only Adm_StartSuspect starts anything while ALONE. */
void Adm_SetExclusive(AdmissionController *adm, bool alone);

/* A suspect asks to wait until it may run alone: counted at once. */
bool Adm_QueueSuspect(AdmissionController *adm, RequestClass cls);

/* The waiting suspect may start: counted as running at once. */
bool Adm_StartSuspect(AdmissionController *adm);

/* A suspect left without running. */
void Adm_OnSuspectCancel(AdmissionController *adm);

/* Draining is said of one that turns everything away only until the next
 * trial is due: otherwise nobody would send it. */
LoadReport Adm_GetLoadReport(const AdmissionController *adm, Instant now);

/* Tell OBSERVER of each event from now on. */
void Adm_SetObserver(AdmissionController *adm, AdmissionObserver observer,
                     void *context);

/* Feed EVENT; what is answered now. */
int64_t Adm_Replay(AdmissionController *adm, const AdmissionEvent *event);

#endif
