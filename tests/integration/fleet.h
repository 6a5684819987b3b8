/* Fleet: starts and stops the processes of a small fleet on loopback addresses
 * for a test, and sends calls through its nodes.
 *
 * With KEEP_FLEET in the environment Fleet_Finish keeps the folder of the
 * fleet.  With RECORD_FLEET each node records its decisions there, in
 * "trace<VM>".
 */
#ifndef FLEET_H
#define FLEET_H

#include <sys/types.h>

#include "value/instant.h"
#include "value/str.h"

enum { Fleet_VMS_MAX = 16 };

/* One VM: a node, and a backend server beside it or none. */
typedef struct {
    int number;     /* index in Fleet.vms */
    pid_t node;     /* 0: not running */
    pid_t backend;  /* 0: not running */
    StrBuf ip;      /* 127.<net>.<subnet>.<number + 1> */
    StrBuf service; /* of the backend server; empty: none was started */
} FleetVm;

typedef struct {
    StrBuf build_folder; /* of the programs */
    StrBuf folder;       /* temporary: settings, logs, data, effects */
    int net;             /* reserved for this fleet, see Fleet_ReserveNet */
    int net_socket;      /* holds the reservation */
    int subnet;
    int control_count; /* the first control_count VMs are control replicas */
    FleetVm vms[Fleet_VMS_MAX];
    int vm_count;
    Str seed_vms;          /* as in Fleet_UseSeeds; empty: the settings list
                            * the control replicas */
    bool begins_history;   /* as in Fleet_UseSeeds */
    StrBuf preset;         /* empty; the preset is preset.json in folder */
    StrBuf extra_settings; /* as in Fleet_SetExtraSettings */
    Span member_expiry;    /* setting member_expiry_ms; 1 s after Fleet_Init.
                            * Change it before any node starts. */
    bool delays_syncs;     /* as in Fleet_DelaySyncs */
    pid_t proxy;           /* 0: connections do not go through the proxy */
} Fleet;

/* A request to a node.  The strings are not owned. */
typedef struct {
    Str method;
    Str path;
    Str key;     /* Idempotency-Key; empty: none */
    Str headers; /* further header lines, separated by a newline each */
    Str body;
    Span timeout;     /* for the whole answer; 0: 20 s */
    bool is_http_1_0; /* false: HTTP/1.1 */
} FleetRequest;

/* The answer to a request; Fleet_FinishAnswer frees it. */
typedef struct {
    long status; /* 0: no answer */
    StrBuf body;
    StrBuf headers;      /* status line and headers as received */
    StrBuf outcome;      /* X-Lycheeridge-Outcome; empty: no such header */
    bool is_complete;    /* false: an error or the timeout came first */
    bool connect_failed; /* no connection: the request was not sent */
    Span duration;
} FleetAnswer;

enum { Fleet_LOAD_MAX = 16 }; /* processes of a load */

/* A load: processes that each call through one node after another, with a new
 * key for each call.  The test sets all members except pids. */
typedef struct {
    Str method;
    Str path;
    Str headers;       /* as in FleetRequest */
    int node_count;    /* calls go through the first node_count VMs */
    int process_count; /* at most Fleet_LOAD_MAX */
    Span pause;        /* between two calls of a process */
    pid_t pids[Fleet_LOAD_MAX];
} FleetLoad;

/* The calls of a load by reported outcome, compared with the effects that the
 * backend servers recorded for their keys. */
typedef struct {
    int calls; /* all */
    int ran;
    int not_run;
    int unknown;
    int incomplete;   /* no complete answer, or no known outcome */
    int duplicated;   /* calls with more than one effect */
    int contradicted; /* "ran" without an effect, or "not run" with one */
} FleetTotals;

/* Starts the processes of LOAD and sets load->pids. */
void Fleet_StartLoad(Fleet *fleet, FleetLoad *load);

/* Stops the load, waits for its processes and counts its calls.  Each call
 * that contradicts the effects or is incomplete is printed to stderr.  A fleet
 * can run one load: the file that stops it remains. */
FleetTotals Fleet_StopLoad(Fleet *fleet, FleetLoad *load);

/* Reserves a network 127.<net> in whose subnet fleet->subnet no other fleet on
 * this machine runs, and sets fleet->net and fleet->net_socket.  Returns false
 * when all are in use.  Called by Fleet_Init. */
bool Fleet_ReserveNet(Fleet *fleet);

/* Creates the folder, with a default preset, for a fleet of COUNT VMs, at most
 * Fleet_VMS_MAX; the first CONTROL of them are control replicas.  BUILD is the
 * folder of the programs.  Starts no process.  Exits when no address is free.
 */
void Fleet_Init(Fleet *fleet, Str build, int subnet, int count, int control);

/* Kills the processes that still run and removes the folder. */
void Fleet_Finish(Fleet *fleet);

/* Writes the file of the preset that nodes started from now on read. */
void Fleet_SetPreset(Fleet *fleet, Str json);

/* Adds MEMBERS, JSON members such as "\"ping_ms\":50", to the settings of
 * nodes started from now on, in place of earlier ones.  The daemon rejects
 * settings with a repeated name. */
void Fleet_SetExtraSettings(Fleet *fleet, Str members);

/* Starts a fault proxy that carries every connection between nodes and from
 * nodes to backend servers.  Call it before any node starts.  The link from
 * node I to node J is named nI-J and its pipes REGION>REGION; the link to the
 * backend server beside node I is named bI.  See tools/proxy_control.h. */
void Fleet_UseProxy(Fleet *fleet);

