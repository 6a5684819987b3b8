/* Addr: IPv4 socket addresses and the ids of attempts.
 *
 * The address of a node's ZeroMQ socket identifies the node in the fleet.  Its
 * incarnation, a number that differs for each start of the process,
 * distinguishes one start of the node from another.
 */
#ifndef ADDR_H
#define ADDR_H

#include <stdbool.h>
#include <stdint.h>

#include "value/str.h"

/* An IPv4 address in bits 16 to 47 and a port in bits 0 to 15. */
typedef uint64_t Addr;

/* No address; Addr_Parse never returns it. */
#define Addr_NONE ((Addr)0)

/* Id of one attempt to run a call.  Unique over all nodes and all their
 * starts. */
typedef struct {
    uint64_t incarnation; /* of the node that made the attempt */
    uint64_t counter;     /* incremented by that node, from 1 */
} AttemptId;

/* Reads an address such as "127.0.1.2:7400", with a port from 1 to 65535.
 * Returns false and leaves ADDR unchanged when TEXT is anything else. */
bool Addr_Parse(Str text, Addr *addr);

/* Appends the address and port, such as "127.0.1.2:7400", to OUT. */
void Addr_Print(Addr addr, StrBuf *out);

/* Appends the address without its port, such as "127.0.1.2", to OUT. */
void Addr_PrintIp(Addr addr, StrBuf *out);

/* Returns the port of ADDR. */
uint16_t Addr_Port(Addr addr);

/* Returns ADDR with its port replaced by PORT. */
Addr Addr_WithPort(Addr addr, uint16_t port);

bool AttemptId_Equal(AttemptId a, AttemptId b);

/* Hash of ID, for a HashTable. */
uint64_t AttemptId_Hash(AttemptId id);

#endif
