#include <stdio.h>
#include <stdlib.h>
#include <sys/wait.h>
#include <unistd.h>

#include "fleet.h"
#include "process/settings/settings.h"

static void
format_path(Fleet *fleet, const char *name, int number, StrBuf *out)
{
    StrBuf_AppendFmt(out, "%.*s/%s%d", Str_ARG(fleet->folder), name, number);
    StrBuf_CStr(out);
}

/* Makes call NUMBER of PROCESS, through the next node that accepts a
 * connection, and writes a line "KEY OUTCOME STATUS" to OUT. */
static void
make_call(Fleet *fleet, const FleetLoad *load, int process, int number,
          FILE *out)
{
    StrBuf key = {0};
    FleetAnswer answer = {0};
    FleetRequest request = {.method = load->method, .path = load->path};

    StrBuf_AppendFmt(&key, "load-%d-%d", process, number);
    request.key = StrBuf_View(&key);
    request.headers = load->headers;
    for (int i = 0; i < load->node_count; i++) {
        Fleet_FinishAnswer(&answer);
        Fleet_Send(fleet, (process + number + i) % load->node_count, &request,
                   &answer);
        if (!answer.connect_failed) {
            break;
        }
    }
    fprintf(out, "%.*s %.*s %ld\n", Str_ARG(key),
            Str_ARG(answer.is_complete ? StrBuf_View(&answer.outcome)
                                       : Str_LIT("cut")),
            answer.status);
    Fleet_FinishAnswer(&answer);
    StrBuf_Finish(&key);
}

/* Calls until the file "stop0" is in the fleet's folder, then exits. */
static void
run_load(Fleet *fleet, const FleetLoad *load, int process)
{
    StrBuf path = {0};
    StrBuf stop = {0};
    FILE *out;

    format_path(fleet, "load", process, &path);
    format_path(fleet, "stop", 0, &stop);
    out = fopen(path.ptr, "w");
    for (int i = 0; out && access(stop.ptr, F_OK); i++) {
        make_call(fleet, load, process, i, out);
        Fleet_Sleep(load->pause);
    }
    if (out) {
        fclose(out);
    }
    _exit(0);
}

void
Fleet_StartLoad(Fleet *fleet, FleetLoad *load)
{
    for (int i = 0; i < load->process_count; i++) {
        load->pids[i] = fork();
        if (load->pids[i] == 0) {
            run_load(fleet, load, i);
        }
    }
}

/* The reported outcome of the call in LINE contradicts the recorded effects.
 */
static void
count_contradiction(Str line, FleetTotals *totals)
{
    totals->contradicted++;
    fprintf(stderr, "outcome contradicts the recorded effects: %.*s\n",
            Str_ARG(line));
}

/* LINE is as make_call wrote it. */
static void
count_call(Fleet *fleet, Str line, FleetTotals *totals)
{
    size_t space = Str_Find(line, ' ');
    Str key = Str_Slice(line, 0, space);
    Str rest = Str_Slice(line, space + 1, line.len);
    Str outcome = Str_Slice(rest, 0, Str_Find(rest, ' '));
    int effects = Fleet_CountEffects(fleet, key);

    totals->calls++;
    totals->duplicated += effects > 1;
    if (Str_Equal(outcome, Str_LIT("ran"))) {
        totals->ran++;
        if (effects == 0) {
            count_contradiction(line, totals);
        }
    }
    else if (Str_Equal(outcome, Str_LIT("not-run"))) {
        totals->not_run++;
        if (effects > 0) {
            count_contradiction(line, totals);
        }
    }
    else if (Str_Equal(outcome, Str_LIT("unknown"))) {
        totals->unknown++;
    }
    else {
        totals->incomplete++;
        fprintf(stderr, "no complete answer: %.*s\n", Str_ARG(line));
    }
}

static void
count_calls(Fleet *fleet, int process, FleetTotals *totals)
{
    StrBuf path = {0};
    StrBuf text = {0};
    Str rest;

    format_path(fleet, "load", process, &path);
    Set_ReadFile(StrBuf_View(&path), &text, NULL);
    for (rest = StrBuf_View(&text); rest.len;) {
        size_t end = Str_Find(rest, '\n');
        count_call(fleet, Str_Slice(rest, 0, end), totals);
        rest = Str_Slice(rest, end + 1, rest.len);
    }
    StrBuf_Finish(&path);
    StrBuf_Finish(&text);
}

FleetTotals
Fleet_StopLoad(Fleet *fleet, FleetLoad *load)
{
    FleetTotals totals = {0};
    StrBuf stop = {0};
    FILE *file;

    format_path(fleet, "stop", 0, &stop);
    file = fopen(stop.ptr, "w");
    if (file) {
        fclose(file);
    }
    for (int i = 0; i < load->process_count; i++) {
        waitpid(load->pids[i], NULL, 0);
    }
    for (int i = 0; i < load->process_count; i++) {
        count_calls(fleet, i, &totals);
    }
    StrBuf_Finish(&stop);
    return totals;
}
