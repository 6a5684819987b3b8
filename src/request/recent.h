/* Rcn: answers of requests that may be repeated, for a moment after they were
 * sent.
 *
 * The connection over which an answer is on its way may be given up; the
 * ingress node then asks over a new one.  The ledger keeps the answers that
 * must not be lost, for long; these cost room only while somebody may still
 * ask, and the oldest give way to newer ones.
 */
#ifndef RECENT_H
#define RECENT_H

#include "value/addr.h"
#include "value/instant.h"
#include "value/list.h"
#include "value/str.h"

enum {
    Rcn_BYTES_MAX = 1024 * 1024, /* of all answers that are kept */
    Rcn_ANSWER_BYTES_MAX = 65536 /* of one */
};

/* Time for which an answer is kept: the connection over which it was sent is
 * found silent, and the question comes over the next one. */
#define Rcn_RETENTION Span_S(3)

/* All zero: none. */
typedef struct {
    List answers; /* oldest first */
    size_t bytes;
} RecentAnswers;

void Rcn_Finish(RecentAnswers *recent);

/* Keeps a copy of ANSWER, which the caller has encoded, of the attempt ID; not
 * of one that is too long. */
void Rcn_Add(RecentAnswers *recent, AttemptId id, Str answer, Instant now);

/* Drops the answers whose time is over. */
void Rcn_Expire(RecentAnswers *recent, Instant now);

/* Finds the answer of the attempt ID; valid until the next call.  Returns
 * false when it is not kept. */
bool Rcn_Find(const RecentAnswers *recent, AttemptId id, Str *answer);

#endif
