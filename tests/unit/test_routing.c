/* The operators' routing: whole documents, patches and invalid ones. */
#include <string.h>

#include "process/settings/settings.h"
#include "support/suite.h"
#include "version/routing.h"

#define ROWS(table) (int)(sizeof(table) / sizeof(table)[0])

#define SERVICES "\"services\":[{\"name\":\"visor\"}]"
#define ROUTE(members)                                                        \
    "{\"name\":\"a\",\"host\":\"h\",\"path\":\"/a/\","                        \
    "\"kind\":\"idempotent\",\"service\":\"visor\"" members "}"
/* A route that names SERVICE beside a split. */
#define SPLIT(service)                                                        \
    "{\"name\":\"a\",\"host\":\"h\",\"path\":\"/a/\","                        \
    "\"kind\":\"idempotent\",\"service\":\"" service "\",\"split\":["         \
    "{\"service\":\"visor\",\"weight\":1}]}"
#define WHOLE(revision, route)                                                \
    "{\"revision\":" revision ",\"routes\":[" route "]," SERVICES "}"

/* A whole routing with ACCOUNTS. */
#define WITH_ACCOUNTS(revision, accounts)                                     \
    "{\"revision\":" revision                                                 \
    ",\"routes\":[" ROUTE("") "]," SERVICES ",\"accounts\":[" accounts "]}"
#define ACCOUNT(name, keys, members)                                          \
    "{\"name\":\"" name "\",\"keys\":[" keys "]" members "}"

/* Sent on top of tests/data/routed.json, whose revision is 5. */
typedef struct {
    const char *name;
    const char *sent;
    bool patch;
    const char *finding; /* text in the findings; NULL: accepted */
    uint64_t revision;   /* afterwards */
    size_t routes;
} RevisionCase;

