#include "connection/httprule.h"

#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>
#include <sys/queue.h>

#include "connection/evtext.h"

enum { REQUEST_ID_BYTES_MAX = 128 };

typedef struct {
    int hosts;
    int lengths;
    int encodings;
    size_t count;
    size_t bytes;
    bool same_length; /* every Content-Length has the same value */
    bool chunked;
    bool clean; /* no control character in a value */
} Facts;

static bool
is_clean(Str value)
{
    for (size_t i = 0; i < value.len; i++) {
        unsigned char c = (unsigned char)value.ptr[i];
        if ((c < ' ' && c != '\t') || c == 127) {
            return false;
        }
    }
    return true;
}

static void
note(Facts *facts, Str name, Str value, Str *length)
{
    facts->count++;
    facts->bytes += name.len + value.len + 4;
    facts->clean &= is_clean(value) && is_clean(name);
    if (Str_EqualNoCase(name, Str_LIT("Host"))) {
        facts->hosts++;
    }
    else if (Str_EqualNoCase(name, Str_LIT("Content-Length"))) {
        facts->same_length &= !facts->lengths || Str_Equal(*length, value);
        *length = value;
        facts->lengths++;
    }
    else if (Str_EqualNoCase(name, Str_LIT("Transfer-Encoding"))) {
        facts->encodings++;
        facts->chunked = Str_EqualNoCase(value, Str_LIT("chunked"));
    }
}

static Facts
collect(const struct evhttp_request *request)
{
    Facts facts = {.same_length = true, .clean = true};
    const struct evkeyval *item;
    Str length = {0};

    TAILQ_FOREACH(item, request->input_headers, next)
    {
        note(&facts, Str_FromC(item->key), Str_FromC(item->value), &length);
    }
    return facts;
}

static HtrVerdict
bad(const char *text)
{
    return (HtrVerdict){400, Str_FromC(text)};
}

HtrVerdict
Htr_Check(struct evhttp_request *request, size_t header_bytes_max)
{
    Facts facts = collect(request);

    if (facts.bytes > header_bytes_max || facts.count > Field_MAX) {
        return (HtrVerdict){431, Str_LIT("header fields too large\n")};
    }
    if (Evt_MethodName(request->type).len == 0) {
        return (HtrVerdict){501, Str_LIT("method not implemented\n")};
    }
    if (facts.hosts > 1 || (facts.hosts == 0 && request->minor >= 1)) {
        return bad("one Host field is needed\n");
    }
    if (facts.encodings && (facts.lengths || facts.encodings > 1)) {
        return bad("the length of the body is ambiguous\n");
    }
    if (facts.encodings && !facts.chunked) {
        return (HtrVerdict){501, Str_LIT("transfer coding not known\n")};
    }
    if (!facts.same_length) {
        return bad("the length of the body is ambiguous\n");
    }
    if (!facts.clean) {
        return bad("control character in a header field\n");
    }
    return (HtrVerdict){0};
}

void
Htr_Target(struct evhttp_request *request, StrBuf *target)
{
    const struct evhttp_uri *uri = request->uri_elems;
    Str text = Str_FromC(request->uri);
    Str path;
    Str query;

    if (Str_StartsWith(text, Str_LIT("/")) || !uri ||
        !evhttp_uri_get_scheme(uri)) {
        StrBuf_Set(target, text);
        return;
    }
    path = Str_FromC(evhttp_uri_get_path(uri));
    query = Str_FromC(evhttp_uri_get_query(uri));
    StrBuf_Set(target, path.len ? path : Str_LIT("/"));
    if (query.len) {
        StrBuf_AppendFmt(target, "?%.*s", Str_ARG(query));
    }
}

bool
Htr_IsRequestId(Str id)
{
    for (size_t i = 0; i < id.len; i++) {
        if (id.ptr[i] <= ' ' || id.ptr[i] > '~') {
            return false;
        }
    }
    return id.len > 0 && id.len <= REQUEST_ID_BYTES_MAX;
}
