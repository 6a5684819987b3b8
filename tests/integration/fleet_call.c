#include <curl/curl.h>
#include <time.h>

#include "fleet.h"
#include "process/settings/settings.h"

enum { DEFAULT_TIMEOUT_S = 20, READ_TRIES = 3 };

static size_t
append_body(char *bytes, size_t size, size_t count, void *context)
{
    StrBuf_Append(context, Str_From(bytes, size * count));
    return size * count;
}

static size_t
on_header(char *bytes, size_t size, size_t count, void *context)
{
    FleetAnswer *answer = context;
    Str line = Str_From(bytes, size * count);
    size_t colon = Str_Find(line, ':');

    StrBuf_Append(&answer->headers, line);
    if (Str_EqualNoCase(Str_Slice(line, 0, colon),
                        Str_LIT("X-Lycheeridge-Outcome"))) {
        Str value = Str_Trim(Str_Slice(line, colon + 1, line.len));
        StrBuf_Set(&answer->outcome,
                   Str_Slice(value, 0, Str_Find(value, '\r')));
    }
    return size * count;
}

void
Fleet_FinishAnswer(FleetAnswer *answer)
{
    StrBuf_Finish(&answer->body);
    StrBuf_Finish(&answer->headers);
    StrBuf_Finish(&answer->outcome);
}

static struct curl_slist *
add_header(struct curl_slist *headers, Str line)
{
    StrBuf text = {0};

    StrBuf_Set(&text, line);
    headers = curl_slist_append(headers, StrBuf_CStr(&text));
    StrBuf_Finish(&text);
    return headers;
}

static struct curl_slist *
list_headers(const FleetRequest *request)
{
    struct curl_slist *headers = add_header(NULL, Str_LIT("Expect:"));
    Str rest = request->headers;
    StrBuf key = {0};

    if (request->key.len) {
        StrBuf_AppendFmt(&key, "Idempotency-Key: %.*s", Str_ARG(request->key));
        headers = add_header(headers, StrBuf_View(&key));
        StrBuf_Finish(&key);
    }
    while (rest.len) {
        size_t end = Str_Find(rest, '\n');
        headers = add_header(headers, Str_Slice(rest, 0, end));
        rest = Str_Slice(rest, end + 1, rest.len);
    }
    return headers;
}

static void
perform(CURL *curl, StrBuf *url, const FleetRequest *request,
        FleetAnswer *answer)
{
    struct curl_slist *headers = list_headers(request);
    Span wait =
        request->timeout ? request->timeout : Span_S(DEFAULT_TIMEOUT_S);
    StrBuf verb = {0};
    double seconds = 0;
    CURLcode result;

    StrBuf_Set(&verb, request->method);
    curl_easy_setopt(curl, CURLOPT_URL, StrBuf_CStr(url));
    curl_easy_setopt(curl, CURLOPT_CUSTOMREQUEST, StrBuf_CStr(&verb));
    if (Str_Equal(request->method, Str_LIT("HEAD"))) {
        curl_easy_setopt(curl, CURLOPT_NOBODY, 1L);
    }
    if (request->is_http_1_0) {
        curl_easy_setopt(curl, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_0);
    }
    if (request->body.len) {
        curl_easy_setopt(curl, CURLOPT_POSTFIELDSIZE, (long)request->body.len);
        curl_easy_setopt(curl, CURLOPT_POSTFIELDS, request->body.ptr);
    }
    curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(curl, CURLOPT_HTTPHEADER, headers);
    curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, append_body);
    curl_easy_setopt(curl, CURLOPT_WRITEDATA, &answer->body);
    curl_easy_setopt(curl, CURLOPT_HEADERFUNCTION, on_header);
    curl_easy_setopt(curl, CURLOPT_HEADERDATA, answer);
    curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS, (long)(wait / 1000));
    result = curl_easy_perform(curl);
    answer->is_complete = result == CURLE_OK;
    answer->connect_failed = result == CURLE_COULDNT_CONNECT;
    curl_easy_getinfo(curl, CURLINFO_RESPONSE_CODE, &answer->status);
    curl_easy_getinfo(curl, CURLINFO_TOTAL_TIME, &seconds);
    answer->duration = (Span)(seconds * 1000000);
    curl_slist_free_all(headers);
    StrBuf_Finish(&verb);
}

static void
send_to(Fleet *fleet, int vm, int port, const FleetRequest *request,
        FleetAnswer *answer)
{
    CURL *curl = curl_easy_init();
    StrBuf url = {0};

    *answer = (FleetAnswer){0};
    StrBuf_AppendFmt(&url, "http://%.*s:%d%.*s", Str_ARG(fleet->vms[vm].ip),
                     port, Str_ARG(request->path));
    perform(curl, &url, request, answer);
    curl_easy_cleanup(curl);
    StrBuf_Finish(&url);
}

