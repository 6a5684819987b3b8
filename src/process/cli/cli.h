/* Cli: the command-line tool for operators.
 *
 * Each command requests what it needs over HTTP from any node, prints the
 * result as text or, with --json, as JSON, and returns the exit status.
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
    Cli_FAILED = 1,      /* failure of this program itself */
    Cli_USAGE = 2,       /* wrong arguments */
    Cli_INPUT = 3,       /* a file has findings; no change was sent */
    Cli_DENIED = 4,      /* missing or wrong key */
    Cli_REFUSED = 5,     /* rejected by the fleet; nothing changed */
    Cli_CONFLICT = 6,    /* another change on that base was accepted */
    Cli_UNKNOWN = 7,     /* sent, but its outcome is not known */
    Cli_UNREACHABLE = 8, /* no node or no leader answered; nothing changed */
    Cli_NOT_IN_FORCE = 9 /* accepted, but not in force everywhere in time */
} CliStatus;

enum { Cli_NODES_MAX = 16, Cli_WORDS_MAX = 64 };

/* The arguments of one run, and the event loop for its requests. */
typedef struct {
    Loop loop;
    Str words[Cli_WORDS_MAX]; /* the command and its operands */
    size_t word_count;
    Addr nodes[Cli_NODES_MAX]; /* operators' addresses, tried in order */
    size_t node_count;
    StrBuf key; /* operators' key; empty: none given */
    bool json;  /* print JSON */
    bool ends;  /* withdraw the order instead of giving it */
    bool has_base_version;
    ConfigVersion base_version; /* that a change builds on */
    StrBuf change_id;           /* empty: one is generated */
    Span wait;    /* longest wait until a version is in force everywhere; 0:
                     do not wait */
    Span timeout; /* of one request */
    uint64_t since_stamp; /* show the first events after it; 0: show the
                             last events */
    uint64_t limit;       /* events shown, at most */
} Cli;

/* One HTTP request to a node, and the answer to it. */
typedef struct {
    Addr node;
    StrBuf path;
    StrBuf body;    /* sent by POST; empty: the request is a GET */
    int status;     /* HTTP status; 0: no complete answer was received */
    json_t *answer; /* NULL: no answer, or its body is not JSON */
} CliRequest;

/* Prepares a GET of PATH (copied) from NODE.  The caller may add a body, which
 * makes it a POST. */
void Cli_InitRequest(CliRequest *request, Addr node, Str path);

/* Frees what REQUEST owns and clears it. */
void Cli_FinishRequest(CliRequest *request);

/* Sends COUNT requests, up to Cli_NODES_MAX at a time, and runs the loop until
 * each has been answered or has failed.  Sets their status and answer. */
void Cli_SendAll(Cli *cli, CliRequest *requests, size_t count);

/* Sends GET PATH, or POST PATH with a BODY that is not empty, to the nodes in
 * order until one answers with a status other than 503.  Without such an
 * answer, REQUEST holds the last 503, or status 0 when no node answered.
 * Initializes REQUEST, which the caller finishes. */
void Cli_SendToAny(Cli *cli, Str path, Str body, CliRequest *request);

/* Sends as Cli_SendToAny does.  Prints an answer with status 200 as JSON or by
 * PRINT, and reports any other result with Cli_ReportFailure. */
CliStatus Cli_PrintReply(Cli *cli, Str path, Str body,
                         void (*print)(const json_t *answer));

/* Prints to standard error why REQUEST, whose status is not 200, failed.
 * Returns the exit status. */
CliStatus Cli_ReportFailure(const CliRequest *request);

/* The commands.  Each prints its result to standard output and messages to
 * standard error, and returns the exit status.  Strings are operands of the
 * command. */

/* The membership table and the versions in force.  With cli->wait, then waits
 * until the newest version is in force everywhere. */
CliStatus Cli_ShowStatus(Cli *cli);

/* The events of all processes, in the order of their stamps. */
CliStatus Cli_ShowTimeline(Cli *cli);

/* The names of the presets, and which preset is in force. */
CliStatus Cli_ListPresets(Cli *cli);
CliStatus Cli_ShowPreset(Cli *cli, Str name);

/* Checks the preset in FILE, then adds it to the presets, or replaces the
 * preset of the same name. */
CliStatus Cli_PutPreset(Cli *cli, Str file);

/* Puts the preset NAME in force. */
CliStatus Cli_UsePreset(Cli *cli, Str name);

/* Evacuates the failure domain DOMAIN, or with cli->ends ends that.  With
 * cli->wait, then waits until that is in force everywhere. */
CliStatus Cli_Evacuate(Cli *cli, Str domain);

/* The requests that are blamed for losses of backend servers. */
CliStatus Cli_ListSuspects(Cli *cli);

/* Lets a suspect request run again.  FINGERPRINT has 16 hexadecimal digits. */
CliStatus Cli_ReleaseSuspect(Cli *cli, Str fingerprint);

/* Checks the preset in FILE, without a request to a node. */
CliStatus Cli_CheckPreset(const Cli *cli, Str file);

/* A new pair of CURVE keys, as JSON. */
CliStatus Cli_PrintNewKeys(const Cli *cli);

/* The lines about one request from log files, in the order of their times:
 * lines that name the request (marked), lines with its fingerprint, and lines
 * that name no request, from the same nodes at that time.  The words are the
 * command, the request id and the log files. */
CliStatus Cli_ExplainRequest(Cli *cli);

/* Waits at most cli->wait until VERSION or a later one is in force everywhere.
 * When it is not, prints the nodes that lack it to standard error and returns
 * Cli_NOT_IN_FORCE.  BEFORE is an earlier answer of /v1/versions, or NULL.  A
 * node that was present in BEFORE and is not heard any more may still serve
 * callers with an older version, so it counts as lacking VERSION. */
CliStatus Cli_WaitInForce(Cli *cli, ConfigVersion version,
                          const json_t *before);

/* The string at KEY of OBJECT, valid as long as OBJECT.  Empty when there is
 * none or OBJECT is NULL. */
Str Cli_GetText(const json_t *object, const char *key);

/* The version at KEY of OBJECT.  {0, 0} when there is none or OBJECT is
 * NULL. */
ConfigVersion Cli_GetVersion(const json_t *object, const char *key);

/* Prints VALUE to standard output, indented. */
void Cli_PrintJson(const json_t *value);

#endif
