/* Fleet: processes of a small fleet on loopback addresses, for tests.
 *
 * With KEEP_FLEET in the environment the folder stays, and with RECORD_FLEET
 * each node writes a trace of its decisions there.
 */
#ifndef FLEET_H
#define FLEET_H

#include <sys/types.h>

#include "value/instant.h"
#include "value/str.h"

enum { Fleet_VMS_MAX = 16 };

/* One VM: a node, and a backend server beside it (or none). */
typedef struct {
    int number; /* its address is 127.<net>.<subnet>.<number + 1> */
    pid_t node;
    pid_t backend;
    StrBuf ip;
    StrBuf service;
} FleetVm;

typedef struct {
    StrBuf build_folder; /* folder of the programs */
    StrBuf folder;       /* settings, logs, data, effects */
    int net;             /* no other fleet on this machine has it */
    int net_socket;      /* socket that holds the addresses */
    int subnet;
    int control_count; /* the first so many VMs are control replicas */
    FleetVm vms[Fleet_VMS_MAX];
    int vm_count;
    Str seed_vms; /* numbers of VMs, a digit each; empty: a list of replicas */
    bool begins_history;   /* with seeds: its history begins with this start */
    StrBuf preset;         /* file */
    StrBuf extra_settings; /* members of every node's settings */
    Span member_expiry;    /* of members; set before any node starts */
    pid_t proxy;           /* 0: connections do not go through the proxy */
} Fleet;

typedef struct {
    Str method;
    Str path;
    Str key;     /* Idempotency-Key; empty: none */
    Str headers; /* further lines, separated by a newline each */
    Str body;
    Span timeout;     /* for the whole answer; 0: 20 s */
    bool is_http_1_0; /* HTTP/1.0 */
} FleetRequest;

typedef struct {
    long status; /* 0: no answer */
    StrBuf body;
    StrBuf headers; /* all lines as they came */
    StrBuf outcome; /* X-Lycheeridge-Outcome */
    bool is_complete;
    bool connect_failed; /* nobody listens there */
    Span duration;
} FleetAnswer;

enum { Fleet_LOAD_MAX = 16 };

/* Processes that call through one node after another, each with a key of its
 * own. */
typedef struct {
    Str method;
    Str path;
    Str headers;
    int node_count; /* the first so many VMs' */
    int process_count;
    Span pause; /* between two calls of a process */
    pid_t pids[Fleet_LOAD_MAX];
} FleetLoad;

/* What callers were told, compared with the effects by key. */
typedef struct {
    int calls;
    int ran;
    int not_run;
    int unknown;
    int incomplete;   /* no whole answer */
    int duplicated;   /* more than one effect */
    int contradicted; /* ran without effect, or not run with one */
} FleetTotals;

void Fleet_StartLoad(Fleet *fleet, FleetLoad *load);
FleetTotals Fleet_StopLoad(Fleet *fleet, FleetLoad *load);

/* Choose addresses that no other fleet uses; false when all are in use. */
bool Fleet_ReserveNet(Fleet *fleet);

/* A folder for a fleet of COUNT VMs; nothing is started yet. */
void Fleet_Init(Fleet *fleet, Str build, int subnet, int count, int control);

/* Kill what still runs; remove the folder. */
void Fleet_Finish(Fleet *fleet);

/* Write the preset that every node starts with. */
void Fleet_SetPreset(Fleet *fleet, Str json);

/* Add MEMBERS ("\"ping_ms\":50,...") to the settings of nodes that start
 * later; repeated names are refused by the daemon. */
void Fleet_SetExtraSettings(Fleet *fleet, Str members);

/* Lead every connection between nodes, and to backend servers, through one
 * fault proxy; before any node starts.  The link from node I to node J is
 * called nI-J, its pipes REGION>REGION; to the backend server beside node I
 * bI.  See tools/proxy_control.h for the commands. */
void Fleet_UseProxy(Fleet *fleet);

/* Give the proxy one command; false when it refuses. */
bool Fleet_SendProxyCommand(Fleet *fleet, Str command);

/* Nodes that start from now on find the control replicas through seeds: VMS
 * are their numbers, a digit each.  BEGINS: the fleet's history begins. */
void Fleet_UseSeeds(Fleet *fleet, Str vms, bool begins);

/* Let nothing pass to and from node VM, silently; and all pass again. */
void Fleet_Isolate(Fleet *fleet, int vm);
void Fleet_Heal(Fleet *fleet);

/* Bytes that the proxy's pipe NAME carried. */
uint64_t Fleet_ReadPipeBytes(Fleet *fleet, Str name);

/* Set knobs ("slow=20&fail=0") of the backend server beside VM. */
bool Fleet_ControlBackend(Fleet *fleet, int vm, Str parameters);

/* A count ("served") of the backend server beside VM. */
uint64_t Fleet_ReadBackendCount(Fleet *fleet, int vm, Str name);

/* A counter of VM's node, by its name in /metrics. */
uint64_t Fleet_ReadCounter(Fleet *fleet, int vm, Str name);

/* Whether memory is held against a bound: an instrumented process holds shadow
 * memory and what was freed lately, so the bound is the plain build's. */
#ifdef __SANITIZE_ADDRESS__
enum { Fleet_MEMORY_IS_CHECKED = 0 };
#else
enum { Fleet_MEMORY_IS_CHECKED = 1 };
#endif

/* Resident memory of a process, in KB. */
uint64_t Fleet_ReadResidentKb(pid_t process);

/* Run COMMAND (words separated by spaces), its output appended to LOG. */
pid_t Fleet_StartProcess(Fleet *fleet, StrBuf *command, const char *log);

/* The "routes" member of node VM's settings, when there is a proxy. */
void Fleet_AppendRoutes(const Fleet *fleet, int vm, StrBuf *out);

void Fleet_StartNode(Fleet *fleet, int vm);

/* OPTIONS: further arguments of fakeback, separated by spaces. */
void Fleet_StartBackend(Fleet *fleet, int vm, Str service, Str options);

/* Kill with NUMBER and wait for the end; returns the exit status. */
int Fleet_Kill(pid_t *process, int signal_number);

/* Kill VM's node, and lose its data folder. */
void Fleet_LoseDataFolder(Fleet *fleet, int vm);

/* One call through VM's node; KEY may be empty. */
void Fleet_Call(Fleet *fleet, int vm, Str method, Str path, Str key, Str body,
                FleetAnswer *answer);
void Fleet_Send(Fleet *fleet, int vm, const FleetRequest *request,
                FleetAnswer *answer);

/* GET http://IP:PORT/PATH of VM, with the operators' key. */
bool Fleet_Get(Fleet *fleet, int vm, int port, Str path, StrBuf *body);

/* Connect to PORT of VM; a descriptor for Fleet_RawSend and Fleet_RawRead. */
int Fleet_RawOpen(Fleet *fleet, int vm, int port);
void Fleet_RawSend(int fd, Str bytes);

/* Append what comes until the other side closes or is silent for WAIT; true
 * when it closed. */
bool Fleet_RawRead(int fd, Span wait, StrBuf *out);
void Fleet_RawClose(int fd);

void Fleet_FinishAnswer(FleetAnswer *answer);

/* Call until GET PATH through VM is answered 200, at most WAIT. */
bool Fleet_WaitForPath(Fleet *fleet, int vm, Str path, Span wait);

/* Lines in every backend server's effects that start with KEY. */
int Fleet_CountEffects(Fleet *fleet, Str key);

void Fleet_Sleep(Span time);

#endif
