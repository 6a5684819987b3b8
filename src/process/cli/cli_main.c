/* lycheeridge: the command-line tool for operators (see cli.h). */
#include <argtable2.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>

#include "process/cli/cli.h"
#include "process/observe/timeline.h"
#include "process/settings/settings.h"

#define VERSION "0.1.0"

enum {
    TIMEOUT_DEFAULT_S = 10,
    TIMEOUT_MAX_S = 3600,
    EVENTS_DEFAULT = 200,
    ID_BYTES_MAX = 64
};

typedef struct {
    struct arg_lit *help;
    struct arg_lit *version;
    struct arg_lit *json;
    struct arg_str *node;
    struct arg_file *key_file;
    struct arg_str *base;
    struct arg_str *id;
    struct arg_lit *ends;
    struct arg_int *wait;
    struct arg_int *timeout;
    struct arg_str *since;
    struct arg_int *limit;
    struct arg_str *words;
    struct arg_end *end;
} Args;

typedef struct {
    Str words[2];
    size_t word_count; /* number of words in use */
    Str operand;       /* its name in --help; empty: no operand */
    Str summary;       /* text in --help */
    bool local;        /* sends no request to a node */
    CliStatus (*run)(Cli *cli);
    CliStatus (*run_with_operand)(Cli *cli, Str operand);
    size_t operands_min; /* least number of operands; if over 1, more may
                            follow */
} Command;

static CliStatus
check_preset(Cli *cli, Str file)
{
    return Cli_CheckPreset(cli, file);
}

static CliStatus
print_new_keys(Cli *cli)
{
    return Cli_PrintNewKeys(cli);
}

static const Command commands[] = {
    {{Str_LIT("status")},
     1,
     {0},
     Str_LIT("show nodes, backend servers, load and versions"),
     false,
     Cli_ShowStatus,
     NULL,
     0},
    {{Str_LIT("timeline")},
     1,
     {0},
     Str_LIT("show the events of all processes in order"),
     false,
     Cli_ShowTimeline,
     NULL,
     0},
    {{Str_LIT("preset"), Str_LIT("list")},
     2,
     {0},
     Str_LIT("list presets and show which is in force"),
     false,
     Cli_ListPresets,
     NULL,
     0},
    {{Str_LIT("preset"), Str_LIT("show")},
     2,
     Str_LIT("NAME"),
     Str_LIT("show a preset"),
     false,
     NULL,
     Cli_ShowPreset,
     1},
    {{Str_LIT("preset"), Str_LIT("put")},
     2,
     Str_LIT("FILE"),
     Str_LIT("add a preset, or replace the preset of that name"),
     false,
     NULL,
     Cli_PutPreset,
     1},
    {{Str_LIT("preset"), Str_LIT("use")},
     2,
     Str_LIT("NAME"),
     Str_LIT("put a preset in force"),
     false,
     NULL,
     Cli_UsePreset,
     1},
    {{Str_LIT("evacuate")},
     1,
     Str_LIT("DOMAIN"),
     Str_LIT("send nothing more to a failure domain (--end: again)"),
     false,
     NULL,
     Cli_Evacuate,
     1},
    {{Str_LIT("suspects")},
     1,
     {0},
     Str_LIT("list requests blamed for backend server losses"),
     false,
     Cli_ListSuspects,
     NULL,
     0},
    {{Str_LIT("suspects"), Str_LIT("release")},
     2,
     Str_LIT("FINGERPRINT"),
     Str_LIT("allow a stopped request to run again everywhere"),
     false,
     NULL,
     Cli_ReleaseSuspect,
     1},
    {{Str_LIT("check")},
     1,
     Str_LIT("FILE"),
     Str_LIT("check a preset file (contacts no node)"),
     true,
     NULL,
     check_preset,
     1},
    {{Str_LIT("keys"), Str_LIT("new")},
     2,
     {0},
     Str_LIT("generate a CURVE key pair (contacts no node)"),
     true,
     print_new_keys,
     NULL,
     0},
    {{Str_LIT("explain")},
     1,
     Str_LIT("ID FILE..."),
     Str_LIT("show log lines about a request (contacts no node)"),
     true,
     Cli_ExplainRequest,
     NULL,
     2},
};

enum { COMMAND_COUNT = sizeof commands / sizeof commands[0] };

static void
append_words(const Command *command, StrBuf *out)
{
    for (size_t i = 0; i < command->word_count; i++) {
        StrBuf_AppendFmt(out, "%s%.*s", i ? " " : "",
                         Str_ARG(command->words[i]));
    }
}

