/* Admission while the pace of the backend server changes, and for calls that
 * are late or come from inside a run. */
#include "process/admission.h"
#include "request/nesting.h"
#include "request/usual.h"
#include "support/suite.h"

#define ROWS(table) (int)(sizeof(table) / sizeof(table)[0])
#define START Span_S(1000)

enum { USUAL = 100, SLOW = 700, SLOTS = 10 };

typedef struct {
    const char *name;
    uint32_t pace;        /* said just now; 0: never */
    uint32_t pace_before; /* said for five seconds before; 0: nothing */
    Span age;             /* of the last word */
    uint32_t running;
    uint32_t queued;
    AdmissionRequest ask;
    AdmissionVerdict verdict;
} PaceCase;

#define PLAIN                                                                 \
    {                                                                         \
        .left = Span_S(1), .slack = Span_MS(300)                              \
    }
#define LATE                                                                  \
    {                                                                         \
        .left = Span_S(1), .slack = 1, .late = true                           \
    }
#define NESTED                                                                \
    {                                                                         \
        .left = Span_S(1), .slack = Span_MS(300), .nested = true              \
    }

static const PaceCase cases[] = {
    {"usual", USUAL, USUAL, 0, 0, 0, PLAIN, Adm_RUN},
    {"never told", 0, 0, 0, 0, 0, PLAIN, Adm_RUN},
    {"slow", SLOW, USUAL, 0, 0, 0, PLAIN, Adm_REFUSE_SLOW},
    {"twice the usual, as after a start", 2 * USUAL, USUAL, 0, 0, 0, PLAIN,
     Adm_RUN},
    {"slow, nested", SLOW, USUAL, 0, 0, 0, NESTED, Adm_REFUSE_SLOW},
    {"slow for long: that is its pace", SLOW, SLOW, 0, 0, 0, PLAIN, Adm_RUN},
    {"an old word", SLOW, USUAL, Span_MS(300), 0, 0, PLAIN, Adm_RUN},
    {"the reserve stays", USUAL, USUAL, 0, 8, 0, PLAIN, Adm_QUEUE},
    {"the reserve is for calls from inside", USUAL, USUAL, 0, 8, 0, NESTED,
     Adm_RUN},
    {"full", USUAL, USUAL, 0, 10, 0, NESTED, Adm_QUEUE},
    {"late, room", USUAL, USUAL, 0, 7, 0, LATE, Adm_RUN},
    {"late, others wait", USUAL, USUAL, 0, 7, 1, LATE, Adm_REFUSE_FULL},
    {"late, no room", USUAL, USUAL, 0, 8, 0, LATE, Adm_REFUSE_FULL},
    {"it would wait longer than it may", USUAL, USUAL, 0, 8, 31, PLAIN,
     Adm_REFUSE_FULL},
};

START_TEST(is_admitted_by_the_pace)
{
    const PaceCase *c = &cases[_i];
    const AdmissionSettings settings = {.queue_max = 100,
                                        .patient_queue_max = 100};
    Instant now = START;
    AdmissionController adm;

    Adm_Init(&adm, &settings);
    Adm_OnAnnounce(&adm, SLOTS, false, START);
    adm.service_us = 100000;
    for (int i = 0; c->pace_before && i < 50; i++) {
        now += Span_MS(100);
        Adm_OnPaceReport(&adm, &(LoadWord){.pace = c->pace_before}, now);
    }
    if (c->pace) {
        now += Span_MS(20);
        Adm_OnPaceReport(&adm, &(LoadWord){.pace = c->pace}, now);
    }
    adm.running = c->running;
    adm.queued[Adm_INTERACTIVE] = c->queued;
    ck_assert_msg(Adm_Admit(&adm, &c->ask, now + c->age) == c->verdict, "%s",
                  c->name);
}
END_TEST

typedef struct {
    const char *name;
    int calls;
    int inside; /* of so many */
    bool nested;
} NestingCase;

static const NestingCase nestings[] = {
    {"always inside a run", 20, 20, true},
    {"by chance inside one", 20, 10, false},
    {"never", 20, 0, false},
    {"not seen often", 5, 5, false},
    {"once a deadline was told late", 40, 39, true},
};

START_TEST(learns_which_come_from_inside)
{
    const NestingCase *c = &nestings[_i];
    static Nst nesting;
    Str route = Str_LIT("balance");

    nesting = (Nst){0};
    for (int i = 0; i < c->calls; i++) {
        Nst_OnCall(&nesting, route, i % c->calls < c->inside);
    }
    ck_assert_msg(Nst_IsNested(&nesting, route) == c->nested, "%s", c->name);
    ck_assert(!Nst_IsNested(&nesting, Str_LIT("another")));
}
END_TEST

/* Times of a route: few take less than the first, most no more than the
 * second, nearly all no more than the third. */
START_TEST(learns_usual_times)
{
    static Usual usual;
    Str route = Str_LIT("look");

    usual = (Usual){{{0, 0}}};
    ck_assert_int_eq(Usl_Get(&usual, route, Usl_MOST), 0);
    for (int i = 0; i < 1000; i++) {
        Usl_OnTime(&usual, route, Span_MS(100 + i % 5 * 20));
    }
    ck_assert(Usl_Get(&usual, route, Usl_FEW) > Span_MS(80) &&
              Usl_Get(&usual, route, Usl_FEW) < Span_MS(140));
    ck_assert(Usl_Get(&usual, route, Usl_MOST) > Span_MS(140) &&
              Usl_Get(&usual, route, Usl_MOST) < Span_MS(180));
    ck_assert(Usl_Get(&usual, route, Usl_NEARLY_ALL) >
              Usl_Get(&usual, route, Usl_MOST));
}
END_TEST

int
main(void)
{
    const SuiteTest tests[] = {{is_admitted_by_the_pace, ROWS(cases)},
                               {learns_which_come_from_inside, ROWS(nestings)},
                               {learns_usual_times, 1}};

    return Suite_Run("pace", tests, 3, 10);
}
