#include "support/suite.h"

#include <stdlib.h>

Str
Suite_Build(int argc, char **argv)
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
        tcase_add_loop_test(tcase, tests[i].test, 0, tests[i].count);
    }
    srunner_run_all(runner, CK_NORMAL);
    failed = srunner_ntests_failed(runner);
    srunner_free(runner);
    return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
