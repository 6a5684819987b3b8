/* Mbr: the table of the nodes that this node knows, and of the backend server
 * beside each.  MembershipSync passes in what other nodes send; the table
 * decides what changed, calls the listener, and sends nothing itself.
 *
 * On a control replica: Mbr_OnRecord and Mbr_OnRenewal for what nodes send,
 * and the exchange functions for what other replicas send.  On other nodes:
 * the table functions for what the source replica sends.  On all, at each
 * heartbeat: Mbr_OnRecord for the node's own record, and Mbr_Expire.
 */
#ifndef MEMBERSHIP_H
#define MEMBERSHIP_H

#include "value/addr.h"
#include "value/instant.h"
#include "value/load.h"

/* How changes spread:
 *
 * Each node sends its full record to a control replica of its region, and
 * short renewals while nothing changes.  A replica numbers the changes of its
 * table and answers with a delta: the rows changed since the change number
 * that the node saw last.
 *
 * A renewal is not a change of the row, nor is a change of load other than of
 * the slots or of draining.  A change of only the configuration version, or
 * of which replicas hear a node, is sent to replicas and not to nodes: at the
 * intended number of nodes, a new version would otherwise change every row at
 * every node.
 *
 * In an exchange, a replica reports to another replica which nodes it hears
 * directly, as a delta with a digest of all of them.  A row whose
 * node no replica hears any more is removed.  While other replicas hear a
 * replica that this one does not, the rows that it reported are kept.  Only
 * replicas expire rows.  Other nodes follow the replicas' tables, so that a
 * node that is cut off from all replicas keeps the rows that it has.
 */

/* What a node reports about itself and the backend server beside it. */
typedef struct {
    Addr node;
    Addr operator_addr;   /* of the node's HTTP server for operators */
    uint64_t incarnation; /* grows with each start of the node */
    uint64_t sequence;    /* grows with each record or renewal of that start */
    uint16_t region;
    uint16_t domain;       /* failure domain */
    bool is_replica;       /* the node is a control replica */
    bool is_leaving;       /* the node is stopping */
    bool has_backend;      /* a backend server is announced beside the node */
    StrBuf service;        /* name of the backend server's service */
    LoadReport load;       /* of the backend server */
    uint64_t version_term; /* configuration version in force at the node */
    uint64_t version_index;
} MemberRecord;

enum {
    Mbr_ROWS_MAX = 4096, /* records of further nodes are ignored */
    Mbr_REPLICAS_MAX = 8 /* bits of heard_by in a row */
};

/* A node in the table. */
typedef struct {
    MemberRecord record;
    Instant heard_at;         /* last report of the node, by the node itself or
                                 from a replica; once removed: the removal */
    Instant direct_heard_at;  /* last record or renewal received from the node
                                 itself; 0: none, or too long ago */
    uint64_t record_sequence; /* of the last full record received from the
                                 node itself */
    uint8_t heard_by;         /* bit set, by replica number: the other replicas
                                 that hear the node directly */
    uint64_t change_number;   /* of the row's last change */
    uint64_t node_change_number; /* of its last change that nodes act on */
    bool is_removed; /* tombstone: kept so that deltas report it; see
                        Mbr_Expire */
    bool is_listed;  /* the full table that is being read has this node */
} MemberRow;

typedef enum {
    Mbr_JOINED, /* the node is new, or is back after its removal */
    Mbr_CHANGED,
    Mbr_REMOVED /* the node left or expired, or a full table lacks it */
} MemberChange;

/* Called for each change that a node acts on, with the node's new record. */
typedef void (*MemberListener)(void *context, MemberChange change,
                               const MemberRecord *record, Instant now);

typedef struct {
    Addr self;                 /* this node; rows that replicas send do
                                  not change its row */
    uint16_t region;           /* of this node */
    bool is_replica;           /* this node is a control replica: its table
                                  expires rows */
    size_t replica_count;      /* control replicas, this node included */
    const Addr *replica_addrs; /* by replica number, not owned; NULL: not
                                  known */
    Span expiry; /* a record that is not renewed for this long expires */
    MemberListener listener; /* NULL: none */
    void *context;           /* of the listener */
} MembershipSettings;

typedef struct {
    MembershipSettings settings;
    MemberRow *rows; /* in no order */
    size_t count;
    size_t cap;
    uint64_t last_change;      /* number of the last change; 0: none yet */
    uint64_t last_node_change; /* of the last change that nodes act on */
    uint64_t purged_change;    /* highest change number of a purged row */
    Instant replica_heard_at; /* last exchange from another replica; 0: none */
    Instant node_heard_at; /* last record or renewal that another node sent to
                              this one; 0: none */
} MembershipTable;

