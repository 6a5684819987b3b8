/* Chg, from within: one operators' request that waits for the leader, for the
 * files that serve its kinds.
 */
#ifndef CONFIGAPI_REQUEST_H
#define CONFIGAPI_REQUEST_H

#include "connection/configmsg.h"
#include "process/configapi.h"

typedef enum {
    Configapi_LIST_PRESETS,
    Configapi_GET_PRESET,
    Configapi_GET_ROUTING,
    Configapi_LIST_VERSIONS,
    Configapi_CHANGE
} ConfigRequestKind;

struct ConfigRequest {
    ConfigRequest *next;
    ConfigApi *api;
    struct evhttp_request *http_request;
    ConfigRequestKind kind;
    uint64_t number;
    StrBuf preset_name;
    StrBuf change_id; /* of a change, as what follows */
    StrBuf change_json;
    CfgVerb verb;
    CfgVersion base_version;
    Addr replica;                /* asked last */
    bool replica_is_leader;      /* and said that it leads */
    uint32_t unanswered_changes; /* changes sent and not answered */
    Instant retry_at;
    Instant deadline;
};

/* A request that is answered by Configapi_EndRequest. */
ConfigRequest *Configapi_BeginRequest(ConfigApi *changes,
                                      struct evhttp_request *request,
                                      ConfigRequestKind kind, Instant now);
void Configapi_EndRequest(ConfigRequest *ask, OprAnswer answer);

/* Begin, or go on, to look for the leader that can answer. */
void Configapi_QueryNextReplica(ConfigRequest *ask, Instant now);

/* Serve the routing's paths (chgrouting.c). */
void Configapi_ServeRouting(ConfigApi *changes, Opr *opr);

/* A routing read from the leader's answer. */
OprAnswer Configapi_RoutingAnswer(const PresetsMsg *msg);

/* What became of a revision. */
OprAnswer Configapi_RevisionAnswer(const ChangedMsg *msg);

#endif
