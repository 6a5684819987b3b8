/* MembershipTable: sequences of events, and the rows and changes that the
 * table then holds and reports.  Some tests pass the events on in packed
 * messages.
 */
#include "connection/membermsg.h"
#include "process/control/nodeversions.h"
#include "process/membership/membership.h"
#include "support/suite.h"

enum { SELF = 1, EXPIRY = 1000, STEPS_MAX = 8 };

typedef enum {
    NO_EVENT = 0,
    RECORD,           /* full record from the node itself */
    OTHER_LOAD,       /* the same with another load */
    DRAINING,         /* the same, draining */
    LEAVING,          /* the same, stopping */
    RESTART,          /* from a later start of the node */
    EARLIER_START,    /* from an earlier start */
    HEARD_BY_REPLICA, /* replica 0 hears it directly */
    LOST_BY_REPLICA,  /* replica 0 no longer hears it */
    EMPTY_EXCHANGE,   /* replica 0 still hears the nodes it reported */
    TABLE_ROW,        /* row of a replica's table */
    TABLE_REMOVAL,
    FULL_TABLE, /* full table with this node alone */
    EXPIRE,
    RENEWAL,       /* no change since the node's record */
    OTHER_VERSION, /* a record with another configuration version */
} Event;

typedef struct {
    Event event;
    Addr node;
    Instant at;
} Step;

typedef struct {
    const char *name;
    bool is_replica;
    int replica_count;
    Step steps[STEPS_MAX];
    int joined;
    int changed;
    int removed;
    bool is_member; /* node 2, at the end */
} MemberCase;

