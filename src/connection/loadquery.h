/* Pls: asks the backend server beside this node for its load, over the pool's
 * connections, when somebody needs it and no answer brought it lately.
 *
 * One question at a time; a backend server that answers without its load is
 * left alone for a while.
 */
#ifndef LOADQUERY_H
#define LOADQUERY_H

#include "connection/backend.h"

typedef struct {
    BackendPool *pool;
    StrBuf path;               /* empty: nothing is asked */
    BackendExchange *exchange; /* NULL: no question is open */
    bool got_load;             /* the answer brought the load */
    Instant paused_until;
    void *context;
    void (*on_done)(void *context, Instant now); /* with the load or without */
} LoadQuery;

void Ldq_Init(LoadQuery *pulse, BackendPool *pool,
              void (*done)(void *context, Instant now), void *context);
void Ldq_Finish(LoadQuery *pulse);
void Ldq_SetPath(LoadQuery *pulse, Str path);

/* Ask, unless that is going on; false when it is of no use. */
bool Ldq_Start(LoadQuery *pulse, Instant now);

#endif
