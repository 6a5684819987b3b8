#include "kit.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <pthread.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/time.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

enum {
    PEERS_PORT = 7600,
    REPLICA_CALLERS_PORT = 7615,
    CONTROL_PORT = 8620,
    READY_PORT = 8625,
    BACKEND_PORT = 8628,
    OUTBOUND_PORT = 8629
};

enum { RUNS_MAX = 65536, ID_MAX = 64, SEEDS_MAX = 3, CONNECTIONS_MAX = 256 };

typedef struct {
    char id[ID_MAX];
    char service[ID_MAX];
    int backend;
    double at;
} Run;

typedef struct {
    int number;
    char service[ID_MAX];
    char id[ID_MAX];
    long long born_ms;
    int listener;
    double heartbeat_delay;
    bool has_ended;
    int connections[CONNECTIONS_MAX];
    int connection_count;
} Backend;

static FILE *record;
static char temp_folder[64];
static int net;
static int reservation = -1;
static double started_at;
static pid_t processes[Kit_PROCESSES_MAX];
static int process_count;
static int replica_count;
static Backend backends[Kit_BACKENDS_MAX];
static int backend_count;
static Run runs[RUNS_MAX];
static int run_count;
static double work_seconds;
static double heartbeat_seconds = 1;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;

double
Kit_Now(void)
{
    struct timespec now;

    clock_gettime(CLOCK_MONOTONIC, &now);
    return (double)now.tv_sec + (double)now.tv_nsec / 1e9 - started_at;
}

void
Kit_Sleep(double seconds)
{
    struct timespec time = {(time_t)seconds,
                            (long)((seconds - (double)(time_t)seconds) * 1e9)};

    while (nanosleep(&time, &time) && errno == EINTR) {
    }
}

bool
Kit_HasTrouble(void)
{
    const char *value = getenv("TROUBLE");

    return !value || strcmp(value, "0") != 0;
}

void
Kit_Record(const char *format, ...)
{
    va_list args;

    pthread_mutex_lock(&lock);
    fprintf(record, "%8.3f  ", Kit_Now());
    va_start(args, format);
    vfprintf(record, format, args);
    va_end(args);
    fprintf(record, "\n");
    fflush(record);
    pthread_mutex_unlock(&lock);
}

static struct sockaddr_in
make_address(int subnet, int number, int port)
{
    struct sockaddr_in address = {.sin_family = AF_INET,
                                  .sin_port = htons((uint16_t)port)};

    address.sin_addr.s_addr =
        htonl((127u << 24) | ((unsigned)net << 16) | ((unsigned)subnet << 8) |
              (unsigned)(number + 1));
    return address;
}

/* Subnet 1 holds the replicas, subnet 2 the sidecar machines. */
static int
listen_at(int subnet, int number, int port)
{
    struct sockaddr_in address = make_address(subnet, number, port);
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int on = 1;

    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    if (bind(fd, (struct sockaddr *)&address, sizeof address) ||
        listen(fd, 128)) {
        close(fd);
        return -1;
    }
    return fd;
}

void
Kit_Init(const char *folder)
{
    char name[512];
    struct timespec now;

    signal(SIGPIPE, SIG_IGN);
    clock_gettime(CLOCK_MONOTONIC, &now);
    started_at = (double)now.tv_sec + (double)now.tv_nsec / 1e9;
    snprintf(name, sizeof name, "%s/record.txt", folder);
    record = fopen(name, "w");
    if (!record) {
        exit(Kit_NOT_RUN);
    }
    strcpy(temp_folder, "/tmp/review-XXXXXX");
    if (!mkdtemp(temp_folder)) {
        exit(Kit_NOT_RUN);
    }
    srand((unsigned)getpid() ^ (unsigned)now.tv_nsec);
    for (int i = 0; i < 50 && reservation < 0; i++) {
        net = 20 + rand() % 200;
        reservation = listen_at(9, 0, CONTROL_PORT);
    }
    if (reservation < 0) {
        Kit_Exit(Kit_NOT_RUN);
    }
}

static void
remove_folder(void)
{
    char command[128];

    snprintf(command, sizeof command, "rm -rf %s", temp_folder);
    if (system(command)) {
        Kit_Record("the temporary folder could not be removed");
    }
}

void
Kit_Exit(int status)
{
    for (int i = 0; i < process_count; i++) {
        kill(processes[i], SIGKILL);
    }
    for (int i = 0; i < process_count; i++) {
        waitpid(processes[i], NULL, 0);
    }
    remove_folder();
    Kit_Record("exit status %d", status);
    exit(status);
}

