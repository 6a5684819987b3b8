#include "proxy_control.h"

#include <event2/buffer.h>
#include <fnmatch.h>

#include "connection/evhttptext.h"
#include "process/loop.h"
#include "value/mem.h"

/* Longest command, "add"; further words are ignored. */
enum { WORDS_MAX = 6 };

typedef struct {
    Str items[WORDS_MAX];
    size_t count;
} Words;

static void
split_words(Str line, Words *words)
{
    words->count = 0;
    line = Str_Trim(line);
    while (line.len && words->count < WORDS_MAX) {
        size_t end = Str_Find(line, ' ');
        words->items[words->count++] = Str_Slice(line, 0, end);
        line = Str_Trim(Str_Slice(line, end, line.len));
    }
}

static bool
matches_pattern(Str pattern, StrBuf *name)
{
    StrBuf text = {0};
    bool matched;

    StrBuf_Set(&text, pattern);
    matched = fnmatch(StrBuf_CStr(&text), StrBuf_CStr(name), 0) == 0;
    StrBuf_Finish(&text);
    return matched;
}

static bool
add_link(ProxyControl *control, const Words *words, Err *err)
{
    Addr listen = Addr_NONE;
    Addr target = Addr_NONE;
    Str name = words->items[1];
    StrBuf forward = {0};
    StrBuf back = {0};
    Link *link;

    if (words->count < 4 || !Addr_Parse(words->items[2], &listen) ||
        !Addr_Parse(words->items[3], &target)) {
        return Err_SET(err, Err_MALFORMED, "add LINK LISTEN TARGET");
    }
    StrBuf_AppendFmt(&forward, "%.*s>", Str_ARG(name));
    StrBuf_AppendFmt(&back, "%.*s<", Str_ARG(name));
    if (words->count == 6) {
        StrBuf_Set(&forward, words->items[4]);
        StrBuf_Set(&back, words->items[5]);
    }
    link = Mem_Alloc(1, sizeof *link);
    if (Prl_Init(link, control->base, name, listen, target,
                 Pip_GetOrAdd(&control->pipes, StrBuf_View(&forward)),
                 Pip_GetOrAdd(&control->pipes, StrBuf_View(&back)), err)) {
        link->next = control->links;
        control->links = link;
    }
    else {
        Mem_Free(link);
        link = NULL;
    }
    StrBuf_Finish(&forward);
    StrBuf_Finish(&back);
    return link != NULL;
}

static bool
set_pipes(ProxyControl *control, const Words *words, Err *err)
{
    uint64_t value;
    int count = 0;

    if (words->count != 3 || !Str_ToU64(words->items[2], &value)) {
        return Err_SET(err, Err_MALFORMED, "delay|rate PIPE NUMBER");
    }
    for (Pipe *pipe = control->pipes.first; pipe; pipe = pipe->next) {
        if (matches_pattern(words->items[1], &pipe->name)) {
            count++;
            if (Str_Equal(words->items[0], Str_LIT("delay"))) {
                pipe->delay = (Span)value;
            }
            else {
                pipe->rate = value;
                pipe->free_at = 0;
            }
        }
    }
    return count || Err_SET(err, Err_MALFORMED, "no such pipe");
}

static bool
parse_direction(Str word, bool *forward, bool *back)
{
    bool both = Str_Equal(word, Str_LIT("both"));

    *forward = both || Str_Equal(word, Str_LIT("forward"));
    *back = both || Str_Equal(word, Str_LIT("back"));
    return *forward || *back;
}

