#include "value/load.h"

enum { FIELDS_MIN = 3, FIELDS_MAX = 4, FIELD_MAX = 1000000 };

bool
Load_Parse(Str text, LoadWord *word)
{
    uint64_t fields[FIELDS_MAX] = {0};
    size_t count = 0;

    while (count < FIELDS_MAX) {
        size_t end = Str_Find(text, ',');
        if (!Str_ToU64(Str_Trim(Str_Slice(text, 0, end)), &fields[count]) ||
            fields[count] > FIELD_MAX) {
            return false;
        }
        count++;
        if (end == text.len) {
            break;
        }
        text = Str_Slice(text, end + 1, text.len);
    }
    *word = (LoadWord){(uint32_t)fields[0], (uint32_t)fields[1],
                       (uint32_t)fields[2], (uint32_t)fields[3]};
    return count >= FIELDS_MIN;
}
