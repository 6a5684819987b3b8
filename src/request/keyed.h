/* Key: one keyed call's dealings with the holders of key registers and with
 * the node of another call's attempt.  It carries out what the claim decider
 * says; the call is told through a KeySink.
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
    bool crosses; /* the node is in the other region */
} KeyPlace;

typedef struct {
    void *context;
    /* Choose where the next attempt goes; false when nobody can run it. */
    bool (*place)(void *context, KeyPlace *place, Instant now);
    /* The attempt placed last may run. */
    void (*run)(void *context, Instant now);
    /* The key's call has ended with ANSWER; the Keyed is finished. */
    void (*answer)(void *context, const AnswerMsg *answer, Instant now);
    /* It ends without an answer; the Keyed is finished. */
    void (*end)(void *context, ClmStep step, Instant now);
} KeySink;

enum { Key_ANSWER_MAX = 4096 }; /* bytes of an answer kept at the holders */

typedef struct Keyed Keyed;

typedef struct {
    Net *net;
    Counters *counters;
    Logger *logger;
    Timeline *timeline;
    const Addr *holders;
    uint32_t holder_count;
    Hsh by_claim;
    Keyed *first;
} KeyHub;

void Key_HubInit(KeyHub *hub, Net *net, Counters *counters, Timeline *timeline,
                 const Addr *holders, size_t holder_count);
void Key_HubFinish(KeyHub *hub);
void Key_HubTick(KeyHub *hub, Instant now);

/* CLAIM names this claim among all; DIGEST its request.  The sink is called
 * before this returns. */
Keyed *Key_Start(KeyHub *hub, AttemptId claim, Str service, Str key,
                 uint64_t digest, Instant deadline, const KeySink *sink,
                 Instant now);

/* The call no longer needs the claim: release what did not run. */
void Key_Cancel(Keyed *keyed, Instant now);

/* The attempt that was let run did not: place another, or none. */
void Key_OnRefused(Keyed *keyed, bool again, Instant now);

/* The attempt ran; ANSWER is NULL when it is too large to keep.  Finishes. */
void Key_OnEnded(Keyed *keyed, const AnswerMsg *answer, Instant now);

#endif
