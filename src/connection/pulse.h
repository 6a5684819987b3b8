/* Pls: asks the backend server beside this node for its load, over the pool's
 * connections, when somebody needs it and no answer brought it lately.
 *
 * One question at a time; a backend server that answers without its load is
 * left alone for a while.
 */
#ifndef PULSE_H
#define PULSE_H

#include "connection/backend.h"

typedef struct {
    BckPool *pool;
    StrBuf path;           /* empty: nothing is asked */
    BckExchange *exchange; /* NULL: no question is open */
    bool told;             /* the answer brought the load */
    Instant mute_until;
    void *context;
    void (*done)(void *context, Instant now); /* with the load or without */
} Pulse;

void Pls_Init(Pulse *pulse, BckPool *pool,
              void (*done)(void *context, Instant now), void *context);
void Pls_Finish(Pulse *pulse);
void Pls_SetPath(Pulse *pulse, Str path);

/* Ask, unless that is going on; false when it is of no use. */
bool Pls_Ask(Pulse *pulse, Instant now);

#endif
