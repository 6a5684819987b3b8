/* Sil: decides whether a request without an answer was lost with its
 * connection, so that it is to be sent again over a new one, or whether the
 * backend server is slow.
 *
 * Time alone can't tell the two apart.  A SilenceWatch compares requests of
 * one kind: when one that was sent later was answered much sooner, the
 * connection is silent; when some took about as long lately, or one over a new
 * connection is unanswered as well, the backend server is slow.  Without
 * either, one request is sent again, and its answer decides about the others.
 *
 * The caller reports what it sends and receives.  Internal requests, which are
 * no work, are not reported.
 */
#ifndef SILENCE_H
#define SILENCE_H

#include <stdbool.h>
#include <stdint.h>

#include "value/instant.h"

enum { Sil_KINDS = 8 }; /* larger numbers of kinds count as the largest */

typedef struct {
    uint32_t new_running; /* over a connection without an earlier answer, and
                             not answered */
    Instant sent_at;      /* of the answered request that was sent last */
    Span took;            /* until its answer; 0: none was answered */
    Instant period_began; /* periods in which longest answers are kept */
    Span longest;         /* in this period */
    Span longest_before;  /* in the period before */
    bool was_late;        /* the last answer came as late as one that may be
                             lost */
} SilenceKind;

/* The evidence of one backend server.  Initialize with zeros. */
typedef struct {
    SilenceKind kinds[Sil_KINDS];
    uint32_t suspected; /* requests that may have been lost, of all kinds */
} SilenceWatch;

/* A request that may have been lost. */
typedef struct {
    uint32_t kind;
    Instant sent_at;
    bool is_unacknowledged; /* the other host doesn't confirm its bytes */
} UnansweredRequest;

/* A request was sent over a connection without an earlier answer, or is no
 * longer awaited there: it was answered, ended or sent elsewhere. */
void Sil_OnNewSend(SilenceWatch *watch, uint32_t kind);
void Sil_OnNewEnd(SilenceWatch *watch, uint32_t kind);

/* A request was answered, and not turned away.  PATIENCE: after this time
 * without an answer it may have been lost; 0: it is never sent again. */
void Sil_OnAnswer(SilenceWatch *watch, uint32_t kind, Instant sent_at,
                  Span patience, Instant now);

/* The backend server is another one: forgets its answers. */
void Sil_OnNewServer(SilenceWatch *watch);

typedef enum {
    Sil_WAIT, /* nothing shows that it was lost: ask again later */
    Sil_TRY,  /* none but its own repetition can tell; it may still run */
    Sil_LOST  /* the request or its answer was lost: it runs no more */
} SilenceVerdict;

SilenceVerdict Sil_Decide(const SilenceWatch *watch,
                          const UnansweredRequest *request, Instant now);

#endif