static const RevisionCase revisions[] = {
    {"whole", WHOLE("7", ROUTE("")), false, NULL, 7, 1},
    {"the same revision", WHOLE("5", ROUTE("")), false, "not above", 0, 0},
    {"no revision", "{\"routes\":[]," SERVICES "}", false, "not above", 0, 0},
    {"cut short", "{\"revision\":7,\"routes\":[", false, "", 0, 0},
    {"no object", "[7]", false, "no object", 0, 0},
    {"unknown service",
     "{\"revision\":7,\"routes\":[" ROUTE("") "],\"services\":[]}", false,
     "unknown service", 0, 0},
    {"unknown service beside a split", WHOLE("7", SPLIT("nobody")), false,
     "unknown service", 0, 0},
    {"no name beside a split",
     "{\"revision\":7,\"routes\":[{\"name\":\"a\",\"host\":\"h\","
     "\"path\":\"/a/\",\"kind\":\"idempotent\",\"service\":7,\"split\":["
     "{\"service\":\"visor\",\"weight\":1}]}]," SERVICES "}",
     false, "unknown service", 0, 0},
    {"known service beside a split", WHOLE("7", SPLIT("visor")), false, NULL,
     7, 1},
    {"patch: unknown service beside a split",
     "{\"revision\":6,\"upsert\":{\"routes\":[" SPLIT("nobody") "]}}", true,
     "unknown service", 0, 0},
    {"patch: known service beside a split",
     "{\"revision\":6,\"upsert\":{\"routes\":[" SPLIT("balanza") "]}}", true,
     NULL, 6, 3},
    {"patch: a service that only a split's route names, removed",
     "{\"revision\":6,\"upsert\":{\"routes\":[" SPLIT(
         "balanza") "]},"
                    "\"remove\":{\"services\":[\"balanza\"],\"routes\":["
                    "\"look\",\"book\"]}}",
     true, "unknown service", 0, 0},
    {"patch: a service that only a split's route names, added",
     "{\"revision\":6,\"upsert\":{\"routes\":[" SPLIT(
         "nueva") "],"
                  "\"services\":[{\"name\":\"nueva\"}]}}",
     true, NULL, 6, 3},
    {"weight below 0",
     "{\"revision\":7,\"routes\":[{\"name\":\"a\",\"host\":\"h\","
     "\"path\":\"/a/\",\"kind\":\"idempotent\",\"split\":["
     "{\"service\":\"visor\",\"weight\":-1}]}]," SERVICES "}",
     false, "no weight", 0, 0},
    {"over ten minutes", WHOLE("7", ROUTE(",\"deadline_ms\":600001")), false,
     "deadline_ms", 0, 0},
    {"ten minutes", WHOLE("7", ROUTE(",\"deadline_ms\":600000")), false, NULL,
     7, 1},
    {"path without a slash",
     "{\"revision\":7,\"routes\":[{\"name\":\"a\",\"host\":\"h\","
     "\"path\":\"a/"
     "\",\"kind\":\"idempotent\",\"service\":\"visor\"}]," SERVICES "}",
     false, "not a path", 0, 0},
    {"no such kind",
     "{\"revision\":7,\"routes\":[{\"name\":\"a\",\"host\":\"h\","
     "\"path\":\"/a/\",\"kind\":\"maybe\",\"service\":\"visor\"}]," SERVICES
     "}",
     false, "no such kind", 0, 0},
    {"a name twice", WHOLE("7", ROUTE("") "," ROUTE("")), false,
     "stands twice", 0, 0},
    {"text for a number", WHOLE("7", ROUTE(",\"priority\":\"x\"")), false,
     "priority", 0, 0},
    {"patch: another route",
     "{\"revision\":6,\"upsert\":{\"routes\":[" ROUTE("") "]}}", true, NULL, 6,
     3},
    {"patch: in place of one",
     "{\"revision\":6,\"upsert\":{\"routes\":[{\"name\":\"look\","
     "\"host\":\"h\",\"path\":\"/b/\",\"kind\":\"idempotent\","
     "\"service\":\"visor\"}]}}",
     true, NULL, 6, 2},
    {"patch: without one",
     "{\"revision\":6,\"remove\":{\"routes\":[\"look\",\"nobody\"]}}", true,
     NULL, 6, 1},
    {"patch: a service that is needed",
     "{\"revision\":6,\"remove\":{\"services\":[\"balanza\"]}}", true,
     "unknown service", 0, 0},
    {"patch: no list", "{\"revision\":6,\"upsert\":{\"routes\":7}}", true,
     "no list", 0, 0},
    {"patch: an older revision", "{\"revision\":4}", true, "not above", 0, 0},
    {"large answers",
     "{\"revision\":7,\"routes\":[{\"name\":\"a\",\"host\":\"h\","
     "\"path\":\"/a/\",\"kind\":\"download\",\"service\":\"visor\"}]," SERVICES
     "}",
     false, NULL, 7, 1},
    {"a public route of one region",
     WHOLE("7", ROUTE(",\"public\":true,\"home_regions\":[\"north\"]")), false,
     NULL, 7, 1},
    {"a region without a name", WHOLE("7", ROUTE(",\"home_regions\":[\"\"]")),
     false, "home_regions", 0, 0},
    {"accounts",
     WITH_ACCOUNTS(
         "7",
         ACCOUNT("a", "\"k1\",\"k2\"",
                 ",\"rate_per_s\":2.5,\"burst\":4") "," ACCOUNT("b", "\"k3\"",
                                                                "")),
     false, NULL, 7, 1},
    {"two accounts share a key",
     WITH_ACCOUNTS("7", ACCOUNT("a", "\"k1\",\"k2\"",
                                "") "," ACCOUNT("b", "\"k2\"", "")),
     false, "a key stands twice", 0, 0},
    {"an account has a key twice",
     WITH_ACCOUNTS("7", ACCOUNT("a", "\"k1\",\"k1\"", "")), false,
     "a key stands twice", 0, 0},
    {"a key that is empty", WITH_ACCOUNTS("7", ACCOUNT("a", "\"\"", "")),
     false, "keys", 0, 0},
    {"two accounts of one name",
     WITH_ACCOUNTS("7",
                   ACCOUNT("a", "\"k1\"", "") "," ACCOUNT("a", "\"k2\"", "")),
     false, "stands twice", 0, 0},
    {"a rate below 0",
     WITH_ACCOUNTS("7", ACCOUNT("a", "\"k1\"", ",\"rate_per_s\":-1")), false,
     "rate_per_s", 0, 0},
    {"patch: an account where there was none",
     "{\"revision\":6,\"upsert\":{\"accounts\":[" ACCOUNT("a", "\"k1\"",
                                                          "") "]}}",
     true, NULL, 6, 2},
    {"patch: accounts that share a key",
     "{\"revision\":6,\"upsert\":{\"accounts\":[" ACCOUNT(
         "a", "\"k1\"", "") "," ACCOUNT("b", "\"k1\"", "") "]}}",
     true, "a key stands twice", 0, 0},
    {"a cold backend server bears little",
     "{\"revision\":7,\"routes\":[" ROUTE(
         "") "],\"services\":[{\"name\":"
             "\"visor\",\"cold_start_s\":3.0,\"cold_per_s\":13.0}]}",
     false, NULL, 7, 1},
    {"a cold rate below 0",
     "{\"revision\":7,\"routes\":[" ROUTE(
         "") "],\"services\":[{\"name\":"
             "\"visor\",\"cold_per_s\":-13.0}]}",
     false, "cold_per_s", 0, 0},
};

