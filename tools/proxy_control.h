/* Prc: the commands of the fault proxy, over HTTP.
 *
 * POST /control takes one command per line.  Except in "add", LINK and PIPE
 * are names or patterns of fnmatch(3), such as "*":
 *
 *   add LINK LISTEN TARGET [PIPE PIPE]
 *       forward connections from address LISTEN to TARGET, through one pipe
 *       forward and one back; without PIPE they are called LINK> and LINK<
 *   delay PIPE US
 *       set the one-way delay
 *   rate PIPE BYTES
 *       set the bytes per second; 0: no limit
 *   cut LINK
 *       close the open connections
 *   freeze LINK forward|back|both
 *       discard all further data of the open connections, which no command
 *       undoes; new connections work
 *   hold LINK forward|back|both
 *       deliver nothing in this direction, also on new connections; the other
 *       direction passes
 *   pass LINK
 *       deliver again, first the data that "hold" kept back
 *
 * The answer is 200, or 400 with an error text; commands after the one that
 * failed are not executed.
 *
 * GET /stat answers with lines "pipe NAME BYTES" (bytes carried so far) and
 * "link NAME CONNECTIONS" (open connections).
 */
#ifndef PROXY_CONTROL_H
#define PROXY_CONTROL_H

#include <event2/http.h>

#include "proxy_link.h"

typedef struct {
    struct event_base *base; /* the caller's */
    struct evhttp *http;
    PipeList pipes;
    Link *links; /* owned, as are the pipes */
} ProxyControl;

/* Listens for commands at LISTEN; false with ERR set when that fails. */
bool Prc_Init(ProxyControl *control, struct event_base *base, Addr listen,
              Err *err);

/* Closes all connections, and frees links and pipes. */
void Prc_Finish(ProxyControl *control);

/* Executes one command.  Returns false with ERR set when it is malformed, its
 * link cannot listen, or its pattern matches nothing. */
bool Prc_Execute(ProxyControl *control, Str line, Instant now, Err *err);

#endif
