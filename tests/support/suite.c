#include "support/suite.h"

#include <stdlib.h>

/* Whether TEST runs, given SUITE_ONLY in the environment.  Sets FIRST
 * to the first row that runs and END to the row after the last one. */
static bool
select_rows(const SuiteTest *test, int *first, int *end)
{
    const char *only = getenv("SUITE_ONLY");
    Str wanted = only ? Str_FromC(only) : (Str){0};
    size_t colon = Str_Find(wanted, ':');
    uint64_t row;

    *first = 0;
    *end = test->row_count;
    if (!wanted.len) {
        return true;
    }
    if (!Str_Equal(Str_Slice(wanted, 0, colon), Str_FromC(test->test->name))) {
        return false;
    }
    if (Str_ToU64(Str_Slice(wanted, colon + 1, wanted.len), &row)) {
        *first = (int)row;
        *end = (int)row + 1;
    }
    return true;
}

Str
Suite_GetBuildFolder(int argc, char **argv)
{
    return Str_FromC(argc > 1 ? argv[1] : "build");
}

int
Suite_Run(const char *name, const SuiteTest *tests, size_t count,
          double seconds)
{
    Suite *suite = suite_create(name);
    TCase *tcase = tcase_create(name);
    SRunner *runner = srunner_create(suite);
    int failed;

    suite_add_tcase(suite, tcase);
    tcase_set_timeout(tcase, seconds);
    for (size_t i = 0; i < count; i++) {
        int first;
        int end;
        if (select_rows(&tests[i], &first, &end)) {
            tcase_add_loop_test(tcase, tests[i].test, first, end);
        }
    }
    srunner_run_all(runner, CK_NORMAL);
    /* A run without any row fails: SUITE_ONLY names no test. */
    failed = srunner_ntests_failed(runner) + !srunner_ntests_run(runner);
    srunner_free(runner);
    return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
