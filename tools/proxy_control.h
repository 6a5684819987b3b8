/* Prc: the fault proxy's commands, over HTTP.
 *
 * POST /control takes one command a line; NAME, LINK and PIPE may hold "*":
 *
 *   add LINK LISTEN TARGET [PIPE PIPE]  listen; pipes forward and back
 *   delay PIPE US                       one-way delay
 *   rate PIPE BYTES                     a second; 0: no limit
 *   cut LINK                            end the connections there are
 *   freeze LINK forward|back|both       lose what the connections there are
 *                                       carry, for good; new ones work
 *   hold LINK forward|back|both         nothing passes, on new ones neither
 *   pass LINK                           all passes again
 *
 * GET /stat shows "pipe NAME BYTES" and "link NAME CONNECTIONS" lines.
 */
#ifndef PROXY_CONTROL_H
#define PROXY_CONTROL_H

#include <event2/http.h>

#include "proxy_link.h"

typedef struct {
    struct event_base *base;
    struct evhttp *http;
    PipeList pipes;
    Link *links;
} ProxyControl;

bool Prc_Init(ProxyControl *control, struct event_base *base, Addr listen,
              Err *err);
void Prc_Finish(ProxyControl *control);

/* Carry out one command. */
bool Prc_Execute(ProxyControl *control, Str line, Instant now, Err *err);

#endif
