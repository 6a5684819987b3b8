/* Tables of events over the membership decider. */
#include "connection/membermsg.h"
#include "process/membership.h"
#include "process/nodeversions.h"
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
    RENEW,   /* nothing changed since its record */
    VERSION, /* a record with another configuration version */
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
    {"another version is none that nodes act on",
     true,
     3,
     {{RECORD, 2, 10}, {VERSION, 2, 20}},
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
on_change(void *context, MemberChange change, const MemberRecord *record,
          Instant now)
{
    (void)record;
    (void)now;
    ((Told *)context)->counts[change]++;
}

static void
fill_record(MemberRecord *record, const Step *step, uint64_t sequence)
{
    Mbr_RecordInit(record);
    record->node = step->node;
    record->incarnation = step->event == RESTART ? 7 : 6;
    record->sequence = sequence;
    record->has_backend = true;
    StrBuf_Set(&record->service, Str_LIT("visor"));
    record->load.slots = 9;
    record->load.running = step->event == LOAD ? 5 : 0;
    record->load.draining = step->event == DRAIN;
    record->is_leaving = step->event == LEAVE;
    record->version_index = step->event == VERSION ? 2 : 1;
}

static void
do_step(MembershipTable *mbr, const Step *step, uint64_t sequence)
{
    MemberRecord record;

    fill_record(&record, step, sequence);
    switch (step->event) {
    case HELD:
    case DROPPED:
        Mbr_OnExchangeRow(mbr, 0, &record, step->event == HELD, step->at);
        break;
    case VOUCH:
        Mbr_BeginExchange(mbr, 0, false);
        Mbr_EndExchange(mbr, 0, step->at);
        break;
    case ROW:
    case ROW_GONE:
        record.sequence = 1;
        Mbr_OnTableRow(mbr, &record, step->event == ROW_GONE, step->at);
        break;
    case WHOLE:
        record.sequence = 1;
        Mbr_BeginTable(mbr, true);
        Mbr_OnTableRow(mbr, &record, false, step->at);
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
    MembershipSettings settings = {
        .self = SELF,
        .is_replica = c->replica,
        .replica_count = (size_t)c->replicas,
        .expiry = EXPIRY,
        .listener = on_change,
        .context = &told,
    };
    MembershipTable mbr;
    const MemberRow *row;

    Mbr_Init(&mbr, &settings);
    for (int i = 0; i < STEPS_MAX && c->steps[i].event; i++) {
        do_step(&mbr, &c->steps[i], (uint64_t)i + 1);
    }
    row = Mbr_Find(&mbr, 2);
    ck_assert_msg((row && !row->is_removed) == c->here, "%s: here", c->name);
    ck_assert_msg(told.counts[Mbr_JOINED] == c->came, "%s: came %d", c->name,
                  told.counts[Mbr_JOINED]);
    ck_assert_msg(told.counts[Mbr_CHANGED] == c->changed, "%s: changed %d",
                  c->name, told.counts[Mbr_CHANGED]);
    ck_assert_msg(told.counts[Mbr_REMOVED] == c->gone, "%s: gone %d", c->name,
                  told.counts[Mbr_REMOVED]);
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
    MembershipSettings settings = {.self = SELF,
                                   .is_replica = true,
                                   .replica_count = 1,
                                   .expiry = EXPIRY};
    MembershipTable mbr;

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
    ck_assert(Mbr_NeedsFullTable(&mbr, 1) == c->needs_whole);
    Mbr_Finish(&mbr);
}
END_TEST

/* Renewals of node 2, whose record came in a start with incarnation 6. */
typedef struct {
    Event event;
    uint64_t incarnation;
    uint64_t said;
    uint64_t sequence;
    Instant at;
    RenewalResult answer; /* to a renewal */
} RenewStep;

typedef struct {
    const char *name;
    RenewStep steps[STEPS_MAX];
    bool here; /* after an expiry at 1500 */
} RenewCase;

static const RenewCase renewals[] = {
    {"without any the row expires", {{RECORD, 6, 0, 1, 10, 0}}, false},
    {"one keeps it",
     {{RECORD, 6, 0, 1, 10, 0}, {RENEW, 6, 1, 2, 900, Mbr_RENEWED}},
     true},
    {"repeated later it has no effect",
     {{RECORD, 6, 0, 1, 10, 0},
      {RENEW, 6, 1, 2, 400, Mbr_RENEWED},
      {RENEW, 6, 1, 2, 900, Mbr_STALE}},
     false},
    {"overtaken by another it has none",
     {{RECORD, 6, 0, 1, 10, 0},
      {RENEW, 6, 1, 3, 400, Mbr_RENEWED},
      {RENEW, 6, 1, 2, 900, Mbr_STALE}},
     false},
    {"of an earlier start it has none",
     {{RECORD, 6, 0, 1, 10, 0}, {RENEW, 5, 1, 9, 900, Mbr_STALE}},
     false},
    {"of a later start it needs the record",
     {{RECORD, 6, 0, 1, 10, 0}, {RENEW, 7, 1, 2, 900, Mbr_NEEDS_RECORD}},
     false},
    {"of a record that got lost it needs the record",
     {{RECORD, 6, 0, 1, 10, 0}, {RENEW, 6, 2, 3, 900, Mbr_NEEDS_RECORD}},
     false},
    {"at a replica that knows nothing it needs the record",
     {{RENEW, 6, 1, 2, 900, Mbr_NEEDS_RECORD}},
     false},
    {"of a row that another replica told of it needs the record",
     {{HELD, 6, 0, 1, 10, 0}, {RENEW, 6, 1, 2, 400, Mbr_NEEDS_RECORD}},
     false},
    {"of a row that expired it needs the record",
     {{RECORD, 6, 0, 1, 10, 0},
      {EXPIRE, 0, 0, 0, 1010, 0},
      {RENEW, 6, 1, 2, 1020, Mbr_NEEDS_RECORD}},
     false},
    {"overtaken by the leave it has no effect",
     {{RECORD, 6, 0, 1, 10, 0},
      {LEAVE, 6, 0, 5, 20, 0},
      {RENEW, 6, 1, 4, 900, Mbr_STALE}},
     false},
};

enum { RENEWAL_COUNT = sizeof renewals / sizeof renewals[0] };

static void
do_renew_step(MembershipTable *mbr, const RenewStep *step, const char *name)
{
    const MemberRenewal renewal = {2, step->incarnation, step->said,
                                   step->sequence};
    const Step as = {step->event, 2, step->at};
    MemberRecord record;

    if (step->event == EXPIRE) {
        Mbr_Expire(mbr, step->at);
        return;
    }
    if (step->event == RENEW) {
        RenewalResult answer = Mbr_OnRenewal(mbr, &renewal, step->at);
        ck_assert_msg(answer == step->answer, "%s: answer %d at %d", name,
                      (int)answer, (int)step->at);
        return;
    }
    fill_record(&record, &as, step->sequence);
    record.incarnation = step->incarnation;
    if (step->event == HELD) {
        Mbr_OnExchangeRow(mbr, 0, &record, true, step->at);
    }
    else {
        Mbr_OnRecord(mbr, &record, step->at);
    }
    Mbr_RecordFinish(&record);
}

START_TEST(renewals_keep_rows)
{
    const RenewCase *c = &renewals[_i];
    MembershipSettings settings = {.self = SELF,
                                   .is_replica = true,
                                   .replica_count = 1,
                                   .expiry = EXPIRY};
    MembershipTable mbr;
    const MemberRow *row;

    Mbr_Init(&mbr, &settings);
    for (int i = 0; i < STEPS_MAX && c->steps[i].event; i++) {
        do_renew_step(&mbr, &c->steps[i], c->name);
    }
    Mbr_Expire(&mbr, 1500);
    row = Mbr_Find(&mbr, 2);
    ck_assert_msg((row && !row->is_removed) == c->here, "%s: here", c->name);
    Mbr_Finish(&mbr);
}
END_TEST

/* Three replicas, nodes 101 to 103, that tell each other by messages; node 2
 * renews at some of them. */
enum { REPLICAS = 3 };

static const Addr replica_addrs[REPLICAS] = {101, 102, 103};

typedef enum {
    W_END,
    W_SAYS,    /* node 2's whole record comes to replica A */
    W_LEAVES,  /* the same, leaving */
    W_EXPIRES, /* at A */
    W_TELLS,   /* A answers B's question: an exchange from A to B */
    W_OLD,     /* the exchange that A sent first comes to B once more */
    W_EMPTY,   /* A restarts with no rows */
    W_LOSES,   /* A's row of node 2 is gone by a fault */
} WorldEvent;

typedef struct {
    WorldEvent event;
    Instant at;
    int a;
    int b;
} WorldStep;

typedef struct {
    const char *name;
    WorldStep steps[12];
    const char *here; /* of node 2, by replica: y or n */
} WorldCase;

typedef struct {
    MembershipTable replicas[REPLICAS];
    uint64_t starts[REPLICAS];
    MembermsgHead seen[REPLICAS][REPLICAS]; /* by who saw, of whom */
    uint64_t sequence;
    StrBuf first; /* exchange */
} World;

#define EACH(at)                                                              \
    {W_TELLS, at, 1, 0},                                                      \
    {                                                                         \
        W_TELLS, at, 1, 2                                                     \
    }

static const WorldCase worlds[] = {
    {"told of by one, known by all", {{W_SAYS, 10, 1, 0}, EACH(20)}, "yyy"},
    {"the source dies with its node",
     {{W_SAYS, 10, 1, 0},
      EACH(20),
      {W_TELLS, 900, 0, 2},
      {W_TELLS, 900, 2, 0},
      {W_EXPIRES, 1030, 0, 0},
      {W_EXPIRES, 1030, 2, 0},
      {W_TELLS, 1900, 0, 2},
      {W_TELLS, 1900, 2, 0},
      {W_EXPIRES, 2030, 0, 0},
      {W_EXPIRES, 2030, 2, 0}},
     "nyn"},
    {"the source dies, another hears the node in time",
     {{W_SAYS, 10, 1, 0},
      EACH(20),
      {W_SAYS, 800, 0, 0},
      {W_TELLS, 900, 0, 2},
      {W_TELLS, 900, 2, 0},
      {W_EXPIRES, 1030, 0, 0},
      {W_EXPIRES, 1030, 2, 0}},
     "yyy"},
    {"a restarted replica learns by the node's record",
     {{W_SAYS, 10, 1, 0},
      EACH(20),
      {W_EMPTY, 30, 1, 0},
      EACH(40),
      {W_SAYS, 500, 1, 0},
      EACH(600),
      {W_EXPIRES, 1030, 0, 0},
      {W_EXPIRES, 1030, 2, 0}},
     "yyy"},
    {"two that differ get equal again",
     {{W_SAYS, 10, 1, 0}, EACH(20), {W_LOSES, 30, 2, 0}, EACH(40), EACH(50)},
     "yyy"},
    {"a leave reaches all by changes",
     {{W_SAYS, 10, 1, 0}, EACH(20), {W_LEAVES, 30, 1, 0}, EACH(40)},
     "nnn"},
    {"an old exchange does not bring back who left",
     {{W_SAYS, 10, 1, 0},
      EACH(20),
      {W_LEAVES, 30, 1, 0},
      EACH(40),
      {W_OLD, 50, 1, 2}},
     "nnn"},
};

enum { WORLD_COUNT = sizeof worlds / sizeof worlds[0] };

static void
start_replica(World *world, int i)
{
    const MembershipSettings settings = {
        .self = replica_addrs[i],
        .is_replica = true,
        .replica_count = REPLICAS,
        .replica_addrs = replica_addrs,
        .expiry = EXPIRY,
    };

    Mbr_Init(&world->replicas[i], &settings);
    world->starts[i] += 10;
    for (int k = 0; k < REPLICAS; k++) {
        world->seen[i][k] = (MembermsgHead){0};
    }
}

static void
say(World *world, int to, Event event, Addr node, Instant at)
{
    const Step step = {event, node, at};

    do_step(&world->replicas[to], &step, ++world->sequence);
}

static void
take_exchange(World *world, int from, int to, Str bytes, Instant at)
{
    MembermsgSink sink = {&world->replicas[to], from};
    MembermsgHead *seen = &world->seen[to][from];
    Unpack in;
    WireKind kind;
    Err err = {0};

    ck_assert(Wire_Open(&in, bytes, &kind, &err));
    ck_assert(Membermsg_ReadTable(&in, &sink, seen, at, &err));
    if (!Membermsg_IsEqual(&sink, seen)) {
        seen->table = 0;
    }
    Unpack_Finish(&in);
}

/* TO asks with its own record, as replicas do. */
static void
exchange(World *world, int from, int to, Instant at)
{
    const MembermsgHead *seen = &world->seen[to][from];
    bool same = seen->table == world->starts[from];
    Pack pack;

    say(world, from, RECORD, replica_addrs[to], at);
    Membermsg_PackTable(&pack, Wire_EXCHANGE, &world->replicas[from],
                        world->starts[from], same ? seen->number : 0,
                        replica_addrs[to], true);
    if (!world->first.len) {
        StrBuf_Set(&world->first, Pack_View(&pack));
    }
    take_exchange(world, from, to, Pack_View(&pack), at);
    Pack_Finish(&pack);
}

static void
lose_row(MembershipTable *mbr)
{
    for (size_t i = 0; i < mbr->count; i++) {
        mbr->rows[i].is_removed |= mbr->rows[i].record.node == 2;
    }
}

static void
do_world_step(World *world, const WorldStep *step)
{
    switch (step->event) {
    case W_SAYS:
    case W_LEAVES:
        say(world, step->a, step->event == W_SAYS ? RECORD : LEAVE, 2,
            step->at);
        break;
    case W_EXPIRES:
        Mbr_Expire(&world->replicas[step->a], step->at);
        break;
    case W_TELLS:
        exchange(world, step->a, step->b, step->at);
        break;
    case W_OLD:
        take_exchange(world, step->a, step->b, StrBuf_View(&world->first),
                      step->at);
        break;
    case W_EMPTY:
        Mbr_Finish(&world->replicas[step->a]);
        start_replica(world, step->a);
        break;
    case W_LOSES:
        lose_row(&world->replicas[step->a]);
        break;
    case W_END:
        break;
    }
}

START_TEST(replicas_agree)
{
    const WorldCase *c = &worlds[_i];
    World world = {0};

    for (int i = 0; i < REPLICAS; i++) {
        start_replica(&world, i);
    }
    for (int i = 0; i < 12 && c->steps[i].event; i++) {
        do_world_step(&world, &c->steps[i]);
    }
    for (int i = 0; i < REPLICAS; i++) {
        const MemberRow *row = Mbr_Find(&world.replicas[i], 2);
        ck_assert_msg((row && !row->is_removed) == (c->here[i] == 'y'),
                      "%s: here at %d", c->name, i);
        Mbr_Finish(&world.replicas[i]);
    }
    StrBuf_Finish(&world.first);
}
END_TEST

/* Row 2 is held by replica 0 (node 101), which falls silent here at 20. */
typedef struct {
    const char *name;
    bool replica_here; /* others still hear that replica */
    bool dropped;      /* and it told that it no longer hears the node */
    bool here;
} SightCase;

static const SightCase sights[] = {
    {"a replica out of sight keeps its rows", true, false, true},
    {"but not those that it dropped", true, true, false},
    {"one that nobody hears keeps none", false, false, false},
};

enum { SIGHT_COUNT = sizeof sights / sizeof sights[0] };

START_TEST(keeps_rows_out_of_sight)
{
    const SightCase *c = &sights[_i];
    const Step holder = {RECORD, 101, 4900};
    const Step held = {HELD, 2, 20};
    const Step dropped = {DROPPED, 2, 30};
    World world = {0};
    MembershipTable *mbr = &world.replicas[2];
    const MemberRow *row;

    start_replica(&world, 2);
    do_step(mbr, &held, 1);
    if (c->dropped) {
        do_step(mbr, &dropped, 1);
    }
    if (c->replica_here) {
        do_step(mbr, &holder, 1);
    }
    Mbr_BeginExchange(mbr, 1, false);
    Mbr_EndExchange(mbr, 1, 4900);
    Mbr_Expire(mbr, 5000);
    row = Mbr_Find(mbr, 2);
    ck_assert_msg((row && !row->is_removed) == c->here, "%s", c->name);
    Mbr_Finish(mbr);
}
END_TEST

/* A follower knows nodes 2 and 3; a replica sends all it has: node 3. */
typedef struct {
    bool complete;
    bool here; /* node 2, afterwards */
} StartCase;

static const StartCase starts[] = {
    {true, false},
    {false, true}, /* started a moment ago: nothing can be told */
};

enum { START_COUNT = sizeof starts / sizeof starts[0] };

START_TEST(a_table_tells_who_is_gone_when_complete)
{
    const StartCase *c = &starts[_i];
    const MembershipSettings follower = {.self = SELF, .expiry = EXPIRY};
    const Step known = {ROW, 2, 10};
    World world = {0};
    MembershipTable mbr;
    MembermsgSink sink = {&mbr, -1};
    MembermsgHead head;
    Pack pack;
    Unpack in;
    WireKind kind;
    Err err = {0};

    Mbr_Init(&mbr, &follower);
    do_step(&mbr, &known, 1);
    start_replica(&world, 0);
    say(&world, 0, RECORD, 3, 10);
    Membermsg_PackTable(&pack, Wire_TABLE, &world.replicas[0], 5, 0, SELF,
                        c->complete);
    ck_assert(Wire_Open(&in, Pack_View(&pack), &kind, &err));
    ck_assert(Membermsg_ReadTable(&in, &sink, &head, 20, &err));
    ck_assert(!Mbr_Find(&mbr, 2)->is_removed == c->here);
    ck_assert(!Mbr_Find(&mbr, 3)->is_removed);
    ck_assert(Membermsg_IsEqual(&sink, &head));
    Unpack_Finish(&in);
    Pack_Finish(&pack);
    Mbr_Finish(&world.replicas[0]);
    Mbr_Finish(&mbr);
}
END_TEST

/* What a node and a replica are told that saw all up to node 2's first
 * record, when STEPS came after it. */
typedef struct {
    const char *name;
    Step steps[3];
    bool quiet;        /* a renewal of the node gets the short answer */
    int table;         /* rows to the node */
    int exchange;      /* and to the replica */
    uint64_t there;    /* node 2's version at the node, then */
    uint64_t replicas; /* and at the replica */
} ToldCase;

static const ToldCase tolds[] = {
    {"nothing", {{DONE, 0, 0}}, true, 0, 0, 1, 1},
    {"another load", {{LOAD, 2, 20}}, true, 0, 0, 1, 1},
    {"another version", {{VERSION, 2, 20}}, true, 0, 1, 1, 2},
    {"two versions", {{VERSION, 2, 20}, {RECORD, 2, 30}}, true, 0, 1, 1, 1},
    {"draining", {{DRAIN, 2, 20}}, false, 1, 1, 1, 1},
    {"a version, then a restart",
     {{VERSION, 2, 20}, {RESTART, 2, 30}},
     false,
     1,
     1,
     1,
     1},
    {"draining, then its end with another version",
     {{DRAIN, 2, 20}, {VERSION, 2, 30}},
     false,
     1,
     1,
     2,
     2},
    {"a version, then another node",
     {{VERSION, 2, 20}, {RECORD, 3, 30}},
     false,
     1,
     2,
     1,
     2},
};

enum { TOLD_COUNT = sizeof tolds / sizeof tolds[0], TOLD_MAX = 16 };

/* Rows of a message of KIND, which TO takes as one that saw SINCE. */
static int
hand_over(const MembershipTable *mbr, WireKind kind, uint64_t since,
          MembershipTable *to)
{
    MembermsgSink sink = {to, kind == Wire_EXCHANGE ? 0 : -1};
    MembermsgHead head;
    Pack pack;
    Unpack in;
    Unpack rows;
    uint32_t count;
    WireKind read;
    Err err = {0};

    Membermsg_PackTable(&pack, kind, mbr, 5, since, SELF, true);
    ck_assert(Wire_Open(&in, Pack_View(&pack), &read, &err));
    Unpack_U64(&in);
    Unpack_U64(&in);
    ck_assert(Unpack_Bool(&in) == (since == 0));
    Unpack_U64(&in);
    Unpack_U64(&in);
    count = Unpack_Array(&in, TOLD_MAX, &rows);
    Unpack_Finish(&in);
    ck_assert(Wire_Open(&in, Pack_View(&pack), &read, &err));
    ck_assert(Membermsg_ReadTable(&in, &sink, &head, 50, &err));
    ck_assert(Membermsg_IsEqual(&sink, &head));
    ck_assert(head.number == mbr->last_change);
    Unpack_Finish(&in);
    Pack_Finish(&pack);
    return (int)count;
}

START_TEST(a_version_is_told_to_replicas_only)
{
    const ToldCase *c = &tolds[_i];
    const MembershipSettings settings = {
        .self = 101, .is_replica = true, .replica_count = 1, .expiry = EXPIRY};
    const MembershipSettings other = {.self = SELF, .expiry = EXPIRY};
    const Step first = {RECORD, 2, 10};
    MembershipTable mbr;
    MembershipTable node;
    MembershipTable replica;
    uint64_t since;
    int rows;

    Mbr_Init(&mbr, &settings);
    Mbr_Init(&node, &other);
    Mbr_Init(&replica, &other);
    do_step(&mbr, &first, 1);
    since = mbr.last_change;
    hand_over(&mbr, Wire_TABLE, 0, &node);
    hand_over(&mbr, Wire_EXCHANGE, 0, &replica);
    for (int i = 0; i < 3 && c->steps[i].event; i++) {
        do_step(&mbr, &c->steps[i], (uint64_t)i + 2);
    }
    ck_assert_msg(Mbr_IsUnchanged(&mbr, since) == c->quiet, "%s: quiet",
                  c->name);
    ck_assert(!Mbr_IsUnchanged(&mbr, mbr.last_change + 1));
    rows = hand_over(&mbr, Wire_TABLE, since, &node);
    ck_assert_msg(rows == c->table, "%s: %d in a table", c->name, rows);
    rows = hand_over(&mbr, Wire_EXCHANGE, since, &replica);
    ck_assert_msg(rows == c->exchange, "%s: %d in an exchange", c->name, rows);
    ck_assert_msg(Mbr_Find(&node, 2)->record.version_index == c->there,
                  "%s: version at the node", c->name);
    ck_assert_msg(Mbr_Find(&replica, 2)->record.version_index == c->replicas,
                  "%s: version at the replica", c->name);
    Mbr_Finish(&mbr);
    Mbr_Finish(&node);
    Mbr_Finish(&replica);
}
END_TEST

/* The leader's rows, completed by the node's own table of nodes 2 and 3. */
typedef struct {
    const char *name;
    NvsRow told[2];
    uint32_t told_count;
    Addr nodes[4];    /* afterwards, in order */
    uint64_t version; /* of node 2, whose own row has 1 */
} CompleteCase;

static const CompleteCase completes[] = {
    {"all are told",
     {{3, 0, {0, 2}, true}, {2, 0, {0, 2}, true}},
     2,
     {3, 2},
     2},
    {"one is not told", {{3, 0, {0, 2}, true}}, 1, {3, 2}, 1},
    {"none is told", {{0}}, 0, {2, 3}, 1},
    {"one more is told",
     {{4, 0, {0, 2}, true}, {2, 0, {0, 2}, true}},
     2,
     {4, 2, 3},
     2},
};

enum { COMPLETE_COUNT = sizeof completes / sizeof completes[0] };

START_TEST(own_rows_complete_the_leaders)
{
    const CompleteCase *c = &completes[_i];
    const MembershipSettings settings = {.self = SELF, .expiry = EXPIRY};
    const Step steps[] = {{RECORD, 2, 10}, {RECORD, 3, 10}};
    Nvs nvs = {0};
    MembershipTable mbr;

    Mbr_Init(&mbr, &settings);
    do_step(&mbr, &steps[0], 1);
    do_step(&mbr, &steps[1], 1);
    Nvs_Resize(&nvs, c->told_count);
    for (uint32_t i = 0; i < c->told_count; i++) {
        nvs.rows[i] = c->told[i];
    }
    Nvs_Complete(&nvs, &mbr);
    for (uint32_t i = 0; i < nvs.count; i++) {
        ck_assert_msg(nvs.rows[i].node == c->nodes[i], "%s: row %u", c->name,
                      i);
        ck_assert_msg(nvs.rows[i].node != 2 ||
                          nvs.rows[i].version.index == c->version,
                      "%s: version", c->name);
    }
    ck_assert_msg(c->nodes[nvs.count] == Addr_NONE, "%s: count", c->name);
    Nvs_Finish(&nvs);
    Mbr_Finish(&mbr);
}
END_TEST

int
main(void)
{
    const SuiteTest tests[] = {
        {follows_the_events, CASE_COUNT},
        {keeps_to_bounds, BOUND_COUNT},
        {renewals_keep_rows, RENEWAL_COUNT},
        {replicas_agree, WORLD_COUNT},
        {keeps_rows_out_of_sight, SIGHT_COUNT},
        {a_table_tells_who_is_gone_when_complete, START_COUNT},
        {a_version_is_told_to_replicas_only, TOLD_COUNT},
        {own_rows_complete_the_leaders, COMPLETE_COUNT}};

    return Suite_Run("membership", tests, 8, 10);
}
