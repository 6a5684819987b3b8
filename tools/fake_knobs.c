#include "fake_knobs.h"

#include <stddef.h>

typedef struct {
    Str name;
    size_t offset;
} Knob;

#define KNOB(name)                                                            \
    {                                                                         \
        Str_LIT(#name), offsetof(FakeKnobs, name)                             \
    }

static const Knob knob_table[] = {
    KNOB(slots),   KNOB(service_us), KNOB(exponential), KNOB(slow),
    KNOB(cold_us), KNOB(cold_slow),  KNOB(draining),    KNOB(silent_drain),
    KNOB(shed),    KNOB(fail),       KNOB(lie),         KNOB(quiet),
    KNOB(boast),   KNOB(states),
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
    return Err_SET(err, Err_MALFORMED, "no knob %.*s=%.*s", Str_ARG(name),
                   Str_ARG(value));
}

Span
Knb_Time(const FakeKnobs *knobs, Rng *rng, Instant started, Instant now)
{
    double time = (double)knobs->service_us;

    if (knobs->exponential) {
        time = Rng_Exponential(rng, time);
    }
    time *= (double)knobs->slow;
    if (now - started < knobs->cold_us) {
        time *= (double)knobs->cold_slow;
    }
    return (Span)time;
}
