/* One operator request that waits for the control replicas; only for the
 * files of Configapi.
 *
 * An HTTP handler calls Configapi_BeginRequest, sets the members that its kind
 * needs, and calls Configapi_QueryNextReplica.  The answer of the leader, or
 * the deadline, leads to Configapi_EndRequest.
 */
#ifndef CONFIGAPI_REQUEST_H
#define CONFIGAPI_REQUEST_H

#include "connection/configmsg.h"
#include "process/control/configapi.h"

/* What the operator requested. */
typedef enum {
    Configapi_LIST_PRESETS,   /* /v1/presets */
    Configapi_GET_PRESET,     /* /v1/presets/show */
    Configapi_GET_ROUTING,    /* /v1/routing/read */
    Configapi_LIST_VERSIONS,  /* /v1/versions; only the leader answers */
    Configapi_CHANGE,         /* /v1/change; only the leader answers */
    Configapi_CHANGE_ROUTING, /* /v1/routing/put and /patch; likewise */
    Configapi_EVACUATE        /* /v1/evacuations/start and /end; likewise */
} ConfigRequestKind;

struct ConfigRequest {
    ConfigRequest *next; /* in api->requests */
    ConfigApi *api;
    struct evhttp_request *http_request; /* to be answered */
    ConfigRequestKind kind;
    uint64_t number; /* names the request in messages; unique in the process */
    StrBuf preset_name; /* of Configapi_GET_PRESET and of /v1/change; of
                           Configapi_EVACUATE the failure domain */
    StrBuf change_id;   /* of changes, and so the next three */
    StrBuf change_json; /* the preset, or the revision of the routing */
    ConfigVerb verb;
    ConfigVersion base_version; /* the version that the change builds on */
    Addr replica;               /* queried last; Addr_NONE: none yet */
    bool replica_is_leader; /* it reported so, and the change was sent to it */
    uint32_t unanswered_changes; /* times that the change was sent, without
                                    those that a replica declined */
    Instant retry_at;            /* another replica is queried then */
    Instant began_at;
    Span patience; /* the request ends so long after it began, without an
                      outcome; later if a change was sent */
};

/* Adds a request, which waits until Configapi_EndRequest answers it. */
ConfigRequest *Configapi_BeginRequest(ConfigApi *api,
                                      struct evhttp_request *request,
                                      ConfigRequestKind kind, Instant now);

/* Answers the HTTP request with ANSWER, takes over its body, and frees
 * PENDING. */
void Configapi_EndRequest(ConfigRequest *pending, OperatorAnswer answer);

/* Chooses the next replica that may be able to answer, and queries it.  If
 * none answers, this is called again at retry_at, until the deadline. */
void Configapi_QueryNextReplica(ConfigRequest *pending, Instant now);

/* Registers /v1/routing/put, /v1/routing/patch and /v1/routing/read
 * (configapi_routing.c). */
void Configapi_ServeRouting(ConfigApi *api, OperatorApi *opr);

/* The routing of the preset in force, which MSG holds; 503 when it has
 * none. */
OperatorAnswer Configapi_RoutingAnswer(const PresetsReplyMessage *msg);

/* The outcome of a revision of the routing, with its HTTP status. */
OperatorAnswer Configapi_RevisionAnswer(const ConfigChangeReplyMessage *msg);

/* Registers /v1/evacuations/start and /v1/evacuations/end
 * (configapi_evacuation.c). */
void Configapi_ServeEvacuations(ConfigApi *api, OperatorApi *opr);

/* The outcome of an order about an evacuation, with its HTTP status. */
OperatorAnswer Configapi_EvacuationAnswer(const ConfigChangeReplyMessage *msg);

#endif
