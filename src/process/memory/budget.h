/* Bdg: the bytes and descriptors that one process may spend on what comes from
 * outside, and who is given up first when they are short.
 *
 * There is one MemoryBudget a process.  Who keeps bytes for a caller, another
 * node or an operator counts them in a size_t of its own, and changes that
 * only by Bdg_Resize, which may refuse, or by Bdg_Force for what is there
 * already.  Each kind of use has a share; the shares add up to more than the
 * whole, so that a kind may use what others leave.  The last part of the whole
 * and of each share is for small holders only: what callers usually send finds
 * room there beside any number of large bodies.
 *
 * Whom to give up is chosen by a BudgetChoice: the owner of a list considers
 * each item that may be given up, and takes the one with the greatest product
 * of bytes and time.  Quick and small ones are never the first.
 */
#ifndef BUDGET_H
#define BUDGET_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "value/instant.h"

typedef enum {
    Bdg_CONNECTIONS, /* of callers, what each costs by itself */
    Bdg_CALLERS,     /* requests of callers at their ingress node */
    Bdg_ANSWERS,     /* of answers, what callers have not taken yet */
    Bdg_ATTEMPTS,    /* requests and answers beside the backend server */
    Bdg_LEDGER,      /* what became of attempts */
    Bdg_OPERATORS,   /* at the ports of operators and of readiness */
    Bdg_KINDS
} BudgetKind;

/* A holder of no more bytes than this is small. */
enum { Bdg_SMALL_BYTES = 64 * 1024 };

typedef struct {
    size_t max;  /* bytes; 0: no limit */
    size_t used; /* of all kinds */
    size_t shares[Bdg_KINDS];
    size_t used_by[Bdg_KINDS];
} MemoryBudget;

/* Prepares the budget of a process that may take MEMORY bytes in all.  What it
 * needs without callers is left out of the budget. */
void Bdg_Init(MemoryBudget *budget, size_t memory);

/* Changes what a holder keeps from *HELD to BYTES.  Returns false, and changes
 * nothing, when it would grow and there is no room. */
bool Bdg_Resize(MemoryBudget *budget, BudgetKind kind, size_t *held,
                size_t bytes);

/* The same for bytes that are there already, room or not. */
void Bdg_Force(MemoryBudget *budget, BudgetKind kind, size_t *held,
               size_t bytes);

/* Whether KIND holds more than its share, or more than a half of it while the
 * whole is spent. */
bool Bdg_IsOver(const MemoryBudget *budget, BudgetKind kind);

/* Whether KIND has an eighth of its share left, and the whole too: until then
 * holders are given up once that has begun. */
bool Bdg_HasSlack(const MemoryBudget *budget, BudgetKind kind);

/* The item to be given up; begins zeroed. */
typedef struct {
    void *item; /* NULL: none */
    uint64_t weight;
} BudgetChoice;

/* Considers ITEM, which keeps BYTES for AGE now: since it began, or since it
 * last got on, as its kind needs it. */
void Bdg_Consider(BudgetChoice *choice, void *item, size_t bytes, Span age);

/* How the descriptors of a process are shared. */
typedef struct {
    uint32_t callers;   /* connections of callers at a time */
    uint32_t operators; /* connections of operators before one is refused */
} DescriptorShares;

/* DESCRIPTORS: of the process; OPERATORS_MAX: the operators' limit in the
 * settings. */
DescriptorShares Bdg_ShareDescriptors(uint32_t descriptors,
                                      uint32_t operators_max);

#endif
