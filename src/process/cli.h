/* Cli: the operators' command-line tool.
 *
 * Each command reads what it needs from any node over HTTP, prints for a
 * human or, with --json, for a program, and returns the exit status.
 */
#ifndef CLI_H
#define CLI_H

#include <jansson.h>

#include "process/loop.h"
#include "value/addr.h"
#include "version/config.h"

/* Exit statuses, listed in docs/OPERATING.md. */
typedef enum {
    Cli_GOOD = 0,
    Cli_FAILED = 1,      /* this program's own failure */
    Cli_USAGE = 2,       /* wrong arguments */
    Cli_INPUT = 3,       /* a file with findings; nothing was sent */
    Cli_DENIED = 4,      /* missing or wrong key */
    Cli_REFUSED = 5,     /* the fleet said no; nothing changed */
    Cli_CONFLICT = 6,    /* another change on the same base won */
    Cli_UNKNOWN = 7,     /* sent, and its outcome is not known */
    Cli_UNREACHABLE = 8, /* no node or no leader answered; nothing changed */
    Cli_NOT_IN_FORCE = 9 /* accepted, but not in force everywhere in time */
} CliStatus;

enum { Cli_NODES_MAX = 16, Cli_WORDS_MAX = 64 };

typedef struct {
    Loop loop;
    Str words[Cli_WORDS_MAX]; /* the command */
    size_t word_count;
    Addr nodes[Cli_NODES_MAX]; /* operators' addresses, tried in order */
    size_t node_count;
    StrBuf key;
    bool json;
    bool has_base_version;
    ConfigVersion base_version;
    StrBuf change_id;     /* change id */
    Span wait;            /* until in force everywhere; 0: do not wait */
    Span timeout;         /* of one request */
    uint64_t since_stamp; /* stamp */
    uint64_t limit;       /* events shown */
} Cli;

/* One HTTP request to a node, and its answer. */
typedef struct {
    Addr node;
    StrBuf path;
    StrBuf body;    /* sent by POST when not empty */
    int status;     /* of HTTP; 0: no whole answer came */
    json_t *answer; /* NULL when none, or no JSON */
} CliRequest;

void Cli_InitRequest(CliRequest *request, Addr node, Str path);
void Cli_FinishRequest(CliRequest *request);

/* Send COUNT requests at once and wait for their answers. */
void Cli_SendAll(Cli *cli, CliRequest *requests, size_t count);

/* GET PATH, or POST BODY to it, from the nodes in order until one answers;
 * ASK holds its answer, status 0 when none did. */
void Cli_SendToAny(Cli *cli, Str path, Str body, CliRequest *request);

/* Cli_SendToAny, and print what came: as JSON where that is wanted. */
CliStatus Cli_PrintReply(Cli *cli, Str path, Str body,
                         void (*print)(const json_t *answer));

/* What follows from an answer that is not 200, told on standard error. */
CliStatus Cli_ReportFailure(const CliRequest *request);

/* Commands. */
CliStatus Cli_ShowStatus(Cli *cli);
CliStatus Cli_ShowTimeline(Cli *cli);
CliStatus Cli_ListPresets(Cli *cli);
CliStatus Cli_ShowPreset(Cli *cli, Str name);
CliStatus Cli_PutPreset(Cli *cli, Str file);
CliStatus Cli_UsePreset(Cli *cli, Str name);
CliStatus Cli_ListSuspects(Cli *cli);
CliStatus Cli_ReleaseSuspect(Cli *cli, Str fingerprint);
CliStatus Cli_CheckPreset(const Cli *cli, Str file);
CliStatus Cli_PrintNewKeys(const Cli *cli);

/* What the log files named by the words say of one request, in the order of
 * their times: the lines that name it (marked), those of its fingerprint, and
 * what its nodes said meanwhile of no request. */
CliStatus Cli_ExplainRequest(Cli *cli);

/* Wait until VERSION or a later one is in force everywhere, at most
 * cli->wait; names on standard error who lacks it.  BEFORE is an answer of
 * /v1/versions, or NULL: a node that was here then and has gone silent since
 * may still serve under an older version, and counts as lacking it. */
CliStatus Cli_WaitInForce(Cli *cli, ConfigVersion version,
                          const json_t *before);

/* Helpers over JSON answers. */
Str Cli_GetText(const json_t *object, const char *key);
ConfigVersion Cli_GetVersion(const json_t *object, const char *key);
void Cli_PrintJson(const json_t *value);

#endif
