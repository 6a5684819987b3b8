#include "connection/wire.h"

enum { ENVELOPE_FIELDS = 2 };

void
Wire_Begin(Pack *pack, MessageKind kind, uint32_t count)
{
    Pack_Init(pack, count + ENVELOPE_FIELDS);
    Pack_U64(pack, Wire_FORMAT);
    Pack_U64(pack, kind);
}

bool
Wire_Open(Unpack *unpack, Str bytes, MessageKind *kind, Err *err)
{
    uint64_t format;
    uint64_t number;

    if (!Unpack_Init(unpack, bytes, err)) {
        return false;
    }
    format = Unpack_U64(unpack);
    number = Unpack_U64(unpack);
    if (unpack->failed) {
        Unpack_Finish(unpack);
        return Err_SET(err, Err_MALFORMED, "message has no envelope");
    }
    if (format != Wire_FORMAT || number == 0 || number >= Wire_KINDS) {
        Unpack_Finish(unpack);
        return Err_SET(err, Err_VERSION,
                       "message format %u or kind %u is unknown",
                       (unsigned)format, (unsigned)number);
    }
    *kind = (MessageKind)number;
    return true;
}