static void
start(const char *settings)
{
    pid_t pid = fork();
    char log[96];

    if (pid == 0) {
        snprintf(log, sizeof log, "%s.log", settings);
        if (freopen(log, "w", stdout) && dup2(1, 2) >= 0) {
            execl("target/out/lycheeridged", "target/out/lycheeridged",
                  settings, (char *)NULL);
        }
        _exit(127);
    }
    if (pid < 0 || process_count == Kit_PROCESSES_MAX) {
        Kit_Exit(Kit_NOT_RUN);
    }
    processes[process_count++] = pid;
}

static void
write_seeds(FILE *out)
{
    int count = replica_count < SEEDS_MAX ? replica_count : SEEDS_MAX;

    fprintf(out, "\"control_seeds\": [");
    for (int i = 0; i < count; i++) {
        fprintf(out, "%s\"127.%d.1.%d:%d\"", i ? ", " : "", net, i + 1,
                CONTROL_PORT);
    }
    fprintf(out, "], \"control_port\": %d,\n", PEERS_PORT);
}

static void
write_common(FILE *out)
{
    write_seeds(out);
    fprintf(out,
            "\"failure_domain\": \"norte-a\", \"failure_domains\": "
            "[{\"name\": \"norte-a\", \"region\": \"norte\"}],\n"
            "\"preset\": \"platform/preset.json\", \"operators_open\": true, "
            "\"log_level\": \"info\",\n");
}

/* As platform/replica.tmpl makes it. */
static void
start_replica(int number)
{
    char name[96];
    char data[96];
    FILE *out;

    snprintf(data, sizeof data, "%s/data-%d", temp_folder, number);
    mkdir(data, 0700);
    snprintf(name, sizeof name, "%s/replica-%d.json", temp_folder, number);
    out = fopen(name, "w");
    if (!out) {
        Kit_Exit(Kit_NOT_RUN);
    }
    fprintf(out,
            "{\"name\": \"core-%d\", \"address\": \"127.%d.1.%d:%d\", "
            "\"callers\": \"127.%d.1.%d:%d\", "
            "\"operators\": \"127.%d.1.%d:%d\",\n",
            number, net, number + 1, PEERS_PORT, net, number + 1,
            REPLICA_CALLERS_PORT, net, number + 1, CONTROL_PORT);
    write_common(out);
    fprintf(out,
            "\"control\": true, \"control_voters\": 5, "
            "\"begin_history\": true, \"data_folder\": \"%s\",\n"
            "\"stop_bound_ms\": 2000, \"heartbeat_ms\": 1000, "
            "\"member_expiry_ms\": 3000, \"memory_mb\": 256, "
            "\"descriptors_max\": 4096}\n",
            data);
    fclose(out);
    chmod(name, 0600);
    start(name);
}

void
Kit_StartReplicas(int count)
{
    replica_count = count;
    for (int i = 0; i < count; i++) {
        start_replica(i);
    }
}

/* As platform/node.tmpl makes it. */
void
Kit_StartNode(int number, const char *service)
{
    char name[96];
    FILE *out;

    snprintf(name, sizeof name, "%s/node-%d.json", temp_folder, number);
    out = fopen(name, "w");
    if (!out) {
        Kit_Exit(Kit_NOT_RUN);
    }
    fprintf(out,
            "{\"name\": \"sidecar-%d\", \"address\": \"127.%d.2.%d:%d\", "
            "\"callers\": \"127.%d.2.%d:%d\", "
            "\"operators\": \"127.%d.2.%d:%d\", "
            "\"ready\": \"127.%d.2.%d:%d\", "
            "\"backend\": \"127.%d.2.%d:%d\",\n",
            number, net, number + 1, PEERS_PORT, net, number + 1,
            OUTBOUND_PORT, net, number + 1, CONTROL_PORT, net, number + 1,
            READY_PORT, net, number + 1, BACKEND_PORT);
    write_common(out);
    fprintf(out,
            "\"backend_expiry_ms\": 10000, \"body_bytes_max\": 67108864, "
            "\"stop_notice_ms\": 2500, \"memory_mb\": 260, "
            "\"descriptors_max\": 4100,\n"
            "\"bounds\": [\"seedLagS=3\", \"addrReuseS=2\", "
            "\"stableWindowMs=3000\", \"ackMs=4000\", \"catchUpS=4\", "
            "\"drainMs=2000\", \"stop_grace_s=6\", \"lossSlackMs=200\", "
            "\"config_apply_ms=2000\", \"retryBudgetRatio=0.2\"],\n"
            "\"header_fields\": {\"request_id\": \"Request-Id\", "
            "\"deadline_ms\": \"Deadline-Ms\", \"outcome\": \"\", "
            "\"expect_instance\": \"Expect-Instance\", "
            "\"not_run\": \"Not-Executed\", \"load\": \"Server-Load\", "
            "\"origin_service\": \"Caller-Service\", "
            "\"origin_value\": \"%s\", \"account\": \"Tenant\", "
            "\"cold\": \"Cold-Ms\"}}\n",
            service);
    fclose(out);
    chmod(name, 0600);
    start(name);
}

