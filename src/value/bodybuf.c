#include "value/bodybuf.h"

#include <stdatomic.h>
#include <string.h>

#include "value/mem.h"

/* From this size on, bodies grow by parts of themselves. */
enum { LARGE_BYTES = 64 * 1024, GROWTH_DIVISOR = 4, LEAST_DIVISOR = 16 };

struct BodyBuf {
    atomic_uint refs;
    size_t headroom;
    size_t len;
    size_t cap; /* bytes of room for the body */
    char *ptr;  /* the room for the head, then the body */
};

BodyBuf *
Bod_New(size_t headroom)
{
    BodyBuf *body = Mem_Alloc(1, sizeof *body);

    atomic_init(&body->refs, 1);
    body->headroom = headroom;
    return body;
}

void
Bod_Release(BodyBuf *body)
{
    if (body && atomic_fetch_sub(&body->refs, 1) == 1) {
        Mem_Free(body->ptr);
        Mem_Free(body);
    }
}

void
Bod_Retain(BodyBuf *body)
{
    atomic_fetch_add(&body->refs, 1);
}

void
Bod_Reserve(BodyBuf *body, size_t len)
{
    if (len > body->cap || !body->ptr) {
        body->ptr = Mem_Resize(body->ptr, body->headroom + len, 1);
        body->cap = len;
    }
}

void
Bod_Append(BodyBuf *body, Str bytes)
{
    if (bytes.len == 0) {
        return;
    }
    if (body->len + bytes.len > body->cap) {
        Bod_Reserve(body, (body->len + bytes.len) * 2);
    }
    memcpy(body->ptr + body->headroom + body->len, bytes.ptr, bytes.len);
    body->len += bytes.len;
}

static size_t
keep_within(size_t room, size_t max)
{
    return room < max ? room : max;
}

size_t
Bod_ChooseRoom(size_t len, size_t max)
{
    return keep_within(
        len < LARGE_BYTES ? 2 * len : len + len / GROWTH_DIVISOR, max);
}

size_t
Bod_ChooseLeastRoom(size_t len, size_t max)
{
    return keep_within(len < LARGE_BYTES ? len : len + len / LEAST_DIVISOR,
                       max);
}

size_t
Bod_GetRoom(const BodyBuf *body)
{
    return body && body->ptr ? body->cap : 0;
}

Str
Bod_View(const BodyBuf *body)
{
    return body && body->ptr ? Str_From(body->ptr + body->headroom, body->len)
                             : (Str){0};
}

bool
Bod_Prepend(BodyBuf *body, Str head, Str *whole)
{
    char *start;

    if (head.len > body->headroom || !body->ptr ||
        atomic_load(&body->refs) > 1) {
        return false;
    }
    start = body->ptr + body->headroom - head.len;
    memcpy(start, head.ptr, head.len);
    *whole = Str_From(start, head.len + body->len);
    return true;
}
