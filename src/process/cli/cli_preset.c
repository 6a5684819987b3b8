#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>

#include "process/cli/cli.h"
#include "process/settings/settings.h"
#include "version/preset.h"

static void
print_list(const json_t *answer)
{
    ConfigVersion version = Cli_GetVersion(answer, "version");
    Str in_force = Cli_GetText(answer, "in_force");
    size_t index;
    const json_t *preset;

    printf("version %" PRIu64 ".%" PRIu64 "\n", version.term, version.index);
    json_array_foreach(json_object_get(answer, "presets"), index, preset)
    {
        ConfigVersion changed = Cli_GetVersion(preset, "version");
        Str name = Cli_GetText(preset, "name");
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
    return Cli_PrintReply(cli, Str_LIT("/v1/presets"), (Str){0}, print_list);
}

/* Whether NAME needs no encoding in a URI.  Other names are refused, because
 * NAME is sent without encoding. */
static bool
is_preset_name(Str name)
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

    if (!is_preset_name(name)) {
        fprintf(stderr,
                "lycheeridge: invalid preset name \"%.*s\": expected only "
                "letters, digits, -, _ and .\n",
                Str_ARG(name));
        return Cli_USAGE;
    }
    StrBuf_AppendFmt(&path, "/v1/presets/show?name=%.*s", Str_ARG(name));
    status = Cli_PrintReply(cli, StrBuf_View(&path), (Str){0}, print_preset);
    StrBuf_Finish(&path);
    return status;
}

/* Sets the base version of a change to the newest version unless one was
 * given.  Also checks that a node answers before a change is sent. */
static CliStatus
read_base_version(Cli *cli)
{
    CliRequest request;
    CliStatus status = Cli_GOOD;

    Cli_SendToAny(cli,
                  cli->has_base_version ? Str_LIT("/v1/status")
                                        : Str_LIT("/v1/presets"),
                  (Str){0}, &request);
    if (request.status != 200) {
        status = Cli_ReportFailure(&request);
    }
    else if (!cli->has_base_version) {
        cli->base_version = Cli_GetVersion(request.answer, "version");
    }
    Cli_FinishRequest(&request);
    return status;
}

static void
choose_id(Cli *cli)
{
    if (cli->change_id.len == 0) {
        StrBuf_AppendFmt(&cli->change_id, "%016" PRIx64 "%016" PRIx64,
                         Loop_Entropy(), Loop_Entropy());
    }
}

/* Sends CHANGE to the nodes in order, always with the same change id, until
 * one answers with an outcome.  Without an outcome the status of REQUEST is
 * 504 when a node may have received the change. */
static void
send_change(Cli *cli, const json_t *change, CliRequest *request)
{
    char *text = json_dumps(change, JSON_COMPACT);
    bool maybe_received = false;

    Cli_InitRequest(request, cli->nodes[0], Str_LIT("/v1/change"));
    StrBuf_Set(&request->body, Str_FromC(text));
    free(text);
    for (size_t i = 0; i < cli->node_count; i++) {
        json_decref(request->answer);
        request->answer = NULL;
        request->status = 0;
        request->node = cli->nodes[i];
        Cli_SendAll(cli, request, 1);
        if (request->status && request->status != 503 &&
            request->status != 504) {
            return;
        }
        maybe_received |= request->status != 503;
    }
    if (maybe_received) {
        request->status = 504;
    }
}

static void
print_outcome(const Cli *cli, const CliRequest *request)
{
    ConfigVersion version = Cli_GetVersion(request->answer, "version");
    const json_t *winner = json_object_get(request->answer, "winner");

    if (request->status == 200) {
        printf("accepted as version %" PRIu64 ".%" PRIu64 "\n", version.term,
               version.index);
    }
    else if (request->status == 409) {
        fprintf(stderr,
                "lycheeridge: conflict: change %.*s (%.*s %.*s) was accepted "
                "first; the version is now %" PRIu64 ".%" PRIu64
                "; your change was not applied\n",
                Str_ARG(Cli_GetText(winner, "id")),
                Str_ARG(Cli_GetText(winner, "verb")),
                Str_ARG(Cli_GetText(winner, "name")), version.term,
                version.index);
    }
    else if (request->status == 504) {
        fprintf(
            stderr,
            "lycheeridge: outcome of the change unknown; send it again with "
            "--id %.*s --base %" PRIu64 ".%" PRIu64 "\n",
            Str_ARG(cli->change_id), cli->base_version.term,
            cli->base_version.index);
    }
}

static CliStatus
choose_status(const CliRequest *request)
{
    switch (request->status) {
    case 200:
        return Cli_GOOD;
    case 409:
        return Cli_CONFLICT;
    case 504:
        return Cli_UNKNOWN;
    default:
        return Cli_ReportFailure(request);
    }
}

static CliStatus
run_change(Cli *cli, const char *verb, Str name, json_t *preset)
{
    CliStatus status = read_base_version(cli);
    json_t *change;
    CliRequest request;
    CliRequest before;

    if (status != Cli_GOOD) {
        return status;
    }
    choose_id(cli);
    Cli_SendToAny(cli, Str_LIT("/v1/versions"), (Str){0}, &before);
    change = json_pack("{s:s%, s:{s:I, s:I}, s:s, s:s%}", "id",
                       cli->change_id.ptr, cli->change_id.len, "base", "term",
                       (json_int_t)cli->base_version.term, "index",
                       (json_int_t)cli->base_version.index, "verb", verb,
                       "name", name.ptr, name.len);
    if (preset) {
        json_object_set(change, "preset", preset);
    }
    send_change(cli, change, &request);
    json_decref(change);
    if (cli->json && request.answer) {
        Cli_PrintJson(request.answer);
    }
    else {
        print_outcome(cli, &request);
    }
    status = choose_status(&request);
    if (status == Cli_GOOD && cli->wait) {
        status = Cli_WaitInForce(
            cli, Cli_GetVersion(request.answer, "version"), before.answer);
    }
    Cli_FinishRequest(&before);
    Cli_FinishRequest(&request);
    return status;
}

/* Reads and checks the preset in FILE and sets NAME to its name.  Findings go
 * to standard error. */
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
        status = run_change(cli, "put", StrBuf_View(&name), preset);
        json_decref(preset);
    }
    StrBuf_Finish(&text);
    StrBuf_Finish(&name);
    return status;
}

CliStatus
Cli_UsePreset(Cli *cli, Str name)
{
    return run_change(cli, "use", name, NULL);
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