static int
connect_to(int subnet, int number, int port, double seconds)
{
    struct sockaddr_in address = make_address(subnet, number, port);
    struct timeval wait = {(time_t)seconds,
                           (suseconds_t)((seconds - (double)(time_t)seconds) *
                                         1e6)};
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

    setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &wait, sizeof wait);
    setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &wait, sizeof wait);
    if (connect(fd, (struct sockaddr *)&address, sizeof address)) {
        close(fd);
        return -1;
    }
    return fd;
}

static bool
send_all(int fd, const char *text, size_t len)
{
    while (len) {
        ssize_t sent = send(fd, text, len, MSG_NOSIGNAL);
        if (sent <= 0) {
            return false;
        }
        text += sent;
        len -= (size_t)sent;
    }
    return true;
}

/* Reads until the other side closes: all calls ask for that. */
static void
read_answer(int fd, KitAnswer *answer)
{
    static __thread char text[sizeof answer->head + sizeof answer->body];
    size_t len = 0;
    ssize_t got;
    char *end;

    *answer = (KitAnswer){.status = 0};
    while (len + 1 < sizeof text &&
           (got = recv(fd, text + len, sizeof text - 1 - len, 0)) > 0) {
        len += (size_t)got;
    }
    text[len] = 0;
    end = strstr(text, "\r\n\r\n");
    if (!end || sscanf(text, "HTTP/1.1 %d", &answer->status) != 1) {
        answer->status = 0;
        return;
    }
    *end = 0;
    snprintf(answer->head, sizeof answer->head, "%s", text);
    snprintf(answer->body, sizeof answer->body, "%s", end + 4);
}

static void
call(int subnet, int number, int port, double seconds, const char *text,
     KitAnswer *answer)
{
    int fd = connect_to(subnet, number, port, seconds);

    *answer = (KitAnswer){.status = 0};
    if (fd >= 0) {
        if (send_all(fd, text, strlen(text))) {
            read_answer(fd, answer);
        }
        close(fd);
    }
}

void
Kit_Order(int number, const char *path, long if_match, const char *body,
          KitAnswer *answer)
{
    static char text[2 * Kit_TEXT_MAX];
    char match[64] = "";

    if (if_match >= 0) {
        snprintf(match, sizeof match, "If-Match: %ld\r\n", if_match);
    }
    snprintf(text, sizeof text,
             "POST %s HTTP/1.1\r\nHost: control\r\nConnection: close\r\n"
             "Content-Type: application/json\r\n%sContent-Length: %zu\r\n\r\n"
             "%s",
             path, match, strlen(body), body);
    call(1, number, CONTROL_PORT, 2, text, answer);
}

void
Kit_Request(int number, const char *method, const char *host,
            const char *path, const char *id, int deadline_ms,
            KitAnswer *answer)
{
    char text[1024];

    snprintf(text, sizeof text,
             "%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\n"
             "Deadline-Ms: %d\r\nConnection: close\r\n"
             "Content-Length: 0\r\n\r\n",
             method, path, host, id, deadline_ms);
    call(2, number, OUTBOUND_PORT, deadline_ms / 1000.0 + 1, text, answer);
}

bool
Kit_IsReady(int number)
{
    KitAnswer answer;

    call(2, number, READY_PORT, 1,
         "GET /v1/ready HTTP/1.1\r\nHost: node\r\nConnection: close\r\n\r\n",
         &answer);
    return answer.status == 200;
}

void
Kit_SetTimes(double work, double heartbeat)
{
    work_seconds = work;
    heartbeat_seconds = heartbeat;
}

int
Kit_Announce(int number, const char *id, const char *body)
{
    char text[1024];
    KitAnswer answer;

    snprintf(text, sizeof text,
             "POST /v1/backends/announce?id=%s HTTP/1.1\r\nHost: node\r\n"
             "Connection: close\r\nContent-Type: application/json\r\n"
             "Content-Length: %zu\r\n\r\n%s",
             id, strlen(body), body);
    call(2, number, CONTROL_PORT, 1, text, &answer);
    return answer.status;
}

