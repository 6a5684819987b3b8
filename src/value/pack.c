#include "value/pack.h"

#include "value/packscan.h"

void
Pack_Init(Pack *pack, uint32_t fields)
{
    msgpack_sbuffer_init(&pack->buffer);
    msgpack_packer_init(&pack->packer, &pack->buffer, msgpack_sbuffer_write);
    msgpack_pack_array(&pack->packer, fields);
}

void
Pack_Finish(Pack *pack)
{
    msgpack_sbuffer_destroy(&pack->buffer);
}

void
Pack_U64(Pack *pack, uint64_t value)
{
    msgpack_pack_uint64(&pack->packer, value);
}

void
Pack_I64(Pack *pack, int64_t value)
{
    msgpack_pack_int64(&pack->packer, value);
}

void
Pack_Bool(Pack *pack, bool value)
{
    if (value) {
        msgpack_pack_true(&pack->packer);
    }
    else {
        msgpack_pack_false(&pack->packer);
    }
}

void
Pack_StrHead(Pack *pack, size_t len)
{
    msgpack_pack_bin(&pack->packer, len);
}

void
Pack_StrBytes(Pack *pack, Str value)
{
    if (value.len) {
        msgpack_pack_bin_body(&pack->packer, value.ptr, value.len);
    }
}

void
Pack_Str(Pack *pack, Str value)
{
    Pack_StrHead(pack, value.len);
    Pack_StrBytes(pack, value);
}

void
Pack_Array(Pack *pack, uint32_t count)
{
    msgpack_pack_array(&pack->packer, count);
}

Str
Pack_View(const Pack *pack)
{
    return Str_From(pack->buffer.data, pack->buffer.size);
}

bool
Unpack_Init(Unpack *unpack, Str bytes, Err *err)
{
    msgpack_object object;
    size_t offset = 0;
    msgpack_unpack_return result;

    *unpack = (Unpack){0};
    if (!Pack_Scan(bytes, err)) {
        return false;
    }
    unpack->owns_zone = true;
    msgpack_zone_init(&unpack->zone, MSGPACK_ZONE_CHUNK_SIZE);
    result =
        msgpack_unpack(bytes.ptr, bytes.len, &offset, &unpack->zone, &object);
    if (result != MSGPACK_UNPACK_SUCCESS || offset != bytes.len ||
        object.type != MSGPACK_OBJECT_ARRAY) {
        Unpack_Finish(unpack);
        return Err_SET(err, Err_MALFORMED, "data is not exactly one array");
    }
    unpack->items = object.via.array.ptr;
    unpack->count = object.via.array.size;
    return true;
}

void
Unpack_Finish(Unpack *unpack)
{
    if (unpack->owns_zone) {
        msgpack_zone_destroy(&unpack->zone);
        unpack->owns_zone = false;
    }
}

/* Returns the next field, or NULL after a failure or when the field is missing
 * or not of TYPE. */
static const msgpack_object *
read_item(Unpack *unpack, msgpack_object_type type)
{
    const msgpack_object *item;

    if (unpack->failed || unpack->next == unpack->count) {
        unpack->failed = true;
        return NULL;
    }
    item = &unpack->items[unpack->next++];
    if (item->type != type) {
        unpack->failed = true;
        return NULL;
    }
    return item;
}

uint64_t
Unpack_U64(Unpack *unpack)
{
    const msgpack_object *item =
        read_item(unpack, MSGPACK_OBJECT_POSITIVE_INTEGER);

    return item ? item->via.u64 : 0;
}

uint64_t
Unpack_Bounded(Unpack *unpack, uint64_t bound)
{
    uint64_t value = Unpack_U64(unpack);

    if (value > bound) {
        unpack->failed = true;
        return 0;
    }
    return value;
}

int64_t
Unpack_I64(Unpack *unpack)
{
    const msgpack_object *item;

    if (unpack->failed || unpack->next == unpack->count) {
        unpack->failed = true;
        return 0;
    }
    item = &unpack->items[unpack->next];
    if (item->type == MSGPACK_OBJECT_NEGATIVE_INTEGER) {
        unpack->next++;
        return item->via.i64;
    }
    return (int64_t)Unpack_Bounded(unpack, INT64_MAX);
}

bool
Unpack_Bool(Unpack *unpack)
{
    const msgpack_object *item = read_item(unpack, MSGPACK_OBJECT_BOOLEAN);

    return item && item->via.boolean;
}

Str
Unpack_Str(Unpack *unpack)
{
    const msgpack_object *item = read_item(unpack, MSGPACK_OBJECT_BIN);

    return item ? Str_From(item->via.bin.ptr, item->via.bin.size) : (Str){0};
}

uint32_t
Unpack_Array(Unpack *unpack, uint32_t bound, Unpack *inner)
{
    const msgpack_object *item = read_item(unpack, MSGPACK_OBJECT_ARRAY);

    *inner = (Unpack){.failed = true};
    if (!item || item->via.array.size > bound) {
        unpack->failed = true;
        return 0;
    }
    inner->failed = false;
    inner->items = item->via.array.ptr;
    inner->count = item->via.array.size;
    return inner->count;
}

bool
Unpack_HasMore(const Unpack *unpack)
{
    return !unpack->failed && unpack->next < unpack->count;
}

void
Unpack_Fail(Unpack *unpack)
{
    unpack->failed = true;
}

bool
Unpack_Ok(const Unpack *unpack, Err *err)
{
    if (unpack->failed) {
        return Err_SET(err, Err_MALFORMED, "field %u missing or of wrong type",
                       unpack->next);
    }
    if (unpack->next != unpack->count) {
        return Err_SET(err, Err_MALFORMED, "%u fields too many",
                       unpack->count - unpack->next);
    }
    return true;
}
