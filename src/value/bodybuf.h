/* Bod: the body of a request, which is kept once however often it is sent.
 *
 * The bytes are appended first; from then on they stay where they are, and a
 * message can be written around them: Bod_Prepend puts its head into the room
 * before the body, so that head and body are sent without a copy.  A buffer
 * that is being sent is retained until the library has sent it, which may end
 * on a thread of the library: the references are counted atomically, and
 * nothing else is shared.
 */
#ifndef BODYBUF_H
#define BODYBUF_H

#include <stdbool.h>

#include "value/str.h"

typedef struct BodyBuf BodyBuf;

/* Returns an empty buffer with HEADROOM bytes of room for Bod_Prepend; the
 * caller holds one reference. */
BodyBuf *Bod_New(size_t headroom);

/* Drops a reference; the last one frees the bytes.  NULL is allowed. */
void Bod_Release(BodyBuf *body);
void Bod_Retain(BodyBuf *body);

/* Makes room for LEN bytes in all, and adds BYTES at the end.  Only before the
 * first Bod_Retain. */
void Bod_Reserve(BodyBuf *body, size_t len);
void Bod_Append(BodyBuf *body, Str bytes);

/* The room for a body of LEN bytes so far whose length is not known, MAX bytes
 * at most: up to 64 KB twice as much, then a quarter more.  Where so much is
 * refused, Bod_ChooseLeastRoom says what has to do: a sixteenth more of a
 * large one, so that growing never copies it for each piece that arrives. */
size_t Bod_ChooseRoom(size_t len, size_t max);
size_t Bod_ChooseLeastRoom(size_t len, size_t max);

/* Returns how many bytes of body fit before Bod_Append makes room; NULL has
 * none. */
size_t Bod_GetRoom(const BodyBuf *body);

/* Returns the bytes that were appended; NULL has none. */
Str Bod_View(const BodyBuf *body);

/* Writes HEAD right before the body and sets WHOLE to both.  Returns false
 * when there is not enough room, or when an earlier message is still being
 * sent. */
bool Bod_Prepend(BodyBuf *body, Str head, Str *whole);

#endif
