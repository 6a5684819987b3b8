/* Parsing of presets with one error each, and selection of routes. */
#include "support/suite.h"
#include "version/preset.h"

#define LIMITS(text) "{\"name\":\"p\",\"limits\":{" text "},\"routes\":[]}"
#define ROUTE(text)                                                           \
    "{\"name\":\"p\",\"limits\":{},\"routes\":[{\"service\":\"s\","           \
    "\"route\":\"r\"," text "}]}"

typedef struct {
    Str json;
    Str place; /* start of the only finding's place; empty: none */
} PresetCase;

static const PresetCase cases[] = {
    {Str_LIT(LIMITS("")), {0}},
    {Str_LIT(ROUTE("\"path\":\"/\"")), {0}},
    {Str_LIT(LIMITS("\"retry_permille\":0")), {0}},
    {Str_LIT(LIMITS("\"retry_permille\":1001")),
     Str_LIT("/limits/retry_permille")},
    {Str_LIT(LIMITS("\"retry_permille\":-1")),
     Str_LIT("/limits/retry_permille")},
    {Str_LIT(LIMITS("\"retry_permille\":1.5")),
     Str_LIT("/limits/retry_permille")},
    {Str_LIT(LIMITS("\"retry_permile\":1")), Str_LIT("/limits/retry_permile")},
    {Str_LIT(LIMITS("\"hedge_permille\":50,\"hedge_after_ms\":80")), {0}},
    {Str_LIT(LIMITS("\"hedge_permille\":1001")),
     Str_LIT("/limits/hedge_permille")},
    {Str_LIT(LIMITS("\"hedge_after_ms\":-1")),
     Str_LIT("/limits/hedge_after_ms")},
    {Str_LIT(LIMITS("\"attempts_max\":0")), Str_LIT("/limits/attempts_max")},
    {Str_LIT(LIMITS("\"suspect_losses_max\":3")),
     Str_LIT("/limits/suspect_losses_max")},
    {Str_LIT(LIMITS("\"key_retention_ms\":10")),
     Str_LIT("/limits/key_retention_ms")},
    {Str_LIT("{\"name\":\"p\",\"limits\":7,\"routes\":[]}"),
     Str_LIT("/limits")},
    {Str_LIT("{\"name\":\"p\",\"routes\":[]}"), Str_LIT("/limits")},
    {Str_LIT("{\"name\":\"p\",\"limits\":{}}"), Str_LIT("/routes")},
    {Str_LIT("{\"name\":\"p\",\"limits\":{},\"routes\":{}}"),
     Str_LIT("/routes")},
    {Str_LIT("{\"name\":\"p\",\"limits\":{},\"routes\":[7]}"),
     Str_LIT("/routes/0")},
    {Str_LIT("{\"name\":\"\",\"limits\":{},\"routes\":[]}"), Str_LIT("/name")},
    {Str_LIT("{\"name\":\"a b\",\"limits\":{},\"routes\":[]}"),
     Str_LIT("/name")},
    {Str_LIT("{\"name\":\"p\",\"limits\":{},\"routes\":[],\"x\":1}"),
     Str_LIT("/x")},
    {Str_LIT(ROUTE("\"path\":\"visor\"")), Str_LIT("/routes/0/path")},
    {Str_LIT(ROUTE("\"method\":\"GET\"")), Str_LIT("/routes/0/path")},
    {Str_LIT(ROUTE("\"path\":\"/\",\"idempotent\":1")),
     Str_LIT("/routes/0/idempotent")},
    {Str_LIT(ROUTE("\"path\":\"/\",\"deadline_ms\":0")),
     Str_LIT("/routes/0/deadline_ms")},
    {Str_LIT(ROUTE("\"path\":\"/\",\"idempotent\":true,"
                   "\"key_header\":\"K\"")),
     Str_LIT("/routes/0/key_header")},
    {Str_LIT(ROUTE("\"path\":\"/\"},{\"service\":\"s\",\"route\":\"q\","
                   "\"path\":\"/\"")),
     Str_LIT("/routes/1")},
    {Str_LIT("{\"name\":\"p\""), Str_LIT("line 1 column ")},
    {Str_LIT(""), Str_LIT("line 1 column ")},
    {Str_LIT("{\"name\":\"\xff\",\"limits\":{},\"routes\":[]}"),
     Str_LIT("line 1 column ")},
};

START_TEST(reports_each_error_with_its_path)
{
    const PresetCase *c = &cases[_i];
    StrBuf report = {0};
    FindingList findings;
    Preset preset;
    bool good;

    Fnd_Init(&findings);
    good = Pst_Parse(&preset, c->json, &findings);
    ck_assert_int_eq(good, c->place.len == 0);
    Fnd_Print(&findings, &report);
    ck_assert_msg(findings.count == (good ? 0 : 1), "%s",
                  StrBuf_CStr(&report));
    if (!good) {
        ck_assert_msg(
            Str_StartsWith(StrBuf_View(&findings.items[0].location), c->place),
            "%s", StrBuf_CStr(&report));
    }
    Pst_Finish(&preset);
    Fnd_Finish(&findings);
    StrBuf_Finish(&report);
}
END_TEST

static const Str nested_routes_json =
    Str_LIT("{\"name\":\"p\",\"limits\":{},\"routes\":["
            "{\"service\":\"s\",\"route\":\"all\",\"path\":\"/a/\"},"
            "{\"service\":\"s\",\"route\":\"post\",\"method\":\"POST\","
            "\"path\":\"/a/\"},"
            "{\"service\":\"s\",\"route\":\"deep\",\"path\":\"/a/b/\"}]}");

typedef struct {
    Str method;
    Str path;
    Str route; /* empty: none */
} RouteCase;

static const RouteCase routes[] = {
    {Str_LIT("GET"), Str_LIT("/a/x"), Str_LIT("all")},
    {Str_LIT("POST"), Str_LIT("/a/x"), Str_LIT("post")},
    {Str_LIT("GET"), Str_LIT("/a/b/x"), Str_LIT("deep")},
    {Str_LIT("POST"), Str_LIT("/a/b/"), Str_LIT("deep")},
    {Str_LIT("GET"), Str_LIT("/a"), {0}},
    {Str_LIT("GET"), Str_LIT("/"), {0}},
    {Str_LIT("GET"), Str_LIT(""), {0}},
};

START_TEST(selects_the_longest_path_prefix)
{
    const RouteCase *c = &routes[_i];
    FindingList findings;
    Preset preset;
    const PresetRoute *route;

    Fnd_Init(&findings);
    ck_assert(Pst_Parse(&preset, nested_routes_json, &findings));
    route = Pst_FindRoute(&preset, (Str){0}, c->method, c->path);
    ck_assert(c->route.len
                  ? route && Str_Equal(StrBuf_View(&route->name), c->route)
                  : !route);
    Pst_Finish(&preset);
    Fnd_Finish(&findings);
}
END_TEST

int
main(void)
{
    const SuiteTest tests[] = {
        {reports_each_error_with_its_path, sizeof cases / sizeof cases[0]},
        {selects_the_longest_path_prefix, sizeof routes / sizeof routes[0]},
    };

    return Suite_Run("preset", tests, 2, 10);
}
