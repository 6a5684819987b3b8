/* Qsy: carries asks and grants of credit between the nodes and the grantor,
 * which is the leader of the control replicas.
 *
 * Every node has a QuotaSync.  Calls take credit through it (request/
 * callcredit.c) and are called back when credit has come.  On a control
 * replica it also answers the nodes: with credit, while this replica leads
 * alone (Ctl_LeadsAlone), else with who leads.  A replica that begins to grant
 * tells the nodes that have asked it lately.
 *
 * The node asks the leader that it knows; when that does not answer, one
 * control replica after another.  Without a grantor no call of an account with
 * a limit is sent.
 */
#ifndef QUOTASYNC_H
#define QUOTASYNC_H

#include "connection/quotamsg.h"
#include "process/control/control.h"
#include "process/quota/grantor.h"

enum { Qsy_ASKERS_MAX = 2048 };

/* A node that this control replica could not grant anything to. */
typedef struct {
    Addr node;
    NetOrigin origin;
    Instant asked_at;
} QuotaAsker;

typedef void (*QuotaCreditCallback)(void *context, Instant now);

typedef struct {
    Net *net;
    Counters *counters;
    Logger *logger;
    const Settings *settings;
    const ControlReplica *control;
    QuotaCreditCallback on_credit;
    void *on_credit_context;
    CreditHolder holder;
    Addr leader;         /* is asked; Addr_NONE: not known */
    bool leader_grants;  /* its last answer was a grant */
    size_t next_replica; /* index in settings->replicas */
    Instant waits_since; /* an ask has no answer since then; 0: none waits */
    Instant next_ask_at; /* while no grantor is known */
    /* On a control replica. */
    Grantor grantor;
    Instant reported_at; /* the use of accounts at their limit */
    QuotaAsker *askers;  /* owned */
    size_t asker_count;
} QuotaSync;

/* ON_CREDIT is called after a grant was taken.  All pointers must outlive
 * SYNC. */
void Qsy_Init(QuotaSync *sync, Net *net, Counters *counters, Logger *logger,
              const Settings *settings, const ControlReplica *control);
void Qsy_Finish(QuotaSync *sync);

void Qsy_SetCallback(QuotaSync *sync, QuotaCreditCallback on_credit,
                     void *context);

/* Takes the accounts of the preset in force. */
void Qsy_SetPreset(QuotaSync *sync, const Preset *preset, Instant now);

/* Sends an ask if one is due. */
void Qsy_SendAsk(QuotaSync *sync, Instant now);

/* Whether the last ask was answered with a grant. */
bool Qsy_HasGrantor(const QuotaSync *sync);

void Qsy_Tick(QuotaSync *sync, Instant now);

#endif
