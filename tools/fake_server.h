/* Fak: a fake backend server for tests and measurements.
 *
 * It runs requests in a limited number of slots, appends a line to a file for
 * each effect, and announces itself to the node beside it.
 *
 * Header fields of a request that control this request alone:
 *   X-Fake-Size     bytes of the answer's body
 *   X-Fake-Time-Us  its service time, before the knob slow
 *   X-Fake-Status   status of the answer
 *   X-Fake-Crash    the process ends: "before" or "after" the effect, or
 *                   later than its connections, see fake_work.c
 *   X-Fake-Cut      half of the body is sent, then the connection ends;
 *                   "chunked": half of a body in chunks; "head": a part of
 *                   the head
 *   X-Fake-Cut-After  that many bytes of the answer are sent, then the
 *                   connection ends; chunked as X-Fake-Chunked says
 *   X-Fake-Line     first line of such an answer
 *   X-Fake-Fields   further fields of it: X-Barn-1 to X-Barn-N
 *   X-Fake-Chunked  the body is sent in chunks, without Content-Length
 *   X-Fake-Show     the body is "NAME=VALUE" of the header field named here
 *   X-Fake-Echo     the body is the request's body
 *   X-Fake-Endless  see fake_endless.h
 *   X-Fake-Again    see fake_repeat.h
 * Header fields of a call tree, passed on to the levels below:
 *   X-Fake-Calls     number of levels below, called through the node beside
 *                    this server; the body has a line "DEPTH DEADLINE-MS" for
 *                    each level
 *   X-Fake-Last-Path request target of the last level
 *   X-Fake-Last      the last level: "fails" with 500, or "hangs-up"
 *   X-Fake-Last-Us   service time of the last level
 *   X-Fake-Below     if the level below fails: "hangs-up"; else answers 502
 *   X-Fake-Until     microseconds of the monotonic clock: a start later than
 *                    this is counted as overdue
 */
#ifndef FAKE_SERVER_H
#define FAKE_SERVER_H

#include <event2/http.h>

#include "caller.h"
#include "fake_knobs.h"
#include "process/loop.h"
#include "request/field.h"
#include "value/addr.h"

/* A request that runs or waits for a slot; see fake_work.h. */
typedef struct FakeWork FakeWork;

/* Requests counted since the start; GET /fake/counts shows them. */
typedef struct {
    uint64_t served;
    uint64_t cancelled; /* the caller hung up before the answer */
    uint64_t expired;   /* not started: the deadline had passed */
    uint64_t started;
    uint64_t overdue; /* started after X-Fake-Until */
    uint64_t shed;    /* refused while draining or full, or by X-Fake-Again */
    uint64_t failed;  /* by the knob fail, or in a call tree */
    uint64_t repeated_refusals; /* refusals written a second time */
    uint64_t endless_closed;    /* endless answers that the other side ended */
} FakeCounts;

enum { Fak_REFUSALS_MAX = 16 };

/* A refusal to be written a second time; see fake_repeat.h. */
typedef struct {
    uint16_t peer_port; /* identifies the connection; 0: entry is free */
    StrBuf text;
} FakeRefusal;

typedef struct {
    Loop loop;
    FakeKnobs knobs;
    FakeCounts counts;
    Rng rng;
    Instant started_at;
    Str service;
    Addr addr;                /* to listen on */
    Addr node_operators_addr; /* of the node beside it, for announcements */
    Addr node_callers_addr;   /* of that node, for call trees */
    uint16_t announced_port;
    int effects_fd; /* -1: effects are not written */
    struct evhttp *http;
    CallerList callers;
    FakeRefusal refusals[Fak_REFUSALS_MAX];
    FakeWork *first_work; /* oldest first; running or waiting */
    FakeWork *last_work;
    int64_t running_count;
    int64_t waiting_count;
    LoopTimer announce_timer;
} FakeServer;

/* Starts to listen and to announce.  The members from knobs to effects_fd are
 * set before, except for counts and started_at; the rest is zero.  Returns
 * false and sets ERR on failure. */
bool Fak_Init(FakeServer *fake, Err *err);

/* Sends an announcement at once.  FAKE is a FakeServer; the signature is that
 * of LoopTick. */
void Fak_Announce(void *fake, Instant now);

#endif