static void
load_preset(StrBuf *json)
{
    ck_assert(Set_ReadFile(Str_LIT("tests/data/routed.json"), json, NULL));
}

START_TEST(accepts_or_rejects_a_revision)
{
    const RevisionCase *c = &revisions[_i];
    StrBuf before = {0};
    StrBuf after = {0};
    StrBuf text = {0};
    FindingList findings;
    Preset preset;
    bool good;

    load_preset(&before);
    Fnd_Init(&findings);
    good = Rtg_Revise(StrBuf_View(&before), Str_FromC(c->sent), c->patch,
                      &after, &findings) &&
           Pst_Parse(&preset, StrBuf_View(&after), &findings);
    if (good) {
        Rtg_CheckProposed(StrBuf_View(&after), &findings);
    }
    Fnd_Print(&findings, &text);
    ck_assert_msg((good && findings.count == 0) == !c->finding, "%s: %s",
                  c->name, StrBuf_CStr(&text));
    if (c->finding) {
        if (good) {
            Pst_Finish(&preset);
        }
        ck_assert_msg(findings.count > 0 &&
                          strstr(StrBuf_CStr(&text), c->finding),
                      "%s: %s", c->name, StrBuf_CStr(&text));
    }
    else {
        ck_assert_uint_eq(preset.routing_revision, c->revision);
        ck_assert_uint_eq(preset.route_count, c->routes);
        ck_assert_uint_eq(Rtg_Revision(StrBuf_View(&after)), c->revision);
        Pst_Finish(&preset);
    }
    Fnd_Finish(&findings);
    StrBuf_Finish(&before);
    StrBuf_Finish(&after);
    StrBuf_Finish(&text);
}
END_TEST

typedef struct {
    const char *host;
    const char *path;
    const char *route; /* NULL: none */
} RouteCase;

static const RouteCase routes[] = {
    {"barns.example", "/look/7", "look"},
    {"BARNS.example", "/look/", "look"},
    {"barns.example", "/look", NULL},
    {"other.example", "/look/7", NULL},
    {"barns.example", "/book/2/3", "book"},
};

START_TEST(selects_by_host_and_path)
{
    const RouteCase *c = &routes[_i];
    StrBuf json = {0};
    FindingList findings;
    Preset preset;
    const PresetRoute *route;

    load_preset(&json);
    Fnd_Init(&findings);
    ck_assert(Pst_Parse(&preset, StrBuf_View(&json), &findings));
    route = Pst_FindRoute(&preset, Str_FromC(c->host), Str_LIT("GET"),
                          Str_FromC(c->path));
    ck_assert((route != NULL) == (c->route != NULL));
    if (route) {
        ck_assert(Str_Equal(StrBuf_View(&route->name), Str_FromC(c->route)));
    }
    Pst_Finish(&preset);
    Fnd_Finish(&findings);
    StrBuf_Finish(&json);
}
END_TEST

/* Members that this program does not know are returned unchanged. */
START_TEST(keeps_unknown_members)
{
    StrBuf json = {0};
    json_t *routing;
    json_t *book;

    load_preset(&json);
    routing = Rtg_Get(StrBuf_View(&json));
    book = json_array_get(json_object_get(routing, "routes"), 1);
    ck_assert_str_eq(json_string_value(json_object_get(book, "note")), "kept");
    json_decref(routing);
    StrBuf_Finish(&json);
}
END_TEST

int
main(void)
{
    const SuiteTest tests[] = {
        {accepts_or_rejects_a_revision, ROWS(revisions)},
        {selects_by_host_and_path, ROWS(routes)},
        {keeps_unknown_members, 1},
    };

    return Suite_Run("routing", tests, 3, 10);
}
