/* Mso, the decider of what a node tells which control replica at a heartbeat.
 *
 * One replica, of the node's own region if one answers, is the source: it
 * gets a short renewal, and its rows are taken.  When the source leaves a
 * heartbeat unanswered, the whole record goes to a second one as well, so
 * that somebody hears the node long before its expiry; when it leaves three,
 * to all, and the first that answers is the next source.  Replicas tell each
 * other whole records, always.
 */
#ifndef MEMBERSOURCE_H
#define MEMBERSOURCE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "value/instant.h"

#define Mso_NONE SIZE_MAX

typedef enum { Mso_NOTHING, Mso_RENEWAL, Mso_RECORD } MsoTell;

typedef struct {
    uint64_t table;      /* which one it numbered; 0: none */
    uint64_t number;     /* last table number got from it */
    uint64_t said;       /* sequence of the last whole record; 0: none */
    Instant answered_at; /* 0: never */
    bool near;           /* of this node's region */
    bool self;
} MsoReplica;

typedef struct {
    Span heartbeat;
    bool control;    /* this node is a control replica itself */
    uint64_t spread; /* any number that differs by node */
    size_t count;
    MsoReplica *replicas;
    size_t source; /* Mso_NONE: none */
} Mso;

/* Nodes that differ in SPREAD are spread over the replicas of a region. */
void Mso_Init(Mso *mso, size_t count, Span heartbeat, bool control,
              uint64_t spread);
void Mso_Finish(Mso *mso);

/* Keep the source, or take another that answered lately; to be called before
 * Mso_Ask at each heartbeat. */
void Mso_Choose(Mso *mso, Instant now);

/* What REPLICA is told of this node's record, which changed last at sequence
 * SAID (1 or more); a node that is LEAVING tells all. */
MsoTell Mso_Ask(const Mso *mso, size_t replica, uint64_t said, bool leaving,
                Instant now);

/* Rows of REPLICA are wanted. */
bool Mso_Wants(const Mso *mso, size_t replica);

/* REPLICA's number is another's now. */
void Mso_Forget(Mso *mso, size_t replica);

/* The whole record of sequence SAID went to REPLICA. */
void Mso_OnSaid(Mso *mso, size_t replica, uint64_t said);

/* REPLICA answered; and does not know this node. */
void Mso_OnAnswer(Mso *mso, size_t replica, Instant now);
void Mso_OnUnknown(Mso *mso, size_t replica);

#endif
