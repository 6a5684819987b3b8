/* Detection of the knee: from the durations of requests, whether a backend
 * server is slower on its reserved (last) slots, and whether admission then
 * leaves the reserve free.  Guards against a reserve that is used although all
 * requests become slower, and against slots left idle although they are as
 * fast as the others. */
#include "process/admission/admission.h"
#include "support/suite.h"
#include "value/rng.h"

#define ROWS(table) (int)(sizeof(table) / sizeof(table)[0])
#define START Span_S(1000)

enum {
    SLOTS = 9,
    SLOTS_BELOW_RESERVE = 7,
    KINDS = 3,
    SEEDS = 20,
    PERMILLE = 1000
};

/* Requests whose duration varies by up to half around the usual one of their
 * kind of work. */
typedef struct {
    const char *name;
    Span age; /* time from the last sample to the check; 0: none */
    int requests;
    int reserve_permille; /* of these, started in the reserve */
    int slower_percent;   /* slowdown in the reserve */
    bool slower;          /* expected for at least nine in ten seeds */
    bool needs_samples;
} KneeSampleCase;

static const KneeSampleCase sample_cases[] = {
    {"no samples", 0, 0, 0, 0, true, true},
    {"no samples of the reserve", 0, 500, 0, 0, true, true},
    {"as fast in the reserve", 0, 600, 300, 0, false, false},
    {"as fast in the reserve, few samples", 0, 300, 150, 0, false, false},
    {"much slower in the reserve", 0, 200, 300, 70, true, false},
    {"slower in the reserve", 0, 800, 300, 30, true, false},
    {"hardly slower in the reserve", 0, 800, 300, 3, false, false},
    {"as fast in the reserve, old samples", Span_S(600), 600, 300, 0, true,
     true},
};

static Span
sample_duration(Rng *rng, int kind, int slower_percent)
{
    Span usual = Span_MS(40) * (kind * kind + 1);
    Span spread = (Span)Rng_Below(rng, (uint32_t)usual);

    return (usual + spread - usual / 2) * (100 + slower_percent) / 100;
}

static void
add_samples(KneeDetector *knee, const KneeSampleCase *c, uint64_t seed)
{
    Rng rng;
    Instant now = START;

    Rng_Init(&rng, seed);
    *knee = (KneeDetector){.decayed_at = START};
    for (int i = 0; i < c->requests; i++) {
        bool in_reserve = (int)Rng_Below(&rng, PERMILLE) < c->reserve_permille;
        /* Long requests start in the reserve more often than elsewhere:
         * comparing all kinds together would be misleading. */
        int kind = in_reserve ? KINDS - 1 - (int)Rng_Below(&rng, 2)
                              : (int)Rng_Below(&rng, KINDS);
        now += Span_MS(30);
        Kne_AddSample(
            knee, (uint32_t)kind, in_reserve,
            sample_duration(&rng, kind, in_reserve ? c->slower_percent : 0),
            now);
    }
    if (c->age) {
        Kne_AddSample(knee, 0, false, sample_duration(&rng, 0, 0),
                      now + c->age);
    }
    Rng_Finish(&rng);
}

START_TEST(detects_slower_reserve)
{
    const KneeSampleCase *c = &sample_cases[_i];
    int right = 0;

    for (uint64_t seed = 1; seed <= SEEDS; seed++) {
        KneeDetector knee;
        add_samples(&knee, c, seed);
        right += Kne_IsReserveSlower(&knee) == c->slower;
        ck_assert_msg(Kne_NeedsSamples(&knee) == c->needs_samples, "%s",
                      c->name);
    }
    ck_assert_msg(right * 10 >= SEEDS * 9, "%s: right at %d of %d", c->name,
                  right, SEEDS);
}
END_TEST

typedef struct {
    const char *name;
    int slower_percent;
    int running_min; /* bounds on the attempts running in the end */
    int running_max;
} SaturationCase;

static const SaturationCase saturation_cases[] = {
    {"as fast in the reserve", 0, SLOTS, SLOTS},
    {"slower in the reserve", 70, SLOTS_BELOW_RESERVE, SLOTS_BELOW_RESERVE},
};

/* The queue is never empty.  Checks how many attempts run after 2000 attempts
 * have ended. */
START_TEST(uses_reserve_unless_slower)
{
    const SaturationCase *c = &saturation_cases[_i];
    const AdmissionSettings settings = {.queue_max = 100,
                                        .patient_queue_max = 100};
    const AdmissionRequest request = {.time_left = Span_S(60)};
    RequestClass cls;
    Instant now = START;
    AdmissionController controller;
    Rng rng;

    Rng_Init(&rng, 7);
    Adm_Init(&controller, &settings);
    Adm_OnAnnounce(&controller, SLOTS, false, now);
    for (int i = 0; i < 2000; i++) {
        AttemptCompletion completion = {.concurrency = controller.running};
        now += Span_MS(30);
        while (controller.queued[Adm_INTERACTIVE] < 20) {
            if (Adm_Admit(&controller, &request, now) == Adm_RUN) {
                completion.concurrency = controller.running;
            }
        }
        completion.normalized_time = sample_duration(
            &rng, 0,
            completion.concurrency > SLOTS_BELOW_RESERVE ? c->slower_percent
                                                         : 0);
        if (completion.concurrency) {
            Adm_OnAttemptEnd(&controller, &completion, now);
        }
        while (Adm_StartNext(&controller, now, &cls)) {
        }
    }
    ck_assert_msg((int)controller.running >= c->running_min &&
                      (int)controller.running <= c->running_max,
                  "%s: %u run", c->name, controller.running);
    Rng_Finish(&rng);
}
END_TEST

int
main(void)
{
    const SuiteTest tests[] = {
        {detects_slower_reserve, ROWS(sample_cases)},
        {uses_reserve_unless_slower, ROWS(saturation_cases)},
    };

    return Suite_Run("knee", tests, 2, 10);
}
