/* Str, StrBuf: length-counted strings.
 *
 * A Str refers to bytes that it does not own; a StrBuf owns its bytes and
 * grows.  Neither needs a closing NUL, and both may contain NUL bytes.  C
 * strings are used only in calls of libraries: Str_FromC converts from them,
 * StrBuf_CStr to them.
 */
#ifndef STR_H
#define STR_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* A string view.  Empty when LEN is 0; PTR may then be NULL. */
typedef struct {
    const char *ptr;
    size_t len;
} Str;

/* A growing string.  All zeros is an empty one without memory. */
typedef struct {
    char *ptr;  /* NULL: nothing allocated yet */
    size_t len; /* bytes used */
    size_t cap; /* bytes allocated */
} StrBuf;

/* A Str of a string literal. */
#define Str_LIT(s) ((Str){(s), sizeof(s) - 1})

/* printf arguments for "%.*s", from a Str or a StrBuf.  Evaluates S more than
 * once. */
#define Str_ARG(s) (int)(s).len, (s).ptr ? (s).ptr : ""

/* Returns a view of a C string without its NUL; NULL gives an empty Str. */
Str Str_FromC(const char *text);

/* Returns a view of LEN bytes at PTR. */
Str Str_From(const char *ptr, size_t len);
bool Str_Equal(Str a, Str b);

/* Ignores the case of letters. */
bool Str_EqualNoCase(Str a, Str b);

bool Str_StartsWith(Str s, Str prefix);

/* Compares byte by byte.  Returns a negative number, 0 or a positive number
 * when A is less than, equal to or greater than B; a prefix is less. */
int Str_Compare(Str a, Str b);

/* Returns the part of S from OFFSET with at most LEN bytes, cut to the bounds
 * of S; empty when OFFSET is beyond its end. */
Str Str_Slice(Str s, size_t offset, size_t len);

/* Returns the offset of the first C in S, or S.len when there is none. */
size_t Str_Find(Str s, char c);

/* Returns S without leading and trailing spaces and tabs. */
Str Str_Trim(Str s);

/* Reads an unsigned decimal integer.  Returns false and leaves VALUE unchanged
 * when S contains anything but digits, is empty or exceeds 64 bits. */
bool Str_ToU64(Str s, uint64_t *value);

/* Returns a 64-bit hash (xxHash, seed 0), the same in every process. */
uint64_t Str_Hash(Str s);

/* Starts an empty buffer; allocates nothing. */
void StrBuf_Init(StrBuf *buf);

/* Frees the bytes; BUF is empty afterwards and may be used again. */
void StrBuf_Finish(StrBuf *buf);

/* Empties BUF but keeps its memory. */
void StrBuf_Clear(StrBuf *buf);

/* Appends a copy of S, which must not point into BUF. */
void StrBuf_Append(StrBuf *buf, Str s);

/* Appends formatted text; nothing when the format fails. */
void StrBuf_AppendFmt(StrBuf *buf, const char *fmt, ...)
    __attribute__((format(printf, 2, 3)));

/* Replaces the content by a copy of S, which must not point into BUF. */
void StrBuf_Set(StrBuf *buf, Str s);

/* Returns a view of the content, valid until the next change. */
Str StrBuf_View(const StrBuf *buf);

/* Returns the content with a closing NUL, for a call of a library; valid until
 * the next change. */
const char *StrBuf_CStr(StrBuf *buf);

#endif
