/* Log lines: one JSON object each, none below the level that is set. */
#include <unistd.h>

#include "process/logger.h"
#include "support/suite.h"
#include "value/json.h"

static int64_t
read_wall(void)
{
    return 1700000000000000;
}

typedef struct {
    const char *name; /* of the level that is set */
    bool known;
    bool written[Lgr_ERROR + 1]; /* of a line of each level */
} LevelCase;

static const LevelCase cases[] = {
    {"debug", true, {true, true, true, true}},
    {"info", true, {false, true, true, true}},
    {"warning", true, {false, false, true, true}},
    {"error", true, {false, false, false, true}},
    {"", false, {false}},
    {"Info", false, {false}},
    {"warn", false, {false}},
    {"info ", false, {false}},
    {"errors", false, {false}},
};

/* What LOGGER writes for one line of LEVEL. */
static size_t
write_line(Logger *logger, LgrLevel level, char *text, size_t size)
{
    int ends[2];
    ssize_t len;

    ck_assert_int_eq(pipe(ends), 0);
    logger->fd = ends[1];
    Lgr_Log(logger, level, Str_LIT("started"), "port=%d \"x\"\n", 7400);
    close(ends[1]);
    len = read(ends[0], text, size);
    close(ends[0]);
    ck_assert_int_ge(len, 0);
    return (size_t)len;
}

static void
check_line(Str line, LgrLevel wanted)
{
    json_t *root = json_loadb(line.ptr, line.len, 0, NULL);
    const char *name = json_string_value(json_object_get(root, "level"));
    LgrLevel level;

    ck_assert_ptr_nonnull(root);
    ck_assert(Lgr_ParseLevel(Str_FromC(name), &level));
    ck_assert_int_eq(level, wanted);
    ck_assert_str_eq(json_string_value(json_object_get(root, "event")),
                     "started");
    ck_assert_str_eq(json_string_value(json_object_get(root, "detail")),
                     "port=7400 \"x\"\n");
    /* One object, one line. */
    ck_assert_uint_eq(Str_Find(line, '\n'), line.len - 1);
    json_decref(root);
}

START_TEST(writes_no_line_below_its_level)
{
    const LevelCase *c = &cases[_i];
    LgrLevel set = Lgr_INFO;
    Logger logger;
    char text[512];

    ck_assert_int_eq(Lgr_ParseLevel(Str_FromC(c->name), &set), c->known);
    if (!c->known) {
        ck_assert_int_eq(set, Lgr_INFO);
        return;
    }
    Lgr_Init(&logger, set, Str_LIT("vm1"), read_wall);
    for (int level = Lgr_DEBUG; level <= Lgr_ERROR; level++) {
        size_t len = write_line(&logger, (LgrLevel)level, text, sizeof text);
        ck_assert_msg((len > 0) == c->written[level], "%s: line of level %d",
                      c->name, level);
        if (len) {
            check_line(Str_From(text, len), (LgrLevel)level);
        }
    }
    Lgr_Finish(&logger);
}
END_TEST

int
main(void)
{
    const SuiteTest tests[] = {
        {writes_no_line_below_its_level, sizeof cases / sizeof cases[0]}};

    return Suite_Run("logger", tests, 1, 10);
}
