/* Whether the last slots of a backend server are worth their time, learned
 * from what work takes there; and admission going by it. */
#include "process/admission.h"
#include "support/suite.h"
#include "value/rng.h"

#define ROWS(table) (int)(sizeof(table) / sizeof(table)[0])
#define START Span_S(1000)

enum {
    SLOTS = 9,
    USUAL_SLOTS = 7, /* without the reserve */
    KINDS = 3,
    SEEDS = 20,
    PERMILLE = 1000
};

/* Work whose time is spread by half around its kind's. */
typedef struct {
    const char *name;
    Span age; /* since then */
    int requests;
    int above_permille; /* of these on the last slots */
    int slower_percent; /* on the last slots */
    bool slower;        /* at all but one in ten seeds */
    bool wants_look;
} KneeCase;

static const KneeCase cases[] = {
    {"nothing seen", 0, 0, 0, 0, true, true},
    {"never on the last slots", 0, 500, 0, 0, true, true},
    {"as quick there", 0, 600, 300, 0, false, false},
    {"as quick there, seen seldom", 0, 300, 150, 0, false, false},
    {"much slower there", 0, 200, 300, 70, true, false},
    {"slower there", 0, 800, 300, 30, true, false},
    {"hardly slower there", 0, 800, 300, 3, false, false},
    {"as quick there, long ago", Span_S(600), 600, 300, 0, true, true},
};

static Span
time_of(Rng *rng, int kind, int slower_percent)
{
    Span usual = Span_MS(40) * (kind * kind + 1);
    Span spread = (Span)Rng_Below(rng, (uint32_t)usual);

    return (usual + spread - usual / 2) * (100 + slower_percent) / 100;
}

static void
learn(KneeDetector *knee, const KneeCase *c, uint64_t seed)
{
    Rng rng;
    Instant now = START;

    Rng_Init(&rng, seed);
    *knee = (KneeDetector){.decayed_at = START};
    for (int i = 0; i < c->requests; i++) {
        bool above = (int)Rng_Below(&rng, PERMILLE) < c->above_permille;
        /* Long work comes to the last slots more often than it does else. */
        int kind = above ? KINDS - 1 - (int)Rng_Below(&rng, 2)
                         : (int)Rng_Below(&rng, KINDS);
        now += Span_MS(30);
        Kne_AddSample(knee, (uint32_t)kind, above,
                      time_of(&rng, kind, above ? c->slower_percent : 0), now);
    }
    if (c->age) {
        Kne_AddSample(knee, 0, false, time_of(&rng, 0, 0), now + c->age);
    }
    Rng_Finish(&rng);
}

START_TEST(learns_whether_the_last_slots_are_slower)
{
    const KneeCase *c = &cases[_i];
    int right = 0;

    for (uint64_t seed = 1; seed <= SEEDS; seed++) {
        KneeDetector knee;
        learn(&knee, c, seed);
        right += Kne_IsReserveSlower(&knee) == c->slower;
        ck_assert_msg(Kne_NeedsSamples(&knee) == c->wants_look, "%s", c->name);
    }
    ck_assert_msg(right * 10 >= SEEDS * 9, "%s: right at %d of %d", c->name,
                  right, SEEDS);
}
END_TEST

typedef struct {
    const char *name;
    int slower_percent;
    int low;  /* running at once, at least, */
    int high; /* and at most, once it is known */
} FullCase;

static const FullCase fulls[] = {
    {"as quick on the last slots", 0, SLOTS, SLOTS},
    {"slower there", 70, USUAL_SLOTS, USUAL_SLOTS},
};

/* A queue that is never empty: what runs once that was so for a while. */
START_TEST(fills_them_or_leaves_them_free)
{
    const FullCase *c = &fulls[_i];
    const AdmissionSettings settings = {.queue_max = 100,
                                        .patient_queue_max = 100};
    const AdmissionRequest ask = {.time_left = Span_S(60)};
    RequestClass cls;
    Instant now = START;
    AdmissionController adm;
    Rng rng;

    Rng_Init(&rng, 7);
    Adm_Init(&adm, &settings);
    Adm_OnAnnounce(&adm, SLOTS, false, now);
    for (int i = 0; i < 2000; i++) {
        AttemptCompletion end = {.concurrency = adm.running};
        now += Span_MS(30);
        while (adm.queued[Adm_INTERACTIVE] < 20) {
            if (Adm_Admit(&adm, &ask, now) == Adm_RUN) {
                end.concurrency = adm.running;
            }
        }
        end.normalized_time = time_of(
            &rng, 0, end.concurrency > USUAL_SLOTS ? c->slower_percent : 0);
        if (end.concurrency) {
            Adm_OnAttemptEnd(&adm, &end, now);
        }
        while (Adm_StartNext(&adm, now, &cls)) {
        }
    }
    ck_assert_msg((int)adm.running >= c->low && (int)adm.running <= c->high,
                  "%s: %u run", c->name, adm.running);
    Rng_Finish(&rng);
}
END_TEST

int
main(void)
{
    const SuiteTest tests[] = {
        {learns_whether_the_last_slots_are_slower, ROWS(cases)},
        {fills_them_or_leaves_them_free, ROWS(fulls)},
    };

    return Suite_Run("knee", tests, 2, 10);
}
