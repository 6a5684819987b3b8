/* A backend says that it leaves (deregister first, as some do) and goes on
 * serving for a while.  The node beside it acknowledges, is killed and
 * restarted.  A heartbeat that the backend had sent before arrives late.  Does
 * a request reach the backend later than drainMs after the acknowledgement,
 * sent on by machines in touch? */
#define _GNU_SOURCE
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "stand.h"

enum { VISORS = 4, CALLERS = 8, DRAIN_MS = 2000, STABLE_MS = 3000 };

static const double serves_s = 9;   /* after the acknowledgement, then exits */
static const double late_s = 3.5;   /* delay of the heartbeat */

#define SERVICE(name)                                                         \
    "{\"name\":\"" name                                                       \
    "\",\"health_path\":\"/health\",\"connections_max\":240}"

static const char config[] =
    "{\"revision\":1,\"routes\":[{\"name\":\"look\",\"host\":"
    "\"barns.example\",\"path\":\"/look/\",\"kind\":\"idempotent\","
    "\"deadline_ms\":1000,\"objective_ms\":500,\"priority\":2,\"service\":"
    "\"visor\",\"attempts_max\":2}],\"services\":[" SERVICE("front") "," SERVICE(
        "visor") "," SERVICE("despachos") "],\"limits\":{"
                                          "\"header_bytes_max\":16384,"
                                          "\"body_bytes_max\":67108864,"
                                          "\"header_ms\":3000,"
                                          "\"idle_ms\":15000}}";

static Backend *leaving;
static volatile double acknowledged_at;
static volatile double in_touch_at;
static volatile int too_late;
static volatile int next_id;
static volatile bool stopped;

static void
run_look(Request *r)
{
    double now = Now();

    if (r->backend == leaving && acknowledged_at &&
        now - acknowledged_at > DRAIN_MS / 1000.0 && now > in_touch_at) {
        if (__sync_add_and_fetch(&too_late, 1) <= 20) {
            Record("%s: %s came %.2f s after the acknowledgement that this "
                   "backend leaves",
                   r->backend->id, r->id, now - acknowledged_at);
        }
    }
    Sleep(0.05);
    Answer_Send(r, 200, 1500);
}

static void *
run_caller(void *context)
{
    (void)context;
    while (!stopped) {
        char request[512];
        char answer[4096];
        int id = __sync_add_and_fetch(&next_id, 1);
        int n = snprintf(request, sizeof request,
                         "GET /look/%d HTTP/1.1\r\nHost: barns.example\r\n"
                         "Request-Id: look-%d\r\nDeadline-Ms: 1000\r\n\r\n",
                         id, id);
        int status = Http(Sidecar(0)->ip, PORT_OUTBOUND, request, (size_t)n, 2,
                          answer, sizeof answer);
        if (status != 200) {
            Record("caller: look-%d answered %d", id, status);
        }
        Sleep(0.02);
    }
    return NULL;
}

/* The heartbeat that is under way for late_s. */
static char late_request[1024];

static void *
deliver_late(void *context)
{
    int status;

    (void)context;
    Sleep(trouble ? late_s : 0);
    status = Http(leaving->machine->ip, PORT_CONTROL, late_request,
                  strlen(late_request), 1, NULL, 0);
    Record("network: the heartbeat of %s with sequence %ld arrives, answered "
           "%d",
           leaving->id, leaving->sequence, status);
    return NULL;
}

int
main(void)
{
    static const char *const services[] = {
        "front",     "visor",     "visor",     "visor",     "visor",
        "despachos", "despachos", "despachos", "despachos", "despachos",
        NULL};
    pthread_t callers[CALLERS];
    pthread_t late;
    Machine *beside;
    bool ended;
    char text[512];
    int n;

    Stand_Init("review/4");
    Stand_AddMachines(3, services);
    for (int i = 0; i < machine_count; i++) {
        Machine_Start(&machines[i]);
    }
    for (int i = 0; services[i]; i++) {
        Backend *b;
        snprintf(text, sizeof text, "i-%s-%d", services[i], i);
        b = Backend_Start(Sidecar(i), text, run_look);
        b->quiet = true;
        leaving = i == 1 ? b : leaving;
    }
    beside = leaving->machine;
    Operator_Put(0, config);
    Stand_WaitReady(30);
    Sleep(4);
    for (int i = 0; i < CALLERS; i++) {
        pthread_create(&callers[i], NULL, run_caller, NULL);
    }
    Sleep(2);
    /* The last heartbeat, then the notice that it leaves. */
    leaving->beating = false;
    Backend_Print(leaving, late_request, sizeof late_request);
    Record("%s: sends a heartbeat, ready, sequence %ld", leaving->id,
           leaving->sequence);
    pthread_create(&late, NULL, deliver_late, NULL);
    Sleep(0.1);
    n = snprintf(text, sizeof text,
                 "POST /v1/backends/leave?id=%s HTTP/1.1\r\nHost: control\r\n"
                 "Content-Type: application/json\r\nContent-Length: 22\r\n"
                 "Connection: close\r\n\r\n{\"born\":%lld}  ",
                 leaving->id, leaving->born_ms);
    if (Http(beside->ip, PORT_CONTROL, text, (size_t)n, 1, NULL, 0) != 200) {
        Stand_Exit(2, "the notice was not acknowledged");
    }
    acknowledged_at = Now();
    Record("%s: its node has acknowledged that it leaves", leaving->id);
    if (trouble) {
        Sleep(0.1);
        Machine_Signal(beside, SIGKILL);
        Machine_Wait(beside, 2, &ended);
        Sleep(0.4);
        Machine_Start(beside);
        in_touch_at = Now() + STABLE_MS / 1000.0;
    }
    Sleep(acknowledged_at + serves_s - Now());
    stopped = true;
    Record("%s: exits", leaving->id);
    for (int i = 0; i < CALLERS; i++) {
        pthread_join(callers[i], NULL);
    }
    pthread_join(late, NULL);
    snprintf(text, sizeof text,
             "%d requests reached the backend more than %d ms after the "
             "acknowledgement, sent on by machines in touch",
             too_late, DRAIN_MS);
    Stand_Exit(too_late > 0, text);
}
