/* Decoders and parsers get randomly mutated valid input.  None may crash, read
 * outside of its input or reject it without an error or a finding.  The seed
 * is printed; the environment variable MUTATION_SEED sets another one. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "process/settings/settings.h"
#include "support/samples.h"
#include "support/suite.h"
#include "value/mem.h"
#include "value/rng.h"
#include "version/config.h"
#include "version/disklog.h"
#include "version/frame.h"

enum {
    SEED = 20261204,
    MESSAGE_ROUNDS = 20000, /* mutated inputs per message or state */
    TEXT_ROUNDS = 1500,     /* mutated inputs per text */
    MUTATION_COUNT_MAX = 4, /* mutations of one input */
    BYTES_MAX = 65536       /* longer input is not duplicated */
};

static uint64_t seed;

static void
flip_bit(StrBuf *bytes, Rng *rng)
{
    if (bytes->len) {
        uint32_t at = Rng_Below(rng, (uint32_t)bytes->len);
        bytes->ptr[at] = (char)(bytes->ptr[at] ^ (1 << Rng_Below(rng, 8)));
    }
}

static void
replace_byte(StrBuf *bytes, Rng *rng)
{
    if (bytes->len) {
        bytes->ptr[Rng_Below(rng, (uint32_t)bytes->len)] =
            (char)Rng_Below(rng, 256);
    }
}

static void
truncate_end(StrBuf *bytes, Rng *rng)
{
    bytes->len = Rng_Below(rng, (uint32_t)bytes->len + 1);
}

static void
append_bytes(StrBuf *bytes, Rng *rng)
{
    for (uint32_t i = Rng_Below(rng, 16); i > 0; i--) {
        char byte = (char)Rng_Below(rng, 256);
        StrBuf_Append(bytes, Str_From(&byte, 1));
    }
}

static void
duplicate_tail(StrBuf *bytes, Rng *rng)
{
    uint32_t from = Rng_Below(rng, (uint32_t)bytes->len + 1);
    StrBuf copy = {0};

    if (bytes->len * 2 <= BYTES_MAX) {
        StrBuf_Append(&copy, Str_Slice(StrBuf_View(bytes), from, bytes->len));
        StrBuf_Append(bytes, StrBuf_View(&copy));
        StrBuf_Finish(&copy);
    }
}

typedef void (*Mutation)(StrBuf *bytes, Rng *rng);

static const Mutation mutations[] = {flip_bit, replace_byte, truncate_end,
                                     append_bytes, duplicate_tail};

enum { MUTATION_KINDS = sizeof mutations / sizeof mutations[0] };

static void
mutate(StrBuf *bytes, Rng *rng)
{
    for (uint32_t i = 1 + Rng_Below(rng, MUTATION_COUNT_MAX); i > 0; i--) {
        mutations[Rng_Below(rng, MUTATION_KINDS)](bytes, rng);
    }
}

/* Returns a copy in a heap block of exactly its size, so that the address
 * sanitizer detects a read past its end.  The caller frees it. */
static Str
copy_exactly(const StrBuf *bytes)
{
    char *copy = malloc(bytes->len ? bytes->len : 1);

    if (bytes->len) {
        memcpy(copy, bytes->ptr, bytes->len);
    }
    return Str_From(copy, bytes->len);
}

START_TEST(decoders_survive_mutations)
{
    const Sample *sample = Sample_Get(_i);
    Pack pack;
    Rng rng;
    uint32_t rejected = 0;

    Rng_Init(&rng, seed + (uint64_t)_i);
    sample->pack(&pack);
    for (int round = 0; round < MESSAGE_ROUNDS; round++) {
        StrBuf bytes = {0};
        Err err = {0};
        Str input;
        StrBuf_Set(&bytes, Pack_View(&pack));
        mutate(&bytes, &rng);
        input = copy_exactly(&bytes);
        if (!Sample_Read(sample, input, &err)) {
            rejected++;
            ck_assert_msg(err.code != Err_NONE,
                          "%s: rejected without an error", sample->name);
        }
        free((void *)input.ptr);
        StrBuf_Finish(&bytes);
    }
    ck_assert(rejected > 0 && rejected < MESSAGE_ROUNDS);
    Pack_Finish(&pack);
    Rng_Finish(&rng);
}
END_TEST

/* PARSE returns true when it added no finding. */
typedef struct {
    const char *file;
    bool (*parse)(Str text, FindingList *findings);
} TextCase;

static bool
parse_settings(Str text, FindingList *findings)
{
    Settings settings;
    bool is_valid;

    Set_Init(&settings);
    is_valid = Set_Parse(&settings, text, findings);
    Set_Finish(&settings);
    return is_valid;
}

static bool
parse_preset(Str text, FindingList *findings)
{
    Preset preset;
    bool is_valid = Pst_Parse(&preset, text, findings);

    if (is_valid) {
        Pst_Finish(&preset);
    }
    return is_valid;
}

static const TextCase texts[] = {
    {"examples/salinera/control.json", parse_settings},
    {"examples/benromdhane/node.json", parse_settings},
    {"examples/salinera/ordinary.json", parse_preset},
    {"examples/benromdhane/peak.json", parse_preset},
    {"tests/data/routed.json", parse_preset},
};

