/* Log lines: one JSON object each, none below the level that is set, so many a
 * second, and none that waits for its reader.
 */
#include <fcntl.h>
#include <unistd.h>

#include "process/logger.h"
#include "support/suite.h"
#include "value/json.h"

static int64_t wall = 1700000000000000;

static int64_t
read_wall(void)
{
    return wall;
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

typedef struct {
    const char *name;
    uint32_t lines_per_s;
    int lines;         /* within one second */
    size_t full;       /* bytes that wait to be read before the first one */
    uint64_t left_out; /* in all */
} BoundCase;

enum { PIPE_BYTES = 64 * 1024, DETAIL_BYTES = 100 };

static const BoundCase bounds[] = {
    {"within the rate", 10, 10, 0, 0},
    {"over the rate", 10, 35, 0, 25},
    {"nobody reads", 1000, 20, PIPE_BYTES, 20},
    {"nobody reads any longer", 100000, 2000, 0, 1600},
};

static void
log_lines(Logger *logger, int count)
{
    for (int i = 0; i < count; i++) {
        Lgr_Log(logger, Lgr_INFO, Str_LIT("started"), "%0*d", DETAIL_BYTES, i);
    }
}

static size_t
count_lines(int fd, size_t skip)
{
    static char text[2 * PIPE_BYTES];
    ssize_t len = read(fd, text, sizeof text);
    size_t lines = 0;

    for (ssize_t i = (ssize_t)skip; i < len; i++) {
        lines += text[i] == '\n';
    }
    return lines;
}

START_TEST(leaves_out_what_is_too_much)
{
    static char fill[PIPE_BYTES];
    const BoundCase *c = &bounds[_i];
    Counters counters;
    Logger logger;
    size_t written;
    uint64_t left_out;
    int ends[2];

    ck_assert_int_eq(pipe(ends), 0);
    ck_assert_int_eq(fcntl(ends[1], F_SETPIPE_SZ, PIPE_BYTES), PIPE_BYTES);
    ck_assert_int_eq(write(ends[1], fill, c->full), (ssize_t)c->full);
    Cnt_Init(&counters);
    Lgr_Init(&logger, Lgr_INFO, Str_LIT("vm1"), read_wall);
    logger.fd = ends[1];
    logger.counters = &counters;
    logger.lines_per_s = c->lines_per_s;
    log_lines(&logger, c->lines);
    left_out = logger.left_out;
    ck_assert_uint_eq(counters.values[Cnt_LINES_LEFT_OUT], left_out);
    written = c->full + (size_t)c->lines > left_out
                  ? count_lines(ends[0], c->full)
                  : 0;
    ck_assert_uint_eq(written + left_out, (uint64_t)c->lines);
    ck_assert_msg(left_out >= c->left_out &&
                      (left_out > 0) == (c->left_out > 0),
                  "%s: %d left out", c->name, (int)left_out);
    /* Told, once there is room. */
    wall += 1000000;
    log_lines(&logger, 1);
    ck_assert_uint_eq(count_lines(ends[0], 0), 1 + (left_out > 0));
    ck_assert_uint_eq(logger.left_out, 0);
    close(ends[0]);
    close(ends[1]);
    Lgr_Finish(&logger);
}
END_TEST

int
main(void)
{
    const SuiteTest tests[] = {
        {writes_no_line_below_its_level, sizeof cases / sizeof cases[0]},
        {leaves_out_what_is_too_much, sizeof bounds / sizeof bounds[0]}};

    return Suite_Run("logger", tests, 2, 10);
}
