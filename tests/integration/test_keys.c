/* CURVE keys between nodes: which nodes may connect, and how keys are replaced
 * while the fleet serves calls.
 */
#include <signal.h>
#include <zmq.h>

#include "fleet.h"
#include "support/suite.h"

static Str build;

enum {
    KEY_PAIRS = 3,
    KEY_TEXT_SIZE = 41,
    VMS = 2,
    FLEET_VMS = 3,
    NO_KEY = -1
};

typedef struct {
    char public_key[KEY_TEXT_SIZE]; /* Z85 with its NUL */
    char secret_key[KEY_TEXT_SIZE];
} KeyPair;

static KeyPair key_pairs[KEY_PAIRS];

/* The CURVE settings of one node: its own key pair, and the pairs whose nodes
 * may connect to it. */
typedef struct {
    int own_pair; /* index in key_pairs; NO_KEY: no CURVE settings */
    bool allowed[KEY_PAIRS];
    const char *curve_change; /* setting curve_change; NULL: none */
} NodeKeys;

static void
set_keys(Fleet *fleet, const NodeKeys *keys)
{
    StrBuf text = {0};
    bool first = true;

    if (keys->own_pair == NO_KEY) {
        Fleet_SetExtraSettings(fleet, Str_LIT("\"log_level\":\"info\""));
        return;
    }
    StrBuf_AppendFmt(&text,
                     "\"curve_public\":\"%s\",\"curve_secret\":\"%s\","
                     "\"curve_allowed\":[",
                     key_pairs[keys->own_pair].public_key,
                     key_pairs[keys->own_pair].secret_key);
    for (int i = 0; i < KEY_PAIRS; i++) {
        if (keys->allowed[i]) {
            StrBuf_AppendFmt(&text, "%s\"%s\"", first ? "" : ",",
                             key_pairs[i].public_key);
            first = false;
        }
    }
    StrBuf_Append(&text, Str_LIT("]"));
    if (keys->curve_change) {
        StrBuf_AppendFmt(&text, ",\"curve_change\":\"%s\"",
                         keys->curve_change);
    }
    Fleet_SetExtraSettings(fleet, StrBuf_View(&text));
    StrBuf_Finish(&text);
}

static void
start_node(Fleet *fleet, int vm, const NodeKeys *keys)
{
    set_keys(fleet, keys);
    Fleet_StartNode(fleet, vm);
}

static void
start_backends(Fleet *fleet)
{
    Fleet_StartBackend(fleet, 0, Str_LIT("visor"), (Str){0});
    Fleet_StartBackend(fleet, 1, Str_LIT("lotes"), (Str){0});
}

static void
init_fleet(Fleet *fleet, int count, int control)
{
    Fleet_Init(fleet, build, 61, count, control);
    Fleet_SetPreset(fleet,
                    Str_LIT("{\"name\":\"ordinary\",\"limits\":{},\"routes\":["
                            "{\"service\":\"visor\",\"route\":\"read\","
                            "\"path\":\"/visor/\",\"idempotent\":true},"
                            "{\"service\":\"lotes\",\"route\":\"read\","
                            "\"path\":\"/lotes/\",\"idempotent\":true}]}"));
    for (int i = 0; i < KEY_PAIRS; i++) {
        ck_assert_int_eq(zmq_curve_keypair(key_pairs[i].public_key,
                                           key_pairs[i].secret_key),
                         0);
    }
}

/* Whether within WAIT each node reaches the backend server beside the other
 * one. */
static bool
both_reach_other_backend(Fleet *fleet, Span wait)
{
    return Fleet_WaitForPath(fleet, 1, Str_LIT("/visor/barn"), wait) &&
           Fleet_WaitForPath(fleet, 0, Str_LIT("/lotes/4"), wait);
}

typedef struct {
    NodeKeys nodes[VMS];
    bool is_served;      /* calls reach the other node's backend server */
    bool counts_refusal; /* node 0 counts a rejected key */
} KeyCase;

