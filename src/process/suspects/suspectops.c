#include "process/suspects/suspectops.h"

#include <inttypes.h>

#include "process/operators/opjson.h"
#include "value/json.h"

enum { FINGERPRINT_DIGITS = 16, US_PER_MS = 1000 };

static json_t *
json_fingerprint(uint64_t fingerprint)
{
    StrBuf text = {0};
    json_t *value;

    StrBuf_AppendFmt(&text, "%016" PRIx64, fingerprint);
    value = Opj_Str(StrBuf_View(&text));
    StrBuf_Finish(&text);
    return value;
}

static json_t *
json_crash(const SuspectCrash *crash)
{
    static const Str states[] = {
        [Sus_BLAMED] = Str_LIT("blamed"),
        [Sus_CLEARED] = Str_LIT("cleared"),
        [Sus_FINAL] = Str_LIT("final"),
        [Sus_RELEASED] = Str_LIT("released"),
    };

    return json_pack("{s:o, s:o}", "beside", Opj_Addr(crash->node), "state",
                     Opj_Str(states[crash->state]));
}

static json_t *
json_suspect(const SuspectTable *suspects, const SuspectRequest *suspect,
             Instant now)
{
    static const Str verdicts[] = {
        [Sus_CLEAR] = Str_LIT("clear"),
        [Sus_EXCLUSIVE] = Str_LIT("alone"),
        [Sus_STOPPED] = Str_LIT("stopped"),
    };
    json_t *crashes = json_array();
    Span age = now - suspect->last_crash_at;

    for (uint32_t i = 0; i < suspect->crash_count; i++) {
        json_array_append_new(crashes, json_crash(&suspect->crashes[i]));
    }
    return json_pack(
        "{s:o, s:o, s:o, s:I, s:I}", "fingerprint",
        json_fingerprint(suspect->fingerprint), "verdict",
        Opj_Str(verdicts[Sus_GetVerdict(suspects, suspect->fingerprint, now)]),
        "crashes", crashes, "age_ms", (json_int_t)(age / US_PER_MS),
        "released_in_ms",
        (json_int_t)((suspects->limits.release_after - age) / US_PER_MS));
}

static OperatorAnswer
on_list_suspects(void *context, struct evhttp_request *request, Str body,
                 Instant now)
{
    const SuspectTable *suspects = &((SuspectSync *)context)->table;
    json_t *list = json_array();

    (void)request;
    (void)body;
    for (size_t i = 0; i < suspects->request_count; i++) {
        json_array_append_new(
            list, json_suspect(suspects, &suspects->requests[i], now));
    }
    return (OperatorAnswer){200, json_pack("{s:o}", "suspects", list)};
}

/* Reads 16 lower-case hexadecimal digits; false when TEXT is anything else. */
static bool
parse_fingerprint(Str text, uint64_t *value)
{
    static const Str digits = Str_LIT("0123456789abcdef");

    *value = 0;
    for (size_t i = 0; i < text.len; i++) {
        size_t digit = Str_Find(digits, text.ptr[i]);
        if (digit == digits.len) {
            return false;
        }
        *value = *value << 4 | digit;
    }
    return text.len == FINGERPRINT_DIGITS;
}

static bool
parse_release(Str body, uint64_t *fingerprint, FindingList *findings)
{
    json_t *root = Jsn_Load(body, findings);
    StrBuf text = {0};
    JsonObject o;

    if (!root) {
        return false;
    }
    Jsn_Enter(&o, root, (Str){0}, findings);
    Jsn_GetStr(&o, Str_LIT("fingerprint"), true, &text);
    if (!parse_fingerprint(StrBuf_View(&text), fingerprint)) {
        Jsn_AddFinding(&o, Str_LIT("fingerprint"),
                       Str_LIT("not a fingerprint"),
                       Str_LIT("16 digits as the list has them"));
    }
    Jsn_Leave(&o);
    StrBuf_Finish(&text);
    json_decref(root);
    return findings->count == 0;
}

static OperatorAnswer
on_release_suspect(void *context, struct evhttp_request *request, Str body,
                   Instant now)
{
    SuspectSync *sync = context;
    uint64_t fingerprint = 0;
    FindingList findings;
    StrBuf text = {0};
    OperatorAnswer answer = {200, NULL};

    (void)request;
    Fnd_Init(&findings);
    Fnd_SetFile(&findings, Str_LIT("release"));
    if (!parse_release(body, &fingerprint, &findings)) {
        Fnd_Print(&findings, &text);
        answer = (OperatorAnswer){
            400, Opr_Error(Str_LIT("malformed"), StrBuf_View(&text))};
    }
    else if (Sps_Release(sync, fingerprint, now)) {
        answer.body =
            json_pack("{s:o}", "released", json_fingerprint(fingerprint));
    }
    else {
        answer =
            (OperatorAnswer){404, Opr_Error(Str_LIT("not_blamed"),
                                            Str_LIT("no such suspect here"))};
    }
    StrBuf_Finish(&text);
    Fnd_Finish(&findings);
    return answer;
}

void
Sop_RegisterPaths(SuspectSync *sync, OperatorApi *operator_api)
{
    Opr_AddPath(operator_api, Str_LIT("/v1/suspects"), true, on_list_suspects,
                sync);
    Opr_AddPath(operator_api, Str_LIT("/v1/suspects/release"), true,
                on_release_suspect, sync);
}
