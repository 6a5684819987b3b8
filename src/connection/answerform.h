/* Afm: checks the bytes of answers for the forms that the HTTP reader lets
 * pass and that are no answer in the protocol: a status line other than
 * "HTTP/1.N NNN", control characters in it, folded lines, a CR without LF,
 * and chunks that are longer than they say.
 */
#ifndef ANSWERFORM_H
#define ANSWERFORM_H

#include "value/str.h"

typedef enum {
    Afm_STATUS_LINE,
    Afm_FIELDS,
    Afm_BODY, /* nothing is checked until Afm_BeginChunks */
    Afm_CHUNK_SIZE,
    Afm_CHUNK_DATA,
    Afm_CHUNK_END,
    Afm_TRAILERS
} AnswerPart;

typedef struct {
    AnswerPart part;
    bool after_cr;
    size_t line_len; /* bytes of the line so far, without its end */
    bool in_size;    /* the digits of a chunk size are being read */
    uint64_t chunk_left;
} AnswerForm;

/* Begins an answer. */
void Afm_Begin(AnswerForm *form);

/* The body that follows the head is chunked. */
void Afm_BeginChunks(AnswerForm *form);

/* Checks the next bytes.  Shortens BYTES to end with the head if the head ends
 * in them.  Returns false if they are no part of an answer. */
bool Afm_Feed(AnswerForm *form, Str *bytes);

#endif
