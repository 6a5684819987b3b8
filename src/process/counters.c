#include "process/counters.h"

#include <inttypes.h>

typedef struct {
    Str name;
    Str help;
} CounterText;

static const CounterText texts[] = {
#define X(id, name, help) {Str_LIT(name), Str_LIT(help)},
    Cnt_LIST(X)
#undef X
};

void
Cnt_Init(Counters *counters)
{
    *counters = (Counters){0};
}

void
Cnt_Add(Counters *counters, CntId id, uint64_t amount)
{
    counters->values[id] += amount;
}

uint64_t
Cnt_Get(const Counters *counters, CntId id)
{
    return counters->values[id];
}

void
Cnt_Print(const Counters *counters, StrBuf *out)
{
    for (int id = 0; id < Cnt_COUNT; id++) {
        Str name = texts[id].name;
        StrBuf_AppendFmt(out, "# HELP lycheeridge_%.*s %.*s\n", Str_ARG(name),
                         Str_ARG(texts[id].help));
        StrBuf_AppendFmt(out, "# TYPE lycheeridge_%.*s counter\n",
                         Str_ARG(name));
        StrBuf_AppendFmt(out, "lycheeridge_%.*s %" PRIu64 "\n", Str_ARG(name),
                         counters->values[id]);
    }
}
