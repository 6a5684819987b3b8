/* Suite: what every test program's main does: one suite, its cases, a verdict.
 */
#ifndef SUITE_H
#define SUITE_H

#include <check.h>

#include "value/str.h"

typedef struct {
    const TTest *test;
    int row_count; /* rows of its table; the test reads row _i */
} SuiteTest;

/* Folder of the built programs: the first argument, or "build". */
Str Suite_GetBuildFolder(int argc, char **argv);

/* Run all tests, each given SECONDS; the exit status of main.  With
 * SUITE_ONLY=NAME or NAME:ROW in the environment, only that one. */
int Suite_Run(const char *name, const SuiteTest *tests, size_t count,
              double seconds);

#endif
