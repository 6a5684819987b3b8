/* Admission beside a backend server that turns work away. */
#include "process/admission.h"
#include "support/suite.h"

enum { STEPS_MAX = 10 };

typedef enum { END = 0, AWAY, TAKEN, RUNS, REFUSED } Event;

typedef struct {
    Event event;
    Instant at_ms;
} Step;

typedef struct {
    const char *name;
    Step steps[STEPS_MAX];
} AwayCase;

static const AwayCase cases[] = {
    {"once", {{AWAY, 10}, {RUNS, 20}}},
    {"a burst", {{AWAY, 10}, {AWAY, 11}, {AWAY, 12}, {AWAY, 13}, {RUNS, 20}}},
    {"too few", {{AWAY, 10}, {AWAY, 900}, {RUNS, 910}}},
    {"all, for a while",
     {{AWAY, 10}, {AWAY, 300}, {AWAY, 600}, {REFUSED, 610}, {REFUSED, 5000}}},
    {"taken in between",
     {{AWAY, 10}, {AWAY, 300}, {TAKEN, 400}, {AWAY, 600}, {RUNS, 610}}},
    {"one trial",
     {{AWAY, 10},
      {AWAY, 300},
      {AWAY, 600},
      {REFUSED, 5599},
      {RUNS, 5600},
      {REFUSED, 5601},
      {AWAY, 5700},
      {REFUSED, 10699},
      {RUNS, 10700}}},
    {"a trial that is taken",
     {{AWAY, 10},
      {AWAY, 300},
      {AWAY, 600},
      {RUNS, 5600},
      {TAKEN, 5700},
      {RUNS, 5701},
      {RUNS, 5702}}},
    {"a trial without an answer",
     {{AWAY, 10},
      {AWAY, 300},
      {AWAY, 600},
      {RUNS, 5600},
      {REFUSED, 6599},
      {RUNS, 6600}}},
};

enum { CASE_COUNT = sizeof cases / sizeof cases[0] };

START_TEST(goes_by_the_evidence)
{
    const AwayCase *c = &cases[_i];
    const AdmissionSettings settings = {.queue_max = 8,
                                        .patient_queue_max = 8};
    AdmissionController adm;

    Adm_Init(&adm, &settings);
    Adm_OnAnnounce(&adm, 9, false, 0);
    for (int i = 0; i < STEPS_MAX && c->steps[i].event; i++) {
        Instant now = Span_MS(c->steps[i].at_ms);
        AdmissionVerdict verdict;
        switch (c->steps[i].event) {
        case AWAY:
            Adm_OnBackendReject(&adm, now);
            break;
        case TAKEN:
            Adm_OnBackendAccept(&adm);
            break;
        default:
            /* Who reads the report must know when a trial is due. */
            ck_assert(Adm_GetLoadReport(&adm, now).draining ==
                      (c->steps[i].event != RUNS));
            verdict = Adm_Admit(&adm,
                                &(AdmissionRequest){.cls = Adm_PATIENT,
                                                    .time_left = Span_S(1)},
                                now);
            ck_assert_msg((verdict == Adm_RUN) == (c->steps[i].event == RUNS),
                          "%s: step %d", c->name, i);
            if (verdict != Adm_RUN) {
                ck_assert(verdict == Adm_REFUSE_DRAINING);
                ck_assert(Adm_GetLoadReport(&adm, now).draining);
            }
        }
    }
}
END_TEST

int
main(void)
{
    const SuiteTest tests[] = {{goes_by_the_evidence, CASE_COUNT}};

    return Suite_Run("turned away", tests, 1, 10);
}
