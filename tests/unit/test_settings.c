/* Checks that a fault in the settings gives exactly one finding, at the place
 * of the fault, and that valid settings give none.  Each row replaces one part
 * of valid settings. */
#include "process/settings/settings.h"
#include "support/suite.h"

static const Str valid = Str_LIT(
    "{\"name\":\"vm1\",\"address\":\"10.0.0.1:7400\","
    "\"callers\":\"10.0.0.1:8000\",\"operators\":\"10.0.0.1:8100\","
    "\"failure_domain\":\"a\",\"failure_domains\":["
    "{\"name\":\"a\",\"region\":\"x\"},{\"name\":\"b\",\"region\":\"x\"}],"
    "\"control_replicas\":[\"10.0.0.1:7400\",\"10.0.0.2:7400\","
    "\"10.0.0.3:7400\"],\"data_folder\":\"/data\",\"preset\":\"p.json\","
    "\"operator_key\":\"12345678\",\"log_level\":\"info\","
    "\"heartbeat_ms\":500,\"member_expiry_ms\":2500}");

typedef struct {
    Str from;  /* part of the valid settings; empty: nothing is replaced */
    Str to;    /* text that replaces it */
    Str place; /* start of the only finding's place; empty: no finding */
} SettingsCase;

/* A valid pair of CURVE keys. */
#define PUBLIC_KEY "sQW33L]Dvj5tgcOG+vW)lrjImW?Z7essyh-Ac]5="
#define SECRET_KEY "7r6(BxOnd19}/HOi3v}zclXe2F4FHK=PZu}1%aEQ"
/* Replacement of the log level: the same with the pair of keys and MORE. */
#define CURVE(more)                                                           \
    Str_LIT("\"log_level\":\"info\",\"curve_public\":\"" PUBLIC_KEY           \
            "\",\"curve_secret\":\"" SECRET_KEY "\"" more)