void
Kit_PrintBackendAddress(int number, char *text, size_t size)
{
    snprintf(text, size, "127.%d.2.%d:%d", net, number + 1, BACKEND_PORT);
}

static void
announce(const Backend *backend, int sequence)
{
    char body[512];

    snprintf(body, sizeof body,
             "{\"service\":\"%s\",\"address\":\"127.%d.2.%d:%d\","
             "\"zone\":\"norte-a\",\"revision\":\"v1\",\"slots\":9,"
             "\"state\":\"ready\",\"cold_ms\":0,\"sequence\":%d,"
             "\"born\":%lld}",
             backend->service, net, backend->number + 1, BACKEND_PORT,
             sequence, backend->born_ms);
    Kit_Announce(backend->number, backend->id, body);
}

static void *
announce_all(void *context)
{
    const Backend *backend = context;

    Kit_Sleep(backend->heartbeat_delay);
    for (int sequence = 1; !backend->has_ended; sequence++) {
        announce(backend, sequence);
        Kit_Sleep(heartbeat_seconds);
    }
    return NULL;
}

/* The value of field NAME in HEAD; false when there is none. */
static bool
get_field(const char *head, const char *name, char *value, size_t size)
{
    size_t len = strlen(name);

    for (const char *line = strstr(head, "\r\n"); line;
         line = strstr(line, "\r\n")) {
        line += 2;
        if (!strncasecmp(line, name, len) && line[len] == ':') {
            const char *from = line + len + 1 + (line[len + 1] == ' ');
            size_t count = strcspn(from, "\r\n");
            count = count < size - 1 ? count : size - 1;
            memcpy(value, from, count);
            value[count] = 0;
            return true;
        }
    }
    return false;
}

typedef struct {
    Backend *backend;
    int fd;
} Connection;

static void
add_run(const Backend *backend, const char *id, const char *line)
{
    pthread_mutex_lock(&lock);
    if (run_count < RUNS_MAX) {
        snprintf(runs[run_count].id, ID_MAX, "%s", id);
        snprintf(runs[run_count].service, ID_MAX, "%s", backend->service);
        runs[run_count].backend = (int)(backend - backends);
        runs[run_count].at = Kit_Now();
        run_count++;
    }
    pthread_mutex_unlock(&lock);
    Kit_Record("backend %s of %s runs %s (%.*s)", backend->id,
               backend->service, id, (int)strcspn(line, "\r\n"), line);
}

static bool
answer_one(const Connection *connection, const char *head)
{
    char id[ID_MAX] = "";
    char text[512];
    char body[128];
    bool is_health = !strncmp(head, "GET /health", 11);

    if (!is_health && !get_field(head, "Request-Id", id, sizeof id)) {
        snprintf(text, sizeof text,
                 "HTTP/1.1 400 Bad Request\r\nNot-Executed: 1\r\n"
                 "Content-Length: 0\r\n\r\n");
        return send_all(connection->fd, text, strlen(text));
    }
    if (!is_health && get_field(head, "Expect-Instance", text, ID_MAX) &&
        strcmp(text, connection->backend->id) != 0) {
        snprintf(body, sizeof body, "not %.40s\n", text);
        snprintf(text, sizeof text,
                 "HTTP/1.1 421 Misdirected Request\r\nRequest-Id: %s\r\n"
                 "Not-Executed: 1\r\nContent-Length: %zu\r\n\r\n%s",
                 id, strlen(body), body);
        return send_all(connection->fd, text, strlen(text));
    }
    if (!is_health) {
        add_run(connection->backend, id, head);
        Kit_Sleep(work_seconds);
    }
    snprintf(body, sizeof body, "%s of %s\n", connection->backend->id,
             connection->backend->service);
    snprintf(text, sizeof text,
             "HTTP/1.1 200 OK\r\n%s%s%sInstance-Id: %s\r\n"
             "Server-Signature: %s.1\r\nServer-Load: 0,0,9,100\r\n"
             "Content-Length: %zu\r\n\r\n%s",
             id[0] ? "Request-Id: " : "", id, id[0] ? "\r\n" : "",
             connection->backend->id, connection->backend->id, strlen(body),
             body);
    return send_all(connection->fd, text, strlen(text));
}

