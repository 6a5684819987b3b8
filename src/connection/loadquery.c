#include "connection/loadquery.h"

/* An answer that takes longer is too old. */
#define WAIT Span_MS(50)

/* After an answer without a load, or none. */
#define MUTE Span_S(2)

void
Ldq_Init(LoadQuery *pulse, BackendPool *pool,
         void (*done)(void *context, Instant now), void *context)
{
    *pulse = (LoadQuery){.pool = pool, .context = context, .on_done = done};
}

void
Ldq_Finish(LoadQuery *pulse)
{
    if (pulse->exchange) {
        Bck_Cancel(pulse->exchange);
    }
    StrBuf_Finish(&pulse->path);
}

void
Ldq_SetPath(LoadQuery *pulse, Str path)
{
    StrBuf_Set(&pulse->path, path);
}

static void
on_head(void *context, uint16_t status, const FieldList *fields)
{
    LoadQuery *pulse = context;

    (void)status;
    pulse->got_load =
        Field_Get(fields, pulse->pool->header_names.load).len > 0;
}

static void
on_bytes(void *context, Str bytes)
{
    (void)context;
    (void)bytes;
}

static void
on_end(void *context, BackendResult end)
{
    LoadQuery *pulse = context;
    Instant now = pulse->pool->clock();

    (void)end;
    pulse->exchange = NULL;
    if (!pulse->got_load) {
        pulse->paused_until = now + MUTE;
    }
    pulse->on_done(pulse->context, now);
}

bool
Ldq_Start(LoadQuery *pulse, Instant now)
{
    BackendRequest request = {
        .method = Str_LIT("GET"),
        .target = StrBuf_View(&pulse->path),
        .time_left = WAIT,
        .is_internal = true,
    };
    BackendCallbacks sink = {pulse, on_head, on_bytes, on_end};

    if (pulse->exchange) {
        return true;
    }
    if (!pulse->path.len || !pulse->pool->header_names.load.len ||
        now < pulse->paused_until) {
        return false;
    }
    Field_Add(&request.fields, Str_LIT("Host"), Str_LIT("backend"));
    pulse->got_load = false;
    pulse->exchange = Bck_Start(pulse->pool, &request, &sink);
    return pulse->exchange != NULL;
}
