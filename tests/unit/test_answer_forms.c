/* Guards against the failures that bytes which are no answer in the protocol
 * are passed on as an answer, among them those with an impossible status, and
 * that a correct answer is not passed on or not ended in time.
 */
#include "connection/httprule.h"
#include "support/stub_server.h"
#include "support/suite.h"

#define ROWS(table) (int)(sizeof(table) / sizeof(table)[0])

#define NAMED(id) "Request-Id: " id "\r\n"
#define LENGTH(n) "Content-Length: " #n "\r\n"
#define BODY LENGTH(4) "\r\nbarn"
#define ANSWER(id) "HTTP/1.1 200 OK\r\n" NAMED(id) BODY
#define OK_B "HTTP/1.1 200 OK\r\n" NAMED("b")
#define CHUNKED OK_B "Transfer-Encoding: chunked\r\n\r\n"

static const BackendHeaderNames names = {.request_id = Str_LIT("Request-Id")};

/* A refused answer ends its exchange long before the request is late. */
#define REFUSED_WITHIN Span_MS(500)

enum { STATUSES_PER_ROW = 100, STATUS_ROWS = 10 };

static bool
is_final(int status)
{
    return status >= 200 && status <= 599;
}

static bool
is_interim(int status)
{
    return status >= 100 && status < 200 && status != 101;
}

static void
check_status(StubServer *stub, int status)
{
    StrBuf script = {0};
    Span took;
    int expected = is_interim(status) ? 200 : is_final(status) ? status : 0;
    bool bodiless = status == 204 || status == 304;

    StrBuf_AppendFmt(&script, "HTTP/1.1 %03d Of Its Own\r\n%s%s", status,
                     NAMED("b"),
                     bodiless || is_interim(status) ? "\r\n" : BODY);
    if (is_interim(status)) {
        StrBuf_Append(&script, Str_LIT(ANSWER("b")));
    }
    took = Stb_Exchange(stub, "GET", "b", StrBuf_View(&script));
    ck_assert_msg(stub->status == expected &&
                      stub->result ==
                          (expected ? Bck_COMPLETE : Bck_INTERRUPTED) &&
                      took < REFUSED_WITHIN,
                  "status %03d: told as %d, result %d, after %lld us", status,
                  stub->status, (int)stub->result, (long long)took);
    ck_assert(!expected || bodiless ||
              Str_Equal(StrBuf_View(&stub->body), Str_LIT("barn")));
    StrBuf_Finish(&script);
}

START_TEST(impossible_status_is_no_answer)
{
    StubServer stub;

    Stb_Init(&stub, &names);
    for (int i = 0; i < STATUSES_PER_ROW; i++) {
        check_status(&stub, _i * STATUSES_PER_ROW + i);
    }
    Stb_Finish(&stub);
}
END_TEST

typedef struct {
    const char *name;
    const char *method;
    Str answer;
    Str body;
    uint16_t status; /* 0: no answer */
    bool is_kept;    /* its connection is used again */
} FormCase;

#define GOOD(name, answer)                                                    \
    {                                                                         \
        name, "GET", Str_LIT(answer), Str_LIT("barn"), 200, true              \
    }
#define BAD(name, answer)                                                     \
    {                                                                         \
        name, "GET", Str_LIT(answer), {0}, 0, false                           \
    }
#define LINE(name, line) BAD("line: " name, line NAMED("b") BODY)
#define FIELD(name, field) BAD("field: " name, OK_B field "\r\nbarn")
#define CHUNK(name, chunks) BAD("chunk: " name, CHUNKED chunks)

