/* Rsim: a simulation of several replicas of the replicated log in one
 * process.  Their messages go through a queue that a test can partition,
 * delay, drop and duplicate.
 *
 * The disk of a replica is memory that outlives its restarts.  While a store
 * takes its time the replica does nothing else; afterwards it runs what is due
 * before it reads the messages that have come meanwhile, as the loop of a
 * process may.  The simulation
 * checks that no replica commits anything other than what was committed
 * before, that each term has one leader, and that a replica that is current
 * as of a time holds everything that was committed anywhere before that time.
 * A violation is printed to stderr and counted in violation_count.
 */
#ifndef RLOG_SIMULATION_H
#define RLOG_SIMULATION_H

#include "version/rlog.h"

enum {
    Rsim_REPLICAS_MAX = 7,
    Rsim_TERMS = 4096, /* terms whose leader is remembered */
    Rsim_TICKS = 8192  /* latest ticks that are remembered */
};

typedef struct RlogSimulation RlogSimulation;

/* A stored log entry; owns its data. */
typedef struct {
    uint64_t term;
    uint64_t index;
    RaftEntryKind kind;
    StrBuf data;
} SimulatedEntry;

/* A replica of the log, and its disk. */
typedef struct {
    RlogSimulation *sim;
    int number;           /* index in replicas */
    bool is_up;           /* rlog and rng are initialised */
    bool is_partitioned;  /* all messages to and from it are dropped */
    bool appends_blocked; /* appends and snapshots to it are dropped */
    bool is_deaf;         /* all messages to it are dropped */
    bool is_disk_full;    /* stores of votes, entries and snapshots fail */
    Span store_time;      /* each store holds the replica up for so long */
    Instant busy_until;   /* it handles nothing until then */
    Span link_delay;      /* added to messages to it and from it */
    uint64_t identity;
    Addr addr;
    ReplicatedLog rlog;
    Rng rng;
    /* The disk, from here to snapshot. */
    uint64_t term;
    uint64_t voted_for;
    SimulatedEntry *entries; /* owned, with their data */
    size_t entry_count;
    uint64_t snapshot_term;
    uint64_t snapshot_index; /* 0: no snapshot */
    StrBuf snapshot;
    StrBuf state; /* the committed changes, each as "INDEX:DATA;" */
    uint32_t snapshots_loaded;
    /* The current read index request: its time (0: none) and the length of
     * RlogSimulation.committed at that time. */
    Instant read_requested_at;
    size_t read_state_min;
} SimulatedReplica;

/* The length of RlogSimulation.committed after the tick at AT. */
typedef struct {
    Instant at;
    size_t length;
} CommittedLength;

typedef struct SimulatedMessage SimulatedMessage;

struct RlogSimulation {
    Instant now;
    Rng rng;
    SimulatedReplica replicas[Rsim_REPLICAS_MAX];
    int replica_count;
    uint64_t identity_count; /* identities assigned so far */
    /* Faults of the network, 0 after Rsim_Init: messages dropped and
     * duplicated, of 1000, and the random delay added to delay_min, below
     * delay_max.  The random delay changes the order of messages. */
    uint32_t drop_permille;
    uint32_t duplicate_permille;
    Span delay_min; /* 5 ms after Rsim_Init */
    Span delay_max;
    SimulatedMessage *queue; /* by due time */
    StrBuf committed;        /* the longest state that any replica ever had */
    /* of the latest ticks, the one at AT in slot AT / 5 ms % Rsim_TICKS */
    CommittedLength lengths[Rsim_TICKS];
    /* identity of the leader of a term, at term % Rsim_TERMS; 0: none yet */
    uint64_t leaders[Rsim_TERMS];
    int violation_count;     /* failed checks */
    uint64_t read_count;     /* read index requests that succeeded */
    uint64_t as_of_count;    /* checks of Rlog_CurrentAsOf */
    uint32_t election_count; /* leaders so far */
    uint64_t sent_bytes;     /* data of the entries of all append requests */
    uint32_t sent_snapshots;
    uint32_t voters_max; /* as in RaftSettings; 0: no limit */
};

/* Starts COUNT replicas, at most Rsim_REPLICAS_MAX, as voters; the first one
 * bootstraps the log.  SIM is owned by the caller until Rsim_Finish and must
 * not move. */
void Rsim_Init(RlogSimulation *sim, int count, uint64_t seed);
void Rsim_Finish(RlogSimulation *sim);

/* Advances the simulated time by TIME, in ticks of 5 ms. */
void Rsim_Run(RlogSimulation *sim, Span time);

/* Runs until Rsim_FindLeader finds a leader.  Returns its number, or -1 when
 * LIMIT has passed. */
int Rsim_Elect(RlogSimulation *sim, Span limit);

/* Returns the number of a replica that leads (Rlog_IsLeading) and is not
 * partitioned, or -1. */
int Rsim_FindLeader(const RlogSimulation *sim);

/* Stops replica NUMBER at once; its disk stays.  No effect on a
 * replica that is down. */
void Rsim_Kill(RlogSimulation *sim, int number);

/* Starts replica NUMBER from its disk.  No effect on a replica that is up. */
void Rsim_Start(RlogSimulation *sim, int number);

/* Adds one more replica with an empty disk and an address of its own.  It is
 * not started. */
void Rsim_AddReplica(RlogSimulation *sim);

/* Kills replica NUMBER and empties its disk; it gets a new identity. */
void Rsim_LoseDisk(RlogSimulation *sim, int number);

/* Waits for a leader, proposes TEXT to it and runs until the leader has
 * committed the entry.  Returns false when there is no leader, it rejects the
 * proposal, or LIMIT has passed. */
bool Rsim_CommitChange(RlogSimulation *sim, Str text, Span limit);

/* Whether every replica that is up has committed all changes that were ever
 * committed. */
bool Rsim_AreAllEqual(const RlogSimulation *sim);

#endif
