/* Crowd: many connections of callers that send what a test's row gives, a part
 * of it in turn, and then stay open without reading; little of what comes for
 * them fits into their socket.  The peers may refuse or
 * close them; what was sent and how it ended is not judged here.
 */
#ifndef CROWD_H
#define CROWD_H

#include "fleet.h"

enum { Crowd_MAX = 512 };

/* What each connection sends: PREFIX, UNITS times UNIT, SUFFIX. */
typedef struct {
    Str prefix;
    Str unit;
    size_t units;
    Str suffix;
    size_t part_bytes; /* that one connection sends in its turn, at most */
} CrowdScript;

typedef struct {
    int fds[Crowd_MAX]; /* -1: it could not connect, or has failed */
    size_t sent[Crowd_MAX];
    int count;
} Crowd;

/* Adds COUNT connections to PORT of VM and sends SCRIPT on all of them, in
 * turns, until each has sent all, has failed, or can send no more.  CROWD
 * begins zeroed. */
void Crowd_Add(Crowd *crowd, Fleet *fleet, int vm, int port, int count,
               const CrowdScript *script);

/* Sends BYTES on all connections, without waiting. */
void Crowd_SendAll(Crowd *crowd, Str bytes);

/* Closes all connections; CROWD is empty afterwards. */
void Crowd_Close(Crowd *crowd);

/* Whether PROCESS, a child of this one, still runs. */
bool Crowd_IsAlive(pid_t process);

/* Returns the largest resident memory of PROCESS so far, in KB; 0 when it
 * cannot be read. */
int Crowd_ReadPeakKb(pid_t process);

/* Returns how many descriptors PROCESS has open; 0 when that cannot be
 * read. */
int Crowd_CountDescriptors(pid_t process);

#endif
