/* Stand-ins for a review case: the platform (starts and ends the project's
 * processes), the operator, backend servers and clients.  All of them run as
 * threads of the case's program; each process of the project is a process of
 * its own.  See stand.c.
 */
#ifndef STAND_H
#define STAND_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

enum { MACHINES_MAX = 16, HEAD_MAX = 65536 };

/* Ports, the same on all machines. */
enum {
    PORT_CONTROL = 8620,
    PORT_READY = 8625,
    PORT_APP = 8628,
    PORT_OUTBOUND = 8629,
    PORT_INTERNAL = 7600
};

/* A machine: a process of the project, and beside a sidecar a backend. */
typedef struct {
    char name[32];
    char ip[64];
    char zone[16];
    char service[32]; /* empty: a core machine */
    char settings[320];
    char log[320];
    char data[320];
    pid_t pid;   /* 0: not running */
    bool began;  /* started before: bootstrap is false from then on */
} Machine;

typedef struct Backend Backend;

/* A request as a backend has read it. */
typedef struct {
    Backend *backend;
    int fd;
    char method[16];
    char path[1024];
    char head[HEAD_MAX];
    char *body;
    size_t body_len;
    char id[160];         /* Request-Id */
    char caller[64];      /* Caller-Service */
    char expects[160];    /* Expect-Instance */
    long deadline_ms;     /* Deadline-Ms; -1: none */
    bool keep;            /* the connection stays open after the answer */
} Request;

struct Backend {
    Machine *machine;
    char id[64];
    char service[32];
    long long born_ms;
    int slots;
    volatile bool listening;
    volatile bool beating; /* sends heartbeats */
    volatile bool draining;
    bool quiet; /* its requests are not recorded one by one */
    volatile long sequence;
    int listen_fd;
    /* Runs a request and answers it with Answer_Send or by hand.  NULL: 200
     * with a short body. */
    void (*run)(Request *request);
};

extern bool trouble;             /* false with TROUBLE=0 */
extern char folder[200];         /* temporary */
extern Machine machines[MACHINES_MAX];
extern int machine_count;

/* Seconds of the steady clock. */
double Now(void);
void Sleep(double seconds);

/* Opens record.txt in the folder FOLDER of the case, makes the temporary
 * folder and chooses a free loopback network. */
void Stand_Init(const char *case_folder);
/* Ends all processes, removes the temporary folder, writes VERDICT and exits:
 * 0 held, 1 broken, 2 could not run. */
void Stand_Exit(int verdict, const char *text);

void Record(const char *format, ...) __attribute__((format(printf, 1, 2)));

/* CORE core machines, then one sidecar for each of SERVICES (ends with
 * NULL). */
void Stand_AddMachines(int core, const char *const *services);
Machine *Sidecar(int number);
void Machine_Start(Machine *machine);
void Machine_Signal(Machine *machine, int signal_number);
/* Waits for the end of the process; returns its wait status. */
int Machine_Wait(Machine *machine, double seconds, bool *ended);
bool Machine_IsReady(const Machine *machine);
void Stand_WaitReady(double seconds);

/* Starts to serve and to announce. */
Backend *Backend_Start(Machine *machine, const char *id,
                       void (*run)(Request *request));
/* Writes the next heartbeat of a backend; returns its length. */
int Backend_Print(Backend *backend, char *request, size_t max);
/* Sends one heartbeat at once; returns the status of its answer. */
int Backend_Beat(Backend *backend);
void Answer_Head(Request *request, int status, size_t length);
bool Answer_Bytes(Request *request, size_t count);
void Answer_Send(Request *request, int status, size_t length);

/* One HTTP exchange on a connection of its own; returns the status, 0 without
 * an answer.  ANSWER may be NULL. */
int Http(const char *ip, int port, const char *request, size_t length,
         double seconds, char *answer, size_t answer_max);
/* The operator sends a whole configuration until it is accepted. */
void Operator_Put(long base, const char *json);

int Connect(const char *ip, int port);
bool Send_All(int fd, const char *bytes, size_t count);
long Peak_KB(pid_t pid, const char *field);

#endif
