/* A backend starts again under its id and leaves before its first heartbeat
 * has arrived.  The leave is acknowledged, and requests go on to it. */
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../common-2/kit.h"

enum { BACKENDS = 7, CLIENTS = 4, LEAVING = 0 };

static const double drain_s = 2.0;        /* drainMs */
static const double heartbeat_s = 1.5;    /* heartbeatMs */
static const double heartbeat_late_s = 4; /* of the second start */

static const char configuration[] =
    "{\"revision\":5,\"routes\":["
    "{\"name\":\"r-despacho\",\"host\":\"barns.example\","
    "\"path\":\"/orders/\",\"kind\":\"non_idempotent\",\"deadline_ms\":1200,"
    "\"objective_ms\":600,\"priority\":1,\"service\":\"despachos\","
    "\"attempts_max\":2}],"
    "\"services\":[{\"name\":\"despachos\",\"health_path\":\"/health\","
    "\"connections_max\":240,\"protocol\":\"h1\",\"tls\":false}],"
    "\"limits\":{\"header_bytes_max\":16384,\"body_bytes_max\":67108864,"
    "\"header_ms\":3000,\"idle_ms\":15000}}";

static volatile bool is_over;

static void
send_order(void)
{
    static KitAnswer answer;

    for (int i = 0; i < 60; i++) {
        Kit_Order(i % 3, "/v1/routing/put", 0, configuration, &answer);
        Kit_Record("order to replica %d: answer %d", i % 3, answer.status);
        if (answer.status == 200) {
            return;
        }
        Kit_Sleep(0.3);
    }
    Kit_Exit(Kit_NOT_RUN);
}

static int
send_request(const char *name, int number, int machine)
{
    static __thread KitAnswer answer;
    char id[64];
    char path[64];

    snprintf(id, sizeof id, "%s-%d", name, number);
    snprintf(path, sizeof path, "/orders/%d", number);
    Kit_Request(machine, "POST", "barns.example", path, id, 1500, &answer);
    Kit_Record("request %s POST %s at sidecar %d: answer %d", id, path,
               machine, answer.status);
    return answer.status;
}

static void
wait_for_service(void)
{
    int served = 0;

    for (int i = 0; i < 150 && served < 2 * BACKENDS; i++) {
        served += Kit_IsReady(i % BACKENDS) &&
                  send_request("start", i, i % BACKENDS) == 200;
        Kit_Sleep(0.1);
    }
    if (served < 2 * BACKENDS) {
        Kit_Record("too few requests were served");
        Kit_Exit(Kit_NOT_RUN);
    }
}

/* About 40 requests a second over all machines. */
static void *
run_client(void *context)
{
    int client = *(int *)context;

    for (int i = client; !is_over; i += CLIENTS) {
        send_request("r", i, i % BACKENDS);
        Kit_Sleep(0.1);
    }
    return NULL;
}

int
main(int argc, char **argv)
{
    int numbers[CLIENTS];
    pthread_t threads[CLIENTS];
    double acknowledged_at = 0;
    int leaving = 0;
    int late;

    Kit_Init(argc > 1 ? argv[1] : ".");
    Kit_SetTimes(0.005, heartbeat_s);
    Kit_StartReplicas(3);
    for (int i = 0; i < BACKENDS; i++) {
        Kit_StartNode(i, "despachos");
    }
    for (int i = 0; i < BACKENDS; i++) {
        int handle = Kit_StartBackend(i, "despachos");
        leaving = i == LEAVING ? handle : leaving;
    }
    send_order();
    wait_for_service();
    for (int i = 0; i < CLIENTS; i++) {
        numbers[i] = i;
        if (pthread_create(&threads[i], NULL, run_client, &numbers[i])) {
            Kit_Exit(Kit_NOT_RUN);
        }
    }
    Kit_Sleep(4); /* longer than stableWindowMs */
    if (Kit_HasTrouble()) {
        Kit_EndBackend(leaving);
        Kit_Record("backend i-%d crashed", LEAVING);
        Kit_Sleep(0.3);
        leaving =
            Kit_StartLateBackend(LEAVING, "despachos", heartbeat_late_s);
        Kit_Record("backend i-%d started again, under its id", LEAVING);
    }
    Kit_Sleep(1);
    for (int i = 0; i < 10 && !acknowledged_at; i++) {
        int status = Kit_Deregister(leaving);
        Kit_Record("instances.deregister of i-%d: answer %d", LEAVING, status);
        if (status == 200) {
            acknowledged_at = Kit_Now();
        }
    }
    if (!acknowledged_at) {
        Kit_Exit(Kit_NOT_RUN);
    }
    Kit_Sleep(9); /* it serves on, at times many seconds */
    Kit_EndBackend(leaving);
    Kit_Record("backend i-%d ended", LEAVING);
    is_over = true;
    for (int i = 0; i < CLIENTS; i++) {
        pthread_join(threads[i], NULL);
    }
    late = Kit_CountLateRuns(leaving, acknowledged_at + drain_s);
    Kit_Record("acknowledged at %.3f; %d requests reached the backend more "
               "than %.1f s later",
               acknowledged_at, late, drain_s);
    Kit_Exit(late ? Kit_BROKEN : Kit_HELD);
}
