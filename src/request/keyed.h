/* Key: one keyed call's dealings with the holders of key registers and with
 * the node of another call's attempt.  It carries out what the claim decider
 * says; the call is told through a KeyClaimCallbacks.
 */
#ifndef KEYED_H
#define KEYED_H

#include "connection/callmsg.h"
#include "connection/claimmsg.h"
#include "process/counters.h"
#include "process/net.h"
#include "process/timeline.h"
#include "request/claim.h"

typedef struct {
    AttemptId attempt;
    Addr node;
    uint64_t incarnation;
    bool cross_region; /* the node is in the other region */
} AttemptTarget;

typedef struct {
    void *context;
    /* Choose where the next attempt goes; false when nobody can run it. */
    bool (*choose_target)(void *context, AttemptTarget *place, Instant now);
    /* The attempt placed last may run. */
    void (*start_attempt)(void *context, Instant now);
    /* The key's call has ended with ANSWER; the Keyed is finished. */
    void (*on_answer)(void *context, const AnswerMsg *answer, Instant now);
    /* It ends without an answer; the Keyed is finished. */
    void (*on_end)(void *context, ClaimAction step, Instant now);
} KeyClaimCallbacks;

enum {
    Key_ANSWER_BYTES_MAX = 4096
}; /* bytes of an answer kept at the holders */

typedef struct ClaimSession ClaimSession;

typedef struct {
    Net *net;
    Counters *counters;
    Logger *logger;
    Timeline *timeline;
    const Addr *acceptors;
    uint32_t acceptor_count;
    Hsh sessions_by_claim;
    ClaimSession *first_session;
} ClaimClient;

void Key_InitClient(ClaimClient *hub, Net *net, Counters *counters,
                    Timeline *timeline, const Addr *holders,
                    size_t holder_count);
void Key_FinishClient(ClaimClient *hub);
void Key_Tick(ClaimClient *hub, Instant now);

/* CLAIM names this claim among all; DIGEST its request.  The sink is called
 * before this returns. */
ClaimSession *Key_StartClaim(ClaimClient *hub, AttemptId claim, Str service,
                             Str key, uint64_t digest, Instant deadline,
                             const KeyClaimCallbacks *sink, Instant now);

/* The call no longer needs the claim: release what did not run. */
void Key_CancelClaim(ClaimSession *keyed, Instant now);

/* The attempt that was let run did not: place another, or none. */
void Key_OnAttemptRefused(ClaimSession *keyed, bool again, Instant now);

/* The attempt ran; ANSWER is NULL when it is too large to keep.  Finishes. */
void Key_OnAttemptEnded(ClaimSession *keyed, const AnswerMsg *answer,
                        Instant now);

#endif
