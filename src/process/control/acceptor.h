/* Acc: the acceptor of key registers (process/control/register.h) on a control
 * replica.  It handles the messages of proposers (request/claim.h).  After a
 * restart it reads the registers that it may have lost from the other
 * acceptors before it replies to a proposer.
 *
 * The file "holder" in the data folder records that this acceptor was ready
 * once.  When no acceptor has the file and none has heard of an earlier start
 * of another, the fleet starts for the first time and there is nothing to
 * read.  An acceptor that lost its data folder finds others that have the file
 * or that heard of its earlier start, and catches up as after any restart.
 */
#ifndef ACCEPTOR_H
#define ACCEPTOR_H

#include "process/control/register.h"
#include "process/net.h"
#include "process/observe/counters.h"
#include "process/observe/timeline.h"
#include "version/preset.h"

/* Control replicas in the settings, each with an acceptor. */
enum { Acc_REPLICAS_MAX = 7 };

/* What an acceptor that catches up knows of another acceptor. */
typedef struct {
    uint64_t first_incarnation; /* in its first request; 0: none came */
    bool is_first_start;        /* replied that it is the fleet's first start,
                                 * as far as it knows */
    bool is_fully_read;         /* all its registers were read */
    uint64_t request_number;    /* of the last request to it; 0: none */
    uint32_t next_part;         /* of the reply, expected next */
    Instant last_active_at;     /* last request to it, or last part from it */
} AcceptorPeer;

/* The acceptor of this node, if it runs one (see Acc_Init). */
typedef struct {
    const Settings *settings;
    Net *net;
    Counters *counters;
    Timeline *timeline;
    KeyRegisters registers;
    uint64_t incarnation;   /* of this node */
    bool lacked_ready_file; /* at the start of this process */
    bool has_overflow;      /* registers that were read did not fit: ready only
                             * after the retention */
    AcceptorPeer peers[Acc_REPLICAS_MAX]; /* by index in settings->replicas */
    LoopTimer timer;
} RegisterAcceptor;

/* Starts the acceptor, which then runs on timers and messages.  Starts none on
 * a node that is no control replica, or whose settings have seeds instead of a
 * list of replicas.  LIMITS gives the retention of the registers.  The
 * pointers must stay valid until Acc_Finish, except LIMITS. */
void Acc_Init(RegisterAcceptor *acceptor, Loop *loop, Net *net,
              Counters *counters, Timeline *timeline, const Settings *settings,
              uint64_t incarnation, const PresetLimits *limits);
void Acc_Finish(RegisterAcceptor *acceptor);

/* Whether the acceptor replies to proposers; true on a node without one. */
bool Acc_IsReady(const RegisterAcceptor *acceptor);

/* Applies the limits of the preset that came into force. */
void Acc_SetLimits(RegisterAcceptor *acceptor, const PresetLimits *limits);

#endif
