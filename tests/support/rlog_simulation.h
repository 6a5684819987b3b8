/* World: several replicated log deciders in one process, joined by a queue of
 * messages that a test can cut, delay, drop and double.
 *
 * Each replica's disk is memory that outlives its restarts.  At every commit
 * the world checks that no replica ever commits anything else than what was
 * committed before; that a term has one leader; and that whoever is current as
 * of a moment holds all that was committed anywhere before it.
 */
#ifndef RLOG_SIMULATION_H
#define RLOG_SIMULATION_H

#include "version/rlog.h"

enum { Rsim_REPLICAS_MAX = 7, Rsim_TERMS = 4096 };

typedef struct RlogSimulation RlogSimulation;

typedef struct {
    uint64_t term;
    uint64_t index;
    RaftEntryKind kind;
    StrBuf data;
} SimulatedEntry;

typedef struct {
    RlogSimulation *sim;
    int number;
    bool is_up;
    bool is_partitioned;  /* no message reaches it or leaves it */
    bool appends_blocked; /* hears no appends or snapshots */
    bool is_disk_full;    /* its disk takes nothing */
    uint64_t identity;
    Addr addr;
    ReplicatedLog rlog;
    Rng rng;
    uint64_t term;
    uint64_t voted_for;
    SimulatedEntry *entries;
    size_t entry_count;
    uint64_t snapshot_term;
    uint64_t snapshot_index;
    StrBuf snapshot;
    StrBuf state; /* each change as "text;" */
    uint32_t snapshots_loaded;
    Instant
        read_requested_at; /* it was asked then, and has not answered; 0: no */
    size_t read_state_min; /* bytes that were committed then */
} SimulatedReplica;

typedef struct SimulatedMessage SimulatedMessage;

struct RlogSimulation {
    Instant now;
    Rng rng;
    SimulatedReplica replicas[Rsim_REPLICAS_MAX];
    int replica_count;
    uint64_t identity_count; /* given so far */
    uint32_t drop_permille;
    uint32_t duplicate_permille;
    Span delay_max; /* over the least delay: reorders */
    SimulatedMessage *queue;
    StrBuf committed; /* what was ever committed */
    uint64_t leaders[Rsim_TERMS];
    int violation_count; /* times a check failed */
    uint64_t read_count; /* answered as current */
    uint32_t voters_max; /* as in RaftSettings; 0: no bound */
};

/* COUNT replicas, all up, the first of which has founded the log. */
void Rsim_Init(RlogSimulation *sim, int count, uint64_t seed);
void Rsim_Finish(RlogSimulation *sim);
void Rsim_Run(RlogSimulation *sim, Span time);

/* Run until a replica leads; its number, or -1 after LIMIT. */
int Rsim_Elect(RlogSimulation *sim, Span limit);

/* The replica that leads now and is not cut, or -1. */
int Rsim_FindLeader(const RlogSimulation *sim);
void Rsim_Kill(RlogSimulation *sim, int number);
void Rsim_Start(RlogSimulation *sim, int number);

/* One more replica, at an address of its own: blank, and not started. */
void Rsim_AddReplica(RlogSimulation *sim);

/* Kill it and take its disk: it starts with a new identity. */
void Rsim_LoseDisk(RlogSimulation *sim, int number);

/* Propose TEXT at the current leader and run until it is committed. */
bool Rsim_CommitChange(RlogSimulation *sim, Str text, Span limit);

/* Every replica that is up has committed all that ever was. */
bool Rsim_AreAllEqual(const RlogSimulation *sim);

#endif