#define UNKEYED                                                               \
    {                                                                         \
        0, {true}, "unkeyed"                                                  \
    }
#define KEYED                                                                 \
    {                                                                         \
        0, {true}, "keyed"                                                    \
    }
#define STRICT                                                                \
    {                                                                         \
        0, {true}, NULL                                                       \
    }
#define NO_KEYS                                                               \
    {                                                                         \
        NO_KEY, {false}, NULL                                                 \
    }

static const KeyCase cases[] = {
    {{{0, {true}, NULL}, {0, {true}, NULL}}, true, false},
    /* Node 1 has another pair, which node 0 does not accept. */
    {{{0, {true}, NULL}, {1, {true, true}, NULL}}, false, true},
    /* The same, and node 1 does not accept the pair of node 0 either. */
    {{{0, {true}, NULL}, {1, {false, true}, NULL}}, false, false},
    /* Only node 0, then only node 1, has a key. */
    {{{0, {true}, NULL}, {NO_KEY, {false}, NULL}}, false, false},
    {{{NO_KEY, {false}, NULL}, {0, {true}, NULL}}, false, false},
    /* Different pairs, both accepted: the middle of a key rotation. */
    {{{0, {true, true}, NULL}, {1, {true, true}, NULL}}, true, false},
    /* Nodes one step apart in the change from no keys to keys can connect. */
    {{UNKEYED, NO_KEYS}, true, false},
    {{UNKEYED, KEYED}, true, false},
    {{KEYED, UNKEYED}, true, false},
    {{KEYED, STRICT}, true, false},
    /* A node that listens with a key accepts no node without one. */
    {{KEYED, NO_KEYS}, false, false},
    {{STRICT, NO_KEYS}, false, false},
    /* A node that requires keys connects to no node without one. */
    {{UNKEYED, STRICT}, false, false},
};

START_TEST(accepts_only_allowed_keys)
{
    const KeyCase *c = &cases[_i];
    Fleet fleet;

    init_fleet(&fleet, VMS, 1);
    for (int vm = 0; vm < VMS; vm++) {
        start_node(&fleet, vm, &c->nodes[vm]);
    }
    Fleet_Sleep(Span_MS(300));
    start_backends(&fleet);
    if (c->is_served) {
        ck_assert(both_reach_other_backend(&fleet, Span_S(8)));
    }
    else {
        ck_assert(
            !Fleet_WaitForPath(&fleet, 1, Str_LIT("/visor/barn"), Span_S(2)));
        ck_assert(
            !Fleet_WaitForPath(&fleet, 0, Str_LIT("/lotes/4"), Span_MS(50)));
    }
    ck_assert_int_eq(
        Fleet_ReadCounter(&fleet, 0,
                          Str_LIT("lycheeridge_node_keys_refused_total")) > 0,
        c->counts_refusal);
    Fleet_Finish(&fleet);
}
END_TEST

typedef struct {
    int vm;
    NodeKeys keys;
} RotationStep;

/* All nodes accept the new key, then all use it, then all reject the old
 * one. */
static const RotationStep rotation_steps[] = {
    {0, {0, {true, true}, NULL}},  {1, {0, {true, true}, NULL}},
    {0, {1, {true, true}, NULL}},  {1, {1, {true, true}, NULL}},
    {0, {1, {false, true}, NULL}}, {1, {1, {false, true}, NULL}},
};

START_TEST(replaces_keys_node_by_node)
{
    static const NodeKeys before = {0, {true}, NULL};
    Fleet fleet;

    init_fleet(&fleet, VMS, 1);
    for (int vm = 0; vm < VMS; vm++) {
        start_node(&fleet, vm, &before);
    }
    Fleet_Sleep(Span_MS(300));
    start_backends(&fleet);
    ck_assert(both_reach_other_backend(&fleet, Span_S(8)));
    for (size_t i = 0; i < sizeof rotation_steps / sizeof rotation_steps[0];
         i++) {
        int vm = rotation_steps[i].vm;
        Fleet_Kill(&fleet.vms[vm].node, SIGTERM);
        start_node(&fleet, vm, &rotation_steps[i].keys);
        Fleet_Sleep(Span_MS(300));
        ck_assert_msg(both_reach_other_backend(&fleet, Span_S(8)),
                      "after step %zu", i);
    }
    Fleet_Finish(&fleet);
}
END_TEST