static bool
run_link_command(Link *link, const Words *words, Instant now, Err *err)
{
    Str verb = words->items[0];
    bool forward;
    bool back;

    if (Str_Equal(verb, Str_LIT("cut"))) {
        Prl_Cut(link);
        return true;
    }
    if (Str_Equal(verb, Str_LIT("pass"))) {
        Prl_SetMode(link, Flw_PASS, Flw_PASS, now);
        return true;
    }
    if (words->count != 3 ||
        !parse_direction(words->items[2], &forward, &back)) {
        return Err_SET(err, Err_MALFORMED, "forward, back or both");
    }
    if (Str_Equal(verb, Str_LIT("freeze"))) {
        Prl_Freeze(link, forward, back, now);
        return true;
    }
    if (Str_Equal(verb, Str_LIT("hold"))) {
        Prl_SetMode(link, forward ? Flw_HOLD : Flw_PASS,
                    back ? Flw_HOLD : Flw_PASS, now);
        return true;
    }
    return Err_SET(err, Err_MALFORMED, "no such command");
}

bool
Prc_Execute(ProxyControl *control, Str line, Instant now, Err *err)
{
    Words words;
    Str verb;
    int count = 0;

    split_words(line, &words);
    if (words.count < 2) {
        return Err_SET(err, Err_MALFORMED, "no such command");
    }
    verb = words.items[0];
    if (Str_Equal(verb, Str_LIT("add"))) {
        return add_link(control, &words, err);
    }
    if (Str_Equal(verb, Str_LIT("delay")) ||
        Str_Equal(verb, Str_LIT("rate"))) {
        return set_pipes(control, &words, err);
    }
    for (Link *link = control->links; link; link = link->next) {
        if (matches_pattern(words.items[1], &link->name)) {
            count++;
            if (!run_link_command(link, &words, now, err)) {
                return false;
            }
        }
    }
    return count || Err_SET(err, Err_MALFORMED, "no such link");
}

static void
on_control(struct evhttp_request *request, void *context)
{
    Str text = Evt_BufferView(evhttp_request_get_input_buffer(request));
    struct evbuffer *out = evbuffer_new();
    Err err = {0};
    bool good = true;

    while (good && text.len) {
        size_t end = Str_Find(text, '\n');
        Str line = Str_Trim(Str_Slice(text, 0, end));
        good = line.len == 0 || Prc_Execute(context, line, Loop_Now(), &err);
        text = Str_Slice(text, end + 1, text.len);
    }
    evbuffer_add_printf(out, "%.*s\n", Str_ARG(Err_Text(&err)));
    evhttp_send_reply(request, good ? 200 : 400, NULL, out);
    evbuffer_free(out);
}

static void
on_stat(struct evhttp_request *request, void *context)
{
    ProxyControl *control = context;
    struct evbuffer *out = evbuffer_new();

    for (Pipe *pipe = control->pipes.first; pipe; pipe = pipe->next) {
        evbuffer_add_printf(out, "pipe %.*s %llu\n", Str_ARG(pipe->name),
                            (unsigned long long)pipe->total_bytes);
    }
    for (Link *link = control->links; link; link = link->next) {
        evbuffer_add_printf(out, "link %.*s %zu\n", Str_ARG(link->name),
                            link->count);
    }
    evhttp_send_reply(request, 200, NULL, out);
    evbuffer_free(out);
}

bool
Prc_Init(ProxyControl *control, struct event_base *base, Addr listen, Err *err)
{
    StrBuf ip = {0};
    int failed;

    *control = (ProxyControl){.base = base, .http = evhttp_new(base)};
    evhttp_set_cb(control->http, "/control", on_control, control);
    evhttp_set_cb(control->http, "/stat", on_stat, control);
    Addr_PrintIp(listen, &ip);
    failed =
        evhttp_bind_socket(control->http, StrBuf_CStr(&ip), Addr_Port(listen));
    StrBuf_Finish(&ip);
    if (failed) {
        evhttp_free(control->http);
        return Err_SET(err, Err_IO, "cannot listen for commands");
    }
    return true;
}

void
Prc_Finish(ProxyControl *control)
{
    Link *link;

    evhttp_free(control->http);
    while ((link = control->links)) {
        control->links = link->next;
        Prl_Finish(link);
        Mem_Free(link);
    }
    Pip_FinishAll(&control->pipes);
}
