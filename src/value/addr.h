/* Addr: where a process listens, and the names of one attempt.
 *
 * An Addr is an IPv4 number and a port packed into 64 bits.  The address of a
 * node's ZeroMQ socket is its name in the fleet; its incarnation tells one
 * start of that process from the next.
 */
#ifndef ADDR_H
#define ADDR_H

#include <stdbool.h>
#include <stdint.h>

#include "value/str.h"

typedef uint64_t Addr;

#define Addr_NONE ((Addr)0)

/* One attempt to run a call: unique over all nodes and all their starts. */
typedef struct {
    uint64_t incarnation; /* of the node that made the attempt */
    uint64_t counter;     /* counted up by that node, from 1 */
} AttemptId;

/* Reads "127.0.1.2:7400"; false when TEXT is anything else. */
bool Addr_Parse(Str text, Addr *addr);

/* Appends "127.0.1.2:7400". */
void Addr_Print(Addr addr, StrBuf *out);

/* Appends "127.0.1.2". */
void Addr_PrintIp(Addr addr, StrBuf *out);

uint16_t Addr_Port(Addr addr);

/* The same IP number with another port. */
Addr Addr_WithPort(Addr addr, uint16_t port);

bool AttemptId_Equal(AttemptId a, AttemptId b);

/* For hash tables. */
uint64_t AttemptId_Hash(AttemptId id);

#endif
