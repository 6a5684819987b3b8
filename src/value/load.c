#include "value/load.h"

enum { FIELD_COUNT_MIN = 3, FIELD_COUNT_MAX = 4, FIELD_VALUE_MAX = 1000000 };

bool
Load_Parse(Str text, BackendLoad *load)
{
    uint64_t fields[FIELD_COUNT_MAX] = {0};
    size_t count = 0;

    while (count < FIELD_COUNT_MAX) {
        size_t end = Str_Find(text, ',');
        if (!Str_ToU64(Str_Trim(Str_Slice(text, 0, end)), &fields[count]) ||
            fields[count] > FIELD_VALUE_MAX) {
            return false;
        }
        count++;
        if (end == text.len) {
            break;
        }
        text = Str_Slice(text, end + 1, text.len);
    }
    *load = (BackendLoad){(uint32_t)fields[0], (uint32_t)fields[1],
                          (uint32_t)fields[2], (uint32_t)fields[3]};
    return count >= FIELD_COUNT_MIN;
}
