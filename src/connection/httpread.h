/* Hrd: one side of an HTTP/1.1 connection read as messages, one at a time.
 *
 * Feed it what arrived; it tells the head, the bytes of the body and the end
 * of each message, and then stops until it is fed again, so that its owner
 * decides when the next message may begin.
 */
#ifndef HTTPREAD_H
#define HTTPREAD_H

#include <event2/buffer.h>
#include <http_parser.h>

#include "request/field.h"

typedef enum { Hrd_REQUESTS, Hrd_ANSWERS } HttpMessageKind;

typedef enum {
    Hrd_NEEDS_MORE,  /* all was read, the message goes on */
    Hrd_MESSAGE_END, /* the message ended; what follows was not looked at */
    Hrd_ERROR        /* no HTTP, or over a bound */
} HttpReadStatus;

/* Valid until the next message begins. */
typedef struct {
    uint16_t status; /* of an answer */
    Str method;      /* of a request */
    Str target;
    FieldList fields; /* also those that end at one connection */
    bool keep_alive;
    bool http_1_0;
    bool has_content_length; /* else in chunks, without a body, or up to the
                                close */
    bool chunked;
} HttpHead;

typedef struct {
    void *context;
    /* False: stop, the message is bad. */
    bool (*on_head)(void *context, const HttpHead *head);
    bool (*on_body)(void *context, Str bytes);
} HttpReaderCallbacks;

/* Where a name or a value stands in the text. */
typedef struct {
    size_t offset;
    size_t len;
} HttpTextRange;

typedef struct {
    HttpReaderCallbacks callbacks;
    http_parser parser;
    size_t head_bytes_max;
    size_t head_bytes;
    bool in_message;    /* the first byte of a message was read */
    bool skip_body;     /* of the next answer: it answers a HEAD */
    bool head_too_long; /* why it is bad */
    bool message_ended;
    bool in_value;
    StrBuf head_text;
    HttpTextRange target;
    HttpTextRange names[Field_MAX];
    HttpTextRange values[Field_MAX];
    size_t field_count;
} HttpReader;

void Hrd_Init(HttpReader *reader, HttpMessageKind side,
              const HttpReaderCallbacks *sink, size_t head_bytes_max);
void Hrd_Finish(HttpReader *reader);

/* Read from INPUT what belongs to the message, and drain it. */
HttpReadStatus Hrd_Feed(HttpReader *reader, struct evbuffer *input);

/* The other side sends no more: Hrd_MESSAGE_END when that ends the message. */
HttpReadStatus Hrd_Close(HttpReader *reader);

#endif
