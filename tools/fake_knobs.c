#include "fake_knobs.h"

#include <stddef.h>

/* A member of FakeKnobs and its name in /fake/control and --set. */
typedef struct {
    Str name;
    size_t offset;
} Knob;

#define KNOB(name, member)                                                    \
    {                                                                         \
        Str_LIT(name), offsetof(FakeKnobs, member)                            \
    }

static const Knob knob_table[] = {
    KNOB("slots", slots),
    KNOB("service_us", service_us),
    KNOB("exponential", exponential),
    KNOB("slow", slowdown),
    KNOB("cold_us", cold_period_us),
    KNOB("cold_slow", cold_slowdown),
    KNOB("draining", draining),
    KNOB("silent_drain", silent_drain),
    KNOB("shed", reject_when_full),
    KNOB("fail", always_fail),
    KNOB("lie", hide_load),
    KNOB("quiet", announce_nothing),
    KNOB("boast", announced_factor),
    KNOB("states", report_not_run),
};

bool
Knb_Set(FakeKnobs *knobs, Str name, Str value, Err *err)
{
    uint64_t number;

    for (size_t i = 0; i < sizeof knob_table / sizeof knob_table[0]; i++) {
        if (Str_Equal(knob_table[i].name, name)) {
            if (!Str_ToU64(value, &number)) {
                break;
            }
            *(int64_t *)((char *)knobs + knob_table[i].offset) =
                (int64_t)number;
            return true;
        }
    }
    return Err_SET(err, Err_MALFORMED,
                   "%.*s=%.*s: unknown knob or malformed number",
                   Str_ARG(name), Str_ARG(value));
}

Span
Knb_DrawServiceTime(const FakeKnobs *knobs, Rng *rng, Instant started_at,
                    Instant now)
{
    double time = (double)knobs->service_us;

    if (knobs->exponential) {
        time = Rng_Exponential(rng, time);
    }
    time *= (double)knobs->slowdown;
    if (now - started_at < knobs->cold_period_us) {
        time *= (double)knobs->cold_slowdown;
    }
    return (Span)time;
}
