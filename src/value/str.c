#include "value/str.h"

#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <strings.h>
#include <xxhash.h>

#include "value/mem.h"

Str
Str_FromC(const char *text)
{
    /* Needs no bound: the library guarantees the closing NUL. */
    return (Str){text, text ? strnlen(text, SIZE_MAX) : 0};
}

Str
Str_From(const char *ptr, size_t len)
{
    return (Str){ptr, len};
}

bool
Str_Equal(Str a, Str b)
{
    return a.len == b.len && Str_Compare(a, b) == 0;
}

bool
Str_EqualNoCase(Str a, Str b)
{
    return a.len == b.len && (a.len == 0 || !strncasecmp(a.ptr, b.ptr, a.len));
}

bool
Str_StartsWith(Str s, Str prefix)
{
    return s.len >= prefix.len &&
           Str_Equal(Str_Slice(s, 0, prefix.len), prefix);
}

int
Str_Compare(Str a, Str b)
{
    size_t common = a.len < b.len ? a.len : b.len;
    int order = 0;

    if (common && a.ptr && b.ptr) {
        order = memcmp(a.ptr, b.ptr, common);
    }
    if (order) {
        return order;
    }
    return a.len < b.len ? -1 : a.len > b.len;
}

Str
Str_Slice(Str s, size_t offset, size_t len)
{
    size_t start = offset < s.len ? offset : s.len;
    size_t left = s.len - start;

    return (Str){s.ptr ? s.ptr + start : NULL, len < left ? len : left};
}

size_t
Str_Find(Str s, char c)
{
    const char *match = s.len ? memchr(s.ptr, c, s.len) : NULL;

    return match ? (size_t)(match - s.ptr) : s.len;
}

Str
Str_Trim(Str s)
{
    while (s.len && (s.ptr[0] == ' ' || s.ptr[0] == '\t')) {
        s = Str_Slice(s, 1, s.len);
    }
    while (s.len && (s.ptr[s.len - 1] == ' ' || s.ptr[s.len - 1] == '\t')) {
        s.len--;
    }
    return s;
}

bool
Str_ToU64(Str s, uint64_t *value)
{
    uint64_t sum = 0;

    if (s.len == 0) {
        return false;
    }
    for (size_t i = 0; i < s.len; i++) {
        unsigned digit = (unsigned char)s.ptr[i] - (unsigned)'0';
        if (digit > 9 || sum > (UINT64_MAX - digit) / 10) {
            return false;
        }
        sum = sum * 10 + digit;
    }
    *value = sum;
    return true;
}

uint64_t
Str_Hash(Str s)
{
    return XXH64(s.ptr, s.len, 0);
}

/* Makes room for EXTRA more bytes and a closing NUL. */
static void
reserve_bytes(StrBuf *buf, size_t extra)
{
    size_t need = buf->len + extra + 1;

    if (need > buf->cap) {
        size_t cap = buf->cap ? buf->cap : 32;
        while (cap < need) {
            cap *= 2;
        }
        buf->ptr = Mem_Resize(buf->ptr, cap, 1);
        buf->cap = cap;
    }
}

void
StrBuf_Init(StrBuf *buf)
{
    *buf = (StrBuf){0};
}

void
StrBuf_Finish(StrBuf *buf)
{
    Mem_Free(buf->ptr);
    *buf = (StrBuf){0};
}

void
StrBuf_Clear(StrBuf *buf)
{
    buf->len = 0;
}

void
StrBuf_Append(StrBuf *buf, Str s)
{
    if (s.len) {
        reserve_bytes(buf, s.len);
        memcpy(buf->ptr + buf->len, s.ptr, s.len);
        buf->len += s.len;
    }
}

void
StrBuf_AppendFmt(StrBuf *buf, const char *fmt, ...)
{
    va_list args;
    int need;

    va_start(args, fmt);
    need = vsnprintf(NULL, 0, fmt, args);
    va_end(args);
    if (need <= 0) {
        return;
    }
    reserve_bytes(buf, (size_t)need);
    va_start(args, fmt);
    vsnprintf(buf->ptr + buf->len, (size_t)need + 1, fmt, args);
    va_end(args);
    buf->len += (size_t)need;
}

void
StrBuf_Set(StrBuf *buf, Str s)
{
    buf->len = 0;
    StrBuf_Append(buf, s);
}

Str
StrBuf_View(const StrBuf *buf)
{
    return (Str){buf->ptr, buf->len};
}

const char *
StrBuf_CStr(StrBuf *buf)
{
    reserve_bytes(buf, 0);
    buf->ptr[buf->len] = '\0';
    return buf->ptr;
}
