/* Who waits and who gives way beside a full backend server.  The load that the
 * replays answer: one or two client accounts send many times their usual, or a
 * backend server loses room, or refused callers repeat at once; the others,
 * and what is more urgent, go on being served. */
#include "process/admission/admission.h"
#include "process/admission/fairshare.h"
#include "process/admission/queueorder.h"
#include "support/suite.h"
#include "value/rng.h"

#define ROWS(table) (int)(sizeof(table) / sizeof(table)[0])

typedef struct {
    const char *name;
    QueuePlace a;
    QueuePlace b;
    bool a_first;
    bool a_displaces;
} OrderCase;

static const OrderCase orders[] = {
    {"a run's own call first", {true, 9, 9, 9}, {false, 0, 0, 1}, true, true},
    {"not the other way", {false, 0, 0, 1}, {true, 9, 9, 9}, false, false},
    {"the more urgent", {false, 0, 9, 9}, {false, 1, 0, 1}, true, true},
    {"the less urgent", {false, 2, 0, 1}, {false, 1, 9, 9}, false, false},
    {"an account that had a little less",
     {false, 1, 64, 9},
     {false, 1, 90, 1},
     false,
     false},
    {"one that had much less",
     {false, 1, 2, 9},
     {false, 1, 90, 1},
     true,
     true},
    {"one that had more", {false, 1, 90, 1}, {false, 1, 2, 9}, false, false},
    {"equals by time", {false, 1, 3, 1}, {false, 1, 3, 9}, true, false},
    {"nobody had anything", {false, 1, 0, 9}, {false, 1, 0, 1}, false, false},
};

START_TEST(orders_two_attempts)
{
    const OrderCase *c = &orders[_i];

    ck_assert_msg(Quo_StartsBefore(&c->a, &c->b) == c->a_first, "%s", c->name);
    ck_assert_msg(Quo_MayDisplace(&c->a, &c->b) == c->a_displaces, "%s",
                  c->name);
}
END_TEST

enum {
    ACCOUNTS = 86,
    CLASSES = 2,
    SLOTS = 9,
    QUEUE_MAX = 32,
    RUN_S = 30,
    WORK_MS = 150
};

#define QUEUE_TIME_MAX Span_MS(350)

/* A backend server of SLOTS slots with its queue. */
typedef struct {
    uint64_t account; /* 1 and up */
    uint32_t priority;
    Instant queue_deadline;
    Instant ends_at; /* 0: it waits */
    bool used;
} Work;

typedef struct {
    const char *name;
    double load;      /* of the slots, in usual times */
    int hot_accounts; /* send HOT_FACTOR times their usual */
    bool repeats;     /* a refused request comes again at once */
    uint32_t slots_lost;
    double others_served_min; /* share of the urgent requests of the others */
    double small_served_min;  /* the same, of the smallest account */
} LoadCase;

enum { HOT_FACTOR = 8, LOST_AFTER_S = 10 };

static const LoadCase loads[] = {
    {"calm", 0.7, 0, false, 0, 0.99, 0.95},
    {"one account at 8 times its usual", 0.7, 1, false, 0, 0.95, 0.95},
    {"two of them", 0.7, 2, false, 0, 0.95, 0.95},
    {"one, and refused callers repeat at once", 0.7, 1, true, 0, 0.95, 0.95},
    /* the urgent requests alone fit into what is left */
    {"40 percent of the room is lost", 0.6, 0, false, 4, 0.95, 0.9},
    {"the same, with a hot account", 0.7, 1, false, 4, 0.9, 0.9},
};

typedef struct {
    AdmissionController admission;
    FairShares shares;
    Rng rng;
    Work works[SLOTS + QUEUE_MAX];
    uint64_t asked[ACCOUNTS + 1][CLASSES];
    uint64_t served[ACCOUNTS + 1][CLASSES];
} World;

/* Accounts of different sizes: the first is the largest. */
static double
get_size(uint64_t account)
{
    return 1.0 / (double)(account + 4);
}

static AccountShare
get_share(uint64_t account)
{
    return (AccountShare){account, 1 + (uint32_t)(get_size(account) * 1000)};
}

static QueuePlace
get_place(const World *world, const Work *work, Instant now)
{
    return (QueuePlace){
        .priority = work->priority,
        .use = Fsh_GetUse(&world->shares, get_share(work->account), now),
        .start_by = work->queue_deadline,
    };
}

static void
start_work(World *world, Work *work, Instant now)
{
    Span took = Span_MS(WORK_MS) / 2 +
                (Span)Rng_Exponential(&world->rng, Span_MS(WORK_MS) / 2.0);

    work->ends_at = now + took;
    Fsh_OnStart(&world->shares, get_share(work->account),
                (Span)world->admission.service_us, now);
    world->served[work->account][work->priority]++;
}

static Work *
find_free(World *world)
{
    for (int i = 0; i < ROWS(world->works); i++) {
        if (!world->works[i].used) {
            return &world->works[i];
        }
    }
    return NULL;
}

static bool
waits(const Work *work)
{
    return work->used && !work->ends_at;
}

/* Puts NEWCOMER into the queue in place of another; false when none gives way.
 */
