#include <inttypes.h>
#include <stdio.h>

#include "process/cli/cli.h"

#define POLL_INTERVAL Span_MS(200)

static const char *
describe_state(const json_t *member)
{
    if (json_is_true(json_object_get(member, "gone"))) {
        return "gone";
    }
    if (json_is_true(json_object_get(member, "leaving"))) {
        return "leaving";
    }
    if (json_is_true(json_object_get(member, "draining"))) {
        return "draining";
    }
    return json_is_true(json_object_get(member, "backend")) ? "serving"
                                                            : "no backend";
}

static json_int_t
get_number(const json_t *object, const char *key)
{
    return json_integer_value(json_object_get(object, key));
}

static const json_t *
find_node(const json_t *versions, Str name)
{
    const json_t *nodes = json_object_get(versions, "nodes");
    size_t index;
    const json_t *node;

    json_array_foreach(nodes, index, node)
    {
        if (Str_Equal(Cli_GetText(node, "node"), name)) {
            return node;
        }
    }
    return NULL;
}

/* Appends the version of NODE as the leader knows it; "-" when VERSIONS does
 * not list NODE. */
static void
append_version(StrBuf *text, const json_t *versions, Str node)
{
    const json_t *row = find_node(versions, node);
    ConfigVersion version = Cli_GetVersion(row, "version");

    if (row) {
        StrBuf_AppendFmt(text, "%" PRIu64 ".%" PRIu64, version.term,
                         version.index);
    }
    else {
        StrBuf_Append(text, Str_LIT("-"));
    }
}

/* Whether the failure domain DOMAIN is evacuated. */
static bool
is_evacuated(const json_t *versions, Str domain)
{
    size_t index;
    const json_t *item;

    json_array_foreach(json_object_get(versions, "evacuated"), index, item)
    {
        if (Str_Equal(
                Str_From(json_string_value(item), json_string_length(item)),
                domain)) {
            return true;
        }
    }
    return false;
}

static void
print_member(const json_t *member, const json_t *versions)
{
    StrBuf text = {0};

    append_version(&text, versions, Cli_GetText(member, "node"));
    printf("%-21.*s %-14.*s %-12.*s %5" JSON_INTEGER_FORMAT
           " %7" JSON_INTEGER_FORMAT " %6" JSON_INTEGER_FORMAT " %9.*s %s%s\n",
           Str_ARG(Cli_GetText(member, "node")),
           Str_ARG(Cli_GetText(member, "failure_domain")),
           Str_ARG(Cli_GetText(member, "service")),
           get_number(member, "slots"), get_number(member, "running"),
           get_number(member, "queued"), Str_ARG(text),
           is_evacuated(versions, Cli_GetText(member, "failure_domain"))
               ? "evacuated"
               : describe_state(member),
           json_is_true(json_object_get(member, "control"))
               ? ", control replica"
               : "");
    StrBuf_Finish(&text);
}

static void
print_missing(FILE *out, const json_t *versions)
{
    const json_t *missing = json_object_get(versions, "missing");
    size_t index;
    const json_t *node;

    if (json_array_size(missing) == 0) {
        fprintf(out, "in force on every node\n");
        return;
    }
    fprintf(out, "not yet in force on:");
    json_array_foreach(missing, index, node)
    {
        fprintf(out, " %.*s", (int)json_string_length(node),
                json_string_value(node));
    }
    fprintf(out, "\n");
}

/* Prints the nodes that left the membership table with an older version.  They
 * may still serve callers on their side of a network partition. */
static void
print_gone(FILE *out, const json_t *versions)
{
    ConfigVersion version = Cli_GetVersion(versions, "version");
    size_t index;
    const json_t *node;

    json_array_foreach(json_object_get(versions, "nodes"), index, node)
    {
        if (!json_is_true(json_object_get(node, "here")) &&
            Cfg_CompareVersions(Cli_GetVersion(node, "version"), version) <
                0) {
            fprintf(out, "gone with an older version: %.*s\n",
                    Str_ARG(Cli_GetText(node, "node")));
        }
    }
}

static void
print_versions(const json_t *versions)
{
    ConfigVersion version = Cli_GetVersion(versions, "version");

    printf("version %" PRIu64 ".%" PRIu64 "%s, preset %.*s, ", version.term,
           version.index,
           json_is_true(json_object_get(versions, "current"))
               ? ""
               : " (no leader confirms that it is the newest)",
           Str_ARG(Cli_GetText(versions, "preset")));
    print_missing(stdout, versions);
    print_gone(stdout, versions);
}

/* Prints the evacuated failure domains, and what still runs or waits there by
 * the last word of each node. */
static void
print_evacuated(const json_t *status, const json_t *versions)
{
    size_t i;
    const json_t *item;

    json_array_foreach(json_object_get(versions, "evacuated"), i, item)
    {
        Str domain =
            Str_From(json_string_value(item), json_string_length(item));
        json_int_t left = 0;
        size_t j;
        const json_t *member;
        json_array_foreach(json_object_get(status, "members"), j, member)
        {
            if (Str_Equal(Cli_GetText(member, "failure_domain"), domain)) {
                left += get_number(member, "running") +
                        get_number(member, "queued");
            }
        }
        printf("%.*s is evacuated, %" JSON_INTEGER_FORMAT
               " requests are still there\n",
               Str_ARG(domain), left);
    }
}

