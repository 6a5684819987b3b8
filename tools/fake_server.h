/* Fak: a fake backend server: requests in slots, effects on file,
 * announcements to the node beside it.
 *
 * Header fields of a request that steer it alone:
 *   X-Fake-Size     bytes of the answer's body
 *   X-Fake-Time-Us  its service time
 *   X-Fake-Status   status of the answer
 *   X-Fake-Crash    the process ends: "before" or "after" the effect
 *   X-Fake-Cut      half of the body goes out, then the connection ends;
 *                   "chunked": of a body in chunks
 *   X-Fake-Chunked  the body goes out in chunks, without Content-Length
 *   X-Fake-Show     the body is "NAME=VALUE" of that header field
 *   X-Fake-Echo     the body is the request's body
 *   X-Fake-Endless  see fake_endless.h
 *   X-Fake-Again    see fake_repeat.h
 * A call tree; these go on to the levels below:
 *   X-Fake-Calls     levels below, called through the node beside it; the
 *                    body has a line "DEPTH DEADLINE-MS" of each level
 *   X-Fake-Last-Path target of the last level
 *   X-Fake-Last      the last level: "fails" with 500, or "hangs-up"
 *   X-Fake-Last-Us   service time of the last level
 *   X-Fake-Below     when the level below failed: "hangs-up"; else 502
 *   X-Fake-Until     microseconds of the monotonic clock: a start later than
 *                    that is counted as overdue
 */
#ifndef FAKE_SERVER_H
#define FAKE_SERVER_H

#include <event2/http.h>

#include "caller.h"
#include "fake_knobs.h"
#include "process/loop.h"
#include "request/field.h"
#include "value/addr.h"

typedef struct FakeWork FakeWork;

typedef struct {
    uint64_t served;
    uint64_t cancelled; /* the caller hung up first */
    uint64_t expired;   /* not started: the deadline had passed */
    uint64_t started;
    uint64_t overdue; /* started after X-Fake-Until */
    uint64_t shed;
    uint64_t failed;
    uint64_t repeated_refusals; /* refusals written once more */
    uint64_t endless_closed;    /* endless answers that the other side ended */
} FakeCounts;

enum { Fak_REFUSALS_MAX = 16 };

/* To be written once more, see fake_repeat.h. */
typedef struct {
    uint16_t peer_port; /* of the other end of its connection; 0: free */
    StrBuf text;
} FakeRefusal;

typedef struct {
    Loop loop;
    FakeKnobs knobs;
    FakeCounts counts;
    Rng rng;
    Instant started_at;
    Str service;
    Addr addr;
    Addr node_operators_addr; /* operators' address of the node beside it */
    Addr node_callers_addr;   /* callers' address there, for call trees */
    uint16_t announced_port;
    int effects_fd; /* descriptor; -1: none */
    struct evhttp *http;
    CallerList callers;
    FakeRefusal refusals[Fak_REFUSALS_MAX];
    FakeWork *first_work; /* oldest first; running or waiting */
    FakeWork *last_work;
    int64_t running_count;
    int64_t waiting_count;
    LoopTimer announce_timer;
} FakeServer;

/* Listen and announce; the members from knobs to effects are set before. */
bool Fak_Init(FakeServer *fake, Err *err);

/* Announce now. */
void Fak_Announce(void *fake, Instant now);

#endif
