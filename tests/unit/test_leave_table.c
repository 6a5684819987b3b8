/* Guards against the failure that a start of a backend server that left is
 * forgotten, or that a start that is still ready is taken for one that left:
 * merging, expiry, and the packed form in a file. */
#include "connection/leavemsg.h"
#include "support/suite.h"

#define ROWS(table) (int)(sizeof(table) / sizeof(table)[0])

enum { STEPS_MAX = 4, NODE = 77, OTHER_NODE = 78 };

typedef struct {
    uint64_t id_hash; /* 0: end of the steps */
    int64_t started_at_ms;
    bool changes;
} MergeStep;

typedef struct {
    const char *name;
    MergeStep steps[STEPS_MAX];
    BackendStart kept;
} MergeCase;

static const MergeCase merge_cases[] = {
    {"one", {{1, 10, true}}, {1, 10}},
    {"repeated", {{1, 10, true}, {1, 10, false}}, {1, 10}},
    {"a later start", {{1, 10, true}, {2, 20, true}}, {2, 20}},
    {"a later start with the same id",
     {{1, 10, true}, {1, 20, true}},
     {1, 20}},
    {"a late notice of an earlier start",
     {{2, 20, true}, {1, 10, false}},
     {2, 20}},
    {"without start times, the last one heard",
     {{1, 0, true}, {2, 0, true}},
     {2, 0}},
    {"one without a start time never replaces one with it",
     {{1, 10, true}, {2, 0, false}},
     {1, 10}},
};

START_TEST(keeps_latest_start)
{
    const MergeCase *c = &merge_cases[_i];
    LeaveTable table = {0};

    for (int i = 0; i < STEPS_MAX && c->steps[i].id_hash; i++) {
        const MergeStep *step = &c->steps[i];
        ck_assert_msg(
            Lvt_Merge(&table, NODE,
                      (BackendStart){step->id_hash, step->started_at_ms},
                      i) == step->changes,
            "%s, step %d", c->name, i);
    }
    ck_assert_msg(Lvt_StartsAreEqual(Lvt_Find(&table, NODE), c->kept), "%s",
                  c->name);
    ck_assert_int_eq((int)Lvt_Find(&table, OTHER_NODE).id_hash, 0);
    Lvt_Finish(&table);
}
END_TEST

typedef struct {
    const char *name;
    size_t rows;       /* added one after the other, a microsecond apart */
    size_t cut;        /* bytes cut off the packed form */
    Instant expire_at; /* before packing */
    size_t kept;       /* rows after packing and reading */
    bool is_read;
} PackCase;

static const PackCase pack_cases[] = {
    {"empty", 0, 0, 0, 0, true},
    {"some", 3, 0, Span_S(1), 3, true},
    {"retention of the first has passed", 3, 0, Lvt_RETENTION, 2, true},
    {"full", Lvt_ROWS_MAX, 0, 0, Lvt_ROWS_MAX, true},
    {"over full: the oldest goes", Lvt_ROWS_MAX + 1, 0, 0, Lvt_ROWS_MAX, true},
    {"damaged", 3, 1, 0, 0, false},
};

START_TEST(survives_packing)
{
    const PackCase *c = &pack_cases[_i];
    LeaveTable before = {0};
    LeaveTable after = {0};
    Pack pack;
    Str bytes;
    Err err = {0};

    for (size_t i = 0; i < c->rows; i++) {
        Lvt_Merge(&before, NODE + i, (BackendStart){i + 1, 10}, (Instant)i);
    }
    Lvt_Expire(&before, c->expire_at);
    Leavemsg_PackTable(&pack, &before);
    bytes = Pack_View(&pack);
    bytes.len -= c->cut;
    ck_assert_msg(Leavemsg_ReadTable(bytes, &after, 0, &err) == c->is_read,
                  "%s", c->name);
    ck_assert_msg(after.count == c->kept, "%s: %zu rows", c->name,
                  after.count);
    for (size_t i = 0; i < after.count; i++) {
        ck_assert(Lvt_StartsAreEqual(Lvt_Find(&before, after.rows[i].node),
                                     after.rows[i].start));
    }
    Pack_Finish(&pack);
    Lvt_Finish(&before);
    Lvt_Finish(&after);
}
END_TEST

int
main(void)
{
    const SuiteTest tests[] = {{keeps_latest_start, ROWS(merge_cases)},
                               {survives_packing, ROWS(pack_cases)}};

    return Suite_Run("leave table", tests, 2, 30);
}