/* Requests of these cases have no body. */
static void *
serve(void *context)
{
    Connection connection = *(Connection *)context;
    char text[16384];
    size_t len = 0;
    ssize_t got;
    char *end;

    free(context);
    while ((got = recv(connection.fd, text + len, sizeof text - 1 - len, 0)) >
           0) {
        len += (size_t)got;
        text[len] = 0;
        while ((end = strstr(text, "\r\n\r\n"))) {
            *end = 0;
            if (!answer_one(&connection, text)) {
                len = 0;
                break;
            }
            len -= (size_t)(end + 4 - text);
            memmove(text, end + 4, len + 1);
        }
    }
    close(connection.fd);
    return NULL;
}

static void
start_thread(void *(*run)(void *), void *context)
{
    pthread_t thread;

    if (pthread_create(&thread, NULL, run, context)) {
        Kit_Exit(Kit_NOT_RUN);
    }
    pthread_detach(thread);
}

static bool
add_connection(Backend *backend, int fd)
{
    bool added;

    pthread_mutex_lock(&lock);
    added = !backend->has_ended && backend->connection_count < CONNECTIONS_MAX;
    if (added) {
        backend->connections[backend->connection_count++] = fd;
    }
    pthread_mutex_unlock(&lock);
    return added;
}

static void *
accept_all(void *context)
{
    Backend *backend = context;

    while (!backend->has_ended) {
        int fd = accept(backend->listener, NULL, NULL);
        if (fd >= 0 && add_connection(backend, fd)) {
            Connection *connection = malloc(sizeof *connection);
            *connection = (Connection){backend, fd};
            start_thread(serve, connection);
        }
        else if (fd >= 0) {
            close(fd);
        }
    }
    return NULL;
}

int
Kit_StartLateBackend(int number, const char *service, double heartbeat_delay)
{
    Backend *backend = &backends[backend_count];
    struct timespec now;

    if (backend_count == Kit_BACKENDS_MAX) {
        Kit_Exit(Kit_NOT_RUN);
    }
    clock_gettime(CLOCK_REALTIME, &now);
    backend->number = number;
    snprintf(backend->service, ID_MAX, "%s", service);
    snprintf(backend->id, ID_MAX, "i-%d", number);
    backend->born_ms = (long long)now.tv_sec * 1000 + now.tv_nsec / 1000000;
    backend->heartbeat_delay = heartbeat_delay;
    backend->listener = listen_at(2, number, BACKEND_PORT);
    if (backend->listener < 0) {
        Kit_Exit(Kit_NOT_RUN);
    }
    start_thread(accept_all, backend);
    start_thread(announce_all, backend);
    return backend_count++;
}

int
Kit_StartBackend(int number, const char *service)
{
    return Kit_StartLateBackend(number, service, 0);
}

void
Kit_EndBackend(int handle)
{
    Backend *backend = &backends[handle];

    pthread_mutex_lock(&lock);
    backend->has_ended = true;
    shutdown(backend->listener, SHUT_RDWR);
    close(backend->listener);
    for (int i = 0; i < backend->connection_count; i++) {
        shutdown(backend->connections[i], SHUT_RDWR);
    }
    pthread_mutex_unlock(&lock);
}

int
Kit_Deregister(int handle)
{
    const Backend *backend = &backends[handle];
    char body[64];
    char text[512];
    KitAnswer answer;

    snprintf(body, sizeof body, "{\"born\":%lld}", backend->born_ms);
    snprintf(text, sizeof text,
             "POST /v1/backends/leave?id=%s HTTP/1.1\r\nHost: node\r\n"
             "Connection: close\r\nContent-Type: application/json\r\n"
             "Content-Length: %zu\r\n\r\n%s",
             backend->id, strlen(body), body);
    call(2, backend->number, CONTROL_PORT, 1, text, &answer);
    return answer.status;
}

int
Kit_CountLateRuns(int handle, double after)
{
    int count = 0;

    pthread_mutex_lock(&lock);
    for (int i = 0; i < run_count; i++) {
        count += runs[i].backend == handle && runs[i].at > after;
    }
    pthread_mutex_unlock(&lock);
    return count;
}

int
Kit_CountRuns(const char *id, char *service)
{
    int count = 0;

    service[0] = 0;
    pthread_mutex_lock(&lock);
    for (int i = 0; i < run_count; i++) {
        if (!strcmp(runs[i].id, id)) {
            count++;
            snprintf(service, ID_MAX, "%s", runs[i].service);
        }
    }
    pthread_mutex_unlock(&lock);
    return count;
}
