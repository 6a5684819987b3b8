/* Cpr: tries to open a TCP connection, to distinguish a process that has ended
 * from a connection that broke.  The connection is closed again without
 * sending anything.
 */
#ifndef CONNECTPROBE_H
#define CONNECTPROBE_H

#include <event2/event.h>

#include "value/addr.h"

typedef enum {
    Cpr_CONNECTED,
    Cpr_REFUSED,  /* the connection failed, as when nothing listens at the
                     address */
    Cpr_TIMED_OUT /* no reply within the timeout */
} ConnectResult;

typedef struct {
    void *context;
    void (*on_result)(void *context, ConnectResult result);
} ConnectProbeCallback;

/* A probe.  Initialize with zeros. */
typedef struct {
    struct event *event; /* NULL: no probe is running */
    int fd;
    int connect_error; /* errno of a connect() that failed at once; 0: none */
    int tries_made;
    struct event_base *base;
    Addr addr;
    ConnectProbeCallback callback;
} ConnectProbe;

/* Starts a probe of ADDR.  The callback is called once, from the event loop.
 * Returns false if a probe is already running. */
bool Cpr_Start(ConnectProbe *probe, struct event_base *base, Addr addr,
               const ConnectProbeCallback *callback);

/* Stops the probe.  The callback is not called. */
void Cpr_Cancel(ConnectProbe *probe);

#endif
