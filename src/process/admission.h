/* Adm, the admission decider of the node beside a backend server: run, queue
 * or refuse one attempt.
 *
 * Adm counts what runs and what waits; it owns neither.  The caller keeps the
 * waiting attempts and asks Adm_Next which of them starts when a slot frees.
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
} AdmVerdict;

typedef enum { Adm_INTERACTIVE = 0, Adm_PATIENT = 1, Adm_CLASSES } AdmClass;

/* One attempt that asks to run. */
typedef struct {
    AdmClass cls;
    Span left;   /* until its deadline */
    Span slack;  /* it may wait for a slot so long; 0: until its deadline */
    bool nested; /* it comes from inside a run: with the last slots, too */
    bool late;   /* it misses its objective: only where nobody waits */
} AdmAsk;

/* How a running attempt ended. */
typedef struct {
    Span took; /* in terms of the usual pace */
    bool failed;
    uint32_t level; /* attempts that ran when it started, itself too; 0: its
                       time tells nothing of that */
    uint32_t kind;  /* of work, for comparing times */
} AdmEnd;

typedef struct {
    uint32_t slots;
    uint32_t queue_max; /* waiting, both classes */
    uint32_t patient_queue_max;
    Span ramp; /* cold start: slots open one by one over this span */
} AdmSettings;

/* What was fed to a decider and what it answered, for traces. */
typedef enum {
    Adm_DID_SETTINGS = 0, /* queue_max, patient_queue_max, ramp */
    Adm_DID_ANNOUNCE,     /* slots, draining */
    Adm_DID_GONE,
    Adm_DID_LEAVE,
    Adm_DID_ASK, /* class, time left, slack with what it asks for; outcome:
                    the verdict */
    Adm_DID_TURNED_AWAY,
    Adm_DID_TAKEN,
    Adm_DID_END,        /* time it took, failed, level and kind */
    Adm_DID_LEAVE_LINE, /* class */
    Adm_DID_NEXT,       /* outcome: the class */
    Adm_DID_SAID,       /* pace */
    Adm_EVENTS
} AdmEventKind;

enum { Adm_ARGS = 3 };

typedef struct {
    AdmEventKind kind;
    Instant at; /* 0: the time does not matter */
    int64_t args[Adm_ARGS];
    int64_t outcome;
} AdmEvent;

typedef void (*AdmObserver)(void *context, const AdmEvent *event);

typedef struct {
    AdmObserver observer; /* NULL: nobody */
    void *observer_context;
    AdmSettings settings;
    bool present; /* a backend server is announced */
    bool draining;
    bool leaving;              /* the node itself stops */
    uint32_t turned_away;      /* answers in a row that refused the work */
    Instant turned_away_since; /* first of these */
    Instant refuse_until;      /* it leaves, to all appearance; 0: no */
    Instant since;             /* of the announcement, for the ramp */
    bool alone; /* nothing new starts: a suspect runs alone, or is next */
    uint32_t running;
    uint32_t queued[Adm_CLASSES];
    uint32_t held;     /* suspects waiting to run alone */
    double service_us; /* smoothed time of one request */
    Instant timed_at;  /* last request that counted for it */
    double error;      /* smoothed share of failed requests */
    uint32_t pace;     /* as the backend server said last; 0: never */
    Instant said_at;
    double pace_mean; /* of the last seconds */
    Kne knee;
    uint32_t starts; /* since the last one on the last slots */
} Adm;

void Adm_Init(Adm *adm, const AdmSettings *settings);
void Adm_SetSettings(Adm *adm, const AdmSettings *settings);

/* The backend server announced itself with SLOTS, or drains, or is gone. */
void Adm_OnAnnounce(Adm *adm, uint32_t slots, bool draining, Instant now);
void Adm_OnGone(Adm *adm);

/* The node stops: no attempt is taken from now on. */
void Adm_Leave(Adm *adm);

/* The backend server, or the node, leaves: what waits will not start. */
bool Adm_IsLeaving(const Adm *adm);

/* Decide; Adm_RUN and Adm_QUEUE are counted at once. */
AdmVerdict Adm_Ask(Adm *adm, const AdmAsk *ask, Instant now);

/* The backend server said how long work takes there now. */
void Adm_OnSaid(Adm *adm, const LoadWord *word, Instant now);

/* What it said is too old to go by. */
bool Adm_IsStale(const Adm *adm, Instant now);

/* It said lately that work takes long. */
bool Adm_IsSlow(const Adm *adm, Instant now);

/* The backend server turned an attempt away (503, or no connection), or took
 * one.  One that turns everything away gets no work but a trial now and
 * then, as if it had announced that it leaves. */
void Adm_OnTurnedAway(Adm *adm, Instant now);
void Adm_OnTaken(Adm *adm);

void Adm_OnEnd(Adm *adm, const AdmEnd *end, Instant now);

/* A waiting attempt left the queue without running. */
void Adm_OnLeave(Adm *adm, AdmClass cls);

/* Which class starts next, when one may: counted as running at once. */
bool Adm_Next(Adm *adm, Instant now, AdmClass *cls);

/* Only Adm_NextAlone starts anything while ALONE. */
void Adm_SetAlone(Adm *adm, bool alone);

/* A suspect asks to wait until it may run alone: counted at once. */
bool Adm_Wait(Adm *adm, AdmClass cls);

/* The waiting suspect may start: counted as running at once. */
bool Adm_NextAlone(Adm *adm);

/* A suspect left without running. */
void Adm_OnHeldLeave(Adm *adm);

/* Draining is said of one that turns everything away only until the next
 * trial is due: otherwise nobody would send it. */
LoadReport Adm_Report(const Adm *adm, Instant now);

/* Tell OBSERVER of each event from now on. */
void Adm_Observe(Adm *adm, AdmObserver observer, void *context);

/* Feed EVENT; what is answered now. */
int64_t Adm_Replay(Adm *adm, const AdmEvent *event);

#endif
