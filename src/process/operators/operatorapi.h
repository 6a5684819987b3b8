/* Opr: the HTTP server for operators and for the backend server beside the
 * node.  It serves announcements, status, counters, and commands that need a
 * key.
 *
 * Other modules add their paths with Opr_AddPath.  This module checks the
 * operators' key, bounds the number of connections and of pending requests,
 * and sends the answers, mostly JSON.
 */
#ifndef OPERATORAPI_H
#define OPERATORAPI_H

#include <event2/http.h>
#include <jansson.h>

#include "process/loop.h"
#include "process/observe/counters.h"
#include "process/observe/timeline.h"
#include "process/operators/opconns.h"
#include "process/settings/settings.h"

/* What a handler returns. */
typedef struct {
    int status;   /* HTTP status; 0: the handler answers by itself, now or
                     later */
    json_t *body; /* released by this module; may be NULL */
} OperatorAnswer;

/* Handles one REQUEST; BODY points into REQUEST.  With status 0 the handler,
 * or code that it hands REQUEST to, calls Opr_Answer or Opr_AnswerText. */
typedef OperatorAnswer (*OperatorHandler)(void *context,
                                          struct evhttp_request *request,
                                          Str body, Instant now);

enum {
    Opr_PATHS_MAX = 32,
    Opr_PENDING_MAX = 64 /* requests that wait for their answers */
};

/* The HTTP server and the paths that it serves. */
typedef struct OperatorApi OperatorApi;

/* A path that is served, and its handler. */
typedef struct {
    OperatorApi *api;
    OperatorHandler handler;
    void *context;
    bool needs_key; /* only requests with the operators' key are handled */
} OperatorPath;

struct OperatorApi {
    const Settings *settings;
    Timeline *timeline;
    Counters *counters;
    struct evhttp *http;
    OperatorConnections connections;
    OperatorPath paths[Opr_PATHS_MAX];
    size_t path_count;
    size_t pending_count; /* requests that wait for their answers */
    Instant denied_at;    /* last denial in the timeline; 0: none */
};

/* Listens at the operators' address of SETTINGS, for CONNECTIONS_MAX
 * connections before requests are refused.  What is kept is counted in BUDGET.
 * The arguments must outlive API.  Returns false with ERR when the address
 * can't be bound; API then needs no Opr_Finish. */
bool Opr_Init(OperatorApi *api, Loop *loop, const Settings *settings,
              Timeline *timeline, Counters *counters, MemoryBudget *budget,
              size_t connections_max, Err *err);

/* Stops listening and closes all connections. */
void Opr_Finish(OperatorApi *api);

/* Serves PATH: HANDLER is called with CONTEXT for each request.  With
 * NEEDS_KEY it is called only for requests that carry the operators' key
 * ("Authorization: Bearer KEY"), unless the settings require no key.  At most
 * Opr_PATHS_MAX paths may be added. */
void Opr_AddPath(OperatorApi *api, Str path, bool needs_key,
                 OperatorHandler handler, void *context);

/* Answers a request whose handler returned status 0.  STATUS is the HTTP
 * status.  Releases BODY, which may be NULL for an answer without a body. */
void Opr_Answer(struct evhttp_request *request, int status, json_t *body);

/* Like Opr_Answer, with status 200 and TEXT, whose content type is TYPE. */
void Opr_AnswerText(struct evhttp_request *request, Str type, Str text);

/* Returns a new {"error": CODE, "detail": DETAIL} as the body of an answer. */
json_t *Opr_Error(Str code, Str detail);

#endif