static const MemberCase cases[] = {
    {"a record adds its node", true, 3, {{RECORD, 2, 10}}, 1, 0, 0, true},
    {"another load is not a change",
     true,
     3,
     {{RECORD, 2, 10}, {RECORD, 2, 500}, {OTHER_LOAD, 2, 900}},
     1,
     0,
     0,
     true},
    {"another version is not a change for nodes",
     true,
     3,
     {{RECORD, 2, 10}, {OTHER_VERSION, 2, 20}},
     1,
     0,
     0,
     true},
    {"draining is a change",
     true,
     3,
     {{RECORD, 2, 10}, {DRAINING, 2, 20}},
     1,
     1,
     0,
     true},
    {"a node that leaves is removed once",
     true,
     3,
     {{RECORD, 2, 10}, {LEAVING, 2, 20}, {LEAVING, 2, 30}},
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
    {"records of an earlier start have no effect",
     true,
     3,
     {{RESTART, 2, 10}, {EARLIER_START, 2, 20}, {LEAVING, 2, 30}},
     1,
     0,
     0,
     true},
    {"a record expires at the only replica",
     true,
     1,
     {{RECORD, 2, 10}, {EXPIRE, 0, 1009}, {EXPIRE, 0, 1010}},
     1,
     0,
     1,
     false},
    {"a record renewed in time does not expire",
     true,
     1,
     {{RECORD, 2, 10}, {RECORD, 2, 900}, {EXPIRE, 0, 1800}},
     1,
     0,
     0,
     true},
    {"a record after the expiry adds the node again",
     true,
     1,
     {{RECORD, 2, 10}, {EXPIRE, 0, 1010}, {RECORD, 2, 1020}},
     2,
     0,
     1,
     true},
    {"a replica that hears no node expires nothing",
     true,
     3,
     {{RECORD, 2, 10}, {EXPIRE, 0, 5000}},
     1,
     0,
     0,
     true},
    {"a replica that hears another replica expires rows",
     true,
     3,
     {{RECORD, 2, 10}, {EMPTY_EXCHANGE, 0, 4900}, {EXPIRE, 0, 5000}},
     1,
     0,
     1,
     false},
    {"a replica that hears nodes of its region expires rows",
     true,
     3,
     {{RECORD, 2, 10}, {RECORD, 3, 4900}, {EXPIRE, 0, 5000}},
     2,
     0,
     1,
     false},
    {"a row that another replica hears stays",
     true,
     3,
     {{HEARD_BY_REPLICA, 2, 10}, {EMPTY_EXCHANGE, 0, 900}, {EXPIRE, 0, 1800}},
     1,
     0,
     0,
     true},
    {"a row that no replica hears any more expires",
     true,
     3,
     {{HEARD_BY_REPLICA, 2, 10},
      {LOST_BY_REPLICA, 2, 20},
      {EMPTY_EXCHANGE, 0, 1000},
      {EXPIRE, 0, 1050}},
     1,
     0,
     1,
     false},
    {"a node that is no replica expires nothing",
     false,
     3,
     {{TABLE_ROW, 2, 10}, {EXPIRE, 0, 99000}},
     1,
     0,
     0,
     true},
    {"a node follows the replica's table",
     false,
     3,
     {{TABLE_ROW, 2, 10}, {TABLE_REMOVAL, 2, 20}},
     1,
     0,
     1,
     false},
    {"a full table removes the rows that it lacks",
     false,
     3,
     {{TABLE_ROW, 2, 10}, {TABLE_ROW, 3, 20}, {FULL_TABLE, 3, 30}},
     2,
     0,
     1,
     false},
    {"a full table does not remove this node",
     false,
     3,
     {{RECORD, SELF, 10}, {TABLE_ROW, 2, 20}, {FULL_TABLE, 2, 30}},
     2,
     0,
     0,
     true},
    {"a row is removed and added again with the same record",
     false,
     3,
     {{TABLE_ROW, 2, 10}, {TABLE_REMOVAL, 2, 20}, {TABLE_ROW, 2, 30}},
     2,
     0,
     1,
     true},
};

enum { CASE_COUNT = sizeof cases / sizeof cases[0] };

typedef struct {
    int counts[3];
} ChangeCounts;

static void
on_change(void *context, MemberChange change, const MemberRecord *record,
          Instant now)
{
    (void)record;
    (void)now;
    ((ChangeCounts *)context)->counts[change]++;
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
    record->load.running = step->event == OTHER_LOAD ? 5 : 0;
    record->load.draining = step->event == DRAINING;
    record->is_leaving = step->event == LEAVING;
    record->version_index = step->event == OTHER_VERSION ? 2 : 1;
}

static void
do_step(MembershipTable *table, const Step *step, uint64_t sequence)
{
    MemberRecord record;

    fill_record(&record, step, sequence);
    switch (step->event) {
    case HEARD_BY_REPLICA:
    case LOST_BY_REPLICA:
        Mbr_OnExchangeRow(table, 0, &record, step->event == HEARD_BY_REPLICA,
                          step->at);
        break;
    case EMPTY_EXCHANGE:
        Mbr_BeginExchange(table, 0, false);
        Mbr_EndExchange(table, 0, step->at);
        break;
    case TABLE_ROW:
    case TABLE_REMOVAL:
        record.sequence = 1;
        Mbr_OnTableRow(table, &record, step->event == TABLE_REMOVAL, step->at);
        break;
    case FULL_TABLE:
        record.sequence = 1;
        Mbr_BeginTable(table, true);
        Mbr_OnTableRow(table, &record, false, step->at);
        Mbr_EndTable(table, true, step->at);
        break;
    case EXPIRE:
        Mbr_Expire(table, step->at);
        break;
    default:
        Mbr_OnRecord(table, &record, step->at);
    }
    Mbr_RecordFinish(&record);
}

START_TEST(applies_events)
{
    const MemberCase *c = &cases[_i];
    ChangeCounts changes = {{0}};
    MembershipSettings settings = {
        .self = SELF,
        .is_replica = c->is_replica,
        .replica_count = (size_t)c->replica_count,
        .expiry = EXPIRY,
        .listener = on_change,
        .context = &changes,
    };
    MembershipTable table;
    const MemberRow *row;

    Mbr_Init(&table, &settings);
    for (int i = 0; i < STEPS_MAX && c->steps[i].event; i++) {
        do_step(&table, &c->steps[i], (uint64_t)i + 1);
    }
    row = Mbr_Find(&table, 2);
    ck_assert_msg((row && !row->is_removed) == c->is_member, "%s: is member",
                  c->name);
    ck_assert_msg(changes.counts[Mbr_JOINED] == c->joined, "%s: joined %d",
                  c->name, changes.counts[Mbr_JOINED]);
    ck_assert_msg(changes.counts[Mbr_CHANGED] == c->changed, "%s: changed %d",
                  c->name, changes.counts[Mbr_CHANGED]);
    ck_assert_msg(changes.counts[Mbr_REMOVED] == c->removed, "%s: removed %d",
                  c->name, changes.counts[Mbr_REMOVED]);
    Mbr_Finish(&table);
}
END_TEST

/* The number of rows is bounded, and old tombstones are purged. */
typedef struct {
    int nodes;
    int rows_left;
    Instant expire_at;     /* 0: no expiry */
    bool needs_full_table; /* of a node that saw the first change */
} BoundCase;

static const BoundCase bounds[] = {
    {100, 100, 0, false},
    {Mbr_ROWS_MAX + 100, Mbr_ROWS_MAX, 0, false},
    {100, 100, EXPIRY + 1, false},
    {100, 0, 100 * EXPIRY, true},
};

enum { BOUND_COUNT = sizeof bounds / sizeof bounds[0] };

START_TEST(bounds_row_count)
{
    const BoundCase *c = &bounds[_i];
    MembershipSettings settings = {.self = SELF,
                                   .is_replica = true,
                                   .replica_count = 1,
                                   .expiry = EXPIRY};
    MembershipTable table;

    Mbr_Init(&table, &settings);
    for (int i = 0; i < c->nodes; i++) {
        Step step = {RECORD, (Addr)i + 2, 1};
        do_step(&table, &step, 1);
    }
    if (c->expire_at) {
        Mbr_Expire(&table, EXPIRY + 1);
        Mbr_Expire(&table, c->expire_at);
    }
    ck_assert_int_eq((int)table.count, c->rows_left);
    ck_assert(Mbr_NeedsFullTable(&table, 1) == c->needs_full_table);
    Mbr_Finish(&table);
}
END_TEST

/* Renewals of node 2, whose record is of incarnation 6. */
typedef struct {
    Event event;
    uint64_t incarnation;
    uint64_t record_sequence;
    uint64_t sequence;
    Instant at;
    RenewalResult answer; /* to a renewal */
} RenewStep;

typedef struct {
    const char *name;
    RenewStep steps[STEPS_MAX];
    bool is_member; /* node 2, after an expiry at 1500 */
} RenewCase;

static const RenewCase renewals[] = {
    {"without a renewal the row expires", {{RECORD, 6, 0, 1, 10, 0}}, false},
    {"a renewal keeps the row",
     {{RECORD, 6, 0, 1, 10, 0}, {RENEWAL, 6, 1, 2, 900, Mbr_RENEWED}},
     true},
    {"a repeated renewal has no effect",
     {{RECORD, 6, 0, 1, 10, 0},
      {RENEWAL, 6, 1, 2, 400, Mbr_RENEWED},
      {RENEWAL, 6, 1, 2, 900, Mbr_STALE}},
     false},
    {"a renewal overtaken by another has no effect",
     {{RECORD, 6, 0, 1, 10, 0},
      {RENEWAL, 6, 1, 3, 400, Mbr_RENEWED},
      {RENEWAL, 6, 1, 2, 900, Mbr_STALE}},
     false},
    {"a renewal of an earlier start has no effect",
     {{RECORD, 6, 0, 1, 10, 0}, {RENEWAL, 5, 1, 9, 900, Mbr_STALE}},
     false},
    {"a renewal of a later start needs the record",
     {{RECORD, 6, 0, 1, 10, 0}, {RENEWAL, 7, 1, 2, 900, Mbr_NEEDS_RECORD}},
     false},
    {"a renewal of a lost record needs the record",
     {{RECORD, 6, 0, 1, 10, 0}, {RENEWAL, 6, 2, 3, 900, Mbr_NEEDS_RECORD}},
     false},
    {"a renewal at a replica without the row needs the record",
     {{RENEWAL, 6, 1, 2, 900, Mbr_NEEDS_RECORD}},
     false},
    {"a renewal of a row only reported by a replica needs the record",
     {{HEARD_BY_REPLICA, 6, 0, 1, 10, 0},
      {RENEWAL, 6, 1, 2, 400, Mbr_NEEDS_RECORD}},
     false},
    {"a renewal of an expired row needs the record",
     {{RECORD, 6, 0, 1, 10, 0},
      {EXPIRE, 0, 0, 0, 1010, 0},
      {RENEWAL, 6, 1, 2, 1020, Mbr_NEEDS_RECORD}},
     false},
    {"a renewal overtaken by the leave has no effect",
     {{RECORD, 6, 0, 1, 10, 0},
      {LEAVING, 6, 0, 5, 20, 0},
      {RENEWAL, 6, 1, 4, 900, Mbr_STALE}},
     false},
};

enum { RENEWAL_COUNT = sizeof renewals / sizeof renewals[0] };

static void
do_renew_step(MembershipTable *table, const RenewStep *step, const char *name)
{
    const MemberRenewal renewal = {2, step->incarnation, step->record_sequence,
                                   step->sequence};
    const Step as = {step->event, 2, step->at};
    MemberRecord record;

    if (step->event == EXPIRE) {
        Mbr_Expire(table, step->at);
        return;
    }
    if (step->event == RENEWAL) {
        RenewalResult answer = Mbr_OnRenewal(table, &renewal, step->at);
        ck_assert_msg(answer == step->answer, "%s: answer %d at %d", name,
                      (int)answer, (int)step->at);
        return;
    }
    fill_record(&record, &as, step->sequence);
    record.incarnation = step->incarnation;
    if (step->event == HEARD_BY_REPLICA) {
        Mbr_OnExchangeRow(table, 0, &record, true, step->at);
    }
    else {
        Mbr_OnRecord(table, &record, step->at);
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
    MembershipTable table;
    const MemberRow *row;

    Mbr_Init(&table, &settings);
    for (int i = 0; i < STEPS_MAX && c->steps[i].event; i++) {
        do_renew_step(&table, &c->steps[i], c->name);
    }
    Mbr_Expire(&table, 1500);
    row = Mbr_Find(&table, 2);
    ck_assert_msg((row && !row->is_removed) == c->is_member, "%s: is member",
                  c->name);
    Mbr_Finish(&table);
}
END_TEST

/* Three replicas, nodes 101 to 103, exchange messages; node 2 sends its record
 * to some of them. */
enum { REPLICAS = 3 };

static const Addr replica_addrs[REPLICAS] = {101, 102, 103};

typedef enum {
    C_NO_EVENT,
    C_RECORD,   /* replica A receives node 2's full record */
    C_LEAVING,  /* the same, leaving */
    C_EXPIRE,   /* at A */
    C_EXCHANGE, /* A answers B's record with an exchange */
    C_REPLAY,   /* B receives the first exchange of all once more */
    C_RESTART,  /* A restarts with no rows */
    C_LOSE_ROW, /* A loses its row of node 2 by a fault */
} ClusterEvent;

typedef struct {
    ClusterEvent event;
    Instant at;
    int a;
    int b;
} ClusterStep;

typedef struct {
    const char *name;
    ClusterStep steps[12];
    const char *is_member; /* node 2, by replica: y or n */
} ClusterCase;

typedef struct {
    MembershipTable replicas[REPLICAS];
    uint64_t incarnations[REPLICAS];
    MemberTableHeader seen[REPLICAS][REPLICAS]; /* by receiver and sender */
    uint64_t sequence;
    StrBuf first; /* exchange sent first */
} ReplicaCluster;

#define EXCHANGE_FROM_1(at)                                                   \
    {C_EXCHANGE, at, 1, 0},                                                   \
    {                                                                         \
        C_EXCHANGE, at, 1, 2                                                  \
    }

static const ClusterCase clusters[] = {
    {"a node that one replica hears is known to all",
     {{C_RECORD, 10, 1, 0}, EXCHANGE_FROM_1(20)},
     "yyy"},
    {"the source and the node fail together",
     {{C_RECORD, 10, 1, 0},
      EXCHANGE_FROM_1(20),
      {C_EXCHANGE, 900, 0, 2},
      {C_EXCHANGE, 900, 2, 0},
      {C_EXPIRE, 1030, 0, 0},
      {C_EXPIRE, 1030, 2, 0},
      {C_EXCHANGE, 1900, 0, 2},
      {C_EXCHANGE, 1900, 2, 0},
      {C_EXPIRE, 2030, 0, 0},
      {C_EXPIRE, 2030, 2, 0}},
     "nyn"},
    {"the source fails, another replica hears the node in time",
     {{C_RECORD, 10, 1, 0},
      EXCHANGE_FROM_1(20),
      {C_RECORD, 800, 0, 0},
      {C_EXCHANGE, 900, 0, 2},
      {C_EXCHANGE, 900, 2, 0},
      {C_EXPIRE, 1030, 0, 0},
      {C_EXPIRE, 1030, 2, 0}},
     "yyy"},
    {"a restarted replica learns of the node by its record",
     {{C_RECORD, 10, 1, 0},
      EXCHANGE_FROM_1(20),
      {C_RESTART, 30, 1, 0},
      EXCHANGE_FROM_1(40),
      {C_RECORD, 500, 1, 0},
      EXCHANGE_FROM_1(600),
      {C_EXPIRE, 1030, 0, 0},
      {C_EXPIRE, 1030, 2, 0}},
     "yyy"},
    {"replicas that differ converge",
     {{C_RECORD, 10, 1, 0},
      EXCHANGE_FROM_1(20),
      {C_LOSE_ROW, 30, 2, 0},
      EXCHANGE_FROM_1(40),
      EXCHANGE_FROM_1(50)},
     "yyy"},
    {"a leave reaches all replicas as a delta",
     {{C_RECORD, 10, 1, 0},
      EXCHANGE_FROM_1(20),
      {C_LEAVING, 30, 1, 0},
      EXCHANGE_FROM_1(40)},
     "nnn"},
    {"a repeated exchange does not add a node that left",
     {{C_RECORD, 10, 1, 0},
      EXCHANGE_FROM_1(20),
      {C_LEAVING, 30, 1, 0},
      EXCHANGE_FROM_1(40),
      {C_REPLAY, 50, 1, 2}},
     "nnn"},
};

enum { CLUSTER_COUNT = sizeof clusters / sizeof clusters[0] };

static void
start_replica(ReplicaCluster *cluster, int i)
{
    const MembershipSettings settings = {
        .self = replica_addrs[i],
        .is_replica = true,
        .replica_count = REPLICAS,
        .replica_addrs = replica_addrs,
        .expiry = EXPIRY,
    };

    Mbr_Init(&cluster->replicas[i], &settings);
    cluster->incarnations[i] += 10;
    for (int k = 0; k < REPLICAS; k++) {
        cluster->seen[i][k] = (MemberTableHeader){0};
    }
}

static void
deliver_record(ReplicaCluster *cluster, int to, Event event, Addr node,
               Instant at)
{
    const Step step = {event, node, at};

    do_step(&cluster->replicas[to], &step, ++cluster->sequence);
}

static void
receive_exchange(ReplicaCluster *cluster, int from, int to, Str bytes,
                 Instant at)
{
    MemberTableTarget target = {&cluster->replicas[to], from};
    MemberTableHeader *seen = &cluster->seen[to][from];
    Unpack in;
    MessageKind kind;
    Err err = {0};

    ck_assert(Wire_Open(&in, bytes, &kind, &err));
    ck_assert(Membermsg_ReadTable(&in, &target, seen, at, &err));
    if (!Membermsg_MatchesDigest(&target, seen)) {
        seen->table_id = 0;
    }
    Unpack_Finish(&in);
}

/* TO sends its own record, and FROM answers with an exchange, as replicas
 * do. */
static void
exchange(ReplicaCluster *cluster, int from, int to, Instant at)
{
    const MemberTableHeader *seen = &cluster->seen[to][from];
    bool same = seen->table_id == cluster->incarnations[from];
    Pack pack;

    deliver_record(cluster, from, RECORD, replica_addrs[to], at);
    Membermsg_PackTable(&pack, Wire_MEMBER_EXCHANGE, &cluster->replicas[from],
                        cluster->incarnations[from],
                        same ? seen->change_number : 0, replica_addrs[to],
                        true);
    if (!cluster->first.len) {
        StrBuf_Set(&cluster->first, Pack_View(&pack));
    }
    receive_exchange(cluster, from, to, Pack_View(&pack), at);
    Pack_Finish(&pack);
}

static void
lose_row(MembershipTable *table)
{
    for (size_t i = 0; i < table->count; i++) {
        table->rows[i].is_removed |= table->rows[i].record.node == 2;
    }
}

static void
do_cluster_step(ReplicaCluster *cluster, const ClusterStep *step)
{
    switch (step->event) {
    case C_RECORD:
    case C_LEAVING:
        deliver_record(cluster, step->a,
                       step->event == C_RECORD ? RECORD : LEAVING, 2,
                       step->at);
        break;
    case C_EXPIRE:
        Mbr_Expire(&cluster->replicas[step->a], step->at);
        break;
    case C_EXCHANGE:
        exchange(cluster, step->a, step->b, step->at);
        break;
    case C_REPLAY:
        receive_exchange(cluster, step->a, step->b,
                         StrBuf_View(&cluster->first), step->at);
        break;
    case C_RESTART:
        Mbr_Finish(&cluster->replicas[step->a]);
        start_replica(cluster, step->a);
        break;
    case C_LOSE_ROW:
        lose_row(&cluster->replicas[step->a]);
        break;
    case C_NO_EVENT:
        break;
    }
}

START_TEST(replicas_converge)
{
    const ClusterCase *c = &clusters[_i];
    ReplicaCluster cluster = {0};

    for (int i = 0; i < REPLICAS; i++) {
        start_replica(&cluster, i);
    }
    for (int i = 0; i < 12 && c->steps[i].event; i++) {
        do_cluster_step(&cluster, &c->steps[i]);
    }
    for (int i = 0; i < REPLICAS; i++) {
        const MemberRow *row = Mbr_Find(&cluster.replicas[i], 2);
        ck_assert_msg((row && !row->is_removed) == (c->is_member[i] == 'y'),
                      "%s: is member at %d", c->name, i);
        Mbr_Finish(&cluster.replicas[i]);
    }
    StrBuf_Finish(&cluster.first);
}
END_TEST

/* Replica 0 (node 101) hears node 2; replica 2 hears nothing from replica 0
 * after time 20, or 30 if replica 0 reports that it lost the node. */
typedef struct {
    const char *name;
    bool replica_is_member; /* replica 0 is still a member */
    bool is_lost;           /* replica 0 reported that it no longer hears
                               the node */
    bool is_member;
} PartitionCase;

static const PartitionCase partitions[] = {
    {"the rows that an unreachable replica hears stay", true, false, true},
    {"a row that the unreachable replica lost is removed", true, true, false},
    {"the rows of a replica that is no member are removed", false, false,
     false},
};

enum { PARTITION_COUNT = sizeof partitions / sizeof partitions[0] };

START_TEST(keeps_rows_of_unreachable_replica)
{
    const PartitionCase *c = &partitions[_i];
    const Step replica_record = {RECORD, 101, 4900};
    const Step heard = {HEARD_BY_REPLICA, 2, 20};
    const Step lost = {LOST_BY_REPLICA, 2, 30};
    ReplicaCluster cluster = {0};
    MembershipTable *table = &cluster.replicas[2];
    const MemberRow *row;

    start_replica(&cluster, 2);
    do_step(table, &heard, 1);
    if (c->is_lost) {
        do_step(table, &lost, 1);
    }
    if (c->replica_is_member) {
        do_step(table, &replica_record, 1);
    }
    Mbr_BeginExchange(table, 1, false);
    Mbr_EndExchange(table, 1, 4900);
    Mbr_Expire(table, 5000);
    row = Mbr_Find(table, 2);
    ck_assert_msg((row && !row->is_removed) == c->is_member, "%s", c->name);
    Mbr_Finish(table);
}
END_TEST

/* A node that is no replica knows node 2.  A replica sends its full table,
 * which holds only node 3. */
typedef struct {
    bool complete;  /* the replica reports that its table is complete */
    bool is_member; /* node 2, afterwards */
} CompletenessCase;

static const CompletenessCase completeness_cases[] = {
    {true, false}, {false, true}, /* the replica has just started */
};

enum {
    COMPLETENESS_COUNT =
        sizeof completeness_cases / sizeof completeness_cases[0]
};

START_TEST(only_complete_table_removes_rows)
{
    const CompletenessCase *c = &completeness_cases[_i];
    const MembershipSettings follower = {.self = SELF, .expiry = EXPIRY};
    const Step known = {TABLE_ROW, 2, 10};
    ReplicaCluster cluster = {0};
    MembershipTable table;
    MemberTableTarget target = {&table, -1};
    MemberTableHeader head;
    Pack pack;
    Unpack in;
    MessageKind kind;
    Err err = {0};

    Mbr_Init(&table, &follower);
    do_step(&table, &known, 1);
    start_replica(&cluster, 0);
    deliver_record(&cluster, 0, RECORD, 3, 10);
    Membermsg_PackTable(&pack, Wire_MEMBER_TABLE, &cluster.replicas[0], 5, 0,
                        SELF, c->complete);
    ck_assert(Wire_Open(&in, Pack_View(&pack), &kind, &err));
    ck_assert(Membermsg_ReadTable(&in, &target, &head, 20, &err));
    ck_assert(!Mbr_Find(&table, 2)->is_removed == c->is_member);
    ck_assert(!Mbr_Find(&table, 3)->is_removed);
    ck_assert(Membermsg_MatchesDigest(&target, &head));
    Unpack_Finish(&in);
    Pack_Finish(&pack);
    Mbr_Finish(&cluster.replicas[0]);
    Mbr_Finish(&table);
}
END_TEST

/* Rows sent to a node and to a replica that have seen all changes up to node
 * 2's first record, when STEPS follow that record. */
typedef struct {
    const char *name;
    Step steps[3];
    bool is_unchanged;        /* a renewal gets an answer without rows */
    int table;                /* rows sent to the node */
    int exchange;             /* rows sent to the replica */
    uint64_t node_version;    /* of node 2 in the node's table, afterwards */
    uint64_t replica_version; /* and in the replica's table */
} DeltaCase;

static const DeltaCase deltas[] = {
    {"nothing", {{NO_EVENT, 0, 0}}, true, 0, 0, 1, 1},
    {"another load", {{OTHER_LOAD, 2, 20}}, true, 0, 0, 1, 1},
    {"another version", {{OTHER_VERSION, 2, 20}}, true, 0, 1, 1, 2},
    {"two versions",
     {{OTHER_VERSION, 2, 20}, {RECORD, 2, 30}},
     true,
     0,
     1,
     1,
     1},
    {"draining", {{DRAINING, 2, 20}}, false, 1, 1, 1, 1},
    {"a version, then a restart",
     {{OTHER_VERSION, 2, 20}, {RESTART, 2, 30}},
     false,
     1,
     1,
     1,
     1},
    {"draining, then not draining with another version",
     {{DRAINING, 2, 20}, {OTHER_VERSION, 2, 30}},
     false,
     1,
     1,
     2,
     2},
    {"a version, then another node",
     {{OTHER_VERSION, 2, 20}, {RECORD, 3, 30}},
     false,
     1,
     2,
     1,
     2},
};

enum { DELTA_COUNT = sizeof deltas / sizeof deltas[0], DELTA_ROWS_MAX = 16 };

/* Sends a message of KIND with the changes after SINCE to TO; returns the
 * number of rows in the message. */
static int
transfer_rows(const MembershipTable *table, MessageKind kind, uint64_t since,
              MembershipTable *to)
{
    MemberTableTarget target = {to, kind == Wire_MEMBER_EXCHANGE ? 0 : -1};
    MemberTableHeader head;
    Pack pack;
    Unpack in;
    Unpack rows;
    uint32_t count;
    MessageKind read;
    Err err = {0};

    Membermsg_PackTable(&pack, kind, table, 5, since, SELF, true);
    ck_assert(Wire_Open(&in, Pack_View(&pack), &read, &err));
    Unpack_U64(&in);
    Unpack_U64(&in);
    ck_assert(Unpack_Bool(&in) == (since == 0));
    Unpack_U64(&in);
    Unpack_U64(&in);
    count = Unpack_Array(&in, DELTA_ROWS_MAX, &rows);
    Unpack_Finish(&in);
    ck_assert(Wire_Open(&in, Pack_View(&pack), &read, &err));
    ck_assert(Membermsg_ReadTable(&in, &target, &head, 50, &err));
    ck_assert(Membermsg_MatchesDigest(&target, &head));
    ck_assert(head.change_number == table->last_change);
    Unpack_Finish(&in);
    Pack_Finish(&pack);
    return (int)count;
}

START_TEST(version_is_sent_to_replicas_only)
{
    const DeltaCase *c = &deltas[_i];
    const MembershipSettings settings = {
        .self = 101, .is_replica = true, .replica_count = 1, .expiry = EXPIRY};
    const MembershipSettings other = {.self = SELF, .expiry = EXPIRY};
    const Step first = {RECORD, 2, 10};
    MembershipTable table;
    MembershipTable node;
    MembershipTable replica;
    uint64_t since;
    int rows;

    Mbr_Init(&table, &settings);
    Mbr_Init(&node, &other);
    Mbr_Init(&replica, &other);
    do_step(&table, &first, 1);
    since = table.last_change;
    transfer_rows(&table, Wire_MEMBER_TABLE, 0, &node);
    transfer_rows(&table, Wire_MEMBER_EXCHANGE, 0, &replica);
    for (int i = 0; i < 3 && c->steps[i].event; i++) {
        do_step(&table, &c->steps[i], (uint64_t)i + 2);
    }
    ck_assert_msg(Mbr_IsUnchanged(&table, since) == c->is_unchanged,
                  "%s: is unchanged", c->name);
    ck_assert(!Mbr_IsUnchanged(&table, table.last_change + 1));
    rows = transfer_rows(&table, Wire_MEMBER_TABLE, since, &node);
    ck_assert_msg(rows == c->table, "%s: %d in a table", c->name, rows);
    rows = transfer_rows(&table, Wire_MEMBER_EXCHANGE, since, &replica);
    ck_assert_msg(rows == c->exchange, "%s: %d in an exchange", c->name, rows);
    ck_assert_msg(Mbr_Find(&node, 2)->record.version_index == c->node_version,
                  "%s: version at the node", c->name);
    ck_assert_msg(Mbr_Find(&replica, 2)->record.version_index ==
                      c->replica_version,
                  "%s: version at the replica", c->name);
    Mbr_Finish(&table);
    Mbr_Finish(&node);
    Mbr_Finish(&replica);
}
END_TEST

/* The leader's rows, completed by the node's own table of nodes 2 and 3. */
typedef struct {
    const char *name;
    NodeVersion leader_rows[2];
    uint32_t leader_row_count;
    Addr nodes[4];    /* afterwards, in order */
    uint64_t version; /* of node 2, whose own row has 1 */
} CompleteCase;

static const CompleteCase completes[] = {
    {"the leader has all nodes",
     {{3, 0, {0, 2}, true}, {2, 0, {0, 2}, true}},
     2,
     {3, 2},
     2},
    {"the leader lacks one node", {{3, 0, {0, 2}, true}}, 1, {3, 2}, 1},
    {"the leader has no nodes", {{0}}, 0, {2, 3}, 1},
    {"the leader has one more node",
     {{4, 0, {0, 2}, true}, {2, 0, {0, 2}, true}},
     2,
     {4, 2, 3},
     2},
};

enum { COMPLETE_COUNT = sizeof completes / sizeof completes[0] };

START_TEST(own_rows_complete_leader_rows)
{
    const CompleteCase *c = &completes[_i];
    const MembershipSettings settings = {.self = SELF, .expiry = EXPIRY};
    const Step steps[] = {{RECORD, 2, 10}, {RECORD, 3, 10}};
    NodeVersionTable nvs = {0};
    MembershipTable table;

    Mbr_Init(&table, &settings);
    do_step(&table, &steps[0], 1);
    do_step(&table, &steps[1], 1);
    Nvs_Resize(&nvs, c->leader_row_count);
    for (uint32_t i = 0; i < c->leader_row_count; i++) {
        nvs.rows[i] = c->leader_rows[i];
    }
    Nvs_AddMissing(&nvs, &table);
    for (uint32_t i = 0; i < nvs.count; i++) {
        ck_assert_msg(nvs.rows[i].node == c->nodes[i], "%s: row %u", c->name,
                      i);
        ck_assert_msg(nvs.rows[i].node != 2 ||
                          nvs.rows[i].version.index == c->version,
                      "%s: version", c->name);
    }
    ck_assert_msg(c->nodes[nvs.count] == Addr_NONE, "%s: count", c->name);
    Nvs_Finish(&nvs);
    Mbr_Finish(&table);
}
END_TEST

int
main(void)
{
    const SuiteTest tests[] = {
        {applies_events, CASE_COUNT},
        {bounds_row_count, BOUND_COUNT},
        {renewals_keep_rows, RENEWAL_COUNT},
        {replicas_converge, CLUSTER_COUNT},
        {keeps_rows_of_unreachable_replica, PARTITION_COUNT},
        {only_complete_table_removes_rows, COMPLETENESS_COUNT},
        {version_is_sent_to_replicas_only, DELTA_COUNT},
        {own_rows_complete_leader_rows, COMPLETE_COUNT}};

    return Suite_Run("membership", tests, 8, 10);
}
