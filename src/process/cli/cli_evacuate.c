#include <event2/http.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>

#include "process/cli/cli.h"

static void
send_order(Cli *cli, Str domain, CliRequest *request)
{
    char *encoded = evhttp_uriencode(domain.ptr, (ev_ssize_t)domain.len, 0);
    StrBuf path = {0};

    StrBuf_AppendFmt(&path, "/v1/evacuations/%s?domain=%s",
                     cli->ends ? "end" : "start", encoded ? encoded : "");
    /* A body makes it a POST. */
    Cli_SendToAny(cli, StrBuf_View(&path), Str_LIT("{}"), request);
    free(encoded);
    StrBuf_Finish(&path);
}

static void
print_accepted(const Cli *cli, Str domain, const CliRequest *request)
{
    ConfigVersion version = Cli_GetVersion(request->answer, "version");

    if (cli->json) {
        Cli_PrintJson(request->answer);
        return;
    }
    printf("%s of %.*s %s version %" PRIu64 ".%" PRIu64 "\n",
           cli->ends ? "end of the evacuation" : "evacuation", Str_ARG(domain),
           json_is_true(json_object_get(request->answer, "again"))
               ? "was so already in"
               : "accepted as",
           version.term, version.index);
}

CliStatus
Cli_Evacuate(Cli *cli, Str domain)
{
    CliRequest before;
    CliRequest request;
    CliStatus status;

    Cli_SendToAny(cli, Str_LIT("/v1/versions"), (Str){0}, &before);
    send_order(cli, domain, &request);
    if (request.status == 200) {
        print_accepted(cli, domain, &request);
        status = cli->wait
                     ? Cli_WaitInForce(
                           cli, Cli_GetVersion(request.answer, "version"),
                           before.answer)
                     : Cli_GOOD;
    }
    else {
        status = Cli_ReportFailure(&request);
    }
    Cli_FinishRequest(&before);
    Cli_FinishRequest(&request);
    return status;
}
