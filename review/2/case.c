/* The operator removes a route that led to a service whose work takes 2.5 s,
 * and later adds a route of the same name to a service whose work takes 0.05 s,
 * with the time-out that fits it.  Is the added route served? */
#define _GNU_SOURCE
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "stand.h"

enum { CALLERS = 8, EACH = 10, CONFIG_APPLY_MS = 2000 };

#define ROUTE(name, service, timeout, aim)                                    \
    "{\"name\":\"" name "\",\"host\":\"barns.example\",\"path\":\"/" name     \
    "/\",\"kind\":\"idempotent\",\"deadline_ms\":" timeout                    \
    ",\"objective_ms\":" aim ",\"priority\":2,\"service\":\"" service         \
    "\",\"attempts_max\":2}"
#define LOOK ROUTE("look", "visor", "1000", "500")
#define SERVICE(name)                                                         \
    "{\"name\":\"" name                                                       \
    "\",\"health_path\":\"/health\",\"connections_max\":240}"
#define CONFIG(revision, routes)                                              \
    "{\"revision\":" revision ",\"routes\":[" routes "],\"services\":["       \
    SERVICE("front") "," SERVICE("visor") "," SERVICE("despachos")            \
    "],\"limits\":{\"header_bytes_max\":16384,\"body_bytes_max\":67108864,"   \
    "\"header_ms\":3000,\"idle_ms\":15000}}"

static const char first[] =
    CONFIG("1", LOOK "," ROUTE("stock", "despachos", "8000", "4000"));
static const char removed[] = CONFIG("2", LOOK);
static const char added[] =
    CONFIG("3", LOOK "," ROUTE("stock", "visor", "1000", "500"));

static volatile int runs_at_visor;

static void
run_visor(Request *r)
{
    __sync_add_and_fetch(&runs_at_visor, 1);
    Sleep(0.05);
    Answer_Send(r, 200, 1500);
}

static void
run_despachos(Request *r)
{
    Sleep(2.5);
    Answer_Send(r, 200, 1500);
}

typedef struct {
    const char *route;
    long deadline_ms;
    int number;
    volatile int sent;
    volatile int served;
} Load;

static void *
run_caller(void *context)
{
    Load *load = context;

    for (int i = 0; i < EACH; i++) {
        char request[512];
        char answer[8192];
        int id = __sync_add_and_fetch(&load->sent, 1);
        int n = snprintf(request, sizeof request,
                         "GET /%s/%d HTTP/1.1\r\nHost: barns.example\r\n"
                         "Request-Id: %s-%d-%d\r\nDeadline-Ms: %ld\r\n\r\n",
                         load->route, id, load->route, load->number, id,
                         load->deadline_ms);
        int status = Http(Sidecar(0)->ip, PORT_OUTBOUND, request, (size_t)n,
                          9, answer, sizeof answer);
        if (status == 200) {
            __sync_add_and_fetch(&load->served, 1);
        }
        else if (id <= 3) {
            const char *body = strstr(answer, "\r\n\r\n");
            Record("caller: %s-%d-%d answered %d: %.60s", load->route,
                   load->number, id, status, body ? body + 4 : "");
        }
        Sleep(0.1);
    }
    return NULL;
}

/* Sends CALLERS * EACH requests on ROUTE; returns the share served. */
static double
send_requests(const char *route, long deadline_ms)
{
    static int number;
    Load load = {route, deadline_ms, ++number, 0, 0};
    pthread_t callers[CALLERS];
    int runs_before = runs_at_visor;

    for (int i = 0; i < CALLERS; i++) {
        pthread_create(&callers[i], NULL, run_caller, &load);
    }
    for (int i = 0; i < CALLERS; i++) {
        pthread_join(callers[i], NULL);
    }
    Record("%d requests on route %s: %d served; %d runs at visor", load.sent,
           route, load.served, runs_at_visor - runs_before);
    return (double)load.served / load.sent;
}

int
main(void)
{
    static const char *const services[] = {"front",     "visor",     "visor",
                                           "visor",     "despachos", "despachos",
                                           "despachos", NULL};
    double look;
    double stock;
    char text[200];

    Stand_Init("review/2");
    Stand_AddMachines(3, services);
    for (int i = 0; i < machine_count; i++) {
        Machine_Start(&machines[i]);
    }
    for (int i = 0; services[i]; i++) {
        snprintf(text, sizeof text, "i-%s-%d", services[i], i);
        Backend_Start(Sidecar(i), text,
                      !strcmp(services[i], "visor")       ? run_visor
                      : !strcmp(services[i], "despachos") ? run_despachos
                                                          : NULL)
            ->quiet = true;
    }
    Operator_Put(0, first);
    Stand_WaitReady(30);
    Sleep(4);
    send_requests("look", 1000);
    send_requests("stock", 8000);
    if (trouble) {
        Operator_Put(1, removed);
        Sleep(5);
        Operator_Put(2, added);
        Sleep(CONFIG_APPLY_MS / 1000.0 + 3);
    }
    look = send_requests("look", 1000);
    stock = send_requests("stock", trouble ? 1000 : 8000);
    if (trouble) {
        double again;
        Sleep(10);
        again = send_requests("stock", 1000);
        stock = stock > again ? stock : again;
        /* For the record only: the same after a planned restart. */
        bool ended;
        Machine_Signal(Sidecar(0), SIGTERM);
        Machine_Wait(Sidecar(0), 6, &ended);
        if (!ended) {
            Machine_Signal(Sidecar(0), SIGKILL);
            Machine_Wait(Sidecar(0), 2, &ended);
        }
        Machine_Start(Sidecar(0));
        Stand_WaitReady(15);
        Sleep(2);
        Record("after a restart of the node where the requests begin:");
        send_requests("stock", 1000);
    }
    snprintf(text, sizeof text,
             "served: %.0f in 100 on the first route, %.0f in 100 on %s",
             100 * look, 100 * stock,
             trouble ? "the route added later" : "the other first route");
    Stand_Exit(stock < look / 4, text);
}