static const FormCase forms[] = {
    GOOD("as usual", ANSWER("b")),
    GOOD("no reason", "HTTP/1.1 200 \r\n" NAMED("b") BODY),
    GOOD("no reason, no blank", "HTTP/1.1 200\r\n" NAMED("b") BODY),
    GOOD("LF only", "HTTP/1.1 200 OK\nRequest-Id: b\nContent-Length: 4\n\n"
                    "barn"),
    GOOD("later minor version", "HTTP/1.9 200 OK\r\n" NAMED("b") BODY),
    GOOD("empty line before", "\r\n" ANSWER("b")),
    GOOD("tab and high bytes in reason",
         "HTTP/1.1 200 \t\xc3\xa9\r\n" NAMED("b") BODY),
    LINE("no status", "HTTP/1.1\r\n"),
    LINE("no status, a blank", "HTTP/1.1 \r\n"),
    LINE("reason only", "HTTP/1.1 OK\r\n"),
    LINE("one digit", "HTTP/1.1 0 OK\r\n"),
    LINE("one digit, 2", "HTTP/1.1 2 OK\r\n"),
    LINE("two digits", "HTTP/1.1 20 OK\r\n"),
    LINE("four digits", "HTTP/1.1 2000 OK\r\n"),
    LINE("four digits from 0", "HTTP/1.1 0200 OK\r\n"),
    LINE("many zeros", "HTTP/1.1 00000200 OK\r\n"),
    LINE("letter", "HTTP/1.1 20x OK\r\n"),
    LINE("plus", "HTTP/1.1 +200 OK\r\n"),
    LINE("minus", "HTTP/1.1 -200 OK\r\n"),
    LINE("two blanks", "HTTP/1.1  200 OK\r\n"),
    LINE("tab before", "HTTP/1.1\t200 OK\r\n"),
    LINE("tab behind", "HTTP/1.1 200\tOK\r\n"),
    LINE("blank before", " HTTP/1.1 200 OK\r\n"),
    LINE("blank in version", "HTTP/1 .1 200 OK\r\n"),
    LINE("no blank", "HTTP/1.1200 OK\r\n"),
    LINE("HTTP/2", "HTTP/2 200 OK\r\n"),
    LINE("HTTP/2.0", "HTTP/2.0 200 OK\r\n"),
    LINE("HTTP/0.9", "HTTP/0.9 200 OK\r\n"),
    LINE("HTTP/1.10", "HTTP/1.10 200 OK\r\n"),
    LINE("HTTP/01.1", "HTTP/01.1 200 OK\r\n"),
    LINE("lower case", "http/1.1 200 OK\r\n"),
    LINE("other protocol", "ICY 200 OK\r\n"),
    LINE("CR only", "HTTP/1.1 200 OK\r"),
    LINE("NUL in reason", "HTTP/1.1 200 O\0K\r\n"),
    LINE("control in reason", "HTTP/1.1 200 O\x1bK\r\n"),
    LINE("NUL in status", "HTTP/1.1 2\0000 OK\r\n"),
    LINE("request", "GET /visor/a HTTP/1.1\r\n"),
    GOOD("after 100", "HTTP/1.1 100 Continue\r\n\r\n" ANSWER("b")),
    GOOD("after 102, 103",
         "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 103 Early Hints\r\n"
         "Link: </barn>\r\n\r\n" ANSWER("b")),
    GOOD("after 100 with a length",
         "HTTP/1.1 100 Continue\r\n" LENGTH(4) "\r\n" ANSWER("b")),
    BAD("100 with a body",
        "HTTP/1.1 100 Continue\r\n" LENGTH(4) "\r\nbarn" ANSWER("b")),
    BAD("101", "HTTP/1.1 101 Switching Protocols\r\n\r\n" ANSWER("b")),
    BAD("101 with Upgrade", "HTTP/1.1 101 Switching Protocols\r\n"
                            "Connection: Upgrade\r\nUpgrade: barn\r\n\r\n"),
    BAD("000 before an answer", "HTTP/1.1 000 No\r\n\r\n" ANSWER("b")),
    {"behind a whole one", "GET", Str_LIT(ANSWER("b") ANSWER("b")),
     Str_LIT("barn"), 200, false},
    {"000 behind a whole one", "GET",
     Str_LIT(ANSWER("b") "HTTP/1.1 000 No\r\n\r\n"), Str_LIT("barn"), 200,
     false},
    {"HEAD", "HEAD", Str_LIT(OK_B LENGTH(4) "\r\n"), {0}, 200, true},
    {"HEAD with a body", "HEAD", Str_LIT(ANSWER("b")), {0}, 200, false},
    {"204",
     "GET",
     Str_LIT("HTTP/1.1 204 None\r\n" NAMED("b") "\r\n"),
     {0},
     204,
     true},
    {"204 with a length",
     "GET",
     Str_LIT("HTTP/1.1 204 None\r\n" NAMED("b") LENGTH(4) "\r\n"),
     {0},
     204,
     false},
    {"204 with the length 0",
     "GET",
     Str_LIT("HTTP/1.1 204 None\r\n" NAMED("b") LENGTH(0) "\r\n"),
     {0},
     204,
     true},
    {"204 with a body",
     "GET",
     Str_LIT("HTTP/1.1 204 None\r\n" NAMED("b") BODY),
     {0},
     204,
     false},
    {"204 in chunks",
     "GET",
     Str_LIT("HTTP/1.1 204 None\r\n" NAMED(
         "b") "Transfer-Encoding: chunked\r\n\r\n"),
     {0},
     204,
     false},
    {"304 with the length of what is meant",
     "GET",
     Str_LIT("HTTP/1.1 304 Same\r\n" NAMED("b") LENGTH(4) "\r\n"),
     {0},
     304,
     true},
    {"304 with a body",
     "GET",
     Str_LIT("HTTP/1.1 304 Same\r\n" NAMED("b") BODY),
     {0},
     304,
     false},
    FIELD("two lengths", LENGTH(4) LENGTH(5)),
    FIELD("two equal lengths", LENGTH(4) LENGTH(4)),
    FIELD("list of lengths", "Content-Length: 4, 4\r\n"),
    FIELD("empty length", "Content-Length:\r\nConnection: close\r\n"),
    FIELD("plus", "Content-Length: +4\r\n"),
    FIELD("minus", "Content-Length: -4\r\n"),
    FIELD("hex length", "Content-Length: 0x4\r\n"),
    FIELD("blank in length", "Content-Length: 4 4\r\n"),
    FIELD("great length", "Content-Length: 18446744073709551620\r\n"),
    GOOD("blank before colon", OK_B "Content-Length : 4\r\n\r\nbarn"),
    FIELD("blank in name", "X Barn: a\r\n" LENGTH(4)),
    FIELD("NUL in value", "X-Barn: a\0b\r\n" LENGTH(4)),
    FIELD("CR in value", "X-Barn: a\rb\r\n" LENGTH(4)),
    FIELD("no colon", "X-Barn\r\n" LENGTH(4)),
    FIELD("no name", ": a\r\n" LENGTH(4)),
    FIELD("folded", "X-Barn: a\r\n b\r\n" LENGTH(4)),
    BAD("chunked beside a length",
        OK_B LENGTH(4) "Transfer-Encoding: chunked\r\n\r\n4\r\nbarn\r\n0\r\n"
                       "\r\n"),
    BAD("coded twice",
        OK_B "Transfer-Encoding: gzip, chunked\r\n\r\n4\r\nbarn\r\n0\r\n\r\n"),
    BAD("coded twice, two fields",
        OK_B "Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n\r\n"
             "4\r\nbarn\r\n0\r\n\r\n"),
    BAD("chunked twice", OK_B "Transfer-Encoding: chunked, chunked\r\n\r\n"
                              "4\r\nbarn\r\n0\r\n\r\n"),
    BAD("other coding", OK_B "Transfer-Encoding: barn\r\n\r\nbarn"),
    BAD("identity", OK_B "Transfer-Encoding: identity\r\n\r\nbarn"),
    BAD("chunked in HTTP/1.0",
        "HTTP/1.0 200 OK\r\n" NAMED("b") "Transfer-Encoding: chunked\r\n\r\n"
                                         "4\r\nbarn\r\n0\r\n\r\n"),
    GOOD("chunked", CHUNKED "4\r\nbarn\r\n0\r\n\r\n"),
    GOOD("chunked, other case",
         OK_B "transfer-encoding: Chunked\r\n\r\n4\r\nbarn\r\n0\r\n\r\n"),
    GOOD("chunk with an extension", CHUNKED "4;a=\"b\"\r\nbarn\r\n0\r\n\r\n"),
    GOOD("chunk with zeros", CHUNKED "0004\r\nbarn\r\n000\r\n\r\n"),
    GOOD("chunked with trailers",
         CHUNKED "4\r\nbarn\r\n0\r\nX-Barn: a\r\n\r\n"),
    CHUNK("plus", "+4\r\nbarn\r\n0\r\n\r\n"),
    CHUNK("minus", "-4\r\nbarn\r\n0\r\n\r\n"),
    CHUNK("blank before", " 4\r\nbarn\r\n0\r\n\r\n"),
    CHUNK("hex mark", "0x4\r\nbarn\r\n0\r\n\r\n"),
    CHUNK("empty", "\r\nbarn\r\n0\r\n\r\n"),
    CHUNK("great", "10000000000000004\r\nbarn\r\n0\r\n\r\n"),
    CHUNK("LF only", "4\nbarn\n0\n\n"),
    CHUNK("longer than its size", "4\r\nbarnba0\r\n\r\n"),
    CHUNK("CR only", "4\r\rbarn\r\n0\r\n\r\n"),
    CHUNK("no length", "barn\r\n0\r\n\r\n"),
};