/* A record owns the text of its service.  Copy frees TO's old text. */
void Mbr_RecordInit(MemberRecord *record);
void Mbr_RecordFinish(MemberRecord *record);
void Mbr_RecordCopy(MemberRecord *to, const MemberRecord *from);

void Mbr_Init(MembershipTable *table, const MembershipSettings *settings);
void Mbr_Finish(MembershipTable *table);

/* Takes a full record that a node sent to this one, or this node's own.
 * Returns true when the record changes the row, for nodes or only for
 * replicas.  A stale record, or one of a new node while the table has
 * Mbr_ROWS_MAX rows, is ignored and returns false. */
bool Mbr_OnRecord(MembershipTable *table, const MemberRecord *record,
                  Instant now);

/* Sent in place of a full record: no change since the node's full record of
 * record_sequence. */
typedef struct {
    Addr node;
    uint64_t incarnation;
    uint64_t record_sequence;
    uint64_t sequence; /* of this renewal */
} MemberRenewal;

typedef enum {
    Mbr_RENEWED,
    Mbr_STALE, /* repeated, overtaken or of an earlier start: no effect */
    Mbr_NEEDS_RECORD, /* the full record must be sent: the row is missing,
                         removed, not heard directly, or of another record */
} RenewalResult;

/* Takes a renewal that a node sent to this one. */
RenewalResult Mbr_OnRenewal(MembershipTable *table,
                            const MemberRenewal *renewal, Instant now);

/* Counts the nodes with a backend server beside them. */
size_t Mbr_CountBackends(const MembershipTable *table);

/* Count and hash of the node addresses in a set of rows: the same for the same
 * nodes in any order, and different for different nodes, but for a collision
 * of the hash. */
typedef struct {
    uint32_t count;
    uint64_t hash;
} MembershipDigest;

bool Mbr_DigestsEqual(MembershipDigest a, MembershipDigest b);

/* Digests of rows that are not removed, without the row of node EXCEPT: all
 * rows; rows that this node hears directly; rows that control replica REPLICA
 * hears directly. */
MembershipDigest Mbr_DigestAll(const MembershipTable *table, Addr except);
MembershipDigest Mbr_DigestDirect(const MembershipTable *table, Addr except);
MembershipDigest Mbr_DigestHeardBy(const MembershipTable *table,
                                   unsigned replica, Addr except);

/* Takes the rows of a control replica's table, in a node that is no replica:
 * Begin, OnTableRow for each row, End.  REMOVED: the row is a tombstone.  End
 * of a full table removes the rows that are not in the table. */
void Mbr_BeginTable(MembershipTable *table, bool is_full);
void Mbr_OnTableRow(MembershipTable *table, const MemberRecord *record,
                    bool removed, Instant now);
void Mbr_EndTable(MembershipTable *table, bool is_full, Instant now);

/* Takes an exchange from control replica REPLICA: Begin, OnExchangeRow for
 * each row, End.  HEARD: the replica hears the node directly; else it no
 * longer does.  A full exchange replaces all that the replica reported
 * before; after a delta, the other nodes that the replica reported as heard
 * are still heard. */
void Mbr_BeginExchange(MembershipTable *table, unsigned replica, bool is_full);
void Mbr_OnExchangeRow(MembershipTable *table, unsigned replica,
                       const MemberRecord *record, bool heard, Instant now);
void Mbr_EndExchange(MembershipTable *table, unsigned replica, Instant now);

/* Discards what REPLICA reported: the number is now another replica's. */
void Mbr_ForgetReplica(MembershipTable *table, unsigned replica);

/* Removes the rows that were not renewed for the expiry (on a control
 * replica), and purges old tombstones. */
void Mbr_Expire(MembershipTable *table, Instant now);

/* True when a delta since change number SINCE may lack rows, so that a full
 * table must be sent: SINCE is 0, not of this table, or older than a purged
 * row. */
bool Mbr_NeedsFullTable(const MembershipTable *table, uint64_t since);

/* True when no change after SINCE is one that nodes act on. */
bool Mbr_IsUnchanged(const MembershipTable *table, uint64_t since);

/* Finds the row of NODE, which may be removed; NULL: there is none.  Valid
 * until the table next changes. */
const MemberRow *Mbr_Find(const MembershipTable *table, Addr node);

#endif
