/* Hrd: reads one direction of an HTTP/1.1 connection as a sequence of
 * messages.
 *
 * Hrd_Feed parses the bytes that have arrived and reports the head and the
 * body of a message through callbacks.  The reader stops at the end of each
 * message until it is fed again, so that its owner decides when the next
 * message may begin.  An answer with status 1xx, 204 or 304 ends with its
 * head, whatever its fields say.
 */
#ifndef HTTPREAD_H
#define HTTPREAD_H

#include <event2/buffer.h>
#include <http_parser.h>

#include "connection/answerform.h"
#include "request/field.h"

typedef enum { Hrd_REQUESTS, Hrd_ANSWERS } HttpMessageKind;

typedef enum {
    Hrd_NEEDS_MORE,  /* all input was read; the message is incomplete */
    Hrd_MESSAGE_END, /* the message ended; input after it was not read */
    Hrd_ERROR        /* malformed, too large, or stopped by a callback */
} HttpReadStatus;

/* Head of a message.  Its strings are valid until the next message begins. */
typedef struct {
    uint16_t status; /* of an answer */
    Str method;      /* of a request */
    Str target;
    FieldList fields; /* hop-by-hop fields included */
    bool keep_alive;
    bool http_1_0;
    bool has_content_length; /* else chunked, without a body, or ended by the
                                close */
    bool chunked;
} HttpHead;

typedef struct {
    void *context;
    /* Both return false to stop reading the message with Hrd_ERROR. */
    bool (*on_head)(void *context, const HttpHead *head);
    bool (*on_body)(void *context, Str bytes);
} HttpReaderCallbacks;

/* Position of a name or a value in head_text. */
typedef struct {
    size_t offset;
    size_t len;
} HttpTextRange;

typedef struct {
    HttpReaderCallbacks callbacks;
    http_parser parser;
    AnswerForm form; /* of answers */
    size_t head_bytes_max;
    size_t head_bytes;
    bool in_message;    /* a message has begun and not ended */
    bool skip_body;     /* the answer is to a HEAD request; on_head may still
                           set it */
    bool head_too_long; /* the cause of Hrd_ERROR is the size of the head or
                           the number of its fields */
    bool message_ended;
    bool in_value;
    StrBuf head_text;
    HttpTextRange target;
    HttpTextRange names[Field_READ_MAX];
    HttpTextRange values[Field_READ_MAX];
    size_t field_count;
} HttpReader;

/* Copies CALLBACKS.  A head of more than HEAD_BYTES_MAX bytes or
 * Field_READ_MAX fields is an error. */
void Hrd_Init(HttpReader *reader, HttpMessageKind kind,
              const HttpReaderCallbacks *callbacks, size_t head_bytes_max);
void Hrd_Finish(HttpReader *reader);

/* Frees the text of the head: nothing more of the message is needed. */
void Hrd_DropHead(HttpReader *reader);

/* Reads and drains INPUT up to the end of the current message. */
HttpReadStatus Hrd_Feed(HttpReader *reader, struct evbuffer *input);

/* Handles the end of the input.  Returns Hrd_MESSAGE_END if the close ends
 * the message. */
HttpReadStatus Hrd_Close(HttpReader *reader);

#endif
