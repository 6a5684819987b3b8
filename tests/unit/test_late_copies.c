/* Guards against the failure that a late second copy of an answer, on a
 * connection that is in use again, is taken for the answer to the next
 * request, or makes that answer unreadable.
 */
#include "support/stub_server.h"
#include "support/suite.h"

#define ROWS(table) (int)(sizeof(table) / sizeof(table)[0])

#define NAMED(id) "Request-Id: " id "\r\n"
#define LENGTH(n) "Content-Length: " #n "\r\n"
#define BODY LENGTH(4) "\r\nbarn"
#define ANSWER(id) "HTTP/1.1 200 OK\r\n" NAMED(id) BODY
#define REFUSAL(id)                                                           \
    "HTTP/1.1 503 No\r\nNot-Run: 1\r\n" NAMED(id) LENGTH(0) "\r\n"

static const BackendHeaderNames names = {.request_id = Str_LIT("Request-Id"),
                                         .not_run = Str_LIT("Not-Run")};

/* An exchange that fails does so long before its request is late. */
#define ENDED_WITHIN Span_MS(500)

/* One exchange of a row. */
typedef struct {
    const char *method; /* NULL: no further exchange */
    const char *id;     /* NULL: internal */
    Str copy; /* arrives first, where the connection was used before */
    Str script;
    BackendResult result;
    uint16_t status;
    const char *body;
} Step;

typedef struct {
    const char *name;
    Step steps[3];
} CopyCase;

#define PLAIN "HTTP/1.1 200 OK\r\n" BODY
#define OWN "HTTP/1.1 201 OK\r\n" NAMED("b") LENGTH(3) "\r\nown"
#define OWN_PLAIN "HTTP/1.1 201 OK\r\n" LENGTH(3) "\r\nown"
#define HEAD_A "HTTP/1.1 200 OK\r\n" NAMED("a") LENGTH(4) "\r\n"
#define SAME_A "HTTP/1.1 304 Same\r\n" NAMED("a") LENGTH(4) "\r\n"
#define IN_CHUNKS(id)                                                         \
    "HTTP/1.1 200 OK\r\n" NAMED(id) "Transfer-Encoding: chunked\r\n\r\n"
#define STEP(method, id, copy, script, status, body)                          \
    {                                                                         \
        method, id, Str_LIT(copy), Str_LIT(script), Bck_COMPLETE, status,     \
            body                                                              \
    }
#define LOST(id, copy, script, status, body)                                  \
    {                                                                         \
        "GET", id, Str_LIT(copy), Str_LIT(script), Bck_INTERRUPTED, status,   \
            body                                                              \
    }
#define FIRST STEP("GET", "a", "", ANSWER("a"), 200, "barn")

static const CopyCase copies[] = {
    {"named", {FIRST, STEP("GET", "b", ANSWER("a"), OWN, 201, "own")}},
    {"in the segment of the first",
     {STEP("GET", "a", "", ANSWER("a") ANSWER("a"), 200, "barn"),
      STEP("GET", "b", "", OWN, 201, "own")}},
    {"no answer names a request",
     {STEP("GET", "a", "", PLAIN, 200, "barn"),
      STEP("GET", "b", PLAIN, OWN_PLAIN, 201, "own")}},
    {"only the copy names none", {FIRST, LOST("b", PLAIN, OWN, 0, "")}},
    {"of a health answer",
     {STEP("GET", NULL, "", PLAIN, 200, "barn"),
      STEP("GET", "b", PLAIN, OWN, 201, "own")}},
    {"of a health answer, later",
     {FIRST, STEP("GET", NULL, "", PLAIN, 200, "barn"),
      LOST("b", PLAIN, OWN, 0, "")}},
    {"of a refusal, to the same request",
     {{"GET", "b", {0}, Str_LIT(REFUSAL("b")), Bck_REJECTED, 0, ""},
      STEP("GET", "b", REFUSAL("b"), OWN, 201, "own")}},
    {"of a refusal, to the same request after another",
     {{"GET", "b", {0}, Str_LIT(REFUSAL("b")), Bck_REJECTED, 0, ""},
      FIRST,
      STEP("GET", "b", REFUSAL("b"), OWN, 201, "own")}},
    {"of an answer to HEAD",
     {STEP("HEAD", "a", "", HEAD_A, 200, ""),
      STEP("GET", "b", HEAD_A, OWN, 201, "own")}},
    {"of an answer to GET, before HEAD",
     {FIRST,
      STEP("HEAD", "b", ANSWER("a"),
           "HTTP/1.1 200 OK\r\n" NAMED("b") LENGTH(4) "\r\n", 200, "")}},
    {"of 304",
     {STEP("GET", "a", "", SAME_A, 304, ""),
      STEP("GET", "b", SAME_A, OWN, 201, "own")}},
    {"to an unknown request, after HEAD",
     {STEP("HEAD", "a", "", HEAD_A, 200, ""),
      LOST("b", ANSWER("x"), OWN, 0, "")}},
    {"with status 000",
     {FIRST, LOST("b", "HTTP/1.1 000 No\r\n" NAMED("a") BODY, OWN, 0, "")}},
    {"in a chunk",
     {LOST("a", "", IN_CHUNKS("a") "4\r\nba" ANSWER("q") "rn\r\n0\r\n\r\n",
           200, "")}},
    {"between chunks",
     {LOST("a", "", IN_CHUNKS("a") "4\r\nbarn\r\n" ANSWER("q") "0\r\n\r\n",
           200, "barn")}},
};

START_TEST(late_copy_is_no_answer_to_next_request)
{
    const CopyCase *c = &copies[_i];
    StubServer stub;

    Stb_Init(&stub, &names);
    for (int i = 0; i < 3 && c->steps[i].method; i++) {
        const Step *step = &c->steps[i];
        Span took;
        stub.copy = step->copy;
        took = Stb_Exchange(&stub, step->method, step->id, step->script);
        ck_assert_msg(
            stub.result == step->result && stub.status == step->status &&
                Str_Equal(StrBuf_View(&stub.body), Str_FromC(step->body)) &&
                took < ENDED_WITHIN,
            "%s, %d: result %d, status %d, '%s', after %lld us", c->name,
            i + 1, (int)stub.result, stub.status, StrBuf_CStr(&stub.body),
            (long long)took);
    }
    Stb_Finish(&stub);
}
END_TEST

int
main(void)
{
    const SuiteTest tests[] = {
        {late_copy_is_no_answer_to_next_request, ROWS(copies)}};

    return Suite_Run("late copies", tests, 1, 20);
}
