/* Knk: one try to open a TCP connection, to tell a process that is gone from
 * a connection that broke.
 */
#ifndef KNOCK_H
#define KNOCK_H

#include <event2/event.h>

#include "value/addr.h"

typedef enum {
    Knk_OPENED,
    Knk_REFUSED, /* nobody listens there */
    Knk_SILENT   /* no word within the time */
} KnkResult;

typedef struct {
    void *context;
    void (*call)(void *context, KnkResult result);
} KnkSink;

typedef struct {
    struct event *event; /* NULL: no try is going on */
    int fd;
    int error; /* known at once */
    KnkSink sink;
} Knock;

/* Try ADDR; the sink is called once, later.  False when a try is going on. */
bool Knk_Start(Knock *knock, struct event_base *base, Addr addr,
               const KnkSink *sink);

/* Stop; the sink is not called. */
void Knk_Cancel(Knock *knock);

#endif