static bool
displace(World *world, Work *newcomer, const AdmissionRequest *request,
         Instant now)
{
    QueueDisplacement found = {.newcomer = get_place(world, newcomer, now)};
    Work *displaced;

    for (int i = 0; i < ROWS(world->works); i++) {
        Work *work = &world->works[i];
        if (work != newcomer && waits(work)) {
            const QueuePlace place = get_place(world, work, now);
            Quo_OfferDisplaced(&found, &place, work);
        }
    }
    displaced = found.item;
    if (!displaced ||
        !Adm_QueueAhead(&world->admission, request, found.ahead, now)) {
        return false;
    }
    Adm_OnQueueCancel(&world->admission, Adm_INTERACTIVE);
    displaced->used = false;
    return true;
}

/* Returns whether the request was taken. */
static bool
arrive(World *world, uint64_t account, uint32_t priority, Instant now)
{
    const AdmissionRequest request = {.time_left = Span_S(1),
                                      .queue_time_max = QUEUE_TIME_MAX};
    Work place = {.account = account,
                  .priority = priority,
                  .queue_deadline = now + QUEUE_TIME_MAX,
                  .used = true};
    AdmissionVerdict verdict = Adm_Admit(&world->admission, &request, now);
    Work *work;

    if (verdict != Adm_RUN && verdict != Adm_QUEUE &&
        !displace(world, &place, &request, now)) {
        return false;
    }
    work = find_free(world);
    ck_assert(work != NULL);
    *work = place;
    if (verdict == Adm_RUN) {
        start_work(world, work, now);
    }
    return true;
}

static void
end_and_start(World *world, Instant now)
{
    RequestClass cls;

    for (int i = 0; i < ROWS(world->works); i++) {
        Work *work = &world->works[i];
        if (work->used && work->ends_at && work->ends_at <= now) {
            const AttemptCompletion end = {.normalized_time =
                                               Span_MS(WORK_MS)};
            work->used = false;
            Adm_OnAttemptEnd(&world->admission, &end, now);
        }
        else if (waits(work) && work->queue_deadline <= now) {
            work->used = false;
            Adm_OnQueueCancel(&world->admission, Adm_INTERACTIVE);
        }
    }
    while (Adm_StartNext(&world->admission, now, &cls)) {
        QueueFirst first = {.item = NULL};
        for (int i = 0; i < ROWS(world->works); i++) {
            Work *work = &world->works[i];
            if (waits(work)) {
                const QueuePlace place = get_place(world, work, now);
                Quo_OfferFirst(&first, &place, work);
            }
        }
        start_work(world, first.item, now);
    }
}

static void
send_of_account(World *world, const LoadCase *c, uint64_t account,
                double per_ms, Instant now)
{
    bool hot = account <= (uint64_t)c->hot_accounts;
    double rate = per_ms * (hot ? HOT_FACTOR : 1);
    uint32_t priority = Rng_Unit(&world->rng) < 0.66 ? 0 : 1;

    if (Rng_Unit(&world->rng) >= rate) {
        return;
    }
    world->asked[account][priority]++;
    if (!arrive(world, account, priority, now) && c->repeats) {
        arrive(world, account, priority, now);
    }
}

START_TEST(others_go_on_being_served)
{
    const LoadCase *c = &loads[_i];
    const AdmissionSettings settings = {.queue_max = QUEUE_MAX,
                                        .patient_queue_max = QUEUE_MAX};
    double sizes = 0;
    double all_per_ms = c->load * SLOTS / WORK_MS;
    uint64_t asked = 0;
    uint64_t served = 0;
    World world = {.admission = {0}};

    Rng_Init(&world.rng, 7 + (uint64_t)_i);
    Adm_Init(&world.admission, &settings);
    Adm_OnAnnounce(&world.admission, SLOTS, false, 1);
    for (uint64_t account = 1; account <= ACCOUNTS; account++) {
        sizes += get_size(account);
    }
    for (Instant now = Span_MS(1); now < Span_S(RUN_S); now += Span_MS(1)) {
        if (now == Span_S(LOST_AFTER_S)) {
            Adm_OnAnnounce(&world.admission, SLOTS - c->slots_lost, false,
                           now);
        }
        end_and_start(&world, now);
        for (uint64_t account = 1; account <= ACCOUNTS; account++) {
            send_of_account(&world, c, account,
                            all_per_ms * get_size(account) / sizes, now);
        }
    }
    for (uint64_t account = 1 + (uint64_t)c->hot_accounts; account <= ACCOUNTS;
         account++) {
        asked += world.asked[account][0];
        served += world.served[account][0];
    }
    ck_assert_msg((double)served >= c->others_served_min * (double)asked,
                  "%s: %llu of %llu urgent requests of the others", c->name,
                  (unsigned long long)served, (unsigned long long)asked);
    ck_assert_msg((double)world.served[ACCOUNTS][0] >=
                      c->small_served_min * (double)world.asked[ACCOUNTS][0],
                  "%s: %llu of %llu of the smallest account", c->name,
                  (unsigned long long)world.served[ACCOUNTS][0],
                  (unsigned long long)world.asked[ACCOUNTS][0]);
    Rng_Finish(&world.rng);
}
END_TEST

int
main(int argc, char **argv)
{
    const SuiteTest tests[] = {
        {orders_two_attempts, ROWS(orders)},
        {others_go_on_being_served, ROWS(loads)},
    };

    (void)argc;
    (void)argv;
    return Suite_Run("fair_queue", tests, ROWS(tests), 60);
}
