/* lycheeridged, the daemon: reads the settings and runs a node until SIGTERM
 * or SIGINT has stopped it.  SIGHUP reads the settings again. */
#include <argtable2.h>
#include <signal.h>
#include <stdio.h>

#include "process/memory/machine.h"
#include "process/node.h"
#include "process/settings/reload.h"

enum { EXIT_GOOD = 0, EXIT_FAILED = 1, EXIT_USAGE = 2, EXIT_SETTINGS = 3 };

#define VERSION "0.1.0"

static void
on_stop_signal(evutil_socket_t number, short what, void *context)
{
    Node *node = context;

    (void)what;
    Lgr_Log(&node->logger, Lgr_INFO, Str_LIT("stopping"), "signal %d",
            (int)number);
    Node_Stop(node, Loop_Now());
}

static void
on_hangup(evutil_socket_t number, short what, void *context)
{
    (void)number;
    (void)what;
    Rld_ReadFile(context, Loop_Now());
}

/* Runs a node until it has stopped.  Returns the exit status. */
static int
serve(Settings *settings, Str path)
{
    static Node node;
    SettingsReloader reloader;
    Err err = {0};
    struct event *terminate;
    struct event *interrupt;
    struct event *hangup;

    if (!Node_Init(&node, settings, &err)) {
        fprintf(stderr, "lycheeridged: %.*s\n", Str_ARG(Err_Text(&err)));
        return EXIT_FAILED;
    }
    terminate = evsignal_new(node.loop.base, SIGTERM, on_stop_signal, &node);
    interrupt = evsignal_new(node.loop.base, SIGINT, on_stop_signal, &node);
    event_add(terminate, NULL);
    event_add(interrupt, NULL);
    Rld_Init(&reloader, &node, path);
    hangup = evsignal_new(node.loop.base, SIGHUP, on_hangup, &reloader);
    event_add(hangup, NULL);
    Node_Run(&node);
    event_free(hangup);
    Rld_Finish(&reloader);
    event_free(terminate);
    event_free(interrupt);
    Node_Finish(&node);
    return EXIT_GOOD;
}

/* Reads the settings and the preset that they name, and prints the findings in
 * both to stderr.  Returns whether there are none. */
static bool
read_settings(Str path, Settings *settings)
{
    FindingList findings;
    StrBuf json = {0};
    StrBuf text = {0};
    Preset preset;
    Err err = {0};
    bool good;

    Fnd_Init(&findings);
    Fnd_SetFile(&findings, path);
    if (!Set_ReadFile(path, &json, &err)) {
        Fnd_Add(&findings, Str_LIT("/"), Err_Text(&err),
                Str_LIT("a settings file"));
    }
    else {
        Set_Parse(settings, StrBuf_View(&json), &findings);
    }
    if (settings->preset.len &&
        Set_LoadPreset(StrBuf_View(&settings->preset), &preset, &findings)) {
        Pst_Finish(&preset);
    }
    Fnd_Print(&findings, &text);
    fprintf(stderr, "%.*s", Str_ARG(text));
    good = findings.count == 0;
    if (good && (settings->operator_key.len || settings->curve_secret.len) &&
        Set_IsOpenToOthers(path)) {
        fprintf(stderr,
                "%.*s: warning: contains keys but is accessible to "
                "other users; run chmod 600\n",
                Str_ARG(path));
    }
    StrBuf_Finish(&json);
    StrBuf_Finish(&text);
    Fnd_Finish(&findings);
    return good;
}

/* Checks the settings at PATH, and serves unless CHECK_ONLY.  Returns the exit
 * status. */
static int
check_or_serve(Str path, bool check_only)
{
    Settings settings;
    int status = EXIT_SETTINGS;

    Set_Init(&settings);
    if (read_settings(path, &settings)) {
        if (check_only) {
            printf("%.*s: good\n", Str_ARG(path));
        }
        status = check_only ? EXIT_GOOD : serve(&settings, path);
    }
    Set_Finish(&settings);
    return status;
}

int
main(int argc, char **argv)
{
    struct arg_lit *help = arg_lit0("h", "help", "show this help and exit");
    struct arg_lit *version =
        arg_lit0(NULL, "version", "show the version and exit");
    struct arg_lit *check = arg_lit0(
        NULL, "check", "check the settings and their preset, then exit");
    struct arg_file *file =
        arg_file0(NULL, NULL, "SETTINGS", "settings file in JSON");
    struct arg_end *end = arg_end(8);
    void *table[] = {help, version, check, file, end};
    int errors = arg_parse(argc, argv, table);
    int status = EXIT_USAGE;

    Mch_InitAllocator();
    signal(SIGPIPE, SIG_IGN);
    /* A write over the file size limit then fails, as on a full disk. */
    signal(SIGXFSZ, SIG_IGN);
    if (help->count) {
        printf("lycheeridged");
        arg_print_syntax(stdout, table, "\n");
        arg_print_glossary(stdout, table, "  %-16s %s\n");
        printf("Exit statuses: 0 stopped or checked, 1 failure, "
               "2 usage error, 3 invalid settings\n");
        status = EXIT_GOOD;
    }
    else if (version->count) {
        printf("lycheeridged %s\n", VERSION);
        status = EXIT_GOOD;
    }
    else if (errors || file->count == 0) {
        arg_print_errors(stderr, end, "lycheeridged");
        if (!errors) {
            fprintf(stderr, "lycheeridged: expected a settings file\n");
        }
        fprintf(stderr, "lycheeridged: try --help\n");
    }
    else {
        status =
            check_or_serve(Str_FromC(file->filename[0]), check->count > 0);
    }
    arg_freetable(table, sizeof table / sizeof table[0]);
    return status;
}