START_TEST(parsers_survive_mutations)
{
    const TextCase *c = &texts[_i];
    StrBuf valid = {0};
    Rng rng;
    uint32_t rejected = 0;

    ck_assert(Set_ReadFile(Str_FromC(c->file), &valid, NULL));
    Rng_Init(&rng, seed + (uint64_t)_i);
    for (int round = 0; round < TEXT_ROUNDS; round++) {
        StrBuf bytes = {0};
        FindingList findings;
        Str input;
        bool is_valid;
        StrBuf_Set(&bytes, StrBuf_View(&valid));
        mutate(&bytes, &rng);
        input = copy_exactly(&bytes);
        Fnd_Init(&findings);
        is_valid = c->parse(input, &findings);
        ck_assert_int_eq(is_valid, findings.count == 0);
        rejected += !is_valid;
        Fnd_Finish(&findings);
        free((void *)input.ptr);
        StrBuf_Finish(&bytes);
    }
    ck_assert(rejected > 0 && rejected < TEXT_ROUNDS);
    StrBuf_Finish(&valid);
    Rng_Finish(&rng);
}
END_TEST

typedef struct {
    const char *name;
    void (*make)(StrBuf *out);
    bool (*read)(Str bytes, Err *err);
} StoredCase;

static void
make_log(StrBuf *out)
{
    const RaftEntry entries[] = {
        {2, 1, Rlog_ENTRY_NOOP, {0}},
        {2, 2, Rlog_ENTRY_CHANGE, Str_LIT("change")},
    };

    Dlg_AppendEntries(out, entries, 2);
    Dlg_AppendTruncation(out, 2);
    Dlg_AppendEntries(out, &entries[1], 1);
}

static bool
read_log(Str bytes, Err *err)
{
    LogEntryList list;
    bool is_valid;

    Dlg_Init(&list);
    is_valid = Dlg_ReadFrames(&list, bytes, err);
    for (size_t i = 0; is_valid && i < list.count; i++) {
        Sample_Touch(list.entries[i].data);
    }
    Dlg_Finish(&list);
    return is_valid;
}

/* Sets OUT to the payload of the first frame.  The payload is mutated without
 * the frame's checksum, which would reject nearly every mutation. */
static void
make_log_payload(StrBuf *out)
{
    StrBuf framed = {0};
    Str rest;
    Str payload;

    make_log(&framed);
    rest = StrBuf_View(&framed);
    ck_assert_int_eq(Frm_ReadNext(&rest, &payload), Frm_COMPLETE);
    StrBuf_Set(out, payload);
    StrBuf_Finish(&framed);
}

static bool
read_log_payload(Str bytes, Err *err)
{
    StrBuf framed = {0};
    bool is_valid;

    Frm_Append(&framed, bytes);
    is_valid = read_log(StrBuf_View(&framed), err);
    StrBuf_Finish(&framed);
    return is_valid;
}

static void
make_config(StrBuf *out)
{
    const ConfigChange change = {
        .verb = Cfg_PUT_PRESET,
        .id = Str_LIT("id-1"),
        .preset_name = Str_LIT("p"),
        .json = Str_LIT("{\"name\":\"p\",\"limits\":{},\"routes\":[]}"),
    };
    ConfigResult result;
    ConfigState cfg;

    Cfg_Init(&cfg);
    Cfg_ApplyChange(&cfg, &change, (ConfigVersion){2, 3}, &result);
    Cfg_Serialize(&cfg, out);
    Cfg_Finish(&cfg);
}

static bool
read_config(Str bytes, Err *err)
{
    ConfigState cfg;
    bool is_valid;

    Cfg_Init(&cfg);
    is_valid = Cfg_Deserialize(&cfg, bytes, err);
    Cfg_Finish(&cfg);
    return is_valid;
}

static const StoredCase stored[] = {
    {"log file", make_log, read_log},
    {"log frame", make_log_payload, read_log_payload},
    {"configuration", make_config, read_config},
};

START_TEST(stored_state_survives_mutations)
{
    const StoredCase *c = &stored[_i];
    StrBuf valid = {0};
    Rng rng;
    uint32_t rejected = 0;

    c->make(&valid);
    ck_assert(c->read(StrBuf_View(&valid), NULL));
    Rng_Init(&rng, seed + (uint64_t)_i);
    for (int round = 0; round < MESSAGE_ROUNDS; round++) {
        StrBuf bytes = {0};
        Err err = {0};
        Str input;
        StrBuf_Set(&bytes, StrBuf_View(&valid));
        mutate(&bytes, &rng);
        input = copy_exactly(&bytes);
        if (!c->read(input, &err)) {
            rejected++;
            ck_assert_msg(err.code != Err_NONE,
                          "%s: rejected without an error", c->name);
        }
        free((void *)input.ptr);
        StrBuf_Finish(&bytes);
    }
    ck_assert(rejected > 0);
    StrBuf_Finish(&valid);
    Rng_Finish(&rng);
}
END_TEST

int
main(void)
{
    const SuiteTest tests[] = {
        {decoders_survive_mutations, Sample_Count()},
        {stored_state_survives_mutations, sizeof stored / sizeof stored[0]},
        {parsers_survive_mutations, sizeof texts / sizeof texts[0]},
    };

    seed = SEED;
    Str_ToU64(Str_FromC(getenv("MUTATION_SEED")), &seed);
    printf("seed %llu\n", (unsigned long long)seed);
    return Suite_Run("mutations", tests, 3, 60);
}