static const SettingsCase cases[] = {
    {{0}, {0}, {0}},
    {Str_LIT("\"name\":\"vm1\""), Str_LIT("\"name\":7"), Str_LIT("/name")},
    {Str_LIT("\"name\":\"vm1\","), {0}, Str_LIT("/name")},
    {Str_LIT("\"name\":\"vm1\""), Str_LIT("\"name\":\"\""), Str_LIT("/name")},
    {Str_LIT("10.0.0.1:8000"), {0}, Str_LIT("/callers")},
    {Str_LIT("/data"), {0}, Str_LIT("/data_folder")},
    {Str_LIT("p.json"), {0}, Str_LIT("/preset")},
    {Str_LIT("\"log_level\":\"info\""), Str_LIT("\"record\":\"\""),
     Str_LIT("/record")},
    {Str_LIT("\"name\":\"vm1\""), Str_LIT("\"nam\":1,\"name\":\"vm1\""),
     Str_LIT("/nam")},
    {Str_LIT("\"name\":\"vm1\""), Str_LIT("\"name\":\"vm1\",\"name\":\"vm2\""),
     Str_LIT("line 1 column ")},
    {Str_LIT("{\"name\":\"vm1\""), Str_LIT("[\"name\":\"vm1\""),
     Str_LIT("line 1 column ")},
    {Str_LIT("10.0.0.1:8000"), Str_LIT("10.0.0.1"), Str_LIT("/callers")},
    {Str_LIT("10.0.0.1:8000"), Str_LIT("10.0.0.256:8000"),
     Str_LIT("/callers")},
    {Str_LIT("10.0.0.1:8000"), Str_LIT("10.0.0.1:65536"), Str_LIT("/callers")},
    {Str_LIT("10.0.0.1:8000"), Str_LIT("10.0.0.1:8100"), Str_LIT("/callers")},
    {Str_LIT("10.0.0.1:8100"), Str_LIT("10.0.0.1:7400"), Str_LIT("/address")},
    {Str_LIT("\"failure_domain\":\"a\""), Str_LIT("\"failure_domain\":\"c\""),
     Str_LIT("/failure_domain")},
    {Str_LIT("\"name\":\"b\""), Str_LIT("\"name\":\"a\""),
     Str_LIT("/failure_domains")},
    {Str_LIT("\"name\":\"b\""), Str_LIT("\"nom\":\"b\",\"name\":\"b\""),
     Str_LIT("/failure_domains/1/nom")},
    {Str_LIT(",\"10.0.0.3:7400\""), {0}, Str_LIT("/control_replicas")},
    {Str_LIT("10.0.0.3:7400"), Str_LIT("10.0.0.2:7400"),
     Str_LIT("/control_replicas")},
    {Str_LIT("\"10.0.0.3:7400\""), Str_LIT("7"), Str_LIT("/control_replicas")},
    {Str_LIT("\"data_folder\":\"/data\","), {0}, Str_LIT("/data_folder")},
    {Str_LIT("12345678"), Str_LIT("1234567"), Str_LIT("/operator_key")},
    {Str_LIT("12345678"), {0}, Str_LIT("/operator_key")},
    {Str_LIT("\"info\""), Str_LIT("\"loud\""), Str_LIT("/log_level")},
    {Str_LIT("\"info\""), Str_LIT("\"INFO\""), Str_LIT("/log_level")},
    {Str_LIT("\"info\""), Str_LIT("\"\""), Str_LIT("/log_level")},
    {Str_LIT("\"info\""), Str_LIT("1"), Str_LIT("/log_level")},
    {Str_LIT("\"info\""), Str_LIT("\"warning\""), {0}},
    {Str_LIT("\"info\""), Str_LIT("\"info\",\"log_lines_per_s\":10"), {0}},
    {Str_LIT("\"info\""), Str_LIT("\"info\",\"log_lines_per_s\":9"),
     Str_LIT("/log_lines_per_s")},
    {Str_LIT("\"info\""), Str_LIT("\"info\",\"bounds\":[]"), {0}},
    {Str_LIT("\"info\""),
     Str_LIT("\"info\",\"bounds\":[\"other=x\",\"stop_grace_s=6\"]"),
     {0}},
    {Str_LIT("\"info\""), Str_LIT("\"info\",\"bounds\":[7]"),
     Str_LIT("/bounds")},
    /* a value without its name, as a template may write it */
    {Str_LIT("\"info\""), Str_LIT("\"info\",\"bounds\":[\"6\"]"),
     Str_LIT("/bounds")},
    {Str_LIT("\"info\""), Str_LIT("\"info\",\"bounds\":[\"stop_grace_s\"]"),
     Str_LIT("/bounds")},
    {Str_LIT("\"info\""),
     Str_LIT("\"info\",\"bounds\":[\"stop_grace_s=soon\"]"),
     Str_LIT("/bounds")},
    {Str_LIT("\"info\""), Str_LIT("\"info\",\"bounds\":[\"config_apply_ms\"]"),
     Str_LIT("/bounds")},
    {Str_LIT("\"info\""),
     Str_LIT("\"info\",\"bounds\":[\"config_apply_ms=3600001\"]"),
     Str_LIT("/bounds")},
    {Str_LIT("500"), Str_LIT("0"), Str_LIT("/heartbeat_ms")},
    {Str_LIT("500"), Str_LIT("5e2"), Str_LIT("/heartbeat_ms")},
    {Str_LIT("500"), Str_LIT("99999999999999"), Str_LIT("/heartbeat_ms")},
    {Str_LIT("2500"), Str_LIT("900"), Str_LIT("/member_expiry_ms")},
    {Str_LIT("2500"), Str_LIT("2500,\"operators_connections_max\":0"),
     Str_LIT("/operators_connections_max")},
    {Str_LIT("2500"), Str_LIT("2500,\"operators_connections_max\":4097"),
     Str_LIT("/operators_connections_max")},
    {Str_LIT("2500"), Str_LIT("2500,\"memory_mb\":47"), Str_LIT("/memory_mb")},
    {Str_LIT("2500"), Str_LIT("2500,\"memory_mb\":-1"), Str_LIT("/memory_mb")},
    {Str_LIT("2500"), Str_LIT("2500,\"memory_mb\":160"), {0}},
    {Str_LIT("2500"), Str_LIT("2500,\"memory_mb\":0"), {0}},
    {Str_LIT("2500"), Str_LIT("2500,\"descriptors_max\":127"),
     Str_LIT("/descriptors_max")},
    {Str_LIT("2500"), Str_LIT("2500,\"descriptors_max\":4100"), {0}},
    {Str_LIT("2500"), Str_LIT("2500,\"operators_idle_ms\":99"),
     Str_LIT("/operators_idle_ms")},
    {Str_LIT("\"log_level\":\"info\""), CURVE(""), {0}},
    {Str_LIT("\"log_level\":\"info\""),
     CURVE(",\"curve_allowed\":[\"" PUBLIC_KEY "\"]"),
     {0}},
    {Str_LIT("\"log_level\":\"info\""), CURVE(",\"curve_allowed\":[]"),
     Str_LIT("/curve_allowed")},
    {Str_LIT("\"log_level\":\"info\""),
     CURVE(",\"curve_allowed\":[\"" PUBLIC_KEY "\",\"short\"]"),
     Str_LIT("/curve_allowed")},
    {Str_LIT("\"log_level\":\"info\""),
     Str_LIT("\"curve_public\":\"" PUBLIC_KEY
             "\",\"curve_secret\":\"" PUBLIC_KEY "\""),
     Str_LIT("/curve_public")},
    {Str_LIT("\"log_level\":\"info\""),
     Str_LIT("\"curve_public\":\"" PUBLIC_KEY "\""), Str_LIT("/curve_public")},
    {Str_LIT("\"log_level\":\"info\""),
     CURVE(",\"curve_change\":\"keyed\""),
     {0}},
    {Str_LIT("\"log_level\":\"info\""),
     CURVE(",\"curve_change\":\"unkeyed\""),
     {0}},
    {Str_LIT("\"log_level\":\"info\""), CURVE(",\"curve_change\":\"both\""),
     Str_LIT("/curve_change")},
    {Str_LIT("\"log_level\":\"info\""), CURVE(",\"curve_change\":\"\""),
     Str_LIT("/curve_change")},
    {Str_LIT("\"log_level\":\"info\""), Str_LIT("\"curve_change\":\"keyed\""),
     Str_LIT("/curve_change")},
};

