/* World: several replicated log deciders in one process, joined by a queue of
 * messages that a test can cut, delay, drop and double.
 *
 * Each replica's disk is memory that outlives its restarts.  At every commit
 * the world checks that no replica ever commits anything else than what was
 * committed before; that a term has one leader; and that whoever is current as
 * of a moment holds all that was committed anywhere before it.
 */
#ifndef RLOGWORLD_H
#define RLOGWORLD_H

#include "version/rlog.h"

enum { World_REPLICAS = 7, World_TERMS = 4096 };

typedef struct World World;

typedef struct {
    uint64_t term;
    uint64_t index;
    RaftEntryKind kind;
    StrBuf data;
} WorldEntry;

typedef struct {
    World *world;
    int number;
    bool up;
    bool cut;  /* no message reaches it or leaves it */
    bool deaf; /* hears no appends or snapshots */
    bool full; /* its disk takes nothing */
    uint64_t identity;
    Addr addr;
    ReplicatedLog rlog;
    Rng rng;
    uint64_t term;
    uint64_t voted_for;
    WorldEntry *entries;
    size_t entry_count;
    uint64_t snapshot_term;
    uint64_t snapshot_index;
    StrBuf snapshot;
    StrBuf state; /* each change as "text;" */
    uint32_t snapshots_loaded;
    Instant read_at;   /* it was asked then, and has not answered; 0: no */
    size_t read_least; /* bytes that were committed then */
} WorldReplica;

typedef struct WorldMessage WorldMessage;

struct World {
    Instant now;
    Rng rng;
    WorldReplica replicas[World_REPLICAS];
    int count;
    uint64_t identities; /* given so far */
    uint32_t drop_permille;
    uint32_t double_permille;
    Span delay_max; /* over the least delay: reorders */
    WorldMessage *queue;
    StrBuf longest; /* what was ever committed */
    uint64_t leaders[World_TERMS];
    int broken;          /* times a check failed */
    uint64_t reads;      /* answered as current */
    uint32_t voters_max; /* as in RaftSettings; 0: no bound */
};

/* COUNT replicas, all up, the first of which has founded the log. */
void World_Init(World *world, int count, uint64_t seed);
void World_Finish(World *world);
void World_Run(World *world, Span time);

/* Run until a replica leads; its number, or -1 after LIMIT. */
int World_Elect(World *world, Span limit);

/* The replica that leads now and is not cut, or -1. */
int World_Leader(const World *world);
void World_Kill(World *world, int number);
void World_Start(World *world, int number);

/* One more replica, at an address of its own: blank, and not started. */
void World_AddSpare(World *world);

/* Kill it and take its disk: it starts with a new identity. */
void World_LoseDisk(World *world, int number);

/* Propose TEXT at the current leader and run until it is committed. */
bool World_Change(World *world, Str text, Span limit);

/* Every replica that is up has committed all that ever was. */
bool World_AllEqual(const World *world);

#endif