/* A body that had begun is broken off; nothing else is. */
static bool
is_body_form(const FormCase *c)
{
    return Str_StartsWith(c->answer, Str_LIT(CHUNKED));
}

static void
check_form(StubServer *stub, const FormCase *c)
{
    Span took = Stb_Exchange(stub, c->method, "b", c->answer);
    int used = stub->served_by;

    ck_assert_msg(
        (stub->status == c->status || (is_body_form(c) && !c->status)) &&
            stub->result == (c->status ? Bck_COMPLETE : Bck_INTERRUPTED) &&
            took < REFUSED_WITHIN,
        "%s: status %d, result %d, after %lld us", c->name, stub->status,
        (int)stub->result, (long long)took);
    ck_assert_msg(!c->status || Str_Equal(StrBuf_View(&stub->body), c->body),
                  "%s: body '%s'", c->name, StrBuf_CStr(&stub->body));
    Stb_Exchange(stub, "GET", "c", Str_LIT(ANSWER("c")));
    ck_assert_int_eq(stub->result, Bck_COMPLETE);
    ck_assert_msg((stub->served_by == used) == c->is_kept, "%s: connection %s",
                  c->name, c->is_kept ? "ended" : "used again");
}

START_TEST(answer_is_passed_on_or_refused_by_its_form)
{
    StubServer stub;

    Stb_Init(&stub, &names);
    check_form(&stub, &forms[_i]);
    Stb_Finish(&stub);
    /* and on a connection that was in use before */
    Stb_Init(&stub, &names);
    Stb_Exchange(&stub, "GET", "a", Str_LIT(ANSWER("a")));
    check_form(&stub, &forms[_i]);
    Stb_Finish(&stub);
}
END_TEST

