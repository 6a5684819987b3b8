#include "connection/endwatch.h"

#include <zmq.h>

#include "value/str.h"

void *
Edw_Start(void *zmq, void *socket)
{
    void *watch = zmq_socket(zmq, ZMQ_PAIR);
    StrBuf endpoint = {0};
    int none = 0;

    StrBuf_AppendFmt(&endpoint, "inproc://endwatch-%p", socket);
    zmq_setsockopt(watch, ZMQ_LINGER, &none, sizeof none);
    /* No limit: a full monitor would block the thread of all connections. */
    zmq_setsockopt(watch, ZMQ_RCVHWM, &none, sizeof none);
    zmq_socket_monitor(socket, StrBuf_CStr(&endpoint), ZMQ_EVENT_DISCONNECTED);
    zmq_connect(watch, StrBuf_CStr(&endpoint));
    StrBuf_Finish(&endpoint);
    Edw_HasEnded(watch); /* its descriptor tells only what follows a read */
    return watch;
}

void
Edw_Stop(void *watch, void *socket)
{
    /* First, because a monitor without a receiver blocks. */
    zmq_socket_monitor(socket, NULL, 0);
    zmq_close(watch);
}

bool
Edw_HasEnded(void *watch)
{
    bool ended = false;
    char frame[64];

    while (zmq_recv(watch, frame, sizeof frame, ZMQ_DONTWAIT) >= 0) {
        ended = true;
    }
    return ended;
}
