#define _GNU_SOURCE
#include "stand.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <pthread.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

bool trouble = true;
char folder[200];
Machine machines[MACHINES_MAX];
int machine_count;

static FILE *record_file;
static double started_at;
static char network[24];
static pthread_mutex_t record_lock = PTHREAD_MUTEX_INITIALIZER;

double
Now(void)
{
    struct timespec t;

    clock_gettime(CLOCK_MONOTONIC, &t);
    return (double)t.tv_sec + (double)t.tv_nsec / 1e9;
}

void
Sleep(double seconds)
{
    struct timespec t = {(time_t)seconds,
                         (long)((seconds - (double)(time_t)seconds) * 1e9)};

    while (nanosleep(&t, &t) != 0 && errno == EINTR) {
    }
}

void
Record(const char *format, ...)
{
    va_list args;

    pthread_mutex_lock(&record_lock);
    fprintf(record_file, "%8.3f ", Now() - started_at);
    va_start(args, format);
    vfprintf(record_file, format, args);
    va_end(args);
    fputc('\n', record_file);
    fflush(record_file);
    pthread_mutex_unlock(&record_lock);
}

static bool
can_bind(const char *ip, int port)
{
    struct sockaddr_in name = {.sin_family = AF_INET,
                               .sin_port = htons((uint16_t)port)};
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int on = 1;
    bool good;

    inet_pton(AF_INET, ip, &name.sin_addr);
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    good = bind(fd, (struct sockaddr *)&name, sizeof name) == 0;
    close(fd);
    return good;
}

void
Stand_Init(const char *case_folder)
{
    char path[300];
    const char *off = getenv("TROUBLE");

    signal(SIGPIPE, SIG_IGN);
    trouble = !off || strcmp(off, "0") != 0;
    started_at = Now();
    snprintf(path, sizeof path, "%s/record.txt", case_folder);
    record_file = fopen(path, "w");
    snprintf(folder, sizeof folder, "%s/review-XXXXXX",
             getenv("TMPDIR") ? getenv("TMPDIR") : "/tmp");
    if (!record_file || !mkdtemp(folder)) {
        fprintf(stderr, "no record or no temporary folder\n");
        exit(2);
    }
    for (int i = 0;; i++) {
        char ip[32];
        int ports[] = {PORT_CONTROL, PORT_READY, PORT_APP, PORT_OUTBOUND,
                       PORT_INTERNAL};
        bool free_network = true;
        snprintf(network, sizeof network, "127.%d.%d",
                 20 + (int)((getpid() + i) % 200), 1 + (getpid() / 200) % 200);
        snprintf(ip, sizeof ip, "%s.1", network);
        for (size_t k = 0; k < sizeof ports / sizeof ports[0]; k++) {
            free_network = free_network && can_bind(ip, ports[k]);
        }
        if (free_network) {
            break;
        }
        if (i == 100) {
            Stand_Exit(2, "no free loopback network");
        }
    }
    Record("trouble=%d", trouble);
}

void
Stand_Exit(int verdict, const char *text)
{
    char command[300];

    for (int i = 0; i < machine_count; i++) {
        if (machines[i].pid) {
            kill(machines[i].pid, SIGCONT);
            kill(machines[i].pid, SIGKILL);
            waitpid(machines[i].pid, NULL, 0);
        }
    }
    Record("verdict %d: %s", verdict, text);
    printf("verdict %d: %s\n", verdict, text);
    fflush(stdout);
    if (!getenv("KEEP")) {
        snprintf(command, sizeof command, "rm -rf '%s'", folder);
        if (system(command) != 0) {
            fprintf(stderr, "cannot remove the temporary folder\n");
        }
    }
    _exit(verdict);
}

static void
set_path(char *path, size_t max, const char *name, const char *kind)
{
    int n = snprintf(path, max, "%s/%s.%s", folder, name, kind);

    if (n < 0 || (size_t)n >= max) {
        Stand_Exit(2, "the temporary folder has a long name");
    }
}

