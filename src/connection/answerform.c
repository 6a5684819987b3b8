#include "connection/answerform.h"

void
Afm_Begin(AnswerForm *form)
{
    *form = (AnswerForm){.part = Afm_STATUS_LINE};
}

static void
begin_part(AnswerForm *form, AnswerPart part)
{
    *form = (AnswerForm){.part = part, .in_size = true};
}

void
Afm_BeginChunks(AnswerForm *form)
{
    begin_part(form, Afm_CHUNK_SIZE);
}

typedef enum { IN_LINE, LINE_END, NO_LINE } LineStep;

static LineStep
read_line_byte(AnswerForm *form, char c)
{
    if (form->after_cr && c != '\n') {
        return NO_LINE;
    }
    if (c == '\n') {
        return LINE_END;
    }
    form->after_cr = c == '\r';
    if (!form->after_cr) {
        form->line_len++;
    }
    return IN_LINE;
}

static bool
is_digit(char c)
{
    return c >= '0' && c <= '9';
}

static bool
is_control(char c)
{
    return ((unsigned char)c < ' ' && c != '\t') || c == 127;
}

/* Whether C may stand at PLACE of a status line. */
static bool
fits_status_line(size_t place, char c)
{
    static const Str start = Str_LIT("HTTP/1.0 000 ");

    if (place >= start.len) {
        return !is_control(c);
    }
    return start.ptr[place] == '0' ? is_digit(c) : c == start.ptr[place];
}

/* A sender may leave out the reason, and some the blank before it. */
enum { STATUS_LINE_BYTES_MIN = sizeof "HTTP/1.1 200" - 1 };

static bool
read_status_byte(AnswerForm *form, char c)
{
    size_t place = form->line_len;
    bool is_end = c == '\r' || c == '\n';

    if (is_end && place == 0) {
        return true; /* an empty line before the answer */
    }
    if (is_end ? place < STATUS_LINE_BYTES_MIN : !fits_status_line(place, c)) {
        return false;
    }
    switch (read_line_byte(form, c)) {
    case LINE_END:
        begin_part(form, Afm_FIELDS);
        return true;
    case IN_LINE:
        return true;
    default:
        return false;
    }
}

/* A byte of the fields, which end with an empty line.  NEXT is the part
 * behind them. */
static bool
read_field_byte(AnswerForm *form, char c, AnswerPart next)
{
    if (form->line_len == 0 && (c == ' ' || c == '\t')) {
        return false; /* continues the line before */
    }
    switch (read_line_byte(form, c)) {
    case LINE_END:
        begin_part(form, form->line_len ? form->part : next);
        return true;
    case IN_LINE:
        return true;
    default:
        return false;
    }
}

static int
get_hex_digit(char c)
{
    if (is_digit(c)) {
        return c - '0';
    }
    c |= 0x20;
    return c >= 'a' && c <= 'f' ? c - 'a' + 10 : -1;
}

static bool
read_size_byte(AnswerForm *form, char c)
{
    int digit = get_hex_digit(c);

    form->in_size &= digit >= 0;
    if (form->in_size) {
        form->chunk_left = form->chunk_left * 16 + (uint64_t)digit;
    }
    if (c == '\n' && !form->after_cr) {
        return false;
    }
    switch (read_line_byte(form, c)) {
    case LINE_END:
        if (form->chunk_left) {
            form->part = Afm_CHUNK_DATA;
        }
        else {
            begin_part(form, Afm_TRAILERS);
        }
        return true;
    case IN_LINE:
        return true;
    default:
        return false;
    }
}

/* The CRLF behind the data of a chunk. */
static bool
read_chunk_end_byte(AnswerForm *form, char c)
{
    if (c != (form->after_cr ? '\n' : '\r')) {
        return false;
    }
    if (form->after_cr) {
        begin_part(form, Afm_CHUNK_SIZE);
    }
    else {
        form->after_cr = true;
    }
    return true;
}

static bool
read_byte(AnswerForm *form, char c)
{
    switch (form->part) {
    case Afm_STATUS_LINE:
        return read_status_byte(form, c);
    case Afm_FIELDS:
        return read_field_byte(form, c, Afm_BODY);
    case Afm_CHUNK_SIZE:
        return read_size_byte(form, c);
    case Afm_CHUNK_END:
        return read_chunk_end_byte(form, c);
    case Afm_TRAILERS:
        return read_field_byte(form, c, Afm_BODY);
    default:
        return true;
    }
}

/* Skips data of a chunk.  Returns its bytes. */
static size_t
skip_data(AnswerForm *form, size_t len)
{
    size_t part = len < form->chunk_left ? len : (size_t)form->chunk_left;

    form->chunk_left -= part;
    if (form->chunk_left == 0) {
        begin_part(form, Afm_CHUNK_END);
    }
    return part;
}

bool
Afm_Feed(AnswerForm *form, Str *bytes)
{
    bool in_head = form->part == Afm_STATUS_LINE || form->part == Afm_FIELDS;
    size_t at = 0;

    while (at < bytes->len && form->part != Afm_BODY) {
        if (form->part == Afm_CHUNK_DATA) {
            at += skip_data(form, bytes->len - at);
        }
        else if (!read_byte(form, bytes->ptr[at++])) {
            return false;
        }
    }
    if (in_head && form->part == Afm_BODY) {
        bytes->len = at;
    }
    return true;
}
