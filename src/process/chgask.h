/* Chg, from within: one operators' request that waits for the leader, for the
 * files that serve its kinds.
 */
#ifndef CHGASK_H
#define CHGASK_H

#include "connection/configmsg.h"
#include "process/changes.h"

typedef enum {
    Chg_ASK_PRESETS,
    Chg_ASK_PRESET,
    Chg_ASK_ROUTING,
    Chg_ASK_VERSIONS,
    Chg_ASK_CHANGE
} ChgKind;

struct ChgAsk {
    ChgAsk *next;
    Changes *changes;
    struct evhttp_request *request;
    ChgKind kind;
    uint64_t number;
    StrBuf name;
    StrBuf id; /* of a change, as what follows */
    StrBuf json;
    CfgVerb verb;
    CfgVersion base;
    Addr target;  /* asked last */
    bool leads;   /* and said that it leads */
    uint32_t out; /* changes sent and not answered */
    Instant again_at;
    Instant deadline;
};

/* A request that is answered by Chg_End. */
ChgAsk *Chg_Start(Changes *changes, struct evhttp_request *request,
                  ChgKind kind, Instant now);
void Chg_End(ChgAsk *ask, OprAnswer answer);

/* Begin, or go on, to look for the leader that can answer. */
void Chg_LookForLeader(ChgAsk *ask, Instant now);

/* Serve the routing's paths (chgrouting.c). */
void Chg_ServeRouting(Changes *changes, Opr *opr);

/* A routing read from the leader's answer. */
OprAnswer Chg_RoutingOf(const PresetsMsg *msg);

/* What became of a revision. */
OprAnswer Chg_RevisionOf(const ChangedMsg *msg);

#endif
