/* Tables of events over the membership decider. */
#include "process/membership.h"
#include "support/suite.h"

enum { SELF = 1, EXPIRY = 1000, STEPS_MAX = 8 };

typedef enum {
    DONE = 0,
    RECORD,  /* from the node itself */
    LOAD,    /* the same with another load */
    DRAIN,   /* the same, draining */
    LEAVE,   /* the same, stopping */
    RESTART, /* from a later start of the node */
    OLD,     /* from an earlier start */
    HELD,    /* replica 0 hears it directly */
    DROPPED, /* replica 0 no longer does */
    VOUCH,   /* replica 0 still hears what it told of */
    ROW,     /* of a replica's table */
    ROW_GONE,
    WHOLE, /* a whole table with this node alone */
    EXPIRE,
} Event;

typedef struct {
    Event event;
    Addr node;
    Instant at;
} Step;

typedef struct {
    const char *name;
    bool replica;
    int replicas;
    Step steps[STEPS_MAX];
    int came;
    int changed;
    int gone;
    bool here; /* node 2, at the end */
} MemberCase;

static const MemberCase cases[] = {
    {"comes", true, 3, {{RECORD, 2, 10}}, 1, 0, 0, true},
    {"a renewal is no change",
     true,
     3,
     {{RECORD, 2, 10}, {RECORD, 2, 500}, {LOAD, 2, 900}},
     1,
     0,
     0,
     true},
    {"draining is one",
     true,
     3,
     {{RECORD, 2, 10}, {DRAIN, 2, 20}},
     1,
     1,
     0,
     true},
    {"leaves",
     true,
     3,
     {{RECORD, 2, 10}, {LEAVE, 2, 20}, {LEAVE, 2, 30}},
     1,
     0,
     1,
     false},
    {"a restart is one change",
     true,
     3,
     {{RECORD, 2, 10}, {RESTART, 2, 20}},
     1,
     1,
     0,
     true},
    {"an earlier start is nothing",
     true,
     3,
     {{RESTART, 2, 10}, {OLD, 2, 20}, {LEAVE, 2, 30}},
     1,
     0,
     0,
     true},
    {"expires at a lone replica",
     true,
     1,
     {{RECORD, 2, 10}, {EXPIRE, 0, 1009}, {EXPIRE, 0, 1010}},
     1,
     0,
     1,
     false},
    {"is renewed in time",
     true,
     1,
     {{RECORD, 2, 10}, {RECORD, 2, 900}, {EXPIRE, 0, 1800}},
     1,
     0,
     0,
     true},
    {"comes back after its expiry",
     true,
     1,
     {{RECORD, 2, 10}, {EXPIRE, 0, 1010}, {RECORD, 2, 1020}},
     2,
     0,
     1,
     true},
    {"a replica that hears nobody lets nothing expire",
     true,
     3,
     {{RECORD, 2, 10}, {EXPIRE, 0, 5000}},
     1,
     0,
     0,
     true},
    {"a replica that hears another replica does",
     true,
     3,
     {{RECORD, 2, 10}, {VOUCH, 0, 4900}, {EXPIRE, 0, 5000}},
     1,
     0,
     1,
     false},
    {"one that hears nodes of its region does",
     true,
     3,
     {{RECORD, 2, 10}, {RECORD, 3, 4900}, {EXPIRE, 0, 5000}},
     2,
     0,
     1,
     false},
    {"another replica keeps it here",
     true,
     3,
     {{HELD, 2, 10}, {VOUCH, 0, 900}, {EXPIRE, 0, 1800}},
     1,
     0,
     0,
     true},
    {"until that replica no longer hears it",
     true,
     3,
     {{HELD, 2, 10}, {DROPPED, 2, 20}, {VOUCH, 0, 1000}, {EXPIRE, 0, 1050}},
     1,
     0,
     1,
     false},
    {"a follower lets nothing expire",
     false,
     3,
     {{ROW, 2, 10}, {EXPIRE, 0, 99000}},
     1,
     0,
     0,
     true},
    {"a follower goes by the table",
     false,
     3,
     {{ROW, 2, 10}, {ROW_GONE, 2, 20}},
     1,
     0,
     1,
     false},
    {"what a whole table lacks is gone",
     false,
     3,
     {{ROW, 2, 10}, {ROW, 3, 20}, {WHOLE, 3, 30}},
     2,
     0,
     1,
     false},
    {"but not this node itself",
     false,
     3,
     {{RECORD, SELF, 10}, {ROW, 2, 20}, {WHOLE, 2, 30}},
     2,
     0,
     0,
     true},
    {"gone and back at the same record",
     false,
     3,
     {{ROW, 2, 10}, {ROW_GONE, 2, 20}, {ROW, 2, 30}},
     2,
     0,
     1,
     true},
};

