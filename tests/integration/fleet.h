/* Fleet: processes of a small fleet on loopback addresses, for tests. */
#ifndef FLEET_H
#define FLEET_H

#include <sys/types.h>

#include "value/instant.h"
#include "value/str.h"

enum { Fleet_VMS_MAX = 16 };

/* One VM: a node, and a backend server beside it (or none). */
typedef struct {
    int number; /* its address is 127.0.<fleet>.<number + 1> */
    pid_t node;
    pid_t backend;
    StrBuf ip;
    StrBuf service;
} FleetVm;

typedef struct {
    StrBuf build;  /* folder of the programs */
    StrBuf folder; /* settings, logs, data, effects */
    int subnet;
    int control; /* the first so many VMs are control replicas */
    FleetVm vms[Fleet_VMS_MAX];
    int count;
    StrBuf preset; /* file */
} Fleet;

typedef struct {
    long status; /* 0: no answer */
    StrBuf body;
    StrBuf outcome; /* X-Lycheeridge-Outcome */
    bool whole;
} FleetAnswer;

/* A folder for a fleet of COUNT VMs; nothing is started yet. */
void Fleet_Init(Fleet *fleet, Str build, int subnet, int count, int control);

/* Kill what still runs; remove the folder. */
void Fleet_Finish(Fleet *fleet);

/* Write the preset that every node starts with. */
void Fleet_SetPreset(Fleet *fleet, Str json);

void Fleet_StartNode(Fleet *fleet, int vm);

/* OPTIONS: further arguments of fakeback, separated by spaces. */
void Fleet_StartBackend(Fleet *fleet, int vm, Str service, Str options);

/* Kill with NUMBER and wait for the end; returns the exit status. */
int Fleet_Kill(pid_t *process, int number);

/* One call through VM's node; KEY may be empty. */
void Fleet_Call(Fleet *fleet, int vm, Str method, Str path, Str key, Str body,
                FleetAnswer *answer);
void Fleet_FinishAnswer(FleetAnswer *answer);

/* Call until GET PATH through VM is answered 200, at most WAIT. */
bool Fleet_WaitFor(Fleet *fleet, int vm, Str path, Span wait);

/* Lines in every backend server's effects that start with KEY. */
int Fleet_CountEffects(Fleet *fleet, Str key);

void Fleet_Sleep(Span time);

#endif
