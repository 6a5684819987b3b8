/* Key: claims idempotency keys for the calls of this ingress node.
 *
 * A ClaimSession carries out the actions of one KeyClaim (claim.h): it
 * exchanges messages with the acceptors of key registers, and with the node of
 * another call's attempt to learn the attempt's fate.  The call starts a
 * session with Key_StartClaim; the session calls its KeyClaimCallbacks, and
 * the call reports back with Key_OnAttemptRefused or Key_OnAttemptEnded.  The
 * ClaimClient holds all sessions of a node.
 */
#ifndef KEYED_H
#define KEYED_H

#include "connection/callmsg.h"
#include "connection/claimmsg.h"
#include "process/net.h"
#include "process/observe/counters.h"
#include "process/observe/timeline.h"
#include "request/claim.h"
#include "value/list.h"

/* The node chosen for the next attempt of a call. */
typedef struct {
    AttemptId attempt; /* id that the attempt gets */
    Addr node;
    uint64_t incarnation; /* of node */
    bool cross_region;    /* the node is in another region */
} AttemptTarget;

/* Callbacks of the call whose key is claimed. */
typedef struct {
    void *context;
    /* Chooses the node of the next attempt and an id for it; false when no
     * node can run it. */
    bool (*choose_target)(void *context, AttemptTarget *target, Instant now);
    /* The attempt of the last choose_target may run. */
    void (*start_attempt)(void *context, Instant now);
    /* A call with the key has ended with ANSWER, which is valid during this
     * function only.  The session is freed. */
    void (*on_answer)(void *context, const StoredAnswer *answer, Instant now);
    /* The claim ended without an answer; RESULT is one of Clm_END_RAN,
     * Clm_END_MISMATCH, Clm_END_NOT_RUN and Clm_END_UNKNOWN.  The session
     * is freed. */
    void (*on_end)(void *context, ClaimAction result, Instant now);
} KeyClaimCallbacks;

/* Longest encoded answer that the acceptors keep. */
enum { Key_ANSWER_BYTES_MAX = 4096 };

/* The claim of one call's key. */
typedef struct ClaimSession ClaimSession;

/* All claim sessions of a node, and what they share. */
typedef struct {
    Net *net;
    Counters *counters;
    Logger *logger;
    Timeline *timeline;
    const Addr *acceptors; /* borrowed */
    uint32_t acceptor_count;
    HashTable sessions_by_claim; /* by the claim's id */
    List sessions;
} ClaimClient;

/* Registers the handlers of Wire_REGISTER_REPLY and Wire_FATE_REPLY at NET.
 * All pointers are borrowed; ACCEPTOR_ADDRS has ADDR_COUNT addresses, in an
 * order that stays the same. */
void Key_InitClient(ClaimClient *client, Net *net, Counters *counters,
                    Timeline *timeline, const Addr *acceptor_addrs,
                    size_t addr_count);

/* Frees all sessions without calling back. */
void Key_FinishClient(ClaimClient *client);

/* Checks the timeouts of all sessions; call it regularly. */
void Key_Tick(ClaimClient *client, Instant now);

/* Claims KEY within SERVICE for one call.  CLAIM identifies the claim in the
 * whole fleet; FINGERPRINT is that of the request.  The claim ends as unknown
 * at DEADLINE.  CALLBACKS is copied, and its choose_target is called before
 * this function returns. */
ClaimSession *Key_StartClaim(ClaimClient *client, AttemptId claim, Str service,
                             Str key, uint64_t fingerprint, Instant deadline,
                             const KeyClaimCallbacks *callbacks, Instant now);

/* Ends the claim without a callback and frees SESSION.  Unless an attempt was
 * granted, reports to the acceptors that this call's attempts never run. */
void Key_CancelClaim(ClaimSession *session, Instant now);

/* The granted attempt was refused and never ran.  With RETRY another node
 * is chosen; otherwise the claim only settles the attempts of other calls,
 * and ends.  SESSION may be freed. */
void Key_OnAttemptRefused(ClaimSession *session, bool retry, Instant now);

/* The granted attempt ran.  Reports that to the acceptors, with ANSWER unless
 * it is NULL (too large to keep), and frees SESSION. */
void Key_OnAttemptEnded(ClaimSession *session, const StoredAnswer *answer,
                        Instant now);

#endif
