#include "process/observe/statusapi.h"

#include <event2/keyvalq_struct.h>
#include <inttypes.h>

#include "process/operators/opjson.h"

static json_t *
json_domain(const Settings *settings, uint16_t number)
{
    return number < settings->domain_count
               ? Opj_Str(StrBuf_View(&settings->domains[number].name))
               : json_null();
}

/* The configuration version of the member is left out: this node's table may
 * have an old one, and /v1/versions has the current one. */
static json_t *
json_member(const Settings *settings, const MemberRow *row, Instant now)
{
    const MemberRecord *record = &row->record;
    json_t *member = json_pack(
        "{s:o, s:o, s:o, s:o, s:b, s:b, s:b, s:b, s:b}", "node",
        Opj_Addr(record->node), "operators", Opj_Addr(record->operator_addr),
        "failure_domain", json_domain(settings, record->domain), "service",
        Opj_Str(StrBuf_View(&record->service)), "control", record->is_replica,
        "gone", row->is_removed, "leaving", record->is_leaving, "backend",
        record->has_backend, "draining", record->load.draining);

    json_object_set_new(member, "slots", json_integer(record->load.slots));
    json_object_set_new(member, "running", json_integer(record->load.running));
    json_object_set_new(member, "queued", json_integer(record->load.queued));
    json_object_set_new(member, "age_ms",
                        json_integer((now - row->heard_at) / 1000));
    return member;
}

static OperatorAnswer
show_status(void *context, struct evhttp_request *request, Str body,
            Instant now)
{
    const StatusApi *api = context;
    const MembershipTable *membership = &api->members->membership;
    const SharedPreset *in_force = api->dispatcher->in_force;
    json_t *list = json_array();

    (void)request;
    (void)body;
    for (size_t i = 0; i < membership->count; i++) {
        json_array_append_new(
            list, json_member(api->settings, &membership->rows[i], now));
    }
    return (OperatorAnswer){
        200, json_pack("{s:o, s:o, s:o, s:o, s:o}", "name",
                       Opj_Str(StrBuf_View(&api->settings->name)), "node",
                       Opj_Addr(api->settings->address), "preset",
                       Opj_Str(StrBuf_View(&in_force->preset.name)), "version",
                       Opj_Version(in_force->version), "members", list)};
}

/* Sets *VALUE to the query parameter NAME, or to FALLBACK if it is absent.
 * Returns false if it is not a number. */
static bool
read_query_number(struct evhttp_request *request, const char *name,
                  uint64_t fallback, uint64_t *value)
{
    const char *query =
        evhttp_uri_get_query(evhttp_request_get_evhttp_uri(request));
    struct evkeyvalq fields;
    Str text;
    bool good = true;

    *value = fallback;
    if (!query || evhttp_parse_query_str(query, &fields)) {
        return true;
    }
    text = Str_FromC(evhttp_find_header(&fields, name));
    if (text.len) {
        good = Str_ToU64(text, value);
    }
    evhttp_clear_headers(&fields);
    return good;
}

static json_t *
json_event(const TimelineEvent *event)
{
    StrBuf stamp = {0};
    json_t *value;

    /* A string, because many JSON parsers keep numbers as doubles, which have
     * too few digits for a stamp. */
    StrBuf_AppendFmt(&stamp, "%" PRIu64, event->stamp);
    value = json_pack("{s:o, s:I, s:o, s:o}", "stamp",
                      Opj_Str(StrBuf_View(&stamp)), "time_ms",
                      (json_int_t)Hlc_WallMs(event->stamp), "kind",
                      Opj_Str(Tml_KindName(event->kind)), "detail",
                      Opj_Str(Str_From(event->detail, event->detail_len)));
    StrBuf_Finish(&stamp);
    return value;
}

/* Returns the number of the first event to show: the oldest after SINCE, or,
 * if SINCE is 0, the first of the last LIMIT events.  Events are counted from
 * the start of the process, and the ring has the last Tml_RING_EVENTS. */
static uint64_t
find_first_event(const Timeline *timeline, uint64_t since, uint64_t limit)
{
    uint64_t count = timeline->recorded_count;
    uint64_t first = count > Tml_RING_EVENTS ? count - Tml_RING_EVENTS : 0;

    if (since == 0) {
        return count - first > limit ? count - limit : first;
    }
    while (first < count &&
           timeline->ring[first % Tml_RING_EVENTS].stamp <= since) {
        first++;
    }
    return first;
}

