#include <event2/keyvalq_struct.h>

#include "process/control/configapi_request.h"
#include "process/control/configjson.h"

OperatorAnswer
Configapi_EvacuationAnswer(const ConfigChangeReplyMessage *msg)
{
    if (msg->result.outcome == Cfg_CONFLICT) {
        /* A sender who means it sends it again; this node knows the other
         * order by then. */
        return (OperatorAnswer){
            503, Configjson_Outcome(Str_LIT("late"),
                                    Str_LIT("a later order about this failure "
                                            "domain was accepted"))};
    }
    return Configjson_ChangeAnswer(msg);
}

static void
read_domain(struct evhttp_request *request, StrBuf *domain)
{
    const char *query =
        evhttp_uri_get_query(evhttp_request_get_evhttp_uri(request));
    struct evkeyvalq fields;

    if (query && evhttp_parse_query_str(query, &fields) == 0) {
        StrBuf_Set(domain, Str_FromC(evhttp_find_header(&fields, "domain")));
        evhttp_clear_headers(&fields);
    }
}

static bool
is_domain(const Settings *settings, Str name)
{
    for (size_t i = 0; i < settings->domain_count; i++) {
        if (Str_Equal(StrBuf_View(&settings->domains[i].name), name)) {
            return name.len <= Cfg_NAME_BYTES_MAX;
        }
    }
    return false;
}

static OperatorAnswer
begin_order(ConfigApi *api, struct evhttp_request *request, ConfigVerb verb,
            Instant now)
{
    ConfigRequest *pending;
    StrBuf domain = {0};

    if (evhttp_request_get_command(request) != EVHTTP_REQ_POST) {
        return (OperatorAnswer){
            405, Configjson_Outcome(Str_LIT("refused"), Str_LIT("a POST"))};
    }
    read_domain(request, &domain);
    if (!is_domain(api->settings, StrBuf_View(&domain))) {
        StrBuf_Finish(&domain);
        return (OperatorAnswer){
            404, Configjson_Outcome(Str_LIT("refused"),
                                    Str_LIT("domain: the name of a failure "
                                            "domain of the settings"))};
    }
    pending = Configapi_BeginRequest(api, request, Configapi_EVACUATE, now);
    pending->verb = verb;
    pending->preset_name = domain;
    pending->base_version = api->version_follower->newest_heard;
    Configapi_QueryNextReplica(pending, now);
    return (OperatorAnswer){0};
}

static OperatorAnswer
on_start(void *context, struct evhttp_request *request, Str body, Instant now)
{
    (void)body;
    return begin_order(context, request, Cfg_START_EVACUATION, now);
}

static OperatorAnswer
on_end(void *context, struct evhttp_request *request, Str body, Instant now)
{
    (void)body;
    return begin_order(context, request, Cfg_END_EVACUATION, now);
}

void
Configapi_ServeEvacuations(ConfigApi *api, OperatorApi *opr)
{
    Opr_AddPath(opr, Str_LIT("/v1/evacuations/start"), true, on_start, api);
    Opr_AddPath(opr, Str_LIT("/v1/evacuations/end"), true, on_end, api);
}
