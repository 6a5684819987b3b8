/* Tml: the timeline, the typed events of this process.  Tml_Record stores an
 * event in a ring of bounded size and logs it.  Stamps of a hybrid logical
 * clock order the events of all processes of a fleet.
 */
#ifndef TIMELINE_H
#define TIMELINE_H

#include "process/observe/logger.h"
#include "value/hlc.h"

/* Enumerator without its prefix; name in the log and for operators. */
#define Tml_KIND_LIST(X)                                                      \
    X(STARTED, "started")                                                     \
    X(STOPPING, "stopping")                                                   \
    X(MEMBER_CAME, "member_came")                                             \
    X(MEMBER_GONE, "member_gone")                                             \
    X(BACKEND_CAME, "backend_came")                                           \
    X(BACKEND_DRAINS, "backend_drains")                                       \
    X(BACKEND_GONE, "backend_gone")                                           \
    X(BACKEND_LOST, "backend_lost")                                           \
    X(PLACEMENT_REFUSED, "placement_refused")                                 \
    X(RETRY, "retry")                                                         \
    X(FENCE, "fence")                                                         \
    X(UNKNOWN, "unknown_outcome")                                             \
    X(SILENT, "silent_connection")                                            \
    X(SUSPECT_STOPPED, "suspect_stopped")                                     \
    X(SUSPECT_RELEASED, "suspect_released")                                   \
    X(ELECTED, "elected")                                                     \
    X(STEPPED_DOWN, "stepped_down")                                           \
    X(REPLICA_CAME, "replica_came")                                           \
    X(REPLICA_GONE, "replica_gone")                                           \
    X(CHANGE, "change")                                                       \
    X(IN_FORCE, "in_force")                                                   \
    X(HOLDER_READY, "holder_ready")                                           \
    X(DENIED, "denied")

typedef enum {
#define X(id, name) Tml_##id,
    Tml_KIND_LIST(X)
#undef X
        Tml_KIND_COUNT
} TimelineKind;

/* At most this many events of one kind are recorded in a second; further ones
 * are dropped.  The counters (process/observe/counters.h) include them. */
enum { Tml_MAX_PER_SECOND = 50 };

enum { Tml_RING_EVENTS = 1024, Tml_DETAIL_BYTES = 160 };

typedef struct {
    HlcStamp stamp;
    TimelineKind kind;
    char detail[Tml_DETAIL_BYTES];
    size_t detail_len; /* below Tml_DETAIL_BYTES: longer details are cut */
} TimelineEvent;

typedef struct {
    Logger *logger;
    Hlc clock;
    TimelineEvent ring[Tml_RING_EVENTS];
    /* Wall clock second of the last event of a kind, and how many events of
     * the kind came in that second. */
    int64_t last_second[Tml_KIND_COUNT];
    uint32_t events_in_last_second[Tml_KIND_COUNT];
    uint64_t recorded_count; /* event N is at ring[N % Tml_RING_EVENTS] */
} Timeline;

/* LOGGER also gives the wall clock time, and stays valid as long as the
 * timeline is used. */
void Tml_Init(Timeline *timeline, Logger *logger);

/* Records an event at the current time, with a detail in printf format. */
void Tml_Record(Timeline *timeline, TimelineKind kind, const char *fmt, ...)
    __attribute__((format(printf, 3, 4)));

/* The name of KIND in the log and for operators. */
Str Tml_KindName(TimelineKind kind);

#endif
