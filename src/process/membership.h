/* Mbr, the membership decider: which nodes are here, with which backend
 * server beside them.
 *
 * Each node sends its own record to a control replica of its region, and
 * renewals of it from then on.  A replica keeps a numbered table and answers
 * with the rows that changed since the number the node last saw.  A renewal,
 * and a change of load, is no change.  A change of only the configuration
 * version, or of who hears a node, is one for replicas, not for nodes: at the
 * target a version would change every row at every node.  Replicas tell each
 * other which rows they hear from directly, as changes, with a digest of all;
 * a row that no replica hears of any more is gone.  A replica that cannot be
 * heard while others hear it keeps the rows it told of.  Only replicas let
 * rows expire: everybody else goes by their tables, so that a node cut off
 * from them keeps what it knows.
 */
#ifndef MEMBERSHIP_H
#define MEMBERSHIP_H

#include "value/addr.h"
#include "value/instant.h"
#include "value/load.h"

typedef struct {
    Addr node;
    Addr operator_addr;   /* HTTP towards operators there */
    uint64_t incarnation; /* grows with each start of the node */
    uint64_t sequence;    /* grows with each record of that start */
    uint16_t region;
    uint16_t domain;
    bool is_replica;       /* carries the control replica role */
    bool is_leaving;       /* the node itself is stopping */
    bool has_backend;      /* a backend server is announced beside it */
    StrBuf service;        /* of the backend server */
    LoadReport load;       /* of the backend server */
    uint64_t version_term; /* configuration version in force there */
    uint64_t version_index;
} MemberRecord;

enum {
    Mbr_ROWS_MAX = 4096, /* further nodes are refused */
    Mbr_REPLICAS_MAX = 8
};

typedef struct {
    MemberRecord record;
    Instant heard_at;         /* of it, directly or by another replica */
    Instant direct_heard_at;  /* last record from the node itself; 0: none */
    uint64_t record_sequence; /* sequence of the last whole record, directly */
    uint8_t heard_by;         /* bit set of replicas that hear it directly */
    uint64_t change_number;   /* table number of its last change */
    uint64_t node_change_number; /* of its last change that nodes act on */
    bool is_removed;             /* kept for a while so that deltas can tell */
    bool is_listed; /* while a whole table is read: it is in there */
} MemberRow;

typedef enum { Mbr_JOINED, Mbr_CHANGED, Mbr_REMOVED } MemberChange;

/* Told of each change that a node must act on. */
typedef void (*MemberListener)(void *context, MemberChange change,
                               const MemberRecord *record, Instant now);

typedef struct {
    Addr self;            /* this node: its row never comes from a table */
    uint16_t region;      /* of this node */
    bool is_replica;      /* lets rows expire */
    size_t replica_count; /* control replicas there are */
    const Addr *replica_addrs; /* theirs, by number; NULL: not known */
    Span expiry;               /* a record not renewed for this long goes */
    MemberListener listener;
    void *context;
} MembershipSettings;

typedef struct {
    MembershipSettings settings;
    MemberRow *rows;
    size_t count;
    size_t cap;
    uint64_t last_change;      /* table number */
    uint64_t last_node_change; /* highest of the rows' */
    uint64_t purged_change;    /* highest number of a row no longer kept */
    Instant replica_heard_at;  /* any other replica */
    Instant node_heard_at;     /* any other node, directly */
} MembershipTable;

void Mbr_RecordInit(MemberRecord *record);
void Mbr_RecordFinish(MemberRecord *record);
void Mbr_RecordCopy(MemberRecord *to, const MemberRecord *from);

void Mbr_Init(MembershipTable *mbr, const MembershipSettings *settings);
void Mbr_Finish(MembershipTable *mbr);

/* A record from its node itself (or this node's own); true when that is a
 * change to be told, be it to replicas only. */
bool Mbr_OnRecord(MembershipTable *mbr, const MemberRecord *record,
                  Instant now);

/* Nothing changed since the whole record of sequence SAID. */
typedef struct {
    Addr node;
    uint64_t incarnation;
    uint64_t record_sequence;
    uint64_t sequence;
} MemberRenewal;

typedef enum {
    Mbr_RENEWED,
    Mbr_STALE, /* repeated, overtaken or of an earlier start: no effect */
    Mbr_NEEDS_RECORD, /* the whole record is needed */
} RenewalResult;

RenewalResult Mbr_OnRenewal(MembershipTable *mbr, const MemberRenewal *renewal,
                            Instant now);

/* Nodes with a backend server beside them. */
size_t Mbr_CountBackends(const MembershipTable *mbr);

/* Which nodes a set of rows has; two that differ differ here too. */
typedef struct {
    uint32_t count;
    uint64_t hash;
} MembershipDigest;

bool Mbr_DigestsEqual(MembershipDigest a, MembershipDigest b);

/* Of rows that stand but EXCEPT's: all; those heard directly; those that
 * control replica VIA hears directly. */
MembershipDigest Mbr_DigestAll(const MembershipTable *mbr, Addr except);
MembershipDigest Mbr_DigestDirect(const MembershipTable *mbr, Addr except);
MembershipDigest Mbr_DigestHeardBy(const MembershipTable *mbr, unsigned via,
                                   Addr except);

/* A row of a control replica's table.  Rows of a WHOLE table are enclosed in
 * Begin and End, and rows not among them are gone. */
void Mbr_BeginTable(MembershipTable *mbr, bool whole);
void Mbr_OnTableRow(MembershipTable *mbr, const MemberRecord *record,
                    bool gone, Instant now);
void Mbr_EndTable(MembershipTable *mbr, bool whole, Instant now);

/* What control replica VIA hears directly: a row of which that changed; and
 * that it still hears all it told of.  A WHOLE exchange starts afresh. */
void Mbr_BeginExchange(MembershipTable *mbr, unsigned via, bool whole);
void Mbr_OnExchangeRow(MembershipTable *mbr, unsigned via,
                       const MemberRecord *record, bool held, Instant now);
void Mbr_EndExchange(MembershipTable *mbr, unsigned via, Instant now);

/* Number VIA is another control replica's from now on. */
void Mbr_ForgetReplica(MembershipTable *mbr, unsigned via);

/* Let records expire that were not renewed (on a replica), and forget rows
 * that are gone for long. */
void Mbr_Expire(MembershipTable *mbr, Instant now);

/* True when rows changed after SINCE may be missing: a whole table is due. */
bool Mbr_NeedsFullTable(const MembershipTable *mbr, uint64_t since);

/* True when nodes have nothing to act on after SINCE. */
bool Mbr_IsUnchanged(const MembershipTable *mbr, uint64_t since);

const MemberRow *Mbr_Find(const MembershipTable *mbr, Addr node);

#endif
