#include "connection/loadquery.h"

/* A load that takes longer to arrive is out of date. */
#define QUERY_TIMEOUT Span_MS(50)

/* Pause after an answer without a load, or after no answer. */
#define PAUSE_WITHOUT_LOAD Span_S(2)

enum { COLD_MS_MAX = 24 * 3600 * 1000 };

void
Ldq_Init(LoadQuery *query, BackendPool *pool,
         void (*done)(void *context, Instant now), void *context)
{
    *query = (LoadQuery){.pool = pool, .context = context, .on_done = done};
}

void
Ldq_Finish(LoadQuery *query)
{
    if (query->exchange) {
        Bck_Cancel(query->exchange);
    }
    StrBuf_Finish(&query->path);
}

void
Ldq_SetPath(LoadQuery *query, Str path)
{
    StrBuf_Set(&query->path, path);
}

bool
Ldq_TellsCold(const LoadQuery *query)
{
    return query->path.len && query->pool->header_names.load.len &&
           query->pool->header_names.cold.len;
}

/* A good answer without the field is one of a server that is not cold. */
static void
read_cold_word(LoadQuery *query, uint16_t status, const FieldList *fields)
{
    Str text = Str_Trim(Field_Get(fields, query->pool->header_names.cold));
    uint64_t left_ms = 0;

    query->has_cold_word =
        text.len ? Str_ToU64(text, &left_ms) && left_ms <= COLD_MS_MAX
                 : status / 100 == 2;
    query->cold_left = Span_MS((int64_t)left_ms);
}

static void
on_head(void *context, uint16_t status, const FieldList *fields)
{
    LoadQuery *query = context;

    if (query->pool->header_names.cold.len) {
        read_cold_word(query, status, fields);
    }
    query->got_load =
        Field_Get(fields, query->pool->header_names.load).len > 0;
}

static void
on_bytes(void *context, Str bytes)
{
    (void)context;
    (void)bytes;
}

static void
on_end(void *context, BackendResult result)
{
    LoadQuery *query = context;
    Instant now = query->pool->clock();

    (void)result;
    query->exchange = NULL;
    if (!query->got_load) {
        query->paused_until = now + PAUSE_WITHOUT_LOAD;
    }
    query->on_done(query->context, now);
}

bool
Ldq_Start(LoadQuery *query, Instant now)
{
    BackendRequest request = {
        .method = Str_LIT("GET"),
        .target = StrBuf_View(&query->path),
        .time_left = QUERY_TIMEOUT,
        .is_internal = true,
    };
    BackendCallbacks callbacks = {query, on_head, on_bytes, on_end};

    if (query->exchange) {
        return true;
    }
    if (!query->path.len || !query->pool->header_names.load.len ||
        now < query->paused_until) {
        return false;
    }
    Field_Add(&request.fields, Str_LIT("Host"), Str_LIT("backend"));
    query->got_load = false;
    query->has_cold_word = false;
    query->asked_at = now;
    query->exchange = Bck_Start(query->pool, &request, &callbacks);
    return query->exchange != NULL;
}
