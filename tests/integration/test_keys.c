/* CURVE keys between nodes: who is let in, and how keys are replaced while
 * the fleet goes on. */
#include <signal.h>
#include <zmq.h>

#include "fleet.h"
#include "support/suite.h"

static Str build;

enum { KEYS = 3, KEY_TEXT = 41, VMS = 2, NO_KEY = -1 };

typedef struct {
    char public_key[KEY_TEXT];
    char secret_key[KEY_TEXT];
} Pair;

static Pair pairs[KEYS];

/* The settings of one node: its pair, and the pairs it lets in. */
typedef struct {
    int own;
    bool allowed[KEYS];
} NodeKeys;

static void
set_keys(Fleet *fleet, const NodeKeys *keys)
{
    StrBuf text = {0};
    bool first = true;

    if (keys->own == NO_KEY) {
        Fleet_SetExtra(fleet, Str_LIT("\"log_level\":\"info\""));
        return;
    }
    StrBuf_AppendFmt(&text,
                     "\"curve_public\":\"%s\",\"curve_secret\":\"%s\","
                     "\"curve_allowed\":[",
                     pairs[keys->own].public_key, pairs[keys->own].secret_key);
    for (int i = 0; i < KEYS; i++) {
        if (keys->allowed[i]) {
            StrBuf_AppendFmt(&text, "%s\"%s\"", first ? "" : ",",
                             pairs[i].public_key);
            first = false;
        }
    }
    StrBuf_Append(&text, Str_LIT("]"));
    Fleet_SetExtra(fleet, StrBuf_View(&text));
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
init_fleet(Fleet *fleet)
{
    Fleet_Init(fleet, build, 61, VMS, 1);
    Fleet_SetPreset(fleet,
                    Str_LIT("{\"name\":\"ordinary\",\"limits\":{},\"routes\":["
                            "{\"service\":\"visor\",\"route\":\"read\","
                            "\"path\":\"/visor/\",\"idempotent\":true},"
                            "{\"service\":\"lotes\",\"route\":\"read\","
                            "\"path\":\"/lotes/\",\"idempotent\":true}]}"));
    for (int i = 0; i < KEYS; i++) {
        ck_assert_int_eq(
            zmq_curve_keypair(pairs[i].public_key, pairs[i].secret_key), 0);
    }
}

/* Each node reaches the backend server beside the other one. */
static bool
both_serve(Fleet *fleet, Span wait)
{
    return Fleet_WaitFor(fleet, 1, Str_LIT("/visor/barn"), wait) &&
           Fleet_WaitFor(fleet, 0, Str_LIT("/lotes/4"), wait);
}

typedef struct {
    NodeKeys nodes[VMS];
    bool served;
    bool refused; /* node 0 counts a refusal by key */
} KeyCase;

static const KeyCase cases[] = {
    {{{0, {true}}, {0, {true}}}, true, false},
    /* Another pair, which node 0 does not let in. */
    {{{0, {true}}, {1, {true, true}}}, false, true},
    /* The same, and it does not let node 0 in either. */
    {{{0, {true}}, {1, {false, true}}}, false, false},
    /* No key at all, against one; one against none. */
    {{{0, {true}}, {NO_KEY, {false}}}, false, false},
    {{{NO_KEY, {false}}, {0, {true}}}, false, false},
    /* Different pairs, each let in: the middle of a change. */
    {{{0, {true, true}}, {1, {true, true}}}, true, false},
};

START_TEST(lets_in_only_allowed_keys)
{
    const KeyCase *c = &cases[_i];
    Fleet fleet;

    init_fleet(&fleet);
    for (int vm = 0; vm < VMS; vm++) {
        start_node(&fleet, vm, &c->nodes[vm]);
    }
    Fleet_Sleep(Span_MS(300));
    start_backends(&fleet);
    if (c->served) {
        ck_assert(both_serve(&fleet, Span_S(8)));
    }
    else {
        ck_assert(
            !Fleet_WaitFor(&fleet, 1, Str_LIT("/visor/barn"), Span_S(2)));
        ck_assert(!Fleet_WaitFor(&fleet, 0, Str_LIT("/lotes/4"), Span_MS(50)));
    }
    ck_assert_int_eq(
        Fleet_Counter(&fleet, 0,
                      Str_LIT("lycheeridge_node_keys_refused_total")) > 0,
        c->refused);
    Fleet_Finish(&fleet);
}
END_TEST

typedef struct {
    int vm;
    NodeKeys keys;
} Step;

/* Let the new key in everywhere, use it everywhere, let the old one out. */
static const Step steps[] = {
    {0, {0, {true, true}}}, {1, {0, {true, true}}},  {0, {1, {true, true}}},
    {1, {1, {true, true}}}, {0, {1, {false, true}}}, {1, {1, {false, true}}},
};

START_TEST(replaces_keys_node_by_node)
{
    static const NodeKeys before = {0, {true}};
    Fleet fleet;

    init_fleet(&fleet);
    for (int vm = 0; vm < VMS; vm++) {
        start_node(&fleet, vm, &before);
    }
    Fleet_Sleep(Span_MS(300));
    start_backends(&fleet);
    ck_assert(both_serve(&fleet, Span_S(8)));
    for (size_t i = 0; i < sizeof steps / sizeof steps[0]; i++) {
        int vm = steps[i].vm;
        Fleet_Kill(&fleet.vms[vm].node, SIGTERM);
        start_node(&fleet, vm, &steps[i].keys);
        Fleet_Sleep(Span_MS(300));
        ck_assert_msg(both_serve(&fleet, Span_S(8)), "after step %zu", i);
    }
    Fleet_Finish(&fleet);
}
END_TEST

int
main(int argc, char **argv)
{
    const SuiteTest tests[] = {
        {lets_in_only_allowed_keys, sizeof cases / sizeof cases[0]},
        {replaces_keys_node_by_node, 1},
    };

    build = Suite_Build(argc, argv);
    return Suite_Run("keys", tests, 2, 60);
}