/* Sets OUT to the valid settings with the first FROM of C replaced. */
static void
replace_first(const SettingsCase *c, StrBuf *out)
{
    size_t at = 0;

    if (c->from.len == 0) {
        StrBuf_Set(out, valid);
        return;
    }
    while (!Str_StartsWith(Str_Slice(valid, at, valid.len), c->from)) {
        ck_assert(++at < valid.len);
    }
    StrBuf_Set(out, Str_Slice(valid, 0, at));
    StrBuf_Append(out, c->to);
    StrBuf_Append(out, Str_Slice(valid, at + c->from.len, valid.len));
}

START_TEST(reports_wrong_value_at_its_place)
{
    const SettingsCase *c = &cases[_i];
    StrBuf text = {0};
    StrBuf report = {0};
    FindingList findings;
    Settings settings;

    replace_first(c, &text);
    Set_Init(&settings);
    Fnd_Init(&findings);
    Fnd_SetFile(&findings, Str_LIT("vm1.json"));
    ck_assert_int_eq(Set_Parse(&settings, StrBuf_View(&text), &findings),
                     c->place.len == 0);
    Fnd_Print(&findings, &report);
    ck_assert_msg(findings.count == (c->place.len ? 1 : 0), "%s",
                  StrBuf_CStr(&report));
    if (findings.count) {
        const Finding *finding = &findings.items[0];
        ck_assert_msg(
            Str_StartsWith(StrBuf_View(&finding->location), c->place), "%s",
            StrBuf_CStr(&report));
        ck_assert(Str_Equal(StrBuf_View(&finding->file), Str_LIT("vm1.json")));
        ck_assert(finding->cause.len && finding->expected.len);
    }
    Fnd_Finish(&findings);
    Set_Finish(&settings);
    StrBuf_Finish(&text);
    StrBuf_Finish(&report);
}
END_TEST

typedef struct {
    Str to; /* in place of "info" */
    Span stop_bound;
} StopBoundCase;

static const StopBoundCase stop_bounds[] = {
    {Str_LIT("\"info\""), Span_S(30)},
    {Str_LIT("\"info\",\"stop_bound_ms\":5500"), Span_MS(5500)},
    {Str_LIT("\"info\",\"bounds\":[\"other=1\"]"), Span_S(30)},
    {Str_LIT("\"info\",\"bounds\":[\"other=1\",\"stop_grace_s=6\"]"),
     Span_MS(5200)},
    {Str_LIT("\"info\",\"bounds\":[\"stop_grace_s=10\"],"
             "\"stop_bound_ms\":5500"),
     Span_MS(9200)},
    {Str_LIT("\"info\",\"bounds\":[\"stop_grace_s=2.5\"]"), Span_MS(1200)},
    {Str_LIT("\"info\",\"bounds\":[\"stop_grace_s=0\"]"), 0},
};

