/* replay: feeds recorded traces to the deciders and compares their outcomes
 * with the recorded ones.  Exit status: 0 when all traces agree, 1 when one
 * differs or cannot be read, 2 for wrong arguments.
 */
#include <argtable2.h>
#include <stdio.h>

#include "process/observe/replay.h"
#include "process/settings/settings.h"

/* Prints the result for one trace; false when it differs or is unreadable. */
static bool
replay_file(Str file)
{
    StrBuf text = {0};
    StrBuf report = {0};
    FindingList findings;
    ReplayResult result = {0};
    Err err = {0};
    bool good;

    Fnd_Init(&findings);
    Fnd_SetFile(&findings, file);
    good = Set_ReadFile(file, &text, &err) &&
           Rpl_Run(StrBuf_View(&text), &result, &findings);
    Fnd_Print(&findings, &report);
    printf("%.*s: %zu events, %zu refused, %zu differ\n", Str_ARG(file),
           result.events, result.refused, result.differing);
    fprintf(stderr, "%.*s%.*s", Str_ARG(report), Str_ARG(Err_Text(&err)));
    StrBuf_Finish(&text);
    StrBuf_Finish(&report);
    Fnd_Finish(&findings);
    return good;
}

int
main(int argc, char **argv)
{
    struct arg_file *files =
        arg_filen(NULL, NULL, "TRACE", 1, 100, "trace files to replay");
    struct arg_end *end = arg_end(8);
    void *table[] = {files, end};
    int failed_count = 0;

    if (arg_parse(argc, argv, table)) {
        arg_print_errors(stderr, end, "replay");
        arg_print_glossary(stderr, table, "  %-24s %s\n");
        return 2;
    }
    for (int i = 0; i < files->count; i++) {
        failed_count += !replay_file(Str_FromC(files->filename[i]));
    }
    return failed_count ? 1 : 0;
}
