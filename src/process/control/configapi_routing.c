#include <inttypes.h>

#include "process/control/configapi_request.h"
#include "process/control/configjson.h"
#include "value/hash.h"
#include "version/routing.h"

OperatorAnswer
Configapi_RoutingAnswer(const PresetsReplyMessage *msg)
{
    json_t *routing = Rtg_Get(msg->json);

    if (!routing) {
        return (OperatorAnswer){503,
                                Opr_Error(Str_LIT("no_routing"),
                                          Str_LIT("none was accepted yet"))};
    }
    return (OperatorAnswer){200, routing};
}

OperatorAnswer
Configapi_RevisionAnswer(const ConfigChangeReplyMessage *msg)
{
    OperatorAnswer answer = Configjson_ChangeAnswer(msg);

    if (msg->result.outcome == Cfg_CONFLICT) {
        answer.status = 412; /* If-Match names another revision */
    }
    return answer;
}

/* Derives the change id from the content, so that the same change sent again,
 * to any node, has the same id. */
static void
make_change_id(ConfigRequest *pending)
{
    uint64_t parts[] = {pending->verb, pending->base_version.index,
                        Str_Hash(StrBuf_View(&pending->change_json)),
                        pending->change_json.len};

    StrBuf_AppendFmt(&pending->change_id,
                     "routing-%" PRIu64 "-%016" PRIx64 "%016" PRIx64,
                     pending->base_version.index, parts[2],
                     Str_Hash(Str_From((const char *)parts, sizeof parts)));
}

/* Reads from If-Match the revision that the change builds on: a number, with
 * or without quotes. */
static bool
read_if_match(struct evhttp_request *request, uint64_t *revision)
{
    Str text = Str_Trim(Str_FromC(evhttp_find_header(
        evhttp_request_get_input_headers(request), "If-Match")));

    if (text.len >= 2 && text.ptr[0] == '"') {
        text = Str_Slice(text, 1, text.len - 2);
    }
    return Str_ToU64(text, revision);
}

static OperatorAnswer
begin_revision(ConfigApi *api, struct evhttp_request *request, Str body,
               ConfigVerb verb, Instant now)
{
    uint64_t base;
    ConfigRequest *pending;

    if (!read_if_match(request, &base)) {
        return (OperatorAnswer){
            400, Configjson_Outcome(Str_LIT("refused"),
                                    Str_LIT("If-Match: the revision that "
                                            "this one builds on"))};
    }
    if (body.len > Cfg_JSON_BYTES_MAX) {
        return (OperatorAnswer){
            413, Configjson_Outcome(Str_LIT("refused"),
                                    Str_LIT("over 524288 bytes"))};
    }
    pending =
        Configapi_BeginRequest(api, request, Configapi_CHANGE_ROUTING, now);
    pending->verb = verb;
    pending->base_version.index = base;
    StrBuf_Set(&pending->change_json, body);
    make_change_id(pending);
    Configapi_QueryNextReplica(pending, now);
    return (OperatorAnswer){0};
}

static OperatorAnswer
on_put(void *context, struct evhttp_request *request, Str body, Instant now)
{
    return begin_revision(context, request, body, Cfg_REPLACE_ROUTING, now);
}

static OperatorAnswer
on_patch(void *context, struct evhttp_request *request, Str body, Instant now)
{
    return begin_revision(context, request, body, Cfg_PATCH_ROUTING, now);
}

static OperatorAnswer
on_read(void *context, struct evhttp_request *request, Str body, Instant now)
{
    (void)body;
    Configapi_QueryNextReplica(
        Configapi_BeginRequest(context, request, Configapi_GET_ROUTING, now),
        now);
    return (OperatorAnswer){0};
}

void
Configapi_ServeRouting(ConfigApi *api, OperatorApi *opr)
{
    Opr_AddPath(opr, Str_LIT("/v1/routing/put"), true, on_put, api);
    Opr_AddPath(opr, Str_LIT("/v1/routing/patch"), true, on_patch, api);
    Opr_AddPath(opr, Str_LIT("/v1/routing/read"), true, on_read, api);
}
