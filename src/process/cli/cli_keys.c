#include <stdio.h>
#include <zmq.h>

#include "process/cli/cli.h"

CliStatus
Cli_PrintNewKeys(const Cli *cli)
{
    char public_key[41];
    char secret_key[41];
    json_t *pair;

    (void)cli;
    if (zmq_curve_keypair(public_key, secret_key)) {
        fprintf(stderr,
                "lycheeridge: the ZeroMQ library was built without CURVE\n");
        return Cli_FAILED;
    }
    pair = json_pack("{s:s, s:s}", "curve_public", public_key, "curve_secret",
                     secret_key);
    Cli_PrintJson(pair);
    json_decref(pair);
    return Cli_GOOD;
}
