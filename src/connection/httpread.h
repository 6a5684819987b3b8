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

typedef enum { Hrd_REQUESTS, Hrd_ANSWERS } HrdSide;

typedef enum {
    Hrd_MORE, /* all was read, the message goes on */
    Hrd_END,  /* the message ended; what follows was not looked at */
    Hrd_BAD   /* no HTTP, or over a bound */
} HrdState;

/* Valid until the next message begins. */
typedef struct {
    uint16_t status; /* of an answer */
    Str method;      /* of a request */
    Str target;
    FieldList fields; /* also those that end at one connection */
    bool keep_alive;
    bool http_1_0;
    bool has_length; /* else in chunks, without a body, or up to the close */
    bool chunked;
} HrdHead;

typedef struct {
    void *context;
    /* False: stop, the message is bad. */
    bool (*head)(void *context, const HrdHead *head);
    bool (*bytes)(void *context, Str bytes);
} HrdSink;

/* Where a name or a value stands in the text. */
typedef struct {
    size_t at;
    size_t len;
} HrdSpan;

typedef struct {
    HrdSink sink;
    http_parser parser;
    size_t head_bytes_max;
    size_t head_bytes;
    bool begun;    /* the first byte of a message was read */
    bool no_body;  /* of the next answer: it answers a HEAD */
    bool too_long; /* why it is bad */
    bool ended;
    bool in_value;
    StrBuf text;
    HrdSpan target;
    HrdSpan names[Field_MAX];
    HrdSpan values[Field_MAX];
    size_t count;
} Hrd;

void Hrd_Init(Hrd *reader, HrdSide side, const HrdSink *sink,
              size_t head_bytes_max);
void Hrd_Finish(Hrd *reader);

/* Read from INPUT what belongs to the message, and drain it. */
HrdState Hrd_Feed(Hrd *reader, struct evbuffer *input);

/* The other side sends no more: Hrd_END when that ends the message. */
HrdState Hrd_Close(Hrd *reader);

#endif