void
Stand_AddMachines(int core, const char *const *services)
{
    static const char *const zones[] = {"zone-a", "zone-b", "zone-c"};
    int sidecars = 0;

    while (services[sidecars]) {
        sidecars++;
    }
    for (int i = 0; i < core + sidecars; i++) {
        Machine *m = &machines[machine_count++];
        snprintf(m->name, sizeof m->name, "%s-%d",
                 i < core ? "core" : "sidecar", i < core ? i + 1 : i - core + 1);
        snprintf(m->ip, sizeof m->ip, "%s.%d", network, i + 1);
        snprintf(m->zone, sizeof m->zone, "%s", zones[i % 3]);
        snprintf(m->service, sizeof m->service, "%s",
                 i < core ? "" : services[i - core]);
        set_path(m->settings, sizeof m->settings, m->name, "json");
        set_path(m->log, sizeof m->log, m->name, "log");
        set_path(m->data, sizeof m->data, m->name, "data");
    }
}

Machine *
Sidecar(int number)
{
    for (int i = 0; i < machine_count; i++) {
        if (machines[i].service[0] && number-- == 0) {
            return &machines[i];
        }
    }
    return NULL;
}

/* The settings as platform/node.tmpl and platform/replica.tmpl give them. */
static void
write_settings(const Machine *m)
{
    FILE *out = fopen(m->settings, "w");
    int seeds = 0;

    if (!out) {
        Stand_Exit(2, "cannot write settings");
    }
    fprintf(out,
            "{\"name\":\"%s\",\"address\":\"%s:%d\",\"operators\":\"%s:%d\","
            "\"failure_domain\":\"%s\",\"failure_domains\":["
            "{\"name\":\"zone-a\",\"region\":\"region\"},"
            "{\"name\":\"zone-b\",\"region\":\"region\"},"
            "{\"name\":\"zone-c\",\"region\":\"region\"}],"
            "\"control_seeds\":[",
            m->name, m->ip, PORT_INTERNAL, m->ip, PORT_CONTROL, m->zone);
    for (int i = 0; i < machine_count && seeds < 3; i++) {
        if (!machines[i].service[0]) {
            fprintf(out, "%s\"%s:%d\"", seeds++ ? "," : "", machines[i].ip,
                    PORT_CONTROL);
        }
    }
    fprintf(out,
            "],\"control_port\":%d,\"preset\":\"platform/preset.json\","
            "\"operators_open\":true,\"log_level\":\"info\",",
            PORT_INTERNAL);
    if (m->service[0]) {
        fprintf(out,
                "\"callers\":\"%s:%d\",\"ready\":\"%s:%d\",\"backend\":"
                "\"%s:%d\",\"backend_expiry_ms\":10000,\"body_bytes_max\":"
                "67108864,\"bounds\":[\"stop_grace_s=6\"],\"stop_notice_ms\":"
                "2500,\"header_fields\":{\"request_id\":\"Request-Id\","
                "\"deadline_ms\":\"Deadline-Ms\",\"outcome\":\"\","
                "\"expect_instance\":\"Expect-Instance\",\"not_run\":"
                "\"Not-Executed\",\"load\":\"Server-Load\","
                "\"origin_service\":\"Caller-Service\",\"origin_value\":"
                "\"%s\"}}\n",
                m->ip, PORT_OUTBOUND, m->ip, PORT_READY, m->ip, PORT_APP,
                m->service);
    }
    else {
        fprintf(out,
                "\"callers\":\"%s:%d\",\"control\":true,\"control_voters\":5,"
                "\"begin_history\":%s,\"data_folder\":\"%s\","
                "\"stop_bound_ms\":2000,\"heartbeat_ms\":1000,"
                "\"member_expiry_ms\":3000}\n",
                m->ip, PORT_INTERNAL + 1, m->began ? "false" : "true",
                m->data);
    }
    fclose(out);
}

