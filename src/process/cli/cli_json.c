#include <stdio.h>
#include <stdlib.h>

#include "process/cli/cli.h"

Str
Cli_GetText(const json_t *object, const char *key)
{
    const json_t *value = json_object_get(object, key);

    return Str_From(json_string_value(value), json_string_length(value));
}

ConfigVersion
Cli_GetVersion(const json_t *object, const char *key)
{
    const json_t *value = json_object_get(object, key);

    return (ConfigVersion){
        .term = (uint64_t)json_integer_value(json_object_get(value, "term")),
        .index = (uint64_t)json_integer_value(json_object_get(value, "index")),
    };
}

void
Cli_PrintJson(const json_t *value)
{
    char *text = json_dumps(value, JSON_INDENT(2) | JSON_ENCODE_ANY);

    if (text) {
        puts(text);
    }
    free(text);
}