static void
print_help(void **table)
{
    printf("lycheeridge COMMAND");
    arg_print_syntax(stdout, table, "\n");
    printf("Commands:\n");
    for (size_t i = 0; i < COMMAND_COUNT; i++) {
        const Command *c = &commands[i];
        StrBuf words = {0};
        append_words(c, &words);
        StrBuf_AppendFmt(&words, " %.*s", Str_ARG(c->operand));
        printf("  %-22s %.*s\n", StrBuf_CStr(&words), Str_ARG(c->summary));
        StrBuf_Finish(&words);
    }
    printf("Options:\n");
    arg_print_glossary(stdout, table, "  %-22s %s\n");
    printf("Exit statuses: 0 success, 1 failure, 2 usage error, 3 invalid "
           "input,\n"
           "  4 access denied, 5 refused, 6 conflict, 7 outcome unknown,\n"
           "  8 unreachable, 9 not in force everywhere in time\n");
}

static bool
print_expected(const char *option, const char *expected)
{
    fprintf(stderr, "lycheeridge: %s: expected %s\n", option, expected);
    return false;
}

static bool
starts_with_words(const Cli *cli, const Command *command)
{
    bool starts = cli->word_count >= command->word_count;

    for (size_t i = 0; starts && i < command->word_count; i++) {
        starts = Str_Equal(cli->words[i], command->words[i]);
    }
    return starts;
}

static void
print_missing_operand(const Command *command)
{
    StrBuf words = {0};
    StrBuf operand = {0};

    append_words(command, &words);
    StrBuf_Set(&operand, command->operand);
    print_expected(StrBuf_CStr(&words), StrBuf_CStr(&operand));
    StrBuf_Finish(&words);
    StrBuf_Finish(&operand);
}

/* The command that the words name.  Prints the reason and returns NULL when
 * they name none. */
static const Command *
find_command(const Cli *cli)
{
    for (size_t i = 0; i < COMMAND_COUNT; i++) {
        const Command *c = &commands[i];
        size_t wanted = c->word_count + c->operands_min;
        if (!starts_with_words(cli, c)) {
            continue;
        }
        if (cli->word_count == wanted ||
            (c->operands_min > 1 && cli->word_count > wanted)) {
            return c;
        }
        if (cli->word_count < wanted) {
            print_missing_operand(c);
            return NULL;
        }
        if (c->operand.len) {
            fprintf(stderr,
                    "lycheeridge: unexpected argument %.*s; try --help\n",
                    Str_ARG(cli->words[wanted]));
            return NULL;
        }
    }
    fprintf(stderr, "lycheeridge: no such command; try --help\n");
    return NULL;
}

static bool
read_nodes(Cli *cli, const Args *args)
{
    for (int i = 0; i < args->node->count; i++) {
        if (!Addr_Parse(Str_FromC(args->node->sval[i]), &cli->nodes[i])) {
            return print_expected("--node", "the operator address of a node, "
                                            "such as 127.0.1.1:8100");
        }
    }
    cli->node_count = (size_t)args->node->count;
    return true;
}

static bool
read_version(Str text, ConfigVersion *version)
{
    size_t dot = Str_Find(text, '.');

    return Str_ToU64(Str_Slice(text, 0, dot), &version->term) &&
           Str_ToU64(Str_Slice(text, dot + 1, text.len), &version->index);
}

static bool
read_key(Cli *cli, const Args *args)
{
    StrBuf text = {0};
    Err err = {0};
    Str key = Str_FromC(getenv("LYCHEERIDGE_KEY"));

    if (args->key_file->count) {
        if (!Set_ReadFile(Str_FromC(args->key_file->filename[0]), &text,
                          &err)) {
            fprintf(stderr, "lycheeridge: %.*s\n", Str_ARG(Err_Text(&err)));
            return false;
        }
        if (Set_IsOpenToOthers(Str_FromC(args->key_file->filename[0]))) {
            fprintf(stderr,
                    "lycheeridge: other users can access the key file %s; "
                    "run chmod 600\n",
                    args->key_file->filename[0]);
        }
        key = StrBuf_View(&text);
        key = Str_Trim(Str_Slice(key, 0, Str_Find(key, '\n')));
    }
    StrBuf_Set(&cli->key, key);
    StrBuf_Finish(&text);
    return true;
}

static bool
read_numbers(Cli *cli, const Args *args)
{
    int wait = args->wait->count ? args->wait->ival[0] : 0;
    int timeout =
        args->timeout->count ? args->timeout->ival[0] : TIMEOUT_DEFAULT_S;
    int limit = args->limit->count ? args->limit->ival[0] : EVENTS_DEFAULT;

    if (wait < 0 || wait > TIMEOUT_MAX_S) {
        return print_expected("--wait", "0 to 3600 seconds");
    }
    if (timeout < 1 || timeout > TIMEOUT_MAX_S) {
        return print_expected("--timeout", "1 to 3600 seconds");
    }
    if (limit < 1 || limit > Tml_RING_EVENTS) {
        return print_expected("--limit", "1 to 1024");
    }
    if (args->since->count &&
        !Str_ToU64(Str_FromC(args->since->sval[0]), &cli->since_stamp)) {
        return print_expected("--since", "a stamp as printed by \"timeline\"");
    }
    cli->wait = Span_S(wait);
    cli->timeout = Span_S(timeout);
    cli->limit = (uint64_t)limit;
    return true;
}

