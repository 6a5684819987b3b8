#include "fleet_steps.h"

#include <errno.h>
#include <signal.h>
#include <stdio.h>
#include <sys/socket.h>
#include <sys/wait.h>

#include "process/loop.h"

enum {
    OPERATOR_PORT = 8100,
    NODES_AWAY_MAX = 2,
    TRIES = 20, /* to draw a step that may happen beside the others */
    /* A planned stop has to end within its grace time; the rest is for the
     * sanitizers' report at exit. */
    STOP_LIMIT_S = 8
};

#define FIRST_AT Span_MS(1000)
/* All nodes have learnt by then that a backend server is draining. */
#define DRAIN_NOTICE Span_MS(2000)
#define CHANGE_LIMIT Span_S(3)

static const char *const kind_names[] = {"kill",  "freeze", "stop",  "slow",
                                         "drain", "fail",   "routes"};

/* ---- drawing ---- */

static bool
is_of_node(StepKind kind)
{
    return kind <= Step_STOP;
}

static bool
overlap(const Step *a, const Step *b)
{
    /* A node needs a moment after its start. */
    return a->at < b->until + Span_S(1) && b->at < a->until + Span_S(1);
}

/* Frozen, a node doesn't learn that a backend server is draining, so that it
 * may send requests there when it goes on. */
static bool
is_drain_beside_freeze(const Step *a, const Step *b)
{
    return (a->kind == Step_DRAIN && b->kind == Step_FREEZE) ||
           (a->kind == Step_FREEZE && b->kind == Step_DRAIN);
}

static bool
takes_server_away(StepKind kind)
{
    return kind == Step_DRAIN || kind == Step_FAIL;
}

/* Whether both take a backend server of the same service away. */
static bool
share_service(const Fleet *fleet, const Step *a, const Step *b)
{
    return takes_server_away(a->kind) && takes_server_away(b->kind) &&
           Str_Equal(StrBuf_View(&fleet->vms[a->vm].service),
                     StrBuf_View(&fleet->vms[b->vm].service));
}

/* Whether STEP may happen beside those drawn before it. */
static bool
is_allowed(const Schedule *schedule, const Step *step)
{
    int control_count = schedule->fleet->control_count;
    int away = 0;

    for (int i = 0; i < schedule->step_count; i++) {
        const Step *other = &schedule->steps[i];
        if (!overlap(step, other)) {
            continue;
        }
        if (step->kind == Step_ROUTES || other->kind == Step_ROUTES) {
            if (step->kind == other->kind) {
                return false; /* one change at a time */
            }
            continue;
        }
        if (step->vm == other->vm || is_drain_beside_freeze(step, other) ||
            share_service(schedule->fleet, step, other)) {
            return false;
        }
        if (is_of_node(step->kind) && is_of_node(other->kind)) {
            away++;
            if (step->vm < control_count && other->vm < control_count) {
                return false;
            }
        }
    }
    return away < NODES_AWAY_MAX;
}

static Span
draw_length(Rng *rng, StepKind kind)
{
    Span more = Span_MS(Rng_Below(rng, 2000));

    switch (kind) {
    case Step_KILL:
    case Step_FREEZE:
        return Span_MS(300) + more;
    case Step_STOP:
        return Span_S(STOP_LIMIT_S); /* at most */
    case Step_ROUTES:
        return CHANGE_LIMIT;
    case Step_DRAIN:
        return DRAIN_NOTICE + Span_MS(500) + more;
    default:
        return Span_S(2) + more;
    }
}

void
Sdl_Draw(Schedule *schedule, Rng *rng, Fleet *fleet, Span length)
{
    Span at = FIRST_AT;

    schedule->fleet = fleet;
    schedule->change.fd = -1;
    while (at < length && schedule->step_count < Sdl_STEPS_MAX) {
        for (int i = 0; i < TRIES; i++) {
            Step step = {.kind = (StepKind)Rng_Below(rng, Step_KINDS),
                         .vm = (int)Rng_Below(rng, (uint32_t)fleet->vm_count),
                         .at = at};
            step.until = at + draw_length(rng, step.kind);
            if (step.until <= length && is_allowed(schedule, &step)) {
                schedule->steps[schedule->step_count++] = step;
                break;
            }
        }
        at += Span_MS(300 + Rng_Below(rng, 1200));
    }
}

void
Sdl_Finish(Schedule *schedule)
{
    if (schedule->change.fd >= 0) {
        Fleet_RawClose(schedule->change.fd);
    }
    StrBuf_Finish(&schedule->change.answer);
    StrBuf_Finish(&schedule->faults);
}

void
Sdl_Print(const Schedule *schedule, StrBuf *out)
{
    for (int i = 0; i < schedule->step_count; i++) {
        const Step *step = &schedule->steps[i];
        StrBuf_AppendFmt(out, "  %6lld to %6lld ms  vm%d %s\n",
                         (long long)(step->at / 1000),
                         (long long)(step->until / 1000), step->vm,
                         kind_names[step->kind]);
    }
}

