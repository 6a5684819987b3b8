#include "process/replay.h"

#include <inttypes.h>

#include "process/recorder.h"
#include "value/json.h"

typedef struct {
    Adm admission;
    RplResult *result;
    FindingList *findings;
    size_t line;
} Replay;

static void
find(Replay *replay, Str cause, Str expected)
{
    StrBuf place = {0};

    StrBuf_AppendFmt(&place, "line %zu", replay->line);
    Fnd_Add(replay->findings, StrBuf_View(&place), cause, expected);
    StrBuf_Finish(&place);
}

static bool
find_kind(Str name, AdmEventKind *kind)
{
    for (int i = 0; i < Adm_EVENTS; i++) {
        if (Str_Equal(Rec_AdmissionName((AdmEventKind)i), name)) {
            *kind = (AdmEventKind)i;
            return true;
        }
    }
    return false;
}

static bool
read_event(json_t *root, AdmEvent *event)
{
    json_t *name = json_object_get(root, "do");
    json_t *args = json_object_get(root, "args");

    *event = (AdmEvent){0};
    if (!json_is_integer(json_object_get(root, "at")) ||
        !json_is_integer(json_object_get(root, "outcome")) ||
        json_array_size(args) != Adm_ARGS ||
        !find_kind(Str_From(json_string_value(name), json_string_length(name)),
                   &event->kind)) {
        return false;
    }
    event->at = json_integer_value(json_object_get(root, "at"));
    event->outcome = json_integer_value(json_object_get(root, "outcome"));
    for (size_t i = 0; i < Adm_ARGS; i++) {
        event->args[i] = json_integer_value(json_array_get(args, i));
    }
    return true;
}

static void
compare(Replay *replay, const AdmEvent *event)
{
    int64_t outcome = Adm_Replay(&replay->admission, event);
    StrBuf cause = {0};
    StrBuf expected = {0};

    replay->result->events++;
    if (event->kind == Adm_DID_ASK && outcome > Adm_QUEUE) {
        replay->result->refused++;
    }
    if (outcome == event->outcome) {
        return;
    }
    replay->result->differing++;
    StrBuf_AppendFmt(&cause, "%.*s gave %" PRId64,
                     Str_ARG(Rec_AdmissionName(event->kind)), outcome);
    StrBuf_AppendFmt(&expected, "%" PRId64, event->outcome);
    find(replay, StrBuf_View(&cause), StrBuf_View(&expected));
    StrBuf_Finish(&cause);
    StrBuf_Finish(&expected);
}

static bool
is_header(json_t *root)
{
    json_t *decider = json_object_get(root, "decider");

    return json_integer_value(json_object_get(root, "trace")) == Rec_FORMAT &&
           Str_Equal(Str_From(json_string_value(decider),
                              json_string_length(decider)),
                     Str_LIT("admission"));
}

static void
take_line(Replay *replay, Str line)
{
    json_t *root = Jsn_Load(line, replay->findings);
    AdmEvent event;

    if (!root) {
        return;
    }
    if (replay->line == 1) {
        if (!is_header(root)) {
            find(replay, Str_LIT("no such trace"),
                 Str_LIT("trace 1 of the decider admission"));
        }
    }
    else if (read_event(root, &event)) {
        compare(replay, &event);
    }
    else {
        find(replay, Str_LIT("no event"), Str_LIT("at, do, args, outcome"));
    }
    json_decref(root);
}

bool
Rpl_Run(Str text, RplResult *result, FindingList *findings)
{
    size_t before = findings->count;
    AdmSettings settings = {0};
    Replay replay = {.result = result, .findings = findings};

    *result = (RplResult){0};
    Adm_Init(&replay.admission, &settings);
    while (text.len && findings->count == before) {
        size_t end = Str_Find(text, '\n');
        replay.line++;
        take_line(&replay, Str_Slice(text, 0, end));
        text = Str_Slice(text, end + 1, text.len);
    }
    return findings->count == before;
}
