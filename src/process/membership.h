/* Mbr, the membership decider: which nodes are here, with which backend
 * server beside them.
 *
 * Each node sends its own record to the control replicas of its region; these
 * keep a numbered table, exchange records with the other replicas, and answer
 * with the rows that changed since the number the node last saw.  Records are
 * soft state: a higher (incarnation, sequence) replaces a lower one, and what
 * is not renewed in time goes.
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

typedef struct {
    MbrRecord record;
    Instant heard_at;
    uint64_t change; /* table number of its last change */
    bool gone;       /* kept for a while so that deltas can tell */
} MbrRow;

typedef enum { Mbr_CAME, Mbr_CHANGED, Mbr_GONE } MbrChange;

/* Told of each change that a node must act on. */
typedef void (*MbrListener)(void *context, MbrChange change,
                            const MbrRecord *record, Instant now);

typedef struct {
    Span expiry; /* a record not renewed for this long goes */
    MbrListener listener;
    void *context;
} MbrSettings;

typedef struct {
    MbrSettings settings;
    MbrRow *rows;
    size_t count;
    size_t cap;
    uint64_t change; /* table number */
} Mbr;

void Mbr_RecordInit(MbrRecord *record);
void Mbr_RecordFinish(MbrRecord *record);
void Mbr_RecordCopy(MbrRecord *to, const MbrRecord *from);

void Mbr_Init(Mbr *mbr, const MbrSettings *settings);
void Mbr_Finish(Mbr *mbr);

/* Take a record over, when it is newer; true when anything changed.  AGE is
 * how long ago its node sent it. */
bool Mbr_OnRecord(Mbr *mbr, const MbrRecord *record, Span age, Instant now);

/* Drop records that were not renewed. */
void Mbr_Expire(Mbr *mbr, Instant now);

const MbrRow *Mbr_Find(const Mbr *mbr, Addr node);

#endif