enum { CASE_COUNT = sizeof cases / sizeof cases[0] };

typedef struct {
    int counts[3];
} Told;

static void
on_change(void *context, MbrChange change, const MbrRecord *record,
          Instant now)
{
    (void)record;
    (void)now;
    ((Told *)context)->counts[change]++;
}

static void
fill_record(MbrRecord *record, const Step *step, uint64_t sequence)
{
    Mbr_RecordInit(record);
    record->node = step->node;
    record->incarnation = step->event == RESTART ? 7 : 6;
    record->sequence = sequence;
    record->present = true;
    StrBuf_Set(&record->service, Str_LIT("visor"));
    record->load.slots = 9;
    record->load.running = step->event == LOAD ? 5 : 0;
    record->load.draining = step->event == DRAIN;
    record->leaving = step->event == LEAVE;
}

static void
do_step(Mbr *mbr, const Step *step, uint64_t sequence)
{
    MbrRecord record;

    fill_record(&record, step, sequence);
    switch (step->event) {
    case HELD:
    case DROPPED:
        Mbr_OnHeld(mbr, 0, &record, step->event == HELD, step->at);
        break;
    case VOUCH:
        Mbr_BeginExchange(mbr, 0, false);
        Mbr_EndExchange(mbr, 0, step->at);
        break;
    case ROW:
    case ROW_GONE:
        record.sequence = 1;
        Mbr_OnRow(mbr, &record, step->event == ROW_GONE, step->at);
        break;
    case WHOLE:
        record.sequence = 1;
        Mbr_BeginTable(mbr, true);
        Mbr_OnRow(mbr, &record, false, step->at);
        Mbr_EndTable(mbr, true, step->at);
        break;
    case EXPIRE:
        Mbr_Expire(mbr, step->at);
        break;
    default:
        Mbr_OnRecord(mbr, &record, step->at);
    }
    Mbr_RecordFinish(&record);
}

START_TEST(follows_the_events)
{
    const MemberCase *c = &cases[_i];
    Told told = {{0}};
    MbrSettings settings = {
        .self = SELF,
        .replica = c->replica,
        .replicas = (size_t)c->replicas,
        .expiry = EXPIRY,
        .listener = on_change,
        .context = &told,
    };
    Mbr mbr;
    const MbrRow *row;

    Mbr_Init(&mbr, &settings);
    for (int i = 0; i < STEPS_MAX && c->steps[i].event; i++) {
        do_step(&mbr, &c->steps[i], (uint64_t)i + 1);
    }
    row = Mbr_Find(&mbr, 2);
    ck_assert_msg((row && !row->gone) == c->here, "%s: here", c->name);
    ck_assert_msg(told.counts[Mbr_CAME] == c->came, "%s: came %d", c->name,
                  told.counts[Mbr_CAME]);
    ck_assert_msg(told.counts[Mbr_CHANGED] == c->changed, "%s: changed %d",
                  c->name, told.counts[Mbr_CHANGED]);
    ck_assert_msg(told.counts[Mbr_GONE] == c->gone, "%s: gone %d", c->name,
                  told.counts[Mbr_GONE]);
    Mbr_Finish(&mbr);
}
END_TEST

/* Rows are bounded, and what is gone for long is forgotten. */
typedef struct {
    int nodes;
    int kept;
    Instant expire_at; /* 0: not */
    bool needs_whole;  /* who saw the first change */
} BoundCase;

static const BoundCase bounds[] = {
    {100, 100, 0, false},
    {Mbr_ROWS_MAX + 100, Mbr_ROWS_MAX, 0, false},
    {100, 100, EXPIRY + 1, false},
    {100, 0, 100 * EXPIRY, true},
};

enum { BOUND_COUNT = sizeof bounds / sizeof bounds[0] };

START_TEST(keeps_to_bounds)
{
    const BoundCase *c = &bounds[_i];
    MbrSettings settings = {
        .self = SELF, .replica = true, .replicas = 1, .expiry = EXPIRY};
    Mbr mbr;

    Mbr_Init(&mbr, &settings);
    for (int i = 0; i < c->nodes; i++) {
        Step step = {RECORD, (Addr)i + 2, 1};
        do_step(&mbr, &step, 1);
    }
    if (c->expire_at) {
        Mbr_Expire(&mbr, EXPIRY + 1);
        Mbr_Expire(&mbr, c->expire_at);
    }
    ck_assert_int_eq((int)mbr.count, c->kept);
    ck_assert(Mbr_NeedsWhole(&mbr, 1) == c->needs_whole);
    Mbr_Finish(&mbr);
}
END_TEST

int
main(void)
{
    const SuiteTest tests[] = {{follows_the_events, CASE_COUNT},
                               {keeps_to_bounds, BOUND_COUNT}};

    return Suite_Run("membership", tests, 2, 10);
}
