#include "connection/callerstate.h"

/* Bodies up to this size are always read. */
enum { SMALL_BODY_BYTES = 256 * 1024 };

/* Larger ones that are read or kept at a time, unless it is a single one. */
enum { LARGE_BODIES_BYTES_MAX = 64 * 1024 * 1024 };

bool
Ccn_ReserveBody(CallerRequest *request, size_t len)
{
    CallerListener *listener = request->connection->listener;
    size_t others = listener->body_bytes - request->reserved_bytes;

    if (len <= SMALL_BODY_BYTES || len <= request->reserved_bytes) {
        return true;
    }
    if (others > 0 && others + len > LARGE_BODIES_BYTES_MAX) {
        return false;
    }
    listener->body_bytes = others + len;
    request->reserved_bytes = len;
    return true;
}

void
Ccn_ReleaseBody(CallerRequest *request)
{
    request->connection->listener->body_bytes -= request->reserved_bytes;
    request->reserved_bytes = 0;
    Bod_Release(request->body);
    request->body = NULL;
}
