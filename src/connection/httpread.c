#include "connection/httpread.h"

#include <string.h>

/* Bytes parsed in one step. */
enum { PARSE_BYTES_MAX = 16384 };

enum { OK = 200, NO_CONTENT = 204, NOT_MODIFIED = 304 };

static HttpReader *
reader_of(const http_parser *parser)
{
    return parser->data;
}

static bool
add_text(HttpReader *reader, HttpTextRange *span, const char *at, size_t len)
{
    if (span->len == 0) {
        span->offset = reader->head_text.len;
    }
    StrBuf_Append(&reader->head_text, Str_From(at, len));
    span->len += len;
    reader->head_bytes += len;
    reader->head_too_long |= reader->head_bytes > reader->head_bytes_max;
    return !reader->head_too_long;
}

static int
on_begin(http_parser *parser)
{
    HttpReader *reader = reader_of(parser);

    reader->in_message = true;
    reader->message_ended = false;
    reader->head_too_long = false;
    reader->in_value = false;
    reader->field_count = 0;
    reader->head_bytes = 0;
    reader->target = (HttpTextRange){0};
    StrBuf_Clear(&reader->head_text);
    return 0;
}

static int
on_target(http_parser *parser, const char *at, size_t len)
{
    HttpReader *reader = reader_of(parser);

    return add_text(reader, &reader->target, at, len) ? 0 : -1;
}

static int
on_name(http_parser *parser, const char *at, size_t len)
{
    HttpReader *reader = reader_of(parser);

    if (reader->field_count == 0 || reader->in_value) {
        if (reader->field_count == Field_READ_MAX) {
            reader->head_too_long = true;
            return -1;
        }
        reader->in_value = false;
        reader->names[reader->field_count] = (HttpTextRange){0};
        reader->values[reader->field_count] = (HttpTextRange){0};
        reader->field_count++;
    }
    return add_text(reader, &reader->names[reader->field_count - 1], at, len)
               ? 0
               : -1;
}

static int
on_value(http_parser *parser, const char *at, size_t len)
{
    HttpReader *reader = reader_of(parser);

    reader->in_value = true;
    return add_text(reader, &reader->values[reader->field_count - 1], at, len)
               ? 0
               : -1;
}

static Str
text_of(const HttpReader *reader, HttpTextRange span)
{
    return Str_Slice(StrBuf_View(&reader->head_text), span.offset, span.len);
}

/* Removes the blanks between a name and its colon from an answer; a request
 * with them is malformed (RFC 9112, section 5.1).  Returns false if NAME is no
 * name of a field. */
static bool
trim_name(const http_parser *parser, Str *name)
{
    while (parser->type == HTTP_RESPONSE && name->len &&
           name->ptr[name->len - 1] == ' ') {
        name->len--;
    }
    return name->len && Str_Find(*name, ' ') == name->len;
}

/* RFC 9110, sections 6.4.1 and 15. */
static bool
has_no_body(const HttpReader *reader)
{
    unsigned int status = reader->parser.status_code;

    return reader->skip_body ||
           (reader->parser.type == HTTP_RESPONSE &&
            (status < OK || status == NO_CONTENT || status == NOT_MODIFIED));
}

static int
on_head(http_parser *parser)
{
    HttpReader *reader = reader_of(parser);
    HttpHead head = {
        .status = (uint16_t)parser->status_code,
        .target = text_of(reader, reader->target),
        .keep_alive = http_should_keep_alive(parser) != 0,
        .http_1_0 = parser->http_major == 1 && parser->http_minor == 0,
        .has_content_length = (parser->flags & F_CONTENTLENGTH) != 0,
        .chunked = (parser->flags & F_CHUNKED) != 0,
    };

    if (parser->type == HTTP_REQUEST) {
        head.method = Str_FromC(http_method_str(parser->method));
    }
    for (size_t i = 0; i < reader->field_count; i++) {
        Str name = text_of(reader, reader->names[i]);
        if (!trim_name(parser, &name)) {
            return -1;
        }
        Field_Add(&head.fields, name, text_of(reader, reader->values[i]));
    }
    if (parser->upgrade || parser->http_major != 1 ||
        !reader->callbacks.on_head(reader->callbacks.context, &head)) {
        return -1;
    }
    if (has_no_body(reader)) {
        return 1;
    }
    if (parser->type == HTTP_RESPONSE && head.chunked) {
        Afm_BeginChunks(&reader->form);
    }
    return 0;
}

static int
on_bytes(http_parser *parser, const char *at, size_t len)
{
    const HttpReader *reader = reader_of(parser);

    return reader->callbacks.on_body(reader->callbacks.context,
                                     Str_From(at, len))
               ? 0
               : -1;
}

static int
on_end(http_parser *parser)
{
    HttpReader *reader = reader_of(parser);

    reader->message_ended = true;
    reader->in_message = false;
    Afm_Begin(&reader->form);
    http_parser_pause(parser, 1);
    return 0;
}

static const http_parser_settings parser_callbacks = {
    .on_message_begin = on_begin,
    .on_url = on_target,
    .on_header_field = on_name,
    .on_header_value = on_value,
    .on_headers_complete = on_head,
    .on_body = on_bytes,
    .on_message_complete = on_end,
};

void
Hrd_Init(HttpReader *reader, HttpMessageKind kind,
         const HttpReaderCallbacks *callbacks, size_t head_bytes_max)
{
    *reader = (HttpReader){.callbacks = *callbacks,
                           .head_bytes_max = head_bytes_max};
    http_parser_init(&reader->parser,
                     kind == Hrd_REQUESTS ? HTTP_REQUEST : HTTP_RESPONSE);
    reader->parser.data = reader;
}

void
Hrd_Finish(HttpReader *reader)
{
    StrBuf_Finish(&reader->head_text);
}

void
Hrd_DropHead(HttpReader *reader)
{
    StrBuf_Finish(&reader->head_text);
}

/* Resumes the parser after the end of a message was reported. */
static void
resume_parser(HttpReader *reader)
{
    reader->message_ended = false;
    if (HTTP_PARSER_ERRNO(&reader->parser) == HPE_PAUSED) {
        http_parser_pause(&reader->parser, 0);
    }
}

static HttpReadStatus
read_status(const HttpReader *reader)
{
    enum http_errno error = HTTP_PARSER_ERRNO(&reader->parser);

    if (reader->message_ended) {
        return Hrd_MESSAGE_END;
    }
    return error == HPE_OK ? Hrd_NEEDS_MORE : Hrd_ERROR;
}

HttpReadStatus
Hrd_Feed(HttpReader *reader, struct evbuffer *input)
{
    size_t len;

    resume_parser(reader);
    while ((len = evbuffer_get_contiguous_space(input)) > 0) {
        size_t part = len < PARSE_BYTES_MAX ? len : PARSE_BYTES_MAX;
        Str bytes = Str_From(
            (const char *)evbuffer_pullup(input, (ev_ssize_t)part), part);
        if (reader->parser.type == HTTP_RESPONSE &&
            !Afm_Feed(&reader->form, &bytes)) {
            return Hrd_ERROR;
        }
        evbuffer_drain(input,
                       http_parser_execute(&reader->parser, &parser_callbacks,
                                           bytes.ptr, bytes.len));
        if (read_status(reader) != Hrd_NEEDS_MORE) {
            break;
        }
    }
    return read_status(reader);
}

HttpReadStatus
Hrd_Close(HttpReader *reader)
{
    resume_parser(reader);
    http_parser_execute(&reader->parser, &parser_callbacks, "", 0);
    return read_status(reader);
}
