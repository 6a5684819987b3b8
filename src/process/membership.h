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
    Addr operators;       /* HTTP towards operators there */
    uint64_t incarnation; /* grows with each start of the node */
    uint64_t sequence;    /* grows with each record of that start */
    uint16_t region;
    uint16_t domain;
    bool control;          /* carries the control replica role */
    bool leaving;          /* the node itself is stopping */
    bool present;          /* a backend server is announced beside it */
    StrBuf service;        /* of the backend server */
    LoadReport load;       /* of the backend server */
    uint64_t version_term; /* configuration version in force there */
    uint64_t version_index;
} MbrRecord;

enum {
    Mbr_ROWS_MAX = 4096, /* further nodes are refused */
    Mbr_REPLICAS_MAX = 8
};

typedef struct {
    MbrRecord record;
    Instant heard_at;  /* of it, directly or by another replica */
    Instant direct_at; /* last record from the node itself; 0: none */
    uint64_t said;     /* sequence of the last whole record, directly */
    uint8_t via;       /* bit set of replicas that hear it directly */
    uint64_t change;   /* table number of its last change */
    uint64_t acted;    /* of its last change that nodes act on */
    bool gone;         /* kept for a while so that deltas can tell */
    bool listed;       /* while a whole table is read: it is in there */
} MbrRow;

typedef enum { Mbr_CAME, Mbr_CHANGED, Mbr_GONE } MbrChange;

/* Told of each change that a node must act on. */
typedef void (*MbrListener)(void *context, MbrChange change,
                            const MbrRecord *record, Instant now);

typedef struct {
    Addr self;         /* this node: its row never comes from a table */
    uint16_t region;   /* of this node */
    bool replica;      /* lets rows expire */
    size_t replicas;   /* control replicas there are */
    const Addr *addrs; /* theirs, by number; NULL: not known */
    Span expiry;       /* a record not renewed for this long goes */
    MbrListener listener;
    void *context;
} MbrSettings;

typedef struct {
    MbrSettings settings;
    MbrRow *rows;
    size_t count;
    size_t cap;
    uint64_t change;          /* table number */
    uint64_t acted;           /* highest of the rows' */
    uint64_t forgotten;       /* highest number of a row no longer kept */
    Instant replica_heard_at; /* any other replica */
    Instant node_heard_at;    /* any other node, directly */
} Mbr;

void Mbr_RecordInit(MbrRecord *record);
void Mbr_RecordFinish(MbrRecord *record);
void Mbr_RecordCopy(MbrRecord *to, const MbrRecord *from);

void Mbr_Init(Mbr *mbr, const MbrSettings *settings);
void Mbr_Finish(Mbr *mbr);

/* A record from its node itself (or this node's own); true when that is a
 * change to be told, be it to replicas only. */
bool Mbr_OnRecord(Mbr *mbr, const MbrRecord *record, Instant now);

/* Nothing changed since the whole record of sequence SAID. */
typedef struct {
    Addr node;
    uint64_t incarnation;
    uint64_t said;
    uint64_t sequence;
} MbrRenewal;

typedef enum {
    Mbr_RENEWED,
    Mbr_OLD,     /* repeated, overtaken or of an earlier start: no effect */
    Mbr_UNKNOWN, /* the whole record is needed */
} MbrRenewed;

MbrRenewed Mbr_OnRenewal(Mbr *mbr, const MbrRenewal *renewal, Instant now);

/* Nodes with a backend server beside them. */
size_t Mbr_CountServing(const Mbr *mbr);

/* Which nodes a set of rows has; two that differ differ here too. */
typedef struct {
    uint32_t count;
    uint64_t hash;
} MbrDigest;

bool Mbr_IsEqual(MbrDigest a, MbrDigest b);

/* Of rows that stand but EXCEPT's: all; those heard directly; those that
 * control replica VIA hears directly. */
MbrDigest Mbr_DigestAll(const Mbr *mbr, Addr except);
MbrDigest Mbr_DigestDirect(const Mbr *mbr, Addr except);
MbrDigest Mbr_DigestVia(const Mbr *mbr, unsigned via, Addr except);

/* A row of a control replica's table.  Rows of a WHOLE table are enclosed in
 * Begin and End, and rows not among them are gone. */
void Mbr_BeginTable(Mbr *mbr, bool whole);
void Mbr_OnRow(Mbr *mbr, const MbrRecord *record, bool gone, Instant now);
void Mbr_EndTable(Mbr *mbr, bool whole, Instant now);

/* What control replica VIA hears directly: a row of which that changed; and
 * that it still hears all it told of.  A WHOLE exchange starts afresh. */
void Mbr_BeginExchange(Mbr *mbr, unsigned via, bool whole);
void Mbr_OnHeld(Mbr *mbr, unsigned via, const MbrRecord *record, bool held,
                Instant now);
void Mbr_EndExchange(Mbr *mbr, unsigned via, Instant now);

/* Number VIA is another control replica's from now on. */
void Mbr_ForgetVia(Mbr *mbr, unsigned via);

/* Let records expire that were not renewed (on a replica), and forget rows
 * that are gone for long. */
void Mbr_Expire(Mbr *mbr, Instant now);

/* True when rows changed after SINCE may be missing: a whole table is due. */
bool Mbr_NeedsWhole(const Mbr *mbr, uint64_t since);

/* True when nodes have nothing to act on after SINCE. */
bool Mbr_IsUnchanged(const Mbr *mbr, uint64_t since);

const MbrRow *Mbr_Find(const Mbr *mbr, Addr node);

#endif
