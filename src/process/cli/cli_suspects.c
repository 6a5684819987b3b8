#include <inttypes.h>
#include <stdio.h>

#include "process/cli/cli.h"

static void
print_crashes(const json_t *crashes)
{
    size_t index;
    const json_t *crash;

    json_array_foreach(crashes, index, crash)
    {
        printf("  %.*s beside %.*s\n", Str_ARG(Cli_GetText(crash, "state")),
               Str_ARG(Cli_GetText(crash, "beside")));
    }
}

static void
print_suspects(const json_t *answer)
{
    const json_t *list = json_object_get(answer, "suspects");
    size_t index;
    const json_t *suspect;

    printf("%zu suspect requests\n", json_array_size(list));
    json_array_foreach(list, index, suspect)
    {
        printf("%.*s %.*s, released in %" JSON_INTEGER_FORMAT " ms\n",
               Str_ARG(Cli_GetText(suspect, "fingerprint")),
               Str_ARG(Cli_GetText(suspect, "verdict")),
               json_integer_value(json_object_get(suspect, "released_in_ms")));
        print_crashes(json_object_get(suspect, "crashes"));
    }
}

static void
print_released(const json_t *answer)
{
    printf("released %.*s\n", Str_ARG(Cli_GetText(answer, "released")));
}

CliStatus
Cli_ListSuspects(Cli *cli)
{
    return Cli_PrintReply(cli, Str_LIT("/v1/suspects"), (Str){0},
                          print_suspects);
}

static bool
is_fingerprint(Str text)
{
    for (size_t i = 0; i < text.len; i++) {
        if (Str_Find(Str_LIT("0123456789abcdef"), text.ptr[i]) == 16) {
            return false;
        }
    }
    return text.len == 16;
}

CliStatus
Cli_ReleaseSuspect(Cli *cli, Str fingerprint)
{
    StrBuf body = {0};
    CliStatus status;

    if (!is_fingerprint(fingerprint)) {
        fprintf(stderr,
                "lycheeridge: invalid fingerprint \"%.*s\": expected 16 "
                "hexadecimal digits as printed by \"suspects\"\n",
                Str_ARG(fingerprint));
        return Cli_USAGE;
    }
    StrBuf_AppendFmt(&body, "{\"fingerprint\":\"%.*s\"}",
                     Str_ARG(fingerprint));
    status = Cli_PrintReply(cli, Str_LIT("/v1/suspects/release"),
                            StrBuf_View(&body), print_released);
    StrBuf_Finish(&body);
    return status;
}
