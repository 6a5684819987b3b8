#include "connection/carried.h"

void
Car_Add(CarriedRequests *carried, Str id, bool is_head)
{
    carried->had_head |= is_head;
    if (id.len) {
        carried->items[carried->count++ % Car_MAX] =
            (CarriedRequest){Str_Hash(id), is_head};
    }
}

static const CarriedRequest *
find(const CarriedRequests *carried, Str id)
{
    size_t count = carried->count < Car_MAX ? carried->count : Car_MAX;
    uint64_t hash = Str_Hash(id);

    for (size_t i = 0; i < count && id.len; i++) {
        if (carried->items[i].id_hash == hash) {
            return &carried->items[i];
        }
    }
    return NULL;
}

bool
Car_Has(const CarriedRequests *carried, Str id)
{
    return find(carried, id) != NULL;
}

AnswerFraming
Car_FindFraming(const CarriedRequests *carried, Str id)
{
    const CarriedRequest *request = find(carried, id);

    if (!carried->had_head) {
        return Car_BODY;
    }
    if (!request) {
        return Car_UNKNOWN;
    }
    return request->is_head ? Car_NO_BODY : Car_BODY;
}
