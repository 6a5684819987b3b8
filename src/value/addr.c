#include "value/addr.h"

enum { PORT_BITS = 16, OCTETS = 4 };

static bool
parse_octet(Str text, uint64_t *octet)
{
    return text.len <= 3 && Str_ToU64(text, octet) && *octet <= 255;
}

bool
Addr_Parse(Str text, Addr *addr)
{
    uint64_t ip = 0;
    uint64_t part;

    for (int i = 0; i < OCTETS; i++) {
        size_t end = Str_Find(text, i < OCTETS - 1 ? '.' : ':');
        if (end == text.len || !parse_octet(Str_Slice(text, 0, end), &part)) {
            return false;
        }
        ip = ip << 8 | part;
        text = Str_Slice(text, end + 1, text.len);
    }
    if (!Str_ToU64(text, &part) || part == 0 || part > UINT16_MAX) {
        return false;
    }
    *addr = ip << PORT_BITS | part;
    return true;
}

void
Addr_PrintIp(Addr addr, StrBuf *out)
{
    unsigned ip = (unsigned)(addr >> PORT_BITS);

    StrBuf_AppendFmt(out, "%u.%u.%u.%u", ip >> 24, ip >> 16 & 255,
                     ip >> 8 & 255, ip & 255);
}

void
Addr_Print(Addr addr, StrBuf *out)
{
    Addr_PrintIp(addr, out);
    StrBuf_AppendFmt(out, ":%u", Addr_Port(addr));
}

uint16_t
Addr_Port(Addr addr)
{
    return (uint16_t)addr;
}

Addr
Addr_WithPort(Addr addr, uint16_t port)
{
    return (addr & ~(Addr)UINT16_MAX) | port;
}

bool
AttemptId_Equal(AttemptId a, AttemptId b)
{
    return a.incarnation == b.incarnation && a.counter == b.counter;
}

uint64_t
AttemptId_Hash(AttemptId id)
{
    return Str_Hash(Str_From((const char *)&id, sizeof id));
}
