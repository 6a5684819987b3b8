#include "connection/httprule.h"

enum { REQUEST_ID_BYTES_MAX = 128 };

enum {
    STATUS_MIN = 100,
    SWITCHING_PROTOCOLS = 101,
    FINAL_STATUS_MIN = 200,
    STATUS_MAX = 599
};

typedef struct {
    int host_count;
    int length_count;
    int encoding_count;
    bool same_length; /* every Content-Length has the same value */
    bool chunked;
    bool no_control_chars; /* no control character in a name or value */
} FieldSummary;

static bool
has_no_control_chars(Str value)
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
add_field(FieldSummary *summary, Str name, Str value, Str *length)
{
    summary->no_control_chars &=
        has_no_control_chars(value) && has_no_control_chars(name);
    if (Str_EqualNoCase(name, Str_LIT("Host"))) {
        summary->host_count++;
    }
    else if (Str_EqualNoCase(name, Str_LIT("Content-Length"))) {
        summary->same_length &=
            !summary->length_count || Str_Equal(*length, value);
        *length = value;
        summary->length_count++;
    }
    else if (Str_EqualNoCase(name, Str_LIT("Transfer-Encoding"))) {
        summary->encoding_count++;
        summary->chunked = Str_EqualNoCase(value, Str_LIT("chunked"));
    }
}

static FieldSummary
summarize_fields(const FieldList *fields)
{
    FieldSummary summary = {.same_length = true, .no_control_chars = true};
    Str length = {0};

    for (size_t i = 0; i < fields->count; i++) {
        add_field(&summary, fields->items[i].name, fields->items[i].value,
                  &length);
    }
    return summary;
}

static RequestCheckResult
bad_request(const char *text)
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
    FieldSummary summary = summarize_fields(&request->fields);

    if (!is_method_known(request->method)) {
        return (RequestCheckResult){501, Str_LIT("method not implemented\n")};
    }
    if (summary.host_count > 1 ||
        (summary.host_count == 0 && !request->http_1_0)) {
        return bad_request("one Host field is needed\n");
    }
    if (summary.encoding_count &&
        (summary.length_count || summary.encoding_count > 1)) {
        return bad_request("the length of the body is ambiguous\n");
    }
    if (summary.encoding_count && !summary.chunked) {
        return (RequestCheckResult){501,
                                    Str_LIT("transfer coding not known\n")};
    }
    if (!summary.same_length) {
        return bad_request("the length of the body is ambiguous\n");
    }
    if (!summary.no_control_chars) {
        return bad_request("control character in a header field\n");
    }
    return (RequestCheckResult){0};
}

bool
Htr_IsAnswer(const HttpHead *head)
{
    FieldSummary summary = summarize_fields(&head->fields);

    if (head->status < STATUS_MIN || head->status > STATUS_MAX ||
        head->status == SWITCHING_PROTOCOLS) {
        return false;
    }
    if (head->status < FINAL_STATUS_MIN) {
        return true; /* without a body, whatever the fields say */
    }
    /* The reader has checked the digits of a length, unless it is empty. */
    return (summary.length_count == 0 || head->has_content_length) &&
           (summary.encoding_count == 0 ||
            (summary.encoding_count == 1 && summary.chunked &&
             !head->http_1_0));
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
