/* Services: which backend servers a node of a large fleet keeps for a service
 * while members come and go. */
#include "process/placement/services.h"
#include "support/suite.h"

#define ROWS(table) (int)(sizeof(table) / sizeof(table)[0])

enum { DOMAINS = 8, MEMBERS = 161, KEPT = 16 };

/* Node 1 of a fleet with MEMBERS further nodes, each with a backend server of
 * one service, over all failure domains and two regions. */
typedef struct {
    Rng rng;
    MembershipTable members;
    Services services;
    uint64_t sequence; /* of the last record */
} ServicesFixture;

static void
on_member_change(void *context, MemberChange change,
                 const MemberRecord *record, Instant now)
{
    Svc_OnMemberChange(context, change, record, now);
}

static void
init_fixture(ServicesFixture *fixture)
{
    MembershipSettings settings = {
        .self = 1,
        .is_replica = true,
        .replica_count = 1,
        .expiry = Span_S(10),
        .listener = on_member_change,
        .context = &fixture->services,
    };

    *fixture = (ServicesFixture){0};
    Rng_Init(&fixture->rng, 7);
    Svc_Init(&fixture->services, 1, 0, 0, &fixture->members, &fixture->rng);
    Mbr_Init(&fixture->members, &settings);
}

static void
finish_fixture(ServicesFixture *fixture)
{
    Svc_Finish(&fixture->services);
    Mbr_Finish(&fixture->members);
    Rng_Finish(&fixture->rng);
}

typedef enum { SERVES, DRAINS, LEAVES, SERVES_ANOTHER } MemberState;

static void
set_member(ServicesFixture *fixture, Addr node, MemberState state, Instant now)
{
    MemberRecord record;

    Mbr_RecordInit(&record);
    record.node = node;
    record.incarnation = 1;
    record.sequence = ++fixture->sequence;
    record.domain = (uint16_t)(node % DOMAINS);
    record.region = record.domain / (DOMAINS / 2);
    record.has_backend = true;
    record.is_leaving = state == LEAVES;
    record.load.slots = 8;
    record.load.draining = state == DRAINS;
    StrBuf_Set(&record.service,
               state == SERVES_ANOTHER ? Str_LIT("other") : Str_LIT("visor"));
    Mbr_OnRecord(&fixture->members, &record, now);
    Mbr_RecordFinish(&record);
}

static const PlacementTable *
get_placement(ServicesFixture *fixture)
{
    return &Svc_FindOrAdd(&fixture->services, Str_LIT("visor"))->placement;
}

/* Whether all rows are of members that take work. */
static bool
has_only_living_rows(ServicesFixture *fixture)
{
    const PlacementTable *placement = get_placement(fixture);

    for (size_t i = 0; i < placement->row_count; i++) {
        const MemberRow *row =
            Mbr_Find(&fixture->members, placement->rows[i].location.node);
        if (!row || row->is_removed || row->record.load.draining ||
            !Str_Equal(StrBuf_View(&row->record.service), Str_LIT("visor"))) {
            return false;
        }
    }
    return true;
}

typedef struct {
    const char *name;
    MemberState state; /* of the servers that were kept */
    int rounds;        /* how often all kept servers are lost */
    Span gap;          /* between two losses */
    size_t left;       /* rows at the end */
} LossCase;

static const LossCase losses[] = {
    {"all kept servers leave at once", LEAVES, 1, 0, KEPT},
    {"all kept servers drain", DRAINS, 1, 0, KEPT},
    {"all go to another service", SERVES_ANOTHER, 1, 0, KEPT},
    {"one after the other", LEAVES, 1, Span_MS(20), KEPT},
    {"nine times", LEAVES, 9, 0, KEPT},
    {"until one is left", LEAVES, 10, 0, 1},
    {"until one is left, drained", DRAINS, 10, Span_MS(5), 1},
};

/* Rows that go are replaced by members that were not kept before, within one
 * second; calls never find the table empty while a member takes work. */
