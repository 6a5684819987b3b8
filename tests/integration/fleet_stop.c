#include "fleet_stop.h"

#include <check.h>
#include <signal.h>
#include <sys/wait.h>

#include "operators.h"
#include "process/loop.h"

/* From the fault to the signal. */
#define FAULT_LEAD Span_MS(300)

void
Fst_StartFleet(Fleet *fleet, Str build, int subnet, const StopFleet *options)
{
    static const Str routes =
        Str_LIT("{\"name\":\"look\",\"host\":\"barns\",\"path\":\"/look/\","
                "\"kind\":\"idempotent\",\"deadline_ms\":10000,"
                "\"objective_ms\":4000,\"priority\":1,\"service\":\"visor\"},"
                "{\"name\":\"book\",\"host\":\"barns\",\"path\":\"/book/\","
                "\"kind\":\"non_idempotent\",\"deadline_ms\":10000,"
                "\"objective_ms\":4000,\"priority\":1,\"service\":\"visor\"}");
    StrBuf settings = {0};

    Fleet_Init(fleet, build, subnet, Fst_VMS, 1);
    StrBuf_AppendFmt(&settings,
                     "\"operators_open\":true,\"bounds\":[\"stop_grace_s=6\"],"
                     "\"stop_notice_ms\":%d",
                     options->has_notice ? 2500 : 0);
    Fleet_SetExtraSettings(fleet, StrBuf_View(&settings));
    StrBuf_Finish(&settings);
    if (options->has_proxy) {
        Fleet_UseProxy(fleet);
    }
    for (int i = 0; i < Fst_VMS; i++) {
        Fleet_StartNode(fleet, i);
    }
    for (int i = 1; i < Fst_VMS; i++) {
        if (i == Fst_STOPPED_VM || !options->local_only) {
            Fleet_StartBackend(fleet, i, Str_LIT("visor"),
                               options->is_full ? Str_LIT("--slots=4")
                                                : Str_LIT("--slots=90"));
        }
    }
    for (int i = 0; i < Fst_VMS; i++) {
        ck_assert(
            Fleet_WaitForPath(fleet, i, Str_LIT("/visor/ready"), Span_S(10)));
    }
    Ops_PutRoutes(fleet, 1, 0, routes);
    Fleet_Sleep(Span_S(2));
}

static void
pause_process(FleetStop *stop, Span since_signal)
{
    pid_t node = stop->fleet->vms[Fst_STOPPED_VM].node;

    if (!stop->pause || stop->has_exited) {
        return;
    }
    if (!stop->is_paused && since_signal >= stop->pause_after) {
        kill(node, SIGSTOP);
        stop->is_paused = true;
    }
    if (!stop->is_pause_over &&
        since_signal >= stop->pause_after + stop->pause) {
        kill(node, SIGCONT);
        stop->is_pause_over = true;
    }
}

static void
on_tick(void *context, Span elapsed)
{
    FleetStop *stop = context;
    pid_t *node = &stop->fleet->vms[Fst_STOPPED_VM].node;

    if (stop->fault.len && !stop->is_faulted &&
        elapsed >= Fst_SIGNAL_AT - FAULT_LEAD) {
        ck_assert(Fleet_SendProxyCommand(stop->fleet, stop->fault));
        stop->is_faulted = true;
    }
    if (!stop->is_signaled && elapsed >= Fst_SIGNAL_AT) {
        kill(*node, SIGTERM);
        stop->is_signaled = true;
    }
    pause_process(stop, elapsed - Fst_SIGNAL_AT);
    if (stop->is_signaled && !stop->has_exited &&
        waitpid(*node, &stop->status, WNOHANG) == *node) {
        stop->has_exited = true;
        stop->took = elapsed - Fst_SIGNAL_AT;
        *node = 0;
    }
    if (!stop->has_exited && elapsed >= Fst_SIGNAL_AT + Fst_GRACE) {
        kill(*node, SIGKILL);
    }
}

void
Fst_Run(FleetStop *stop, Fleet *fleet, const MixPlan *plans, int count,
        Span limit)
{
    stop->fleet = fleet;
    Mix_Init(&stop->mix, fleet, plans, count);
    stop->mix.context = stop;
    stop->mix.on_tick = on_tick;
    Mix_Run(&stop->mix, limit);
    while (!stop->has_exited) {
        on_tick(stop, Loop_Now() - stop->mix.started_at);
        Fleet_Sleep(Span_MS(10));
    }
}

void
Fst_Finish(FleetStop *stop)
{
    Mix_Finish(&stop->mix);
}
