/* Kit: what the scripts of this review share.  It starts lycheeridged as the
 * deploy file does, with settings like those that the templates in platform/
 * make, on loopback addresses of its own, and has small stand-ins for the
 * operator, for clients and for backends. */
#ifndef KIT_H
#define KIT_H

#include <stdbool.h>
#include <stddef.h>
#include <sys/types.h>

enum { Kit_PROCESSES_MAX = 16, Kit_BACKENDS_MAX = 16, Kit_TEXT_MAX = 65536 };

enum { Kit_HELD = 0, Kit_BROKEN = 1, Kit_NOT_RUN = 2 };

typedef struct {
    int status; /* 0: no answer */
    char head[4096];
    char body[Kit_TEXT_MAX];
} KitAnswer;

/* Opens record.txt in the folder FOLDER, chooses addresses and a temporary
 * folder.  Exits with Kit_NOT_RUN when that fails. */
void Kit_Init(const char *folder);

/* Ends all processes, removes the temporary folder and exits. */
void Kit_Exit(int status) __attribute__((noreturn));

/* Adds a line to the record, with the seconds since the start. */
void Kit_Record(const char *format, ...)
    __attribute__((format(printf, 1, 2)));

/* Whether TROUBLE=0 is not set. */
bool Kit_HasTrouble(void);

double Kit_Now(void);
void Kit_Sleep(double seconds);

/* Starts control replicas 0 to COUNT - 1. */
void Kit_StartReplicas(int count);

/* Starts the node of sidecar machine NUMBER, whose backend is of SERVICE. */
void Kit_StartNode(int number, const char *service);

/* Starts a stand-in for the backend beside that node.  It heeds the protocol:
 * it announces itself each second and answers each request with 200. */
int Kit_StartBackend(int number, const char *service);

/* The same, for one whose heartbeats arrive HEARTBEAT_DELAY seconds late.  Both
 * return a handle. */
int Kit_StartLateBackend(int number, const char *service,
                         double heartbeat_delay);

/* The backend ends at once, and with it its connections and heartbeats. */
void Kit_EndBackend(int handle);

/* The backend sends instances.deregister.  Returns the status of the answer;
 * 0: none. */
int Kit_Deregister(int handle);

/* How many requests the backend has begun to run later than AFTER. */
int Kit_CountLateRuns(int handle, double after);

/* How long backends work at a request (0 s), and the time between their
 * heartbeats (1 s). */
void Kit_SetTimes(double work, double heartbeat);

/* Sends a heartbeat to the control address of sidecar machine NUMBER.  Returns
 * the status of the answer; 0: none. */
int Kit_Announce(int number, const char *id, const char *body);

/* The address of the backend of sidecar machine NUMBER. */
void Kit_PrintBackendAddress(int number, char *text, size_t size);

/* How many requests with this Request-Id backends have run; the service of
 * the last one goes to SERVICE (64 bytes). */
int Kit_CountRuns(const char *id, char *service);

/* Calls the operators' API of replica NUMBER.  IF_MATCH < 0: none. */
void Kit_Order(int number, const char *path, long if_match, const char *body,
               KitAnswer *answer);

/* Sends a request to the node of sidecar machine NUMBER, on a connection of
 * its own. */
void Kit_Request(int number, const char *method, const char *host,
                 const char *path, const char *id, int deadline_ms,
                 KitAnswer *answer);

/* Whether the node of sidecar machine NUMBER says that it is ready. */
bool Kit_IsReady(int number);

#endif