/* The process ends before the platform kills it. */
START_TEST(stops_within_stated_grace)
{
    const StopBoundCase *c = &stop_bounds[_i];
    const SettingsCase replacement = {Str_LIT("\"info\""), c->to, {0}};
    StrBuf text = {0};
    FindingList findings;
    Settings settings;

    replace_first(&replacement, &text);
    Set_Init(&settings);
    Fnd_Init(&findings);
    ck_assert(Set_Parse(&settings, StrBuf_View(&text), &findings));
    ck_assert_int_eq(settings.stop_bound, c->stop_bound);
    Fnd_Finish(&findings);
    Set_Finish(&settings);
    StrBuf_Finish(&text);
}
END_TEST

typedef struct {
    Str to; /* in place of "info" */
    Span apply_bound;
} ApplyBoundCase;

static const ApplyBoundCase apply_bounds[] = {
    {Str_LIT("\"info\""), Span_MS(2000)},
    {Str_LIT("\"info\",\"bounds\":[\"stop_grace_s=6\"]"), Span_MS(2000)},
    {Str_LIT("\"info\",\"bounds\":[\"config_apply_ms=17000\"]"),
     Span_MS(17000)},
    {Str_LIT("\"info\",\"bounds\":[\"config_apply_ms=1500.5\","
             "\"stop_grace_s=6\"]"),
     Span_MS(1500)},
};

START_TEST(reads_stated_time_of_changes)
{
    const ApplyBoundCase *c = &apply_bounds[_i];
    const SettingsCase replacement = {Str_LIT("\"info\""), c->to, {0}};
    StrBuf text = {0};
    FindingList findings;
    Settings settings;

    replace_first(&replacement, &text);
    Set_Init(&settings);
    Fnd_Init(&findings);
    ck_assert(Set_Parse(&settings, StrBuf_View(&text), &findings));
    ck_assert_int_eq(settings.apply_bound, c->apply_bound);
    Fnd_Finish(&findings);
    Set_Finish(&settings);
    StrBuf_Finish(&text);
}
END_TEST

typedef struct {
    Str file;
    bool is_readable;
    ErrCode code; /* unless it is readable */
} FileCase;

static const FileCase files[] = {
    {Str_LIT("/dev/null"), true, 0},
    {Str_LIT("/"), false, Err_IO}, /* a folder can be opened, but not read */
    {Str_LIT("/no/such/file"), false, Err_IO},
    {Str_LIT("/dev/zero"), false, Err_TOO_LARGE},
};

START_TEST(reports_file_that_cannot_be_read)
{
    const FileCase *c = &files[_i];
    StrBuf text = {0};
    Err err = {0};

    ck_assert_int_eq(Set_ReadFile(c->file, &text, &err), c->is_readable);
    ck_assert(c->is_readable || err.code == c->code);
    StrBuf_Finish(&text);
}
END_TEST

START_TEST(reports_all_findings_together)
{
    FindingList findings;
    Settings settings;

    Set_Init(&settings);
    Fnd_Init(&findings);
    ck_assert(!Set_Parse(&settings, Str_LIT("{\"nam\":1,\"callers\":\"x\"}"),
                         &findings));
    /* 8 required keys are missing, 1 value is no address, 1 key is unknown. */
    ck_assert_uint_eq(findings.count, 10);
    Fnd_Finish(&findings);
    Set_Finish(&settings);
}
END_TEST

int
main(void)
{
    const SuiteTest tests[] = {
        {reports_wrong_value_at_its_place, sizeof cases / sizeof cases[0]},
        {stops_within_stated_grace,
         sizeof stop_bounds / sizeof stop_bounds[0]},
        {reads_stated_time_of_changes,
         sizeof apply_bounds / sizeof apply_bounds[0]},
        {reports_file_that_cannot_be_read, sizeof files / sizeof files[0]},
        {reports_all_findings_together, 1},
    };

    return Suite_Run("settings", tests, 5, 10);
}