void
Machine_Start(Machine *m)
{
    int log;

    write_settings(m);
    mkdir(m->data, 0700);
    m->began = true;
    log = open(m->log, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
    m->pid = fork();
    if (m->pid == 0) {
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        dup2(log, 1);
        dup2(log, 2);
        execl("target/out/lycheeridged", "target/out/lycheeridged",
              m->settings, (char *)NULL);
        _exit(127);
    }
    close(log);
    Record("%s: process started", m->name);
}

void
Machine_Signal(Machine *m, int signal_number)
{
    Record("%s: signal %s", m->name, strsignal(signal_number));
    kill(m->pid, signal_number);
}

int
Machine_Wait(Machine *m, double seconds, bool *ended)
{
    double until = Now() + seconds;
    int status = 0;

    *ended = false;
    do {
        if (m->pid && waitpid(m->pid, &status, WNOHANG) == m->pid) {
            *ended = true;
            m->pid = 0;
            if (WIFSIGNALED(status)) {
                Record("%s: process ended by signal %d", m->name,
                       WTERMSIG(status));
            }
            else {
                Record("%s: process ended with %d", m->name,
                       WEXITSTATUS(status));
            }
            return status;
        }
        if (seconds > 0) {
            Sleep(0.01);
        }
    } while (Now() < until);
    return 0;
}

int
Connect(const char *ip, int port)
{
    struct sockaddr_in name = {.sin_family = AF_INET,
                               .sin_port = htons((uint16_t)port)};
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    struct timeval limit = {1, 0};
    int on = 1;

    inet_pton(AF_INET, ip, &name.sin_addr);
    setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
    if (connect(fd, (struct sockaddr *)&name, sizeof name) != 0) {
        close(fd);
        return -1;
    }
    limit.tv_sec = 30;
    setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    return fd;
}

bool
Send_All(int fd, const char *bytes, size_t count)
{
    while (count) {
        ssize_t sent = send(fd, bytes, count, MSG_NOSIGNAL);
        if (sent <= 0) {
            return false;
        }
        bytes += sent;
        count -= (size_t)sent;
    }
    return true;
}

/* Reads until the answer is complete by its Content-Length, the connection
 * ends or the time is over. */
int
Http(const char *ip, int port, const char *request, size_t length,
     double seconds, char *answer, size_t answer_max)
{
    static __thread char own[32768];
    char *out = answer ? answer : own;
    size_t max = answer ? answer_max : sizeof own;
    size_t got = 0;
    double until = Now() + seconds;
    int fd = Connect(ip, port);
    int status = 0;

    out[0] = '\0';
    if (fd < 0) {
        return 0;
    }
    if (!Send_All(fd, request, length)) {
        close(fd);
        return 0;
    }
    while (Now() < until && got + 1 < max) {
        struct pollfd p = {fd, POLLIN, 0};
        ssize_t n;
        const char *end;
        if (poll(&p, 1, 50) <= 0) {
            continue;
        }
        n = recv(fd, out + got, max - got - 1, 0);
        if (n <= 0) {
            break;
        }
        got += (size_t)n;
        out[got] = '\0';
        end = strstr(out, "\r\n\r\n");
        if (end) {
            const char *field = strcasestr(out, "\r\nContent-Length:");
            size_t need =
                field && field < end ? strtoul(field + 17, NULL, 10) : 0;
            if (got >= (size_t)(end + 4 - out) + need) {
                break;
            }
        }
    }
    close(fd);
    if (got > 12 && !strncmp(out, "HTTP/1.1 ", 9)) {
        status = atoi(out + 9);
    }
    return status;
}

bool
Machine_IsReady(const Machine *m)
{
    static const char ask[] = "GET /v1/ready HTTP/1.1\r\nHost: ready\r\n"
                              "Connection: close\r\n\r\n";

    return Http(m->ip, PORT_READY, ask, sizeof ask - 1, 1, NULL, 0) == 200;
}

void
Stand_WaitReady(double seconds)
{
    double until = Now() + seconds;

    for (int i = 0; i < machine_count; i++) {
        while (machines[i].service[0] && !Machine_IsReady(&machines[i])) {
            if (Now() >= until) {
                Stand_Exit(2, "a sidecar did not become ready");
            }
            Sleep(0.1);
        }
    }
    Record("all sidecars are ready");
}

void
Operator_Put(long base, const char *json)
{
    size_t max = strlen(json) + 400;
    char *request = malloc(max);
    char answer[4096];
    int length = snprintf(request, max,
                          "POST /v1/routing/put HTTP/1.1\r\nHost: control\r\n"
                          "If-Match: %ld\r\nContent-Type: application/json\r\n"
                          "Content-Length: %zu\r\nConnection: close\r\n\r\n%s",
                          base, strlen(json), json);
    double until = Now() + 20;

    for (int i = 0; Now() < until; i++) {
        int status = Http(machines[i % 3].ip, PORT_CONTROL, request,
                          (size_t)length, 7, answer, sizeof answer);
        if (status == 200) {
            Record("operator: configuration accepted");
            free(request);
            return;
        }
        if (status == 412) {
            Stand_Exit(2, "the configuration was refused");
        }
        Sleep(0.3);
    }
    Stand_Exit(2, "no configuration was accepted");
}

/* ---- backend servers ---- */

static void
get_field(const char *head, const char *name, char *out, size_t max)
{
    char key[80];
    const char *at;
    size_t len;

    snprintf(key, sizeof key, "\r\n%s:", name);
    out[0] = '\0';
    at = strcasestr(head, key);
    if (!at) {
        return;
    }
    at += strlen(key);
    at += strspn(at, " ");
    len = strcspn(at, "\r");
    if (len >= max) {
        len = max - 1;
    }
    memcpy(out, at, len);
    out[len] = '\0';
}

static bool
read_request(Request *r)
{
    size_t got = 0;
    char length[32];
    const char *end = NULL;
    size_t head_len;

    while (!end) {
        ssize_t n = got + 1 < sizeof r->head
                        ? recv(r->fd, r->head + got, sizeof r->head - got - 1, 0)
                        : 0;
        if (n <= 0) {
            return false;
        }
        got += (size_t)n;
        r->head[got] = '\0';
        end = strstr(r->head, "\r\n\r\n");
    }
    head_len = (size_t)(end + 4 - r->head);
    get_field(r->head, "Content-Length", length, sizeof length);
    r->body_len = strtoul(length, NULL, 10);
    r->body = malloc(r->body_len + 1);
    got -= head_len;
    memcpy(r->body, r->head + head_len, got < r->body_len ? got : r->body_len);
    r->head[head_len] = '\0';
    while (got < r->body_len) {
        ssize_t n = recv(r->fd, r->body + got, r->body_len - got, 0);
        if (n <= 0) {
            return false;
        }
        got += (size_t)n;
    }
    if (sscanf(r->head, "%15s %1023s", r->method, r->path) != 2) {
        return false;
    }
    get_field(r->head, "Request-Id", r->id, sizeof r->id);
    get_field(r->head, "Caller-Service", r->caller, sizeof r->caller);
    get_field(r->head, "Expect-Instance", r->expects, sizeof r->expects);
    get_field(r->head, "Deadline-Ms", length, sizeof length);
    r->deadline_ms = length[0] ? atol(length) : -1;
    r->keep = true;
    return true;
}

void
Answer_Head(Request *r, int status, size_t length)
{
    char head[1024];
    int n = snprintf(head, sizeof head,
                     "HTTP/1.1 %d %s\r\nRequest-Id: %s\r\n"
                     "Server-Signature: %s.%zu\r\nContent-Length: %zu\r\n"
                     "Keep-Alive: timeout=10\r\n\r\n",
                     status, status == 200 ? "OK" : "Answer", r->id,
                     r->backend->id, length, length);

    Send_All(r->fd, head, (size_t)n);
}

bool
Answer_Bytes(Request *r, size_t count)
{
    static char bytes[65536];

    if (!bytes[0]) {
        memset(bytes, 'x', sizeof bytes);
    }
    while (count) {
        size_t part = count < sizeof bytes ? count : sizeof bytes;
        if (!Send_All(r->fd, bytes, part)) {
            r->keep = false;
            return false;
        }
        count -= part;
    }
    return true;
}

void
Answer_Send(Request *r, int status, size_t length)
{
    Answer_Head(r, status, length);
    Answer_Bytes(r, length);
}

static void *
serve_connection(void *context)
{
    Request *r = context;

    while (r->backend->listening && read_request(r)) {
        if (!strcmp(r->path, "/health")) {
            char head[256];
            int n = snprintf(head, sizeof head,
                             "HTTP/1.1 %d OK\r\nInstance-Id: %s\r\n"
                             "Content-Length: 0\r\n\r\n",
                             r->backend->draining ? 503 : 200, r->backend->id);
            Send_All(r->fd, head, (size_t)n);
        }
        else if (r->expects[0] && strcmp(r->expects, r->backend->id)) {
            Record("%s: 421 for %s", r->backend->id, r->id);
            Answer_Send(r, 421, 0);
        }
        else {
            if (!r->backend->quiet) {
                Record("%s: runs %s %s %s", r->backend->id, r->id, r->method,
                       r->path);
            }
            if (r->backend->run) {
                r->backend->run(r);
            }
            else {
                Answer_Send(r, 200, 600);
            }
        }
        free(r->body);
        r->body = NULL;
        if (!r->keep) {
            break;
        }
    }
    free(r->body);
    close(r->fd);
    free(r);
    return NULL;
}

static void
start_thread(void *(*run)(void *), void *context)
{
    pthread_attr_t attr;
    pthread_t thread;

    pthread_attr_init(&attr);
    pthread_attr_setdetachstate(&attr, PTHREAD_CREATE_DETACHED);
    pthread_attr_setstacksize(&attr, 1 << 20);
    if (pthread_create(&thread, &attr, run, context) != 0) {
        Stand_Exit(2, "cannot start a thread");
    }
    pthread_attr_destroy(&attr);
}

static void *
accept_connections(void *context)
{
    Backend *b = context;
    int on = 1;

    for (;;) {
        int fd = accept4(b->listen_fd, NULL, NULL, SOCK_CLOEXEC);
        Request *r;
        if (fd < 0) {
            return NULL;
        }
        setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        r = calloc(1, sizeof *r);
        r->backend = b;
        r->fd = fd;
        start_thread(serve_connection, r);
    }
}

int
Backend_Print(Backend *b, char *request, size_t max)
{
    char body[512];
    int n = snprintf(body, sizeof body,
                     "{\"service\":\"%s\",\"address\":\"%s:%d\","
                     "\"zone\":\"%s\",\"revision\":\"v1\",\"slots\":%d,"
                     "\"state\":\"%s\",\"cold_ms\":0,\"sequence\":%ld,"
                     "\"born\":%lld}",
                     b->service, b->machine->ip, PORT_APP, b->machine->zone,
                     b->slots, b->draining ? "draining" : "ready",
                     __sync_add_and_fetch(&b->sequence, 1), b->born_ms);

    return snprintf(request, max,
                    "POST /v1/backends/announce?id=%s HTTP/1.1\r\n"
                    "Host: control\r\nContent-Type: application/json\r\n"
                    "Content-Length: %d\r\nConnection: close\r\n\r\n%s",
                    b->id, n, body);
}

int
Backend_Beat(Backend *b)
{
    char request[1024];
    int len = Backend_Print(b, request, sizeof request);

    return Http(b->machine->ip, PORT_CONTROL, request, (size_t)len, 1, NULL,
                0);
}

static void *
send_heartbeats(void *context)
{
    Backend *b = context;

    while (b->listening) {
        if (b->beating) {
            Backend_Beat(b);
        }
        Sleep(1.5);
    }
    return NULL;
}

Backend *
Backend_Start(Machine *m, const char *id, void (*run)(Request *request))
{
    Backend *b = calloc(1, sizeof *b);
    struct sockaddr_in name = {.sin_family = AF_INET,
                               .sin_port = htons(PORT_APP)};
    struct timespec t;
    int on = 1;

    clock_gettime(CLOCK_REALTIME, &t);
    b->machine = m;
    snprintf(b->id, sizeof b->id, "%s", id);
    snprintf(b->service, sizeof b->service, "%s", m->service);
    b->born_ms = (long long)t.tv_sec * 1000 + t.tv_nsec / 1000000;
    b->slots = 9;
    b->listening = true;
    b->beating = true;
    b->run = run;
    b->listen_fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    inet_pton(AF_INET, m->ip, &name.sin_addr);
    setsockopt(b->listen_fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    if (bind(b->listen_fd, (struct sockaddr *)&name, sizeof name) != 0 ||
        listen(b->listen_fd, 256) != 0) {
        Stand_Exit(2, "a backend cannot listen");
    }
    start_thread(accept_connections, b);
    start_thread(send_heartbeats, b);
    return b;
}

long
Peak_KB(pid_t pid, const char *field)
{
    char path[64];
    char line[256];
    long value = 0;
    FILE *in;

    snprintf(path, sizeof path, "/proc/%d/status", (int)pid);
    in = fopen(path, "r");
    while (in && fgets(line, sizeof line, in)) {
        if (!strncmp(line, field, strlen(field))) {
            value = atol(line + strlen(field) + 1);
        }
    }
    if (in) {
        fclose(in);
    }
    return value;
}
