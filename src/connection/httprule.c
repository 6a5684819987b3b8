#include "connection/httprule.h"

enum { REQUEST_ID_BYTES_MAX = 128 };

typedef struct {
    int hosts;
    int lengths;
    int encodings;
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
collect(const FieldList *fields)
{
    Facts facts = {.same_length = true, .clean = true};
    Str length = {0};

    for (size_t i = 0; i < fields->count; i++) {
        note(&facts, fields->items[i].name, fields->items[i].value, &length);
    }
    return facts;
}

static RequestCheckResult
bad(const char *text)
{
    return (RequestCheckResult){400, Str_FromC(text)};
}

static bool
is_method_known(Str method)
{
    static const Str known[] = {
        Str_LIT("GET"),    Str_LIT("POST"),    Str_LIT("HEAD"), Str_LIT("PUT"),
        Str_LIT("DELETE"), Str_LIT("OPTIONS"), Str_LIT("PATCH")};

    for (size_t i = 0; i < sizeof known / sizeof known[0]; i++) {
        if (Str_Equal(known[i], method)) {
            return true;
        }
    }
    return false;
}

RequestCheckResult
Htr_CheckRequest(const CallerRequest *request)
{
    Facts facts = collect(&request->fields);

    if (!is_method_known(request->method)) {
        return (RequestCheckResult){501, Str_LIT("method not implemented\n")};
    }
    if (facts.hosts > 1 || (facts.hosts == 0 && !request->http_1_0)) {
        return bad("one Host field is needed\n");
    }
    if (facts.encodings && (facts.lengths || facts.encodings > 1)) {
        return bad("the length of the body is ambiguous\n");
    }
    if (facts.encodings && !facts.chunked) {
        return (RequestCheckResult){501,
                                    Str_LIT("transfer coding not known\n")};
    }
    if (!facts.same_length) {
        return bad("the length of the body is ambiguous\n");
    }
    if (!facts.clean) {
        return bad("control character in a header field\n");
    }
    return (RequestCheckResult){0};
}

Str
Htr_OriginForm(Str target)
{
    static const Str mark = Str_LIT("://");

    if (Str_StartsWith(target, Str_LIT("/"))) {
        return target;
    }
    for (size_t i = 0; i + mark.len <= target.len; i++) {
        if (Str_Equal(Str_Slice(target, i, mark.len), mark)) {
            Str rest = Str_Slice(target, i + mark.len, target.len);
            Str path = Str_Slice(rest, Str_Find(rest, '/'), rest.len);
            return path.len ? path : Str_LIT("/");
        }
    }
    return target;
}

Str
Htr_HostWithoutPort(const FieldList *fields)
{
    Str host = Field_Get(fields, Str_LIT("Host"));

    return Str_Slice(host, 0, Str_Find(host, ':'));
}

bool
Htr_IsValidRequestId(Str id)
{
    for (size_t i = 0; i < id.len; i++) {
        if (id.ptr[i] <= ' ' || id.ptr[i] > '~') {
            return false;
        }
    }
    return id.len > 0 && id.len <= REQUEST_ID_BYTES_MAX;
}
