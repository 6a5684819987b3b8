#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>

#include "process/cli.h"
#include "process/settings.h"
#include "version/preset.h"

static void
print_list(const json_t *answer)
{
    ConfigVersion version = Cli_Version(answer, "version");
    Str in_force = Cli_Text(answer, "in_force");
    size_t index;
    const json_t *preset;

    printf("version %" PRIu64 ".%" PRIu64 "\n", version.term, version.index);
    json_array_foreach(json_object_get(answer, "presets"), index, preset)
    {
        ConfigVersion changed = Cli_Version(preset, "version");
        Str name = Cli_Text(preset, "name");
        printf("%-24.*s changed by %" PRIu64 ".%" PRIu64 "%s\n", Str_ARG(name),
               changed.term, changed.index,
               Str_Equal(name, in_force) ? "  in force" : "");
    }
}

static void
print_preset(const json_t *answer)
{
    Cli_PrintJson(json_object_get(answer, "preset"));
}

CliStatus
Cli_ListPresets(Cli *cli)
{
    return Cli_Show(cli, Str_LIT("/v1/presets"), (Str){0}, print_list);
}

/* Names are sent as they are: anything that a URI would change is refused. */
static bool
is_plain(Str name)
{
    for (size_t i = 0; i < name.len; i++) {
        char c = name.ptr[i];
        if (!((c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
              (c >= '0' && c <= '9') || c == '-' || c == '_' || c == '.')) {
            return false;
        }
    }
    return name.len > 0;
}

CliStatus
Cli_ShowPreset(Cli *cli, Str name)
{
    StrBuf path = {0};
    CliStatus status;

    if (!is_plain(name)) {
        fprintf(stderr,
                "lycheeridge: \"%.*s\" is no preset's name: letters, "
                "digits, -, _ and . only\n",
                Str_ARG(name));
        return Cli_USAGE;
    }
    StrBuf_AppendFmt(&path, "/v1/presets/show?name=%.*s", Str_ARG(name));
    status = Cli_Show(cli, StrBuf_View(&path), (Str){0}, print_preset);
    StrBuf_Finish(&path);
    return status;
}

/* The base for a change: as given, else the newest.  Also shows that a node
 * answers at all before anything is sent. */
static CliStatus
find_base(Cli *cli)
{
    CliAsk ask;
    CliStatus status = Cli_GOOD;

    Cli_AskAny(cli,
               cli->has_base ? Str_LIT("/v1/status") : Str_LIT("/v1/presets"),
               (Str){0}, &ask);
    if (ask.status != 200) {
        status = Cli_Explain(&ask);
    }
    else if (!cli->has_base) {
        cli->base = Cli_Version(ask.answer, "version");
    }
    Cli_AskFinish(&ask);
    return status;
}

static void
make_id(Cli *cli)
{
    if (cli->id.len == 0) {
        StrBuf_AppendFmt(&cli->id, "%016" PRIx64 "%016" PRIx64, Loop_Entropy(),
                         Loop_Entropy());
    }
}

/* Send the change through the nodes in order, always with its one id, until
 * one tells an outcome. */
static void
send_change(Cli *cli, const json_t *change, CliAsk *ask)
{
    char *text = json_dumps(change, JSON_COMPACT);
    bool maybe_sent = false;

    Cli_AskInit(ask, cli->nodes[0], Str_LIT("/v1/change"));
    StrBuf_Set(&ask->body, Str_FromC(text));
    free(text);
    for (size_t i = 0; i < cli->node_count; i++) {
        json_decref(ask->answer);
        ask->answer = NULL;
        ask->status = 0;
        ask->node = cli->nodes[i];
        Cli_AskAll(cli, ask, 1);
        if (ask->status && ask->status != 503 && ask->status != 504) {
            return;
        }
        maybe_sent |= ask->status != 503;
    }
    if (maybe_sent) {
        ask->status = 504;
    }
}

static void
print_outcome(const Cli *cli, const CliAsk *ask)
{
    ConfigVersion version = Cli_Version(ask->answer, "version");
    const json_t *winner = json_object_get(ask->answer, "winner");

    if (ask->status == 200) {
        printf("accepted as version %" PRIu64 ".%" PRIu64 "\n", version.term,
               version.index);
    }
    else if (ask->status == 409) {
        fprintf(
            stderr,
            "lycheeridge: conflict: change %.*s (%.*s %.*s) was accepted "
            "before; version is %" PRIu64 ".%" PRIu64
            "; nothing of yours changed\n",
            Str_ARG(Cli_Text(winner, "id")), Str_ARG(Cli_Text(winner, "verb")),
            Str_ARG(Cli_Text(winner, "name")), version.term, version.index);
    }
    else if (ask->status == 504) {
        fprintf(stderr,
                "lycheeridge: the outcome is unknown; send it again with "
                "--id %.*s --base %" PRIu64 ".%" PRIu64 "\n",
                Str_ARG(cli->id), cli->base.term, cli->base.index);
    }
}

static CliStatus
judge(const CliAsk *ask)
{
    switch (ask->status) {
    case 200:
        return Cli_GOOD;
    case 409:
        return Cli_CONFLICT;
    case 504:
        return Cli_UNKNOWN;
    default:
        return Cli_Explain(ask);
    }
}

static CliStatus
make_change(Cli *cli, const char *verb, Str name, json_t *preset)
{
    CliStatus status = find_base(cli);
    json_t *change;
    CliAsk ask;
    CliAsk before;

    if (status != Cli_GOOD) {
        return status;
    }
    make_id(cli);
    Cli_AskAny(cli, Str_LIT("/v1/versions"), (Str){0}, &before);
    change = json_pack("{s:s%, s:{s:I, s:I}, s:s, s:s%}", "id", cli->id.ptr,
                       cli->id.len, "base", "term", (json_int_t)cli->base.term,
                       "index", (json_int_t)cli->base.index, "verb", verb,
                       "name", name.ptr, name.len);
    if (preset) {
        json_object_set(change, "preset", preset);
    }
    send_change(cli, change, &ask);
    json_decref(change);
    if (cli->json && ask.answer) {
        Cli_PrintJson(ask.answer);
    }
    else {
        print_outcome(cli, &ask);
    }
    status = judge(&ask);
    if (status == Cli_GOOD && cli->wait) {
        status = Cli_WaitInForce(cli, Cli_Version(ask.answer, "version"),
                                 before.answer);
    }
    Cli_AskFinish(&before);
    Cli_AskFinish(&ask);
    return status;
}

/* Read and check FILE; its findings go to standard error. */
static bool
read_preset(Str file, StrBuf *name)
{
    FindingList findings;
    StrBuf text = {0};
    Preset preset;
    bool good;

    Fnd_Init(&findings);
    good = Set_LoadPreset(file, &preset, &findings);
    if (good) {
        StrBuf_Set(name, StrBuf_View(&preset.name));
        Pst_Finish(&preset);
    }
    Fnd_Print(&findings, &text);
    fprintf(stderr, "%.*s", Str_ARG(text));
    StrBuf_Finish(&text);
    Fnd_Finish(&findings);
    return good;
}

CliStatus
Cli_PutPreset(Cli *cli, Str file)
{
    StrBuf text = {0};
    StrBuf name = {0};
    CliStatus status = Cli_INPUT;

    if (read_preset(file, &name) && Set_ReadFile(file, &text, NULL)) {
        json_t *preset = json_loadb(text.ptr, text.len, 0, NULL);
        status = make_change(cli, "put", StrBuf_View(&name), preset);
        json_decref(preset);
    }
    StrBuf_Finish(&text);
    StrBuf_Finish(&name);
    return status;
}

CliStatus
Cli_UsePreset(Cli *cli, Str name)
{
    return make_change(cli, "use", name, NULL);
}

CliStatus
Cli_CheckPreset(const Cli *cli, Str file)
{
    StrBuf name = {0};
    bool good = read_preset(file, &name);

    if (good && cli->json) {
        json_t *answer = json_pack("{s:b}", "good", true);
        Cli_PrintJson(answer);
        json_decref(answer);
    }
    else if (good) {
        printf("%.*s: preset %.*s is good\n", Str_ARG(file), Str_ARG(name));
    }
    StrBuf_Finish(&name);
    return good ? Cli_GOOD : Cli_INPUT;
}
