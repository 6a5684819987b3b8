#include "process/observe/replay.h"

#include <inttypes.h>
#include <string.h>

#include "process/admission/admission.h"
#include "process/admission/ledger.h"
#include "process/observe/recorder.h"
#include "value/json.h"

enum { ARGS_MAX = Led_EVENT_ARGS };

_Static_assert((int)Adm_EVENT_ARGS <= (int)ARGS_MAX, "room for all");

/* One line of a trace. */
typedef struct {
    int kind; /* AdmissionEventKind or LedgerEventKind */
    Instant at;
    int64_t args[ARGS_MAX];
    int64_t outcome;
} TraceEvent;

/* How a kind of decider is replayed. */
typedef struct {
    Str name;         /* in the first line of a trace */
    size_t arg_count; /* arguments of an event */
    int kind_count;   /* kinds of events */
    Str (*get_event_name)(int kind);
    /* Repeats EVENT on CONTEXT, an AdmissionController or AttemptLedger, and
     * returns its present outcome. */
    int64_t (*replay_event)(void *context, const TraceEvent *event);
    /* True when the outcome of EVENT counts as ReplayResult.refused. */
    bool (*is_refusal)(const TraceEvent *event);
} Decider;

typedef struct {
    const Decider *decider;
    void *context; /* the instance that is replayed */
    ReplayResult *result;
    FindingList *findings;
    size_t line_number; /* from 1 */
} Replay;

static Str
get_admission_event_name(int kind)
{
    return Rec_AdmissionEventName((AdmissionEventKind)kind);
}

static int64_t
replay_admission_event(void *context, const TraceEvent *event)
{
    AdmissionEvent target = {.kind = (AdmissionEventKind)event->kind,
                             .time = event->at};

    memcpy(target.args, event->args, sizeof target.args);
    return Adm_Replay(context, &target);
}

static bool
is_admission_refusal(const TraceEvent *event)
{
    return event->kind == Adm_EVENT_ADMIT && event->outcome > Adm_QUEUE;
}

static Str
get_ledger_event_name(int kind)
{
    return Rec_LedgerEventName((LedgerEventKind)kind);
}

static int64_t
replay_ledger_event(void *context, const TraceEvent *event)
{
    LedgerEvent target = {.kind = (LedgerEventKind)event->kind,
                          .at = event->at};

    memcpy(target.args, event->args, sizeof target.args);
    return Led_ReplayEvent(context, &target);
}

static bool
is_ledger_refusal(const TraceEvent *event)
{
    return event->kind == Led_EVENT_ATTEMPT && event->outcome != Led_NEW;
}

static const Decider admission_decider = {
    Str_LIT("admission"),     Adm_EVENT_ARGS,         Adm_EVENT_COUNT,
    get_admission_event_name, replay_admission_event, is_admission_refusal};

static const Decider ledger_decider = {
    Str_LIT("ledger"),     Led_EVENT_ARGS,      Led_EVENT_COUNT,
    get_ledger_event_name, replay_ledger_event, is_ledger_refusal};

static void
add_finding(Replay *replay, Str cause, Str expected)
{
    StrBuf place = {0};

    StrBuf_AppendFmt(&place, "line %zu", replay->line_number);
    Fnd_Add(replay->findings, StrBuf_View(&place), cause, expected);
    StrBuf_Finish(&place);
}

static bool
find_event_kind(const Decider *decider, json_t *name, int *kind)
{
    Str wanted = Str_From(json_string_value(name), json_string_length(name));

    for (*kind = 0; *kind < decider->kind_count; (*kind)++) {
        if (Str_Equal(decider->get_event_name(*kind), wanted)) {
            return true;
        }
    }
    return false;
}

/* Returns false when ROOT is not a valid event of DECIDER. */
static bool
read_event(const Decider *decider, json_t *root, TraceEvent *event)
{
    json_t *args = json_object_get(root, "args");

    *event = (TraceEvent){0};
    if (!json_is_integer(json_object_get(root, "at")) ||
        !json_is_integer(json_object_get(root, "outcome")) ||
        json_array_size(args) != decider->arg_count ||
        !find_event_kind(decider, json_object_get(root, "do"), &event->kind)) {
        return false;
    }
    event->at = json_integer_value(json_object_get(root, "at"));
    event->outcome = json_integer_value(json_object_get(root, "outcome"));
    for (size_t i = 0; i < decider->arg_count; i++) {
        event->args[i] = json_integer_value(json_array_get(args, i));
    }
    return true;
}

/* Replays EVENT and adds a finding when its outcome differs. */
static void
check_event(Replay *replay, const TraceEvent *event)
{
    const Decider *decider = replay->decider;
    int64_t outcome = decider->replay_event(replay->context, event);
    StrBuf cause = {0};
    StrBuf expected = {0};

    replay->result->events++;
    if (outcome == event->outcome) {
        replay->result->refused += decider->is_refusal(event);
        return;
    }
    replay->result->differing++;
    StrBuf_AppendFmt(&cause, "%.*s gave %" PRId64,
                     Str_ARG(decider->get_event_name(event->kind)), outcome);
    StrBuf_AppendFmt(&expected, "%" PRId64, event->outcome);
    add_finding(replay, StrBuf_View(&cause), StrBuf_View(&expected));
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

/* Returns the decider that the first line of TEXT names.  An invalid first
 * line gives the admission controller; replay_line reports it. */
static const Decider *
choose_decider(Str text)
{
    FindingList findings;
    json_t *root;
    bool is_ledger;

    Fnd_Init(&findings);
    root = Jsn_Load(Str_Slice(text, 0, Str_Find(text, '\n')), &findings);
    is_ledger = root && is_header(root, &ledger_decider);
    json_decref(root);
    Fnd_Finish(&findings);
    return is_ledger ? &ledger_decider : &admission_decider;
}

static void
replay_line(Replay *replay, Str line)
{
    json_t *root = Jsn_Load(line, replay->findings);
    TraceEvent event;

    if (!root) {
        return;
    }
    if (replay->line_number == 1) {
        if (!is_header(root, replay->decider)) {
            add_finding(replay, Str_LIT("no such trace"),
                        Str_LIT("trace 1 of admission or ledger"));
        }
    }
    else if (read_event(replay->decider, root, &event)) {
        check_event(replay, &event);
    }
    else {
        add_finding(replay, Str_LIT("no event"),
                    Str_LIT("at, do, args, outcome"));
    }
    json_decref(root);
}

bool
Rpl_Run(Str text, ReplayResult *result, FindingList *findings)
{
    size_t count_before = findings->count;
    AdmissionController admission;
    AttemptLedger ledger;
    Replay replay = {.result = result, .findings = findings};

    *result = (ReplayResult){0};
    Adm_Init(&admission, &(AdmissionSettings){0});
    Led_Init(&ledger, &(LedgerSettings){0}, 0);
    replay.decider = choose_decider(text);
    replay.context = replay.decider == &ledger_decider ? (void *)&ledger
                                                       : (void *)&admission;
    while (text.len && findings->count == count_before) {
        size_t end = Str_Find(text, '\n');
        replay.line_number++;
        replay_line(&replay, Str_Slice(text, 0, end));
        text = Str_Slice(text, end + 1, text.len);
    }
    Led_Finish(&ledger);
    return findings->count == count_before;
}
