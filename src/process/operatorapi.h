/* Opr: the HTTP front towards operators and the backend server beside the
 * node: announcements, status, counters, and commands that need a key.
 *
 * Modules register their own paths; this one checks the key and answers with
 * JSON.
 */
#ifndef OPERATORAPI_H
#define OPERATORAPI_H

#include <event2/http.h>
#include <jansson.h>

#include "process/counters.h"
#include "process/loop.h"
#include "process/opconns.h"
#include "process/settings.h"
#include "process/timeline.h"

typedef struct {
    int status;   /* of HTTP; 0: answered later by Opr_Answer */
    json_t *body; /* released by Opr; may be NULL */
} OperatorAnswer;

/* REQUEST is kept by who answers later. */
typedef OperatorAnswer (*OperatorHandler)(void *context,
                                          struct evhttp_request *request,
                                          Str body, Instant now);

enum {
    Opr_PATHS_MAX = 24,
    Opr_PENDING_MAX = 64 /* requests that wait for their answer, at most */
};

typedef struct OperatorApi OperatorApi;

typedef struct {
    OperatorApi *api;
    OperatorHandler handler;
    void *context;
    bool needs_key;
} OperatorPath;

struct OperatorApi {
    const Settings *settings;
    Timeline *timeline;
    Counters *counters;
    struct evhttp *http;
    OperatorConnections connections;
    OperatorPath paths[Opr_PATHS_MAX];
    size_t path_count;
    size_t pending_count; /* requests whose handler answers later */
    Instant denied_at;    /* last denial in the time line */
};

bool Opr_Init(OperatorApi *api, Loop *loop, const Settings *settings,
              Timeline *timeline, Counters *counters, Err *err);
void Opr_Finish(OperatorApi *api);

/* Serve PATH; with NEEDS_KEY only for requests that carry the operators'
 * key ("Authorization: Bearer KEY"). */
void Opr_AddPath(OperatorApi *api, Str path, bool needs_key,
                 OperatorHandler handler, void *context);

/* Answer a request whose handler returned status 0.  Takes BODY over. */
void Opr_Answer(struct evhttp_request *request, int status, json_t *body);

/* Answer with TEXT of the given content type; the handler returns 0. */
void Opr_AnswerText(struct evhttp_request *request, Str type, Str text);

/* {"error": CODE, "detail": TEXT} */
json_t *Opr_Error(Str code, Str detail);

#endif
