/* Admission at a backend server that rejects attempts.  After enough
 * rejections over enough time the node refuses work as if the server drained,
 * and admits one trial attempt in each interval.  Guards against a node that
 * stops using the server after a short burst of rejections, and against one
 * that never tries it again. */
#include "process/admission/admission.h"
#include "support/suite.h"

enum { STEPS_MAX = 10 };

typedef enum {
    END = 0,
    REJECTED, /* the backend server rejects an attempt */
    ACCEPTED, /* the backend server accepts an attempt */
    RUNS,     /* a new attempt is admitted */
    REFUSED   /* a new attempt is refused */
} BackendStep;

typedef struct {
    BackendStep event;
    Instant at_ms;
} Step;

typedef struct {
    const char *name;
    Step steps[STEPS_MAX];
} RejectionCase;

static const RejectionCase cases[] = {
    {"one rejection", {{REJECTED, 10}, {RUNS, 20}}},
    {"a burst",
     {{REJECTED, 10},
      {REJECTED, 11},
      {REJECTED, 12},
      {REJECTED, 13},
      {RUNS, 20}}},
    {"too few rejections", {{REJECTED, 10}, {REJECTED, 900}, {RUNS, 910}}},
    {"rejects everything",
     {{REJECTED, 10},
      {REJECTED, 300},
      {REJECTED, 600},
      {REFUSED, 610},
      {REFUSED, 5000}}},
    {"accepts one in between",
     {{REJECTED, 10},
      {REJECTED, 300},
      {ACCEPTED, 400},
      {REJECTED, 600},
      {RUNS, 610}}},
    {"one trial an interval",
     {{REJECTED, 10},
      {REJECTED, 300},
      {REJECTED, 600},
      {REFUSED, 5599},
      {RUNS, 5600},
      {REFUSED, 5601},
      {REJECTED, 5700},
      {REFUSED, 10699},
      {RUNS, 10700}}},
    {"trial accepted",
     {{REJECTED, 10},
      {REJECTED, 300},
      {REJECTED, 600},
      {RUNS, 5600},
      {ACCEPTED, 5700},
      {RUNS, 5701},
      {RUNS, 5702}}},
    {"trial without an answer",
     {{REJECTED, 10},
      {REJECTED, 300},
      {REJECTED, 600},
      {RUNS, 5600},
      {REFUSED, 6599},
      {RUNS, 6600}}},
};

enum { CASE_COUNT = sizeof cases / sizeof cases[0] };

START_TEST(detects_rejecting_backend)
{
    const RejectionCase *c = &cases[_i];
    const AdmissionSettings settings = {.queue_max = 8,
                                        .patient_queue_max = 8};
    AdmissionController controller;

    Adm_Init(&controller, &settings);
    Adm_OnAnnounce(&controller, 9, false, 0);
    for (int i = 0; i < STEPS_MAX && c->steps[i].event; i++) {
        Instant now = Span_MS(c->steps[i].at_ms);
        AdmissionVerdict verdict;
        switch (c->steps[i].event) {
        case REJECTED:
            Adm_OnBackendReject(&controller, now);
            break;
        case ACCEPTED:
            Adm_OnBackendAccept(&controller);
            break;
        default:
            /* The report shows draining except while a trial is due, so that
             * other nodes send one. */
            ck_assert(Adm_GetLoadReport(&controller, now).draining ==
                      (c->steps[i].event != RUNS));
            verdict = Adm_Admit(&controller,
                                &(AdmissionRequest){.cls = Adm_PATIENT,
                                                    .time_left = Span_S(1)},
                                now);
            ck_assert_msg((verdict == Adm_RUN) == (c->steps[i].event == RUNS),
                          "%s: step %d", c->name, i);
            if (verdict != Adm_RUN) {
                ck_assert(verdict == Adm_REFUSE_DRAINING);
                ck_assert(Adm_GetLoadReport(&controller, now).draining);
            }
        }
    }
}
END_TEST

int
main(void)
{
    const SuiteTest tests[] = {{detects_rejecting_backend, CASE_COUNT}};

    return Suite_Run("turned away", tests, 1, 10);
}
