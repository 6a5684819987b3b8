/* Ldq: asks the backend server beside this node for its load, over the
 * connections of the pool, when a current load is needed and no recent
 * answer carried it.  The answer also tells whether the backend server is
 * cold.
 *
 * Only one query runs at a time.  After an answer without a load, no query is
 * sent for PAUSE_WITHOUT_LOAD (loadquery.c).
 */
#ifndef LOADQUERY_H
#define LOADQUERY_H

#include "connection/backend.h"

typedef struct {
    BackendPool *pool;
    StrBuf path;               /* of the query; empty: no query is sent */
    BackendExchange *exchange; /* NULL: no query is running */
    bool got_load;             /* the answer carried the load */
    Instant asked_at;          /* when the query was sent */
    bool has_cold_word; /* the answer tells whether the server is cold */
    Span cold_left;     /* for how long it stays so; 0: it is not cold */
    Instant paused_until;
    void *context;
    void (*on_done)(void *context,
                    Instant now); /* called with or without a load */
} LoadQuery;

/* Whether answers to a query can tell whether the server is cold. */
bool Ldq_TellsCold(const LoadQuery *query);

/* Starts without a path.  DONE is called with CONTEXT; POOL must outlive
 * QUERY. */
void Ldq_Init(LoadQuery *query, BackendPool *pool,
              void (*done)(void *context, Instant now), void *context);

/* Cancels a running query without calling DONE. */
void Ldq_Finish(LoadQuery *query);

/* Copies PATH, the path of later queries; empty: none are sent. */
void Ldq_SetPath(LoadQuery *query, Str path);

/* Starts a query unless one is running.  Returns false if none was or could
 * be started: without a path, a load field or a backend server, or during
 * the pause after an answer without a load. */
bool Ldq_Start(LoadQuery *query, Instant now);

#endif
