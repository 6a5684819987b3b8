/* Suite: the common part of the main function of every test program.  It runs
 * one Check suite whose tests are tables of cases.
 */
#ifndef SUITE_H
#define SUITE_H

#include <check.h>

#include "value/str.h"

typedef struct {
    const TTest *test;
    int row_count; /* rows of its table; the test runs once for each row _i */
} SuiteTest;

/* Returns the folder of the built programs: the first argument, or "build".
 * The string belongs to ARGV. */
Str Suite_GetBuildFolder(int argc, char **argv);

/* Runs all tests in one suite called NAME.  COUNT is the length of TESTS;
 * SECONDS is the time limit of each row.  With SUITE_ONLY=TEST or TEST:ROW in
 * the environment, only that test or row runs.  Returns the exit status of
 * main: EXIT_FAILURE when a row failed or none ran. */
int Suite_Run(const char *name, const SuiteTest *tests, size_t count,
              double seconds);

#endif