/* Sends COMMAND, one proxy command a line, to the proxy.  Returns false when
 * the proxy rejects it or does not answer. */
bool Fleet_SendProxyCommand(Fleet *fleet, Str command);

/* Makes each sync of a file by node VM wait for DELAY first.  Nodes that were
 * started before the first call for any VM are not delayed. */
void Fleet_DelaySyncs(Fleet *fleet, int vm, Span delay);

/* Appends to a command that starts node VM what precedes the daemon so that
 * its syncs are delayed; nothing before Fleet_DelaySyncs. */
void Fleet_AppendDelay(const Fleet *fleet, int vm, StrBuf *out);

/* Nodes started from now on find the control replicas through seeds.  VMS
 * holds the numbers of the seed VMs, one digit each; it is not copied.  BEGINS
 * is the setting begin_history: the history of the fleet begins with this
 * start.
 */
void Fleet_UseSeeds(Fleet *fleet, Str vms, bool begins);

/* Makes the proxy hold all bytes between node VM and the other nodes, without
 * closing connections. */
void Fleet_Isolate(Fleet *fleet, int vm);

/* Ends the faults of all links of the proxy. */
void Fleet_Heal(Fleet *fleet);

/* Returns the bytes that pipe NAME of the proxy carried; 0 when there is no
 * such pipe or no answer. */
uint64_t Fleet_ReadPipeBytes(Fleet *fleet, Str name);

/* Sets PARAMETERS, such as "slow=20&fail=0", of the fake backend server beside
 * VM; tools/fake_knobs.h lists them.  Returns false when they were not set. */
bool Fleet_ControlBackend(Fleet *fleet, int vm, Str parameters);

/* Returns count NAME, such as "served", of the fake backend server beside VM;
 * 0 when it is not there or could not be read in three tries. */
uint64_t Fleet_ReadBackendCount(Fleet *fleet, int vm, Str name);

/* Returns counter NAME of VM's node, by its name and labels in /metrics; 0
 * when it is not there or could not be read. */
uint64_t Fleet_ReadCounter(Fleet *fleet, int vm, Str name);

/* Whether tests check memory limits.  A process with the address sanitizer
 * also holds shadow memory and recently freed blocks, so the limits apply to
 * the build without it. */
#ifdef __SANITIZE_ADDRESS__
enum { Fleet_MEMORY_IS_CHECKED = 0 };
#else
enum { Fleet_MEMORY_IS_CHECKED = 1 };
#endif

/* Returns the resident memory of PROCESS in KB; 0 when it does not run. */
uint64_t Fleet_ReadResidentKb(pid_t process);

/* Starts COMMAND, words separated by spaces; its content is modified.  Output
 * is appended to LOG.log in the fleet's folder.  Returns the process id. */
pid_t Fleet_StartProcess(Fleet *fleet, StrBuf *command, const char *log);

/* Appends the member "routes", with a comma before it, of node VM's settings;
 * nothing without a proxy. */
void Fleet_AppendRoutes(const Fleet *fleet, int vm, StrBuf *out);

/* Writes the settings of node VM and starts it.  Its data folder stays. */
void Fleet_StartNode(Fleet *fleet, int vm);

/* Starts a fake backend server of SERVICE beside node VM.  OPTIONS are further
 * arguments of fakeback, separated by spaces. */
void Fleet_StartBackend(Fleet *fleet, int vm, Str service, Str options);

/* Sends SIGNAL_NUMBER to *PROCESS, waits for its end and sets *PROCESS to 0.
 * Returns the status of waitpid; 0 when *PROCESS is 0. */
int Fleet_Kill(pid_t *process, int signal_number);

/* Kills the node of VM and deletes its data folder. */
void Fleet_LoseDataFolder(Fleet *fleet, int vm);

/* Sends one call through VM's node and sets ANSWER, which the caller finishes.
 * An empty KEY sends no Idempotency-Key. */
void Fleet_Call(Fleet *fleet, int vm, Str method, Str path, Str key, Str body,
                FleetAnswer *answer);

/* Like Fleet_Call, for any REQUEST. */
void Fleet_Send(Fleet *fleet, int vm, const FleetRequest *request,
                FleetAnswer *answer);

/* Sends GET PATH, with the operators' key, to PORT of VM.  When the answer is
 * a complete 200 within 5 s, returns true and sets BODY; else leaves it. */
bool Fleet_Get(Fleet *fleet, int vm, int port, Str path, StrBuf *body);

/* Connects to PORT of VM.  Returns a descriptor that Fleet_RawClose closes; -1
 * when there is no connection. */
int Fleet_RawOpen(Fleet *fleet, int vm, int port);

/* Sends all BYTES, or as many as the connection takes before it fails. */
void Fleet_RawSend(int fd, Str bytes);

/* Appends received bytes to OUT until the connection ends or no byte arrives
 * for WAIT.  Returns true when the connection ended. */
bool Fleet_RawRead(int fd, Span wait, StrBuf *out);
void Fleet_RawClose(int fd);

void Fleet_FinishAnswer(FleetAnswer *answer);

/* Calls GET PATH through VM until the answer is a complete 200.  Returns false
 * when the pauses of 50 ms between the calls add up to WAIT; the time of the
 * calls themselves does not count. */
bool Fleet_WaitForPath(Fleet *fleet, int vm, Str path, Span wait);

/* Returns how many effects the backend servers recorded for KEY. */
int Fleet_CountEffects(Fleet *fleet, Str key);

void Fleet_Sleep(Span time);

#endif