static bool
read_change_options(Cli *cli, const Args *args)
{
    if (args->base->count) {
        cli->has_base_version = true;
        if (!read_version(Str_FromC(args->base->sval[0]),
                          &cli->base_version)) {
            return print_expected("--base", "TERM.INDEX, such as 2.10");
        }
    }
    if (args->id->count) {
        StrBuf_Set(&cli->change_id, Str_FromC(args->id->sval[0]));
        if (cli->change_id.len < 1 || cli->change_id.len > ID_BYTES_MAX) {
            return print_expected("--id", "1 to 64 bytes");
        }
        /* A change that is sent again is the same only with the same base. */
        if (!cli->has_base_version) {
            return print_expected("--id", "--base to be given as well");
        }
    }
    return true;
}

static bool
read_args(Cli *cli, const Args *args)
{
    for (int i = 0; i < args->words->count; i++) {
        cli->words[cli->word_count++] = Str_FromC(args->words->sval[i]);
    }
    cli->json = args->json->count > 0;
    cli->ends = args->ends->count > 0;
    return read_nodes(cli, args) && read_key(cli, args) &&
           read_numbers(cli, args) && read_change_options(cli, args);
}

static CliStatus
run_command(Cli *cli)
{
    const Command *command = find_command(cli);
    Err err = {0};
    CliStatus status;

    if (!command) {
        return Cli_USAGE;
    }
    if (!command->local && cli->node_count == 0) {
        print_expected("--node", "the operator address of at least one node");
        return Cli_USAGE;
    }
    if (!Loop_Init(&cli->loop, &err)) {
        return Cli_FAILED;
    }
    status =
        command->run
            ? command->run(cli)
            : command->run_with_operand(cli, cli->words[cli->word_count - 1]);
    Loop_Finish(&cli->loop);
    return status;
}

static CliStatus
handle_args(const Args *args, void **table, int errors)
{
    Cli cli = {0};
    CliStatus status = Cli_USAGE;

    if (args->help->count) {
        print_help(table);
        return Cli_GOOD;
    }
    if (args->version->count) {
        printf("lycheeridge %s\n", VERSION);
        return Cli_GOOD;
    }
    if (errors) {
        arg_print_errors(stderr, args->end, "lycheeridge");
        fprintf(stderr, "lycheeridge: try --help\n");
        return Cli_USAGE;
    }
    if (read_args(&cli, args)) {
        status = run_command(&cli);
    }
    StrBuf_Finish(&cli.key);
    StrBuf_Finish(&cli.change_id);
    return status;
}

int
main(int argc, char **argv)
{
    Args args = {
        .help = arg_lit0("h", "help", "show this help and exit"),
        .version = arg_lit0(NULL, "version", "show the version and exit"),
        .json = arg_lit0(NULL, "json", "print JSON"),
        .node = arg_strn("n", "node", "IP:PORT", 0, Cli_NODES_MAX,
                         "operator address of a node; several are tried in "
                         "order"),
        .key_file =
            arg_file0(NULL, "key-file", "FILE",
                      "file with the operator key (default: environment "
                      "variable LYCHEERIDGE_KEY)"),
        .base =
            arg_str0(NULL, "base", "TERM.INDEX",
                     "version that a change is based on (default: newest)"),
        .id = arg_str0(NULL, "id", "ID",
                       "change id; reuse it to send the same change again"),
        .ends = arg_lit0(NULL, "end", "end an evacuation"),
        .wait = arg_int0(NULL, "wait", "S",
                         "wait up to S seconds until in force everywhere"),
        .timeout = arg_int0(NULL, "timeout", "S",
                            "timeout of one request in seconds (default: 10)"),
        .since =
            arg_str0(NULL, "since", "STAMP", "show only events after STAMP"),
        .limit = arg_int0(NULL, "limit", "N",
                          "maximum number of events to show (default: 200)"),
        .words = arg_strn(NULL, NULL, "COMMAND", 0, Cli_WORDS_MAX, NULL),
        .end = arg_end(8),
    };
    void *table[] = {args.help,     args.version, args.json,  args.node,
                     args.key_file, args.base,    args.id,    args.ends,
                     args.wait,     args.timeout, args.since, args.limit,
                     args.words,    args.end};
    int errors = arg_parse(argc, argv, table);
    CliStatus status;

    signal(SIGPIPE, SIG_IGN);
    status = handle_args(&args, table, errors);
    arg_freetable(table, sizeof table / sizeof table[0]);
    return status;
}