static void
print_status(const json_t *status, const json_t *versions)
{
    const json_t *members = json_object_get(status, "members");
    size_t index;
    const json_t *member;

    printf("%-21s %-14s %-12s %5s %7s %6s %9s %s\n", "node", "failure domain",
           "service", "slots", "running", "queued", "version", "state");
    json_array_foreach(members, index, member)
    {
        print_member(member, versions);
    }
    print_versions(versions);
    print_evacuated(status, versions);
}

static CliStatus
print_result(Cli *cli, const CliRequest *status, const CliRequest *versions)
{
    if (status->status != 200) {
        return Cli_ReportFailure(status);
    }
    if (versions->status != 200) {
        return Cli_ReportFailure(versions);
    }
    if (cli->json) {
        json_t *both = json_pack("{s:O, s:O}", "status", status->answer,
                                 "versions", versions->answer);
        Cli_PrintJson(both);
        json_decref(both);
    }
    else {
        print_status(status->answer, versions->answer);
    }
    return Cli_GOOD;
}

CliStatus
Cli_ShowStatus(Cli *cli)
{
    CliRequest status;
    CliRequest versions;
    CliStatus result;

    Cli_SendToAny(cli, Str_LIT("/v1/status"), (Str){0}, &status);
    Cli_SendToAny(cli, Str_LIT("/v1/versions"), (Str){0}, &versions);
    result = print_result(cli, &status, &versions);
    if (result == Cli_GOOD && cli->wait) {
        result = Cli_WaitInForce(
            cli, Cli_GetVersion(versions.answer, "version"), versions.answer);
    }
    Cli_FinishRequest(&status);
    Cli_FinishRequest(&versions);
    return result;
}

static void
stop_loop(evutil_socket_t fd, short what, void *context)
{
    (void)fd;
    (void)what;
    Loop_Stop(context);
}

static void
wait_for(Cli *cli, Span time)
{
    struct timeval wait = {time / 1000000, time % 1000000};

    event_base_once(cli->loop.base, -1, EV_TIMEOUT, stop_loop, &cli->loop,
                    &wait);
    Loop_Run(&cli->loop);
}

/* Returns the number of nodes that were present in BEFORE and, according to
 * VERSIONS, lack VERSION.  Prints those that are silent now to OUT unless it
 * is NULL. */
static int
count_lacking(const json_t *before, const json_t *versions,
              ConfigVersion version, FILE *out)
{
    const json_t *nodes = json_object_get(before, "nodes");
    size_t index;
    const json_t *node;
    int count = 0;

    json_array_foreach(nodes, index, node)
    {
        Str name = Cli_GetText(node, "node");
        const json_t *now = find_node(versions, name);
        if (json_is_true(json_object_get(node, "here")) &&
            (!now || Cfg_CompareVersions(Cli_GetVersion(now, "version"),
                                         version) < 0)) {
            count++;
            if (out && !json_is_true(json_object_get(now, "here"))) {
                fprintf(out,
                        "lycheeridge: %.*s stopped responding before it had "
                        "this version\n",
                        Str_ARG(name));
            }
        }
    }
    return count;
}

static bool
is_in_force(const CliRequest *request, ConfigVersion version,
            const json_t *before)
{
    return request->status == 200 &&
           json_is_true(json_object_get(request->answer, "current")) &&
           Cfg_CompareVersions(Cli_GetVersion(request->answer, "version"),
                               version) >= 0 &&
           json_array_size(json_object_get(request->answer, "missing")) == 0 &&
           count_lacking(before, request->answer, version, NULL) == 0;
}

static void
print_not_in_force(const CliRequest *request, ConfigVersion version,
                   const json_t *before)
{
    fprintf(stderr, "lycheeridge: version %" PRIu64 ".%" PRIu64 " ",
            version.term, version.index);
    if (request->status != 200) {
        fprintf(stderr, "cannot be tracked: no node answered\n");
        return;
    }
    print_missing(stderr, request->answer);
    count_lacking(before, request->answer, version, stderr);
}

CliStatus
Cli_WaitInForce(Cli *cli, ConfigVersion version, const json_t *before)
{
    Instant end = Loop_Now() + cli->wait;

    for (;;) {
        CliRequest request;
        Cli_SendToAny(cli, Str_LIT("/v1/versions"), (Str){0}, &request);
        if (is_in_force(&request, version, before)) {
            print_gone(stderr, request.answer);
            Cli_FinishRequest(&request);
            return Cli_GOOD;
        }
        if (Loop_Now() >= end) {
            print_not_in_force(&request, version, before);
            Cli_FinishRequest(&request);
            return Cli_NOT_IN_FORCE;
        }
        Cli_FinishRequest(&request);
        wait_for(cli, POLL_INTERVAL);
    }
}
