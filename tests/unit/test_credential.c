/* Whose key a request has, and whether this node may still say so.  Guards
 * against a key that is served after it was taken away, at a node that is cut
 * off, and against "unknown" for a key that was added meanwhile. */
#include "request/credential.h"
#include "support/suite.h"
#include "version/preset.h"

#define ROWS(table) (int)(sizeof(table) / sizeof(table)[0])
#define PRESET                                                                \
    "{\"name\":\"p\",\"limits\":{},\"routes\":[],\"routing\":{"               \
    "\"revision\":1,\"routes\":[],\"services\":[],\"accounts\":["             \
    "{\"name\":\"a\",\"keys\":[\"alpha-1\",\"alpha-2\"]},"                    \
    "{\"name\":\"b\",\"keys\":[\"beta\"]},{\"name\":\"none\",\"keys\":[]}]}}"

#define NOW Span_S(100)

typedef struct {
    const char *name;
    Str key;
    Span word_age; /* -1: no word yet */
    Span revoke;   /* bound; 0: none */
    CredentialVerdict verdict;
    Str account;
} CredentialCase;

static const CredentialCase cases[] = {
    {"first key", Str_LIT("alpha-1"), 0, Span_S(5), Cdt_KNOWN, Str_LIT("a")},
    {"second key", Str_LIT("alpha-2"), 0, Span_S(5), Cdt_KNOWN, Str_LIT("a")},
    {"of another", Str_LIT("beta"), 0, Span_S(5), Cdt_KNOWN, Str_LIT("b")},
    {"no key", {0}, 0, Span_S(5), Cdt_UNKNOWN, {0}},
    {"unknown", Str_LIT("gamma"), 0, Span_S(5), Cdt_UNKNOWN, {0}},
    {"a key's beginning", Str_LIT("alpha"), 0, Span_S(5), Cdt_UNKNOWN, {0}},
    {"a key and more", Str_LIT("beta1"), 0, Span_S(5), Cdt_UNKNOWN, {0}},
    {"in another case", Str_LIT("BETA"), 0, Span_S(5), Cdt_UNKNOWN, {0}},
    {"a name", Str_LIT("a"), 0, Span_S(5), Cdt_UNKNOWN, {0}},
    {"cut off for 0.8 of the bound", Str_LIT("beta"), Span_S(4), Span_S(5),
     Cdt_KNOWN, Str_LIT("b")},
    {"cut off for 0.9 of it",
     Str_LIT("beta"),
     Span_MS(4500),
     Span_S(5),
     Cdt_UNSURE,
     {0}},
    {"cut off for long",
     Str_LIT("beta"),
     Span_S(60),
     Span_S(5),
     Cdt_UNSURE,
     {0}},
    {"unknown and cut off",
     Str_LIT("gamma"),
     Span_S(2),
     Span_S(5),
     Cdt_UNSURE,
     {0}},
    {"cut off, not bounded", Str_LIT("beta"), Span_S(60), 0, Cdt_KNOWN,
     Str_LIT("b")},
    {"no word yet", Str_LIT("beta"), -1, Span_S(5), Cdt_UNSURE, {0}},
    {"no word yet, unknown", Str_LIT("gamma"), -1, Span_S(5), Cdt_UNSURE, {0}},
};

START_TEST(knows_whose_key_it_is)
{
    const CredentialCase *c = &cases[_i];
    const CredentialBounds bounds = {Span_S(2), c->revoke};
    VersionWord word = {.as_of = c->word_age < 0 ? 0 : NOW - c->word_age};
    const PresetAccount *account;
    AccountKeyTable keys;
    FindingList findings;
    Preset preset;

    Fnd_Init(&findings);
    ck_assert(Pst_Parse(&preset, Str_LIT(PRESET), &findings));
    Ack_Init(&keys, &preset, 7);
    ck_assert_msg(Cdt_FindAccount(&keys, c->key, &word, &bounds, &account,
                                  NOW) == c->verdict,
                  "%s", c->name);
    ck_assert_msg((account != NULL) == (c->verdict == Cdt_KNOWN), "%s",
                  c->name);
    if (account) {
        ck_assert_msg(Str_Equal(StrBuf_View(&account->name), c->account), "%s",
                      c->name);
    }
    Ack_Finish(&keys);
    Pst_Finish(&preset);
    Fnd_Finish(&findings);
}
END_TEST

int
main(int argc, char **argv)
{
    const SuiteTest tests[] = {{knows_whose_key_it_is, ROWS(cases)}};

    (void)argc;
    (void)argv;
    return Suite_Run("credential", tests, ROWS(tests), 10);
}