/* ---- acting ---- */

static void
add_fault(Schedule *schedule, int vm, const char *what, long long number,
          Span elapsed)
{
    schedule->fault_count++;
    StrBuf_AppendFmt(&schedule->faults, "  %lld ms vm%d: %s %lld\n",
                     (long long)(elapsed / 1000), vm, what, number);
}

static void
send_signal(pid_t process, int number)
{
    if (process > 0) {
        kill(process, number);
    }
}

static void
send_change(Schedule *schedule, int vm)
{
    StrBuf routes = {0};
    StrBuf body = {0};
    StrBuf request = {0};
    StepChange *change = &schedule->change;

    change->fd = Fleet_RawOpen(schedule->fleet, vm, OPERATOR_PORT);
    if (change->fd < 0) {
        return;
    }
    change->revision = ++schedule->last_revision;
    StrBuf_Clear(&change->answer);
    schedule->print_routes(change->revision, &routes);
    StrBuf_AppendFmt(&body,
                     "{\"revision\":%d,\"routes\":[%.*s],\"services\":["
                     "{\"name\":\"visor\"},{\"name\":\"despachos\"}]}",
                     change->revision, Str_ARG(routes));
    StrBuf_AppendFmt(&request,
                     "POST /v1/routing/put HTTP/1.1\r\nHost: a\r\n"
                     "If-Match: %d\r\nConnection: close\r\n"
                     "Content-Length: %zu\r\n\r\n%.*s",
                     schedule->base, body.len, Str_ARG(body));
    Fleet_RawSend(change->fd, StrBuf_View(&request));
    StrBuf_Finish(&routes);
    StrBuf_Finish(&body);
    StrBuf_Finish(&request);
}

/* Reads what is there of the answer to the change.  A change without an answer
 * may have been accepted: when the next one is refused for its base, later
 * ones build on that change. */
static void
read_change(Schedule *schedule)
{
    StepChange *change = &schedule->change;
    char bytes[4096];
    ssize_t got;

    if (change->fd < 0) {
        return;
    }
    got = recv(change->fd, bytes, sizeof bytes, MSG_DONTWAIT);
    if (got > 0) {
        StrBuf_Append(&change->answer, Str_From(bytes, (size_t)got));
    }
    if (got > 0 || (got < 0 && errno == EAGAIN)) {
        return;
    }
    if (Str_StartsWith(StrBuf_View(&change->answer),
                       Str_LIT("HTTP/1.1 200 "))) {
        schedule->base = change->revision;
        schedule->changed_count++;
        schedule->unanswered = 0;
    }
    else if (Str_StartsWith(StrBuf_View(&change->answer),
                            Str_LIT("HTTP/1.1 412 ")) &&
             schedule->unanswered) {
        schedule->base = schedule->unanswered;
        schedule->unanswered = 0;
    }
    else {
        schedule->unanswered = change->revision;
    }
    Fleet_RawClose(change->fd);
    change->fd = -1;
}

/* Kills the node, and notes it if it had ended before. */
static void
kill_node(Schedule *schedule, int vm, Span elapsed)
{
    pid_t *node = &schedule->fleet->vms[vm].node;
    bool runs = *node > 0;
    int status = Fleet_Kill(node, SIGKILL);

    if (runs && !(WIFSIGNALED(status) && WTERMSIG(status) == SIGKILL)) {
        add_fault(schedule, vm, "node ended by itself, status", status,
                  elapsed);
    }
}

static void
begin_step(Schedule *schedule, Step *step, Span elapsed)
{
    FleetVm *vm = &schedule->fleet->vms[step->vm];
    bool good = true;

    step->has_begun = true;
    switch (step->kind) {
    case Step_KILL:
        kill_node(schedule, step->vm, elapsed);
        break;
    case Step_FREEZE:
        send_signal(vm->node, SIGSTOP);
        break;
    case Step_STOP:
        send_signal(vm->node, SIGTERM);
        break;
    case Step_SLOW:
        good = Fleet_ControlBackend(schedule->fleet, step->vm,
                                    Str_LIT("slow=12"));
        break;
    case Step_DRAIN:
        good = Fleet_ControlBackend(schedule->fleet, step->vm,
                                    Str_LIT("draining=1"));
        break;
    case Step_FAIL:
        good =
            Fleet_ControlBackend(schedule->fleet, step->vm, Str_LIT("fail=1"));
        break;
    default:
        send_change(schedule, step->vm);
        break;
    }
    if (!good) {
        add_fault(schedule, step->vm, "backend server: no answer to kind",
                  step->kind, elapsed);
    }
}

/* Nothing arrives at a backend server that left. */
static void
check_drained(Schedule *schedule, const Step *step, Span elapsed)
{
    uint64_t refusals =
        Fleet_ReadBackendCount(schedule->fleet, step->vm, Str_LIT("shed"));

    /* The log of the backend servers names them. */
    if (step->is_counted && refusals > step->refusals) {
        add_fault(schedule, step->vm, "requests at a server that left:",
                  (long long)(refusals - step->refusals), elapsed);
    }
}

