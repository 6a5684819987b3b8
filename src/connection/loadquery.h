/* Ldq: asks the backend server beside this node for its load, over the
 * connections of the pool, when a current load is needed and no recent
 * answer carried it.
 *
 * Only one query runs at a time. After an answer without a load, no query is
 * sent for a while.
 */
#ifndef LOADQUERY_H
#define LOADQUERY_H

#include "connection/backend.h"

typedef struct {
    BackendPool *pool;
    StrBuf path;               /* of the query; empty: no query is sent */
    BackendExchange *exchange; /* NULL: no query is running */
    bool got_load;             /* the answer carried the load */
    Instant paused_until;
    void *context;
    void (*on_done)(void *context,
                    Instant now); /* called with or without a load */
} LoadQuery;

void Ldq_Init(LoadQuery *query, BackendPool *pool,
              void (*done)(void *context, Instant now), void *context);
void Ldq_Finish(LoadQuery *query);
void Ldq_SetPath(LoadQuery *query, Str path);

/* Starts a query unless one is running. Returns false if none was or could
 * be started: without a path, a load field or a backend server, or during
 * the pause after an answer without a load. */
bool Ldq_Start(LoadQuery *query, Instant now);

#endif