void
Fleet_Send(Fleet *fleet, int vm, const FleetRequest *request,
           FleetAnswer *answer)
{
    send_to(fleet, vm, 8000, request, answer);
}

void
Fleet_Call(Fleet *fleet, int vm, Str method, Str path, Str key, Str body,
           FleetAnswer *answer)
{
    FleetRequest request = {
        .method = method, .path = path, .key = key, .body = body};

    Fleet_Send(fleet, vm, &request, answer);
}

bool
Fleet_Get(Fleet *fleet, int vm, int port, Str path, StrBuf *body)
{
    FleetRequest request = {
        .method = Str_LIT("GET"),
        .path = path,
        .headers = Str_LIT("Authorization: Bearer test-key"),
        .timeout = Span_S(5),
    };
    FleetAnswer answer;
    bool good;

    send_to(fleet, vm, port, &request, &answer);
    good = answer.is_complete && answer.status == 200;
    if (good) {
        StrBuf_Set(body, StrBuf_View(&answer.body));
    }
    Fleet_FinishAnswer(&answer);
    return good;
}

bool
Fleet_WaitForPath(Fleet *fleet, int vm, Str path, Span wait)
{
    for (Span waited = 0; waited < wait; waited += Span_MS(50)) {
        FleetAnswer answer;
        bool good;
        Fleet_Call(fleet, vm, Str_LIT("GET"), path, (Str){0}, (Str){0},
                   &answer);
        good = answer.status == 200 && answer.is_complete;
        Fleet_FinishAnswer(&answer);
        if (good) {
            return true;
        }
        Fleet_Sleep(Span_MS(50));
    }
    return false;
}

/* Counts the lines of TEXT whose first word is KEY. */
static int
count_lines(Str text, Str key)
{
    int count = 0;

    while (text.len) {
        size_t end = Str_Find(text, '\n');
        Str line = Str_Slice(text, 0, end);
        if (Str_Equal(Str_Slice(line, 0, Str_Find(line, ' ')), key)) {
            count++;
        }
        text = Str_Slice(text, end + 1, text.len);
    }
    return count;
}

int
Fleet_CountEffects(Fleet *fleet, Str key)
{
    int count = 0;

    for (int i = 0; i < fleet->vm_count; i++) {
        StrBuf name = {0};
        StrBuf text = {0};
        StrBuf_AppendFmt(&name, "%.*s/effects%d", Str_ARG(fleet->folder), i);
        if (Set_ReadFile(StrBuf_View(&name), &text, NULL)) {
            count += count_lines(StrBuf_View(&text), key);
        }
        StrBuf_Finish(&name);
        StrBuf_Finish(&text);
    }
    return count;
}

/* Returns the number on the line "NAME NUMBER" of TEXT; 0 without one. */
static uint64_t
find_number(Str text, Str name)
{
    uint64_t number = 0;

    while (text.len) {
        size_t end = Str_Find(text, '\n');
        Str line = Str_Slice(text, 0, end);
        size_t space = Str_Find(line, ' ');
        if (Str_Equal(Str_Slice(line, 0, space), name)) {
            Str_ToU64(Str_Slice(line, space + 1, line.len), &number);
            return number;
        }
        text = Str_Slice(text, end + 1, text.len);
    }
    return 0;
}

static uint64_t
read_number(Fleet *fleet, int vm, int port, Str path, Str name)
{
    StrBuf text = {0};
    uint64_t number = 0;

    if (Fleet_Get(fleet, vm, port, path, &text)) {
        number = find_number(StrBuf_View(&text), name);
    }
    StrBuf_Finish(&text);
    return number;
}

uint64_t
Fleet_ReadCounter(Fleet *fleet, int vm, Str name)
{
    return read_number(fleet, vm, 8100, Str_LIT("/metrics"), name);
}

/* Tries again when the count is 0, because a failed read also gives 0 and must
 * not look as if the count had fallen to 0. */
uint64_t
Fleet_ReadBackendCount(Fleet *fleet, int vm, Str name)
{
    uint64_t number = 0;

    for (int i = 0; i < READ_TRIES && number == 0; i++) {
        number = read_number(fleet, vm, 9000, Str_LIT("/fake/counts"), name);
    }
    return number;
}

bool
Fleet_ControlBackend(Fleet *fleet, int vm, Str parameters)
{
    StrBuf path = {0};
    StrBuf body = {0};
    bool good;

    StrBuf_AppendFmt(&path, "/fake/control?%.*s", Str_ARG(parameters));
    good = Fleet_Get(fleet, vm, 9000, StrBuf_View(&path), &body);
    StrBuf_Finish(&path);
    StrBuf_Finish(&body);
    return good;
}
