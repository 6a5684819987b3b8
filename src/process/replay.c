#include "process/replay.h"

#include <inttypes.h>
#include <string.h>

#include "process/admission.h"
#include "process/ledger.h"
#include "process/recorder.h"
#include "value/json.h"

enum { ARGS_MAX = Led_EVENT_ARGS };

_Static_assert((int)Adm_EVENT_ARGS <= (int)ARGS_MAX, "room for all");

typedef struct {
    int kind;
    Instant at;
    int64_t args[ARGS_MAX];
    int64_t outcome;
} Event;

/* How one decider is replayed; the context is the decider. */
typedef struct {
    Str name;
    size_t args;
    int events;
    Str (*event_name)(int kind);
    int64_t (*feed)(void *context, const Event *event);
    bool (*refuses)(const Event *event);
} Decider;

typedef struct {
    const Decider *decider;
    void *context;
    RplResult *result;
    FindingList *findings;
    size_t line;
} Replay;

static Str
admission_name(int kind)
{
    return Rec_AdmissionName((AdmissionEventKind)kind);
}

static int64_t
feed_admission(void *context, const Event *event)
{
    AdmissionEvent to = {.kind = (AdmissionEventKind)event->kind,
                         .time = event->at};

    memcpy(to.args, event->args, sizeof to.args);
    return Adm_Replay(context, &to);
}

static bool
admission_refuses(const Event *event)
{
    return event->kind == Adm_EVENT_ADMIT && event->outcome > Adm_QUEUE;
}

static Str
ledger_name(int kind)
{
    return Rec_LedgerName((LedgerEventKind)kind);
}

static int64_t
feed_ledger(void *context, const Event *event)
{
    LedgerEvent to = {.kind = (LedgerEventKind)event->kind, .at = event->at};

    memcpy(to.args, event->args, sizeof to.args);
    return Led_ReplayEvent(context, &to);
}

static bool
ledger_refuses(const Event *event)
{
    return event->kind == Led_EVENT_ATTEMPT && event->outcome != Led_NEW;
}

static const Decider admission = {Str_LIT("admission"), Adm_EVENT_ARGS,
                                  Adm_EVENT_COUNT,      admission_name,
                                  feed_admission,       admission_refuses};

static const Decider ledger = {Str_LIT("ledger"), Led_EVENT_ARGS,
                               Led_EVENT_COUNT,   ledger_name,
                               feed_ledger,       ledger_refuses};

static void
find(Replay *replay, Str cause, Str expected)
{
    StrBuf place = {0};

    StrBuf_AppendFmt(&place, "line %zu", replay->line);
    Fnd_Add(replay->findings, StrBuf_View(&place), cause, expected);
    StrBuf_Finish(&place);
}

static bool
find_kind(const Decider *decider, json_t *name, int *kind)
{
    Str wanted = Str_From(json_string_value(name), json_string_length(name));

    for (*kind = 0; *kind < decider->events; (*kind)++) {
        if (Str_Equal(decider->event_name(*kind), wanted)) {
            return true;
        }
    }
    return false;
}

static bool
read_event(const Decider *decider, json_t *root, Event *event)
{
    json_t *args = json_object_get(root, "args");

    *event = (Event){0};
    if (!json_is_integer(json_object_get(root, "at")) ||
        !json_is_integer(json_object_get(root, "outcome")) ||
        json_array_size(args) != decider->args ||
        !find_kind(decider, json_object_get(root, "do"), &event->kind)) {
        return false;
    }
    event->at = json_integer_value(json_object_get(root, "at"));
    event->outcome = json_integer_value(json_object_get(root, "outcome"));
    for (size_t i = 0; i < decider->args; i++) {
        event->args[i] = json_integer_value(json_array_get(args, i));
    }
    return true;
}

static void
compare(Replay *replay, const Event *event)
{
    const Decider *decider = replay->decider;
    int64_t outcome = decider->feed(replay->context, event);
    StrBuf cause = {0};
    StrBuf expected = {0};

    replay->result->events++;
    if (outcome == event->outcome) {
        replay->result->refused += decider->refuses(event);
        return;
    }
    replay->result->differing++;
    StrBuf_AppendFmt(&cause, "%.*s gave %" PRId64,
                     Str_ARG(decider->event_name(event->kind)), outcome);
    StrBuf_AppendFmt(&expected, "%" PRId64, event->outcome);
    find(replay, StrBuf_View(&cause), StrBuf_View(&expected));
    StrBuf_Finish(&cause);
    StrBuf_Finish(&expected);
}

static bool
is_header(json_t *root, const Decider *decider)
{
    json_t *name = json_object_get(root, "decider");

    return json_integer_value(json_object_get(root, "trace")) == Rec_FORMAT &&
           Str_Equal(
               Str_From(json_string_value(name), json_string_length(name)),
               decider->name);
}

/* Which decider the trace is of; no good header is found with its line. */
static const Decider *
choose_decider(Str text)
{
    FindingList findings;
    json_t *root;
    bool of_ledger;

    Fnd_Init(&findings);
    root = Jsn_Load(Str_Slice(text, 0, Str_Find(text, '\n')), &findings);
    of_ledger = root && is_header(root, &ledger);
    json_decref(root);
    Fnd_Finish(&findings);
    return of_ledger ? &ledger : &admission;
}

static void
take_line(Replay *replay, Str line)
{
    json_t *root = Jsn_Load(line, replay->findings);
    Event event;

    if (!root) {
        return;
    }
    if (replay->line == 1) {
        if (!is_header(root, replay->decider)) {
            find(replay, Str_LIT("no such trace"),
                 Str_LIT("trace 1 of admission or ledger"));
        }
    }
    else if (read_event(replay->decider, root, &event)) {
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
    AdmissionController adm;
    AttemptLedger led;
    Replay replay = {.result = result, .findings = findings};

    *result = (RplResult){0};
    Adm_Init(&adm, &(AdmissionSettings){0});
    Led_Init(&led, &(LedgerSettings){0}, 0);
    replay.decider = choose_decider(text);
    replay.context = replay.decider == &ledger ? (void *)&led : (void *)&adm;
    while (text.len && findings->count == before) {
        size_t end = Str_Find(text, '\n');
        replay.line++;
        take_line(&replay, Str_Slice(text, 0, end));
        text = Str_Slice(text, end + 1, text.len);
    }
    Led_Finish(&led);
    return findings->count == before;
}