/* The change from no keys to keys: each step on all nodes, one after the
 * other. */
static const NodeKeys enabling_steps[] = {UNKEYED, KEYED, STRICT};

enum { ENABLING_STEPS = sizeof enabling_steps / sizeof enabling_steps[0] };

static void
restart_node(Fleet *fleet, int vm, const NodeKeys *keys)
{
    ck_assert_int_eq(Fleet_Kill(&fleet->vms[vm].node, SIGTERM), 0);
    start_node(fleet, vm, keys);
    ck_assert_msg(
        Fleet_WaitForPath(fleet, vm, Str_LIT("/visor/ready"), Span_S(10)),
        "node %d does not serve calls after its restart", vm);
}

static void
check_totals(const FleetTotals *totals)
{
    ck_assert_msg(totals->ran > 100 && totals->ran == totals->calls &&
                      totals->duplicated == 0 && totals->contradicted == 0,
                  "%d calls, %d ran, %d not run, %d unknown, %d incomplete, "
                  "%d duplicated, %d contradicted",
                  totals->calls, totals->ran, totals->not_run, totals->unknown,
                  totals->incomplete, totals->duplicated,
                  totals->contradicted);
}

START_TEST(goes_from_none_to_keys_under_calls)
{
    static const NodeKeys no_keys = NO_KEYS;
    Fleet fleet;
    FleetLoad load = {.method = Str_LIT("GET"),
                      .path = Str_LIT("/visor/barn"),
                      .node_count = FLEET_VMS,
                      .process_count = 4,
                      .pause = Span_MS(5)};
    FleetTotals totals;

    init_fleet(&fleet, FLEET_VMS, 3);
    for (int vm = 0; vm < FLEET_VMS; vm++) {
        start_node(&fleet, vm, &no_keys);
        Fleet_StartBackend(&fleet, vm, Str_LIT("visor"), (Str){0});
    }
    for (int vm = 0; vm < FLEET_VMS; vm++) {
        ck_assert(Fleet_WaitForPath(&fleet, vm, Str_LIT("/visor/ready"),
                                    Span_S(10)));
    }
    Fleet_Sleep(Span_S(1));
    Fleet_StartLoad(&fleet, &load);
    Fleet_Sleep(Span_MS(300));
    for (int step = 0; step < ENABLING_STEPS; step++) {
        for (int vm = 0; vm < FLEET_VMS; vm++) {
            restart_node(&fleet, vm, &enabling_steps[step]);
            /* The other nodes connect to it again. */
            Fleet_Sleep(Span_MS(1500));
        }
    }
    totals = Fleet_StopLoad(&fleet, &load);
    check_totals(&totals);
    /* A node without a key can no longer connect: no version reaches it. */
    Fleet_Kill(&fleet.vms[FLEET_VMS - 1].node, SIGTERM);
    start_node(&fleet, FLEET_VMS - 1, &no_keys);
    ck_assert(!Fleet_WaitForPath(&fleet, FLEET_VMS - 1, Str_LIT("/visor/barn"),
                                 Span_S(3)));
    Fleet_Finish(&fleet);
}
END_TEST

int
main(int argc, char **argv)
{
    const SuiteTest tests[] = {
        {accepts_only_allowed_keys, sizeof cases / sizeof cases[0]},
        {replaces_keys_node_by_node, 1},
        {goes_from_none_to_keys_under_calls, 1},
    };

    build = Suite_GetBuildFolder(argc, argv);
    return Suite_Run("keys", tests, 3, 120);
}