static void
end_step(Schedule *schedule, Step *step, Span elapsed)
{
    Fleet *fleet = schedule->fleet;

    step->has_ended = true;
    switch (step->kind) {
    case Step_KILL:
    case Step_STOP:
        Fleet_StartNode(fleet, step->vm);
        break;
    case Step_FREEZE:
        send_signal(fleet->vms[step->vm].node, SIGCONT);
        break;
    case Step_DRAIN:
        check_drained(schedule, step, elapsed);
        Fleet_ControlBackend(fleet, step->vm, Str_LIT("draining=0"));
        break;
    case Step_ROUTES:
        if (schedule->change.fd >= 0) {
            Fleet_RawClose(schedule->change.fd);
            schedule->change.fd = -1;
            schedule->unanswered = schedule->change.revision;
        }
        break;
    default:
        Fleet_ControlBackend(fleet, step->vm, Str_LIT("slow=1&fail=0"));
        break;
    }
}

/* Returns whether the node has ended, and notes it when it ended otherwise
 * than it should. */
static bool
has_stopped(Schedule *schedule, const Step *step, Span elapsed)
{
    pid_t *node = &schedule->fleet->vms[step->vm].node;
    int status;

    if (*node <= 0) {
        return true;
    }
    if (waitpid(*node, &status, WNOHANG) == *node) {
        *node = 0;
        if (status) {
            add_fault(schedule, step->vm, "node stopped with status", status,
                      elapsed);
        }
        return true;
    }
    if (elapsed >= step->until) {
        add_fault(schedule, step->vm, "node not stopped after ms",
                  (elapsed - step->at) / 1000, elapsed);
        Fleet_Kill(node, SIGKILL);
        return true;
    }
    return false;
}

static bool
is_due_to_end(Schedule *schedule, Step *step, Span elapsed)
{
    if (step->kind == Step_STOP) {
        return has_stopped(schedule, step, elapsed);
    }
    if (step->kind == Step_ROUTES) {
        read_change(schedule);
    }
    if (step->kind == Step_DRAIN && !step->is_counted &&
        elapsed >= step->at + DRAIN_NOTICE) {
        step->refusals =
            Fleet_ReadBackendCount(schedule->fleet, step->vm, Str_LIT("shed"));
        step->is_counted = true;
    }
    return elapsed >= step->until;
}

/* Whether a step has sent SIGTERM to the node of VM; has_stopped takes its end
 * and status. */
static bool
is_stopping(const Schedule *schedule, int vm)
{
    for (int i = 0; i < schedule->step_count; i++) {
        const Step *step = &schedule->steps[i];
        if (step->kind == Step_STOP && step->vm == vm && step->has_begun &&
            !step->has_ended) {
            return true;
        }
    }
    return false;
}

/* Notes a process that ended although no step ended it. */
static void
watch_process(Schedule *schedule, int vm, pid_t *process, const char *what,
              Span elapsed)
{
    int status;

    if (*process > 0 && waitpid(*process, &status, WNOHANG) == *process) {
        *process = 0;
        add_fault(schedule, vm, what, status, elapsed);
    }
}

bool
Sdl_Act(Schedule *schedule, Span elapsed)
{
    bool remain = false;

    for (int i = 0; i < schedule->step_count; i++) {
        Step *step = &schedule->steps[i];
        if (!step->has_begun && elapsed >= step->at) {
            begin_step(schedule, step, elapsed);
        }
        if (step->has_begun && !step->has_ended &&
            is_due_to_end(schedule, step, elapsed)) {
            end_step(schedule, step, elapsed);
        }
        remain |= !step->has_ended;
    }
    for (int i = 0; i < schedule->fleet->vm_count; i++) {
        FleetVm *vm = &schedule->fleet->vms[i];
        if (!is_stopping(schedule, i)) {
            watch_process(schedule, i, &vm->node,
                          "node ended by itself, status", elapsed);
        }
        watch_process(schedule, i, &vm->backend,
                      "backend server ended by itself, status", elapsed);
    }
    return remain;
}

void
Sdl_StopAll(Schedule *schedule)
{
    Fleet *fleet = schedule->fleet;
    Step stops[Fleet_VMS_MAX];
    Instant start = Loop_Now();
    int left = fleet->vm_count;

    for (int i = 0; i < fleet->vm_count; i++) {
        stops[i] =
            (Step){.kind = Step_STOP, .vm = i, .until = Span_S(STOP_LIMIT_S)};
        send_signal(fleet->vms[i].node, SIGTERM);
    }
    while (left) {
        left = 0;
        for (int i = 0; i < fleet->vm_count; i++) {
            left += !has_stopped(schedule, &stops[i], Loop_Now() - start);
        }
        Fleet_Sleep(Span_MS(10));
    }
}
