#include "fleet_keyed.h"

#include <stdio.h>

static bool
contains(Str text, Str part)
{
    for (size_t i = 0; i + part.len <= text.len; i++) {
        if (Str_Equal(Str_Slice(text, i, part.len), part)) {
            return true;
        }
    }
    return false;
}

int
Fleet_StartPost(Fleet *fleet, int vm, Str path, Str key, Str headers, Str body)
{
    int fd = Fleet_RawOpen(fleet, vm, 8000);
    StrBuf text = {0};

    StrBuf_AppendFmt(&text, "POST %.*s HTTP/1.1\r\nHost: x\r\n",
                     Str_ARG(path));
    StrBuf_AppendFmt(&text, "Connection: close\r\nContent-Length: %zu\r\n",
                     body.len);
    if (key.len) {
        StrBuf_AppendFmt(&text, "Idempotency-Key: %.*s\r\n", Str_ARG(key));
    }
    StrBuf_AppendFmt(&text, "%.*s\r\n%.*s", Str_ARG(headers), Str_ARG(body));
    if (fd >= 0) {
        Fleet_RawSend(fd, StrBuf_View(&text));
    }
    StrBuf_Finish(&text);
    return fd;
}

/* TEXT is the whole answer, with its headers. */
static PostOutcome
parse_outcome(Str text)
{
    if (contains(text, Str_LIT("Outcome: unknown"))) {
        return Post_UNKNOWN;
    }
    if (contains(text, Str_LIT("Outcome: not-run"))) {
        return Str_StartsWith(text, Str_LIT("HTTP/1.1 422"))
                   ? Post_KEY_MISMATCH
               : Str_StartsWith(text, Str_LIT("HTTP/1.1 50")) &&
                       !Str_StartsWith(text, Str_LIT("HTTP/1.1 503"))
                   ? Post_CONTRADICTORY
                   : Post_NOT_RUN;
    }
    if (!contains(text, Str_LIT("Outcome: ran"))) {
        return Post_NO_ANSWER;
    }
    if (Str_StartsWith(text, Str_LIT("HTTP/1.1 409"))) {
        return Post_ANSWER_DROPPED;
    }
    return Str_StartsWith(text, Str_LIT("HTTP/1.1 200")) ? Post_ANSWERED
                                                         : Post_BACKEND_ERROR;
}

/* Returns the text from "answer to " to the end of its line, which also finds
 * it in a chunked body; empty without one. */
static Str
find_answer(Str text)
{
    Str prefix = Str_LIT("answer to ");

    for (size_t i = 0; i + prefix.len <= text.len; i++) {
        if (Str_StartsWith(Str_Slice(text, i, text.len), prefix)) {
            Str rest = Str_Slice(text, i, text.len);
            return Str_Slice(rest, 0, Str_Find(rest, '\n'));
        }
    }
    return (Str){0};
}

PostOutcome
Fleet_FinishPost(int fd, Span wait, StrBuf *body)
{
    StrBuf text = {0};
    PostOutcome outcome = Post_NO_ANSWER;

    if (fd >= 0) {
        if (Fleet_RawRead(fd, wait, &text)) {
            outcome = parse_outcome(StrBuf_View(&text));
        }
        Fleet_RawClose(fd);
    }
    StrBuf_Append(body, find_answer(StrBuf_View(&text)));
    StrBuf_Finish(&text);
    return outcome;
}

PostOutcome
Fleet_Post(Fleet *fleet, int vm, Str path, Str key, Str headers, Str body,
           Span wait, StrBuf *answer)
{
    int fd = Fleet_StartPost(fleet, vm, path, key, headers, body);

    return Fleet_FinishPost(fd, wait, answer);
}

bool
Fleet_WaitForKeyedCall(Fleet *fleet, int vm, Str path, Span wait)
{
    for (Span waited = 0; waited < wait; waited += Span_MS(100)) {
        StrBuf key = {0};
        StrBuf answer = {0};
        PostOutcome outcome;
        StrBuf_AppendFmt(&key, "ready-%d-%d", vm, (int)(waited / 1000));
        outcome = Fleet_Post(fleet, vm, path, StrBuf_View(&key), (Str){0},
                             Str_LIT("x"), Span_S(3), &answer);
        StrBuf_Finish(&key);
        StrBuf_Finish(&answer);
        if (outcome == Post_ANSWERED) {
            return true;
        }
        Fleet_Sleep(Span_MS(100));
    }
    return false;
}
