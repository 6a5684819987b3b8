/* Tml: the time line, typed events of this process in a bounded ring and as
 * log lines, ordered over all processes by a hybrid logical clock.
 */
#ifndef TIMELINE_H
#define TIMELINE_H

#include "process/logger.h"
#include "value/hlc.h"

/* id, name */
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

/* Of one kind in one second; the counters tell of all. */
enum { Tml_MAX_PER_SECOND = 50 };

enum { Tml_RING_EVENTS = 1024, Tml_DETAIL_BYTES = 160 };

typedef struct {
    HlcStamp stamp;
    TimelineKind kind;
    char detail[Tml_DETAIL_BYTES];
    size_t detail_len;
} TimelineEvent;

typedef struct {
    Logger *logger;
    Hlc clock;
    TimelineEvent ring[Tml_RING_EVENTS];
    int64_t last_second[Tml_KIND_COUNT]; /* of the last event of a kind */
    uint32_t
        events_in_last_second[Tml_KIND_COUNT]; /* events of that kind then */
    uint64_t
        recorded_count; /* recorded in all; the ring holds the last of them */
} Timeline;

void Tml_Init(Timeline *timeline, Logger *logger);
void Tml_Record(Timeline *timeline, TimelineKind kind, const char *fmt, ...)
    __attribute__((format(printf, 3, 4)));
Str Tml_KindName(TimelineKind kind);

#endif
