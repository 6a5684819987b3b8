#include "value/packscan.h"

/* First bytes of the formats that Pack writes, from the MessagePack
 * specification. */
enum {
    FIXINT_LAST = 0x7f,
    FIXARRAY_FIRST = 0x90,
    FIXARRAY_LAST = 0x9f,
    FALSE_BYTE = 0xc2,
    TRUE_BYTE = 0xc3,
    BIN8 = 0xc4,
    BIN32 = 0xc6,
    UINT8 = 0xcc,
    UINT64 = 0xcf,
    INT8 = 0xd0,
    INT64 = 0xd3,
    ARRAY16 = 0xdc,
    ARRAY32 = 0xdd,
    NEGATIVE_FIRST = 0xe0
};

/* Decoded header of a value. */
typedef struct {
    bool is_known;       /* of a type that Pack writes */
    size_t bytes;        /* header and value, without the items of an array */
    uint64_t item_count; /* of an array; else 0 */
} ValueHeader;

/* Returns the big-endian number in the first LEN bytes, 0 when there are
 * fewer. */
static uint64_t
read_big_endian(Str bytes, size_t len)
{
    uint64_t value = 0;

    if (bytes.len < len) {
        return 0;
    }
    for (size_t i = 0; i < len; i++) {
        value = value << 8 | (unsigned char)bytes.ptr[i];
    }
    return value;
}

/* Reads the header at the start of BYTES, which are not empty. */
static ValueHeader
read_header(Str bytes)
{
    unsigned char first = (unsigned char)bytes.ptr[0];
    Str rest = Str_Slice(bytes, 1, bytes.len);

    if (first <= FIXINT_LAST || first >= NEGATIVE_FIRST ||
        first == FALSE_BYTE || first == TRUE_BYTE) {
        return (ValueHeader){true, 1, 0};
    }
    if (first >= FIXARRAY_FIRST && first <= FIXARRAY_LAST) {
        return (ValueHeader){true, 1, first - FIXARRAY_FIRST};
    }
    if (first >= BIN8 && first <= BIN32) {
        size_t width = (size_t)1 << (first - BIN8);
        return (ValueHeader){true, 1 + width + read_big_endian(rest, width),
                             0};
    }
    if (first >= UINT8 && first <= UINT64) {
        return (ValueHeader){true, 1 + ((size_t)1 << (first - UINT8)), 0};
    }
    if (first >= INT8 && first <= INT64) {
        return (ValueHeader){true, 1 + ((size_t)1 << (first - INT8)), 0};
    }
    if (first == ARRAY16 || first == ARRAY32) {
        size_t width = first == ARRAY16 ? 2 : 4;
        return (ValueHeader){true, 1 + width, read_big_endian(rest, width)};
    }
    return (ValueHeader){0};
}

bool
Pack_Scan(Str bytes, Err *err)
{
    uint64_t pending = 1; /* values declared but not yet scanned */
    uint64_t item_count = 0;

    while (pending && bytes.len) {
        ValueHeader header = read_header(bytes);
        if (!header.is_known || header.bytes > bytes.len) {
            return Err_SET(err, Err_MALFORMED,
                           "value is truncated or of an unsupported type");
        }
        bytes = Str_Slice(bytes, header.bytes, bytes.len);
        pending += header.item_count - 1;
        item_count += header.item_count;
        if (item_count > Pack_ITEMS_MAX) {
            return Err_SET(err, Err_TOO_LARGE, "claims over %d items",
                           Pack_ITEMS_MAX);
        }
        if (pending > bytes.len) {
            return Err_SET(err, Err_MALFORMED,
                           "array declares more items than follow");
        }
    }
    if (pending || bytes.len) {
        return Err_SET(err, Err_MALFORMED, "data is not exactly one value");
    }
    return true;
}