static OperatorAnswer
show_timeline(void *context, struct evhttp_request *request, Str body,
              Instant now)
{
    const StatusApi *api = context;
    const Timeline *timeline = api->timeline;
    json_t *list;
    uint64_t since;
    uint64_t limit;
    uint64_t next;

    (void)body;
    (void)now;
    if (!read_query_number(request, "since", 0, &since) ||
        !read_query_number(request, "limit", Statusapi_EVENTS_DEFAULT,
                           &limit) ||
        limit == 0 || limit > Statusapi_EVENTS_MAX) {
        return (OperatorAnswer){
            400, Opr_Error(Str_LIT("malformed"),
                           Str_LIT("since is a stamp, limit 1 to 1024"))};
    }
    list = json_array();
    next = find_first_event(timeline, since, limit);
    for (; next < timeline->recorded_count && limit; next++, limit--) {
        json_array_append_new(
            list, json_event(&timeline->ring[next % Tml_RING_EVENTS]));
    }
    return (OperatorAnswer){
        200, json_pack("{s:o, s:o, s:b}", "name",
                       Opj_Str(StrBuf_View(&api->settings->name)), "events",
                       list, "more", next < timeline->recorded_count)};
}

static uint64_t
count_members(const MembershipTable *membership)
{
    uint64_t count = 0;

    for (size_t i = 0; i < membership->count; i++) {
        count += !membership->rows[i].is_removed;
    }
    return count;
}

static void
print_gauges(const StatusApi *api, StrBuf *out)
{
    LoopUsage usage = Loop_Usage();

    Cnt_PrintGauge(out, Str_LIT("calls_in_flight"),
                   Str_LIT("Calls being served to callers"),
                   api->dispatcher->calls.count);
    Cnt_PrintGauge(out, Str_LIT("runs_in_flight"),
                   Str_LIT("Attempts waiting or running at this node"),
                   api->runner->attempts.count);
    Cnt_PrintGauge(out, Str_LIT("suspects"),
                   Str_LIT("Requests blamed for a loss of a backend server"),
                   Sus_CountBlamed(&api->suspects->table));
    Cnt_PrintGauge(out, Str_LIT("suspects_stopped"),
                   Str_LIT("Of these, refused until their release"),
                   Sus_CountStopped(&api->suspects->table));
    Cnt_PrintGauge(out, Str_LIT("members"), Str_LIT("Nodes known"),
                   count_members(&api->members->membership));
    Cnt_PrintGauge(out, Str_LIT("node_connections"),
                   Str_LIT("Connections opened to other nodes"),
                   api->members->net->peer_count);
    Cnt_PrintGauge(out, Str_LIT("memory_kept_bytes"),
                   Str_LIT("Kept for callers, nodes and operators"),
                   api->runner->budget->used);
    Cnt_PrintGauge(out, Str_LIT("memory_budget_bytes"),
                   Str_LIT("Of these, the most that may be kept"),
                   api->runner->budget->max);
    Cnt_PrintGauge(out, Str_LIT("resident_bytes"), Str_LIT("Memory in use"),
                   usage.resident_bytes);
    Cnt_PrintGauge(out, Str_LIT("cpu_us"),
                   Str_LIT("Processor time of the process, us"),
                   (uint64_t)usage.cpu_us);
}

static OperatorAnswer
show_metrics(void *context, struct evhttp_request *request, Str body,
             Instant now)
{
    const StatusApi *api = context;
    StrBuf text = {0};

    (void)body;
    (void)now;
    Cnt_Print(api->counters, &text);
    Lat_Print(api->latencies, &text);
    print_gauges(api, &text);
    Opr_AnswerText(request, Str_LIT("text/plain; version=0.0.4"),
                   StrBuf_View(&text));
    StrBuf_Finish(&text);
    return (OperatorAnswer){0};
}

void
Statusapi_Serve(StatusApi *api, OperatorApi *operator_api)
{
    Opr_AddPath(operator_api, Str_LIT("/v1/status"), true, show_status, api);
    Opr_AddPath(operator_api, Str_LIT("/v1/timeline"), true, show_timeline,
                api);
    Opr_AddPath(operator_api, Str_LIT("/metrics"), false, show_metrics, api);
}