START_TEST(replaces_lost_rows)
{
    const LossCase *c = &losses[_i];
    Instant now = Span_S(1);
    ServicesFixture fixture;

    init_fixture(&fixture);
    for (Addr node = 2; node < 2 + MEMBERS; node++) {
        set_member(&fixture, node, SERVES, now);
    }
    Svc_Tick(&fixture.services, now += Span_S(1));
    ck_assert_uint_eq(get_placement(&fixture)->row_count, KEPT);
    for (int round = 0; round < c->rounds; round++) {
        Addr kept[KEPT];
        for (int i = 0; i < KEPT; i++) {
            kept[i] = get_placement(&fixture)->rows[i].location.node;
        }
        for (int i = 0; i < KEPT; i++) {
            set_member(&fixture, kept[i], c->state, now);
            ck_assert_uint_gt(get_placement(&fixture)->row_count, 0);
            now += c->gap;
            Svc_Tick(&fixture.services, now);
        }
        Svc_Tick(&fixture.services, now += Span_S(1));
        ck_assert(has_only_living_rows(&fixture));
    }
    ck_assert_uint_eq(get_placement(&fixture)->row_count, c->left);
    finish_fixture(&fixture);
}
END_TEST

/* Members that come later are used: one that was not there at the start takes
 * the place of one that left before. */
START_TEST(takes_in_new_members)
{
    Instant now = Span_S(1);
    ServicesFixture fixture;

    init_fixture(&fixture);
    set_member(&fixture, 2, SERVES, now);
    /* The first one is used before the next tick. */
    ck_assert_uint_eq(get_placement(&fixture)->row_count, 1);
    for (Addr node = 3; node < 3 + 2 * KEPT; node++) {
        now += Span_MS(10);
        set_member(&fixture, node, SERVES, now);
        Svc_Tick(&fixture.services, now);
    }
    Svc_Tick(&fixture.services, now += Span_MS(50));
    ck_assert_uint_eq(get_placement(&fixture)->row_count, KEPT);
    set_member(&fixture, 2, LEAVES, now);
    set_member(&fixture, 2, SERVES, now += Span_S(1));
    Svc_Tick(&fixture.services, now + Span_MS(50));
    ck_assert_uint_eq(get_placement(&fixture)->row_count, KEPT);
    ck_assert(has_only_living_rows(&fixture));
    finish_fixture(&fixture);
}
END_TEST

typedef struct {
    const char *name;
    DomainMask evacuated;
    size_t rows; /* kept then, of MEMBERS servers in DOMAINS domains */
} EvacuatedCase;

static const EvacuatedCase evacuated[] = {
    {"this failure domain", 0x01, KEPT},
    {"another one", 0x02, KEPT},
    {"a region", 0x0f, KEPT},
    {"all but one", 0xfe, KEPT},
    {"all", 0xff, 0},
    {"none", 0, KEPT},
};

/* No row is of an evacuated failure domain, from the moment at which that is
 * known, also after members change; once it ends, all may be kept again. */
START_TEST(leaves_out_evacuated)
{
    const EvacuatedCase *c = &evacuated[_i];
    Instant now = Span_S(1);
    ServicesFixture fixture;
    const PlacementTable *placement;
    size_t before[DOMAINS] = {0};
    size_t after[DOMAINS] = {0};

    init_fixture(&fixture);
    for (Addr node = 2; node < 2 + MEMBERS; node++) {
        set_member(&fixture, node, SERVES, now);
    }
    Svc_Tick(&fixture.services, now += Span_S(1));
    placement = get_placement(&fixture);
    for (size_t i = 0; i < placement->row_count; i++) {
        before[placement->rows[i].location.domain]++;
    }
    Svc_SetEvacuated(&fixture.services, c->evacuated, now);
    for (int round = 0; round < 2; round++) {
        ck_assert_uint_eq(placement->row_count, c->rows);
        for (size_t i = 0; i < placement->row_count; i++) {
            ck_assert_msg(
                !Rgm_Has(c->evacuated, placement->rows[i].location.domain),
                "%s: round %d", c->name, round);
        }
        for (Addr node = 2; node < 2 + MEMBERS; node++) {
            set_member(&fixture, node, SERVES, now);
        }
        Svc_Tick(&fixture.services, now += Span_S(1));
    }
    Svc_SetEvacuated(&fixture.services, 0, now);
    for (size_t i = 0; i < placement->row_count; i++) {
        after[placement->rows[i].location.domain]++;
    }
    for (int i = 0; i < DOMAINS; i++) {
        ck_assert_uint_eq(after[i], before[i]);
    }
    finish_fixture(&fixture);
}
END_TEST

int
main(void)
{
    const SuiteTest tests[] = {
        {replaces_lost_rows, ROWS(losses)},
        {takes_in_new_members, 1},
        {leaves_out_evacuated, ROWS(evacuated)},
    };

    return Suite_Run("services", tests, ROWS(tests), 20);
}
