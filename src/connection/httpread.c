#include "connection/httpread.h"

#include <string.h>

/* Bytes that are looked at in one go. */
enum { PART_BYTES = 16384 };

static Hrd *
reader_of(const http_parser *parser)
{
    return parser->data;
}

static bool
add_text(Hrd *reader, HrdSpan *span, const char *at, size_t len)
{
    if (span->len == 0) {
        span->at = reader->text.len;
    }
    StrBuf_Append(&reader->text, Str_From(at, len));
    span->len += len;
    reader->head_bytes += len;
    reader->too_long |= reader->head_bytes > reader->head_bytes_max;
    return !reader->too_long;
}

static int
on_begin(http_parser *parser)
{
    Hrd *reader = reader_of(parser);

    reader->begun = true;
    reader->ended = false;
    reader->too_long = false;
    reader->in_value = false;
    reader->count = 0;
    reader->head_bytes = 0;
    reader->target = (HrdSpan){0};
    StrBuf_Clear(&reader->text);
    return 0;
}

static int
on_target(http_parser *parser, const char *at, size_t len)
{
    Hrd *reader = reader_of(parser);

    return add_text(reader, &reader->target, at, len) ? 0 : -1;
}

static int
on_name(http_parser *parser, const char *at, size_t len)
{
    Hrd *reader = reader_of(parser);

    if (reader->count == 0 || reader->in_value) {
        if (reader->count == Field_MAX) {
            reader->too_long = true;
            return -1;
        }
        reader->in_value = false;
        reader->names[reader->count] = (HrdSpan){0};
        reader->values[reader->count] = (HrdSpan){0};
        reader->count++;
    }
    return add_text(reader, &reader->names[reader->count - 1], at, len) ? 0
                                                                        : -1;
}

static int
on_value(http_parser *parser, const char *at, size_t len)
{
    Hrd *reader = reader_of(parser);

    reader->in_value = true;
    return add_text(reader, &reader->values[reader->count - 1], at, len) ? 0
                                                                         : -1;
}

static Str
text_of(const Hrd *reader, HrdSpan span)
{
    return Str_Slice(StrBuf_View(&reader->text), span.at, span.len);
}

static int
on_head(http_parser *parser)
{
    Hrd *reader = reader_of(parser);
    HrdHead head = {
        .status = (uint16_t)parser->status_code,
        .target = text_of(reader, reader->target),
        .keep_alive = http_should_keep_alive(parser) != 0,
        .http_1_0 = parser->http_major == 1 && parser->http_minor == 0,
        .has_length = (parser->flags & F_CONTENTLENGTH) != 0,
        .chunked = (parser->flags & F_CHUNKED) != 0,
    };

    if (parser->type == HTTP_REQUEST) {
        head.method = Str_FromC(http_method_str(parser->method));
    }
    for (size_t i = 0; i < reader->count; i++) {
        Field_Add(&head.fields, text_of(reader, reader->names[i]),
                  text_of(reader, reader->values[i]));
    }
    if (parser->upgrade || parser->http_major != 1 ||
        !reader->sink.head(reader->sink.context, &head)) {
        return -1;
    }
    return reader->no_body ? 1 : 0;
}

static int
on_bytes(http_parser *parser, const char *at, size_t len)
{
    const Hrd *reader = reader_of(parser);

    return reader->sink.bytes(reader->sink.context, Str_From(at, len)) ? 0
                                                                       : -1;
}

static int
on_end(http_parser *parser)
{
    Hrd *reader = reader_of(parser);

    reader->ended = true;
    reader->begun = false;
    http_parser_pause(parser, 1);
    return 0;
}

static const http_parser_settings callbacks = {
    .on_message_begin = on_begin,
    .on_url = on_target,
    .on_header_field = on_name,
    .on_header_value = on_value,
    .on_headers_complete = on_head,
    .on_body = on_bytes,
    .on_message_complete = on_end,
};

void
Hrd_Init(Hrd *reader, HrdSide side, const HrdSink *sink, size_t head_bytes_max)
{
    *reader = (Hrd){.sink = *sink, .head_bytes_max = head_bytes_max};
    http_parser_init(&reader->parser,
                     side == Hrd_REQUESTS ? HTTP_REQUEST : HTTP_RESPONSE);
    reader->parser.data = reader;
}

void
Hrd_Finish(Hrd *reader)
{
    StrBuf_Finish(&reader->text);
}

/* Forget an end that was told. */
static void
go_on(Hrd *reader)
{
    reader->ended = false;
    if (HTTP_PARSER_ERRNO(&reader->parser) == HPE_PAUSED) {
        http_parser_pause(&reader->parser, 0);
    }
}

static HrdState
state_of(const Hrd *reader)
{
    enum http_errno error = HTTP_PARSER_ERRNO(&reader->parser);

    if (reader->ended) {
        return Hrd_END;
    }
    return error == HPE_OK ? Hrd_MORE : Hrd_BAD;
}

HrdState
Hrd_Feed(Hrd *reader, struct evbuffer *input)
{
    size_t len;

    go_on(reader);
    while ((len = evbuffer_get_contiguous_space(input)) > 0) {
        size_t part = len < PART_BYTES ? len : PART_BYTES;
        const char *bytes =
            (const char *)evbuffer_pullup(input, (ev_ssize_t)part);
        size_t read =
            http_parser_execute(&reader->parser, &callbacks, bytes, part);
        evbuffer_drain(input, read);
        if (state_of(reader) != Hrd_MORE) {
            break;
        }
    }
    return state_of(reader);
}

HrdState
Hrd_Close(Hrd *reader)
{
    go_on(reader);
    http_parser_execute(&reader->parser, &callbacks, "", 0);
    return state_of(reader);
}
