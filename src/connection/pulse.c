#include "connection/pulse.h"

/* An answer that takes longer is too old. */
#define WAIT Span_MS(50)

/* After an answer without a load, or none. */
#define MUTE Span_S(2)

void
Pls_Init(Pulse *pulse, BckPool *pool, void (*done)(void *context, Instant now),
         void *context)
{
    *pulse = (Pulse){.pool = pool, .context = context, .done = done};
}

void
Pls_Finish(Pulse *pulse)
{
    if (pulse->exchange) {
        Bck_Cancel(pulse->exchange);
    }
    StrBuf_Finish(&pulse->path);
}

void
Pls_SetPath(Pulse *pulse, Str path)
{
    StrBuf_Set(&pulse->path, path);
}

static void
on_head(void *context, uint16_t status, const FieldList *fields)
{
    Pulse *pulse = context;

    (void)status;
    pulse->told = Field_Get(fields, pulse->pool->names.load).len > 0;
}

static void
on_bytes(void *context, Str bytes)
{
    (void)context;
    (void)bytes;
}

static void
on_end(void *context, BckEnd end)
{
    Pulse *pulse = context;
    Instant now = pulse->pool->clock();

    (void)end;
    pulse->exchange = NULL;
    if (!pulse->told) {
        pulse->mute_until = now + MUTE;
    }
    pulse->done(pulse->context, now);
}

bool
Pls_Ask(Pulse *pulse, Instant now)
{
    BckRequest request = {
        .method = Str_LIT("GET"),
        .target = StrBuf_View(&pulse->path),
        .left = WAIT,
        .plain = true,
    };
    BckSink sink = {pulse, on_head, on_bytes, on_end};

    if (pulse->exchange) {
        return true;
    }
    if (!pulse->path.len || !pulse->pool->names.load.len ||
        now < pulse->mute_until) {
        return false;
    }
    Field_Add(&request.fields, Str_LIT("Host"), Str_LIT("backend"));
    pulse->told = false;
    pulse->exchange = Bck_Start(pulse->pool, &request, &sink);
    return pulse->exchange != NULL;
}
