#include "process/observe/counters.h"

#include <inttypes.h>

typedef struct {
    Str name;
    Str help;
} CounterInfo;

static const CounterInfo counter_infos[] = {
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
Cnt_Add(Counters *counters, CounterId id, uint64_t amount)
{
    counters->values[id] += amount;
}

void
Cnt_AddNs(Counters *counters, CounterId id, int64_t ns)
{
    uint64_t sum = counters->remainder_ns[id] + (uint64_t)(ns > 0 ? ns : 0);

    counters->values[id] += sum / 1000;
    counters->remainder_ns[id] = (uint32_t)(sum % 1000);
}

uint64_t
Cnt_Get(const Counters *counters, CounterId id)
{
    return counters->values[id];
}

static void
print_metric(StrBuf *out, Str name, Str help, const char *type, uint64_t value)
{
    StrBuf_AppendFmt(out, "# HELP lycheeridge_%.*s %.*s\n", Str_ARG(name),
                     Str_ARG(help));
    StrBuf_AppendFmt(out, "# TYPE lycheeridge_%.*s %s\n", Str_ARG(name), type);
    StrBuf_AppendFmt(out, "lycheeridge_%.*s %" PRIu64 "\n", Str_ARG(name),
                     value);
}

void
Cnt_PrintGauge(StrBuf *out, Str name, Str help, uint64_t value)
{
    print_metric(out, name, help, "gauge", value);
}

void
Cnt_Print(const Counters *counters, StrBuf *out)
{
    for (int id = 0; id < Cnt_COUNT; id++) {
        print_metric(out, counter_infos[id].name, counter_infos[id].help,
                     "counter", counters->values[id]);
    }
}
