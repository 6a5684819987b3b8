/* Knk: a try to open a TCP connection, to tell a process that is gone from
 * a connection that broke.
 */
#ifndef CONNECTPROBE_H
#define CONNECTPROBE_H

#include <event2/event.h>

#include "value/addr.h"

typedef enum {
    Cpr_CONNECTED,
    Cpr_REFUSED,  /* nobody listens there */
    Cpr_TIMED_OUT /* no word within the time */
} ConnectResult;

typedef struct {
    void *context;
    void (*on_result)(void *context, ConnectResult result);
} ConnectProbeCallback;

typedef struct {
    struct event *event; /* NULL: no try is going on */
    int fd;
    int connect_error; /* known at once */
    int tries_made;
    struct event_base *base;
    Addr addr;
    ConnectProbeCallback callback;
} ConnectProbe;

/* Try ADDR; the sink is called once, later.  False when a try is going on. */
bool Cpr_Start(ConnectProbe *knock, struct event_base *base, Addr addr,
               const ConnectProbeCallback *sink);

/* Stop; the sink is not called. */
void Cpr_Cancel(ConnectProbe *knock);

#endif