typedef struct {
    uint16_t status; /* of the last head */
    StrBuf body;
} ReadAnswer;

static bool
on_head(void *context, const HttpHead *head)
{
    ((ReadAnswer *)context)->status = head->status;
    return Htr_IsAnswer(head);
}

static bool
on_body(void *context, Str bytes)
{
    StrBuf_Append(&((ReadAnswer *)context)->body, bytes);
    return true;
}

/* Reads the row's answer in pieces of PIECE bytes, through its interim
 * answers. */
static HttpReadStatus
read_in_pieces(const FormCase *c, size_t piece, ReadAnswer *answer)
{
    const HttpReaderCallbacks callbacks = {answer, on_head, on_body};
    HttpReadStatus status = Hrd_NEEDS_MORE;
    struct evbuffer *input = evbuffer_new();
    HttpReader reader;

    Hrd_Init(&reader, Hrd_ANSWERS, &callbacks, 4096);
    reader.skip_body = Str_Equal(Str_FromC(c->method), Str_LIT("HEAD"));
    for (size_t at = 0; at < c->answer.len && status == Hrd_NEEDS_MORE;) {
        Str part = Str_Slice(c->answer, at, piece);
        evbuffer_add(input, part.ptr, part.len);
        at += part.len;
        do {
            status = Hrd_Feed(&reader, input);
        } while (status == Hrd_MESSAGE_END && answer->status < 200 &&
                 evbuffer_get_length(input));
        if (status == Hrd_MESSAGE_END && answer->status < 200) {
            status = Hrd_NEEDS_MORE;
        }
    }
    Hrd_Finish(&reader);
    evbuffer_free(input);
    return status;
}

START_TEST(form_is_judged_the_same_in_pieces)
{
    const FormCase *c = &forms[_i];
    ReadAnswer whole = {0};
    HttpReadStatus status = read_in_pieces(c, c->answer.len, &whole);

    for (size_t piece = 1; piece < c->answer.len; piece++) {
        ReadAnswer answer = {0};
        ck_assert_msg(read_in_pieces(c, piece, &answer) == status,
                      "%s, %zu bytes a piece: not %d", c->name, piece,
                      (int)status);
        ck_assert(!c->status || (answer.status == whole.status &&
                                 Str_Equal(StrBuf_View(&answer.body),
                                           StrBuf_View(&whole.body))));
        StrBuf_Finish(&answer.body);
    }
    StrBuf_Finish(&whole.body);
}
END_TEST

int
main(void)
{
    const SuiteTest tests[] = {
        {impossible_status_is_no_answer, STATUS_ROWS},
        {answer_is_passed_on_or_refused_by_its_form, ROWS(forms)},
        {form_is_judged_the_same_in_pieces, ROWS(forms)}};

    return Suite_Run("answer forms", tests, 3, 20);
}
