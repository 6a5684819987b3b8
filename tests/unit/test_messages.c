/* Messages between nodes that are malformed, cut, oversized, of another
 * version, or joined to another: each decoder refuses them with an error.
 * Row _i is a sample. */
#include "connection/membermsg.h"
#include "support/samples.h"
#include "support/suite.h"

typedef void (*Spoil)(Str valid, StrBuf *out);

typedef struct {
    const char *name;
    Spoil spoil;
    ErrCode code;
} SpoilCase;

static void
cut_last(Str valid, StrBuf *out)
{
    StrBuf_Set(out, Str_Slice(valid, 0, valid.len - 1));
}

static void
cut_half(Str valid, StrBuf *out)
{
    StrBuf_Set(out, Str_Slice(valid, 0, valid.len / 2));
}

static void
cut_all(Str valid, StrBuf *out)
{
    StrBuf_Set(out, Str_Slice(valid, 0, 0));
}

static void
append_byte(Str valid, StrBuf *out)
{
    StrBuf_Set(out, valid);
    StrBuf_Append(out, Str_LIT("\x01"));
}

static void
append_itself(Str valid, StrBuf *out)
{
    StrBuf_Set(out, valid);
    StrBuf_Append(out, valid);
}

/* Every message starts with its array's header: a byte, or one and a count
 * of two; then the format's version; then its kind. */
static size_t
version_place(Str valid)
{
    return (unsigned char)valid.ptr[0] == 0xdc ? 3 : 1;
}

static void
other_version(Str valid, StrBuf *out)
{
    StrBuf_Set(out, valid);
    out->ptr[version_place(valid)] = Wire_FORMAT + 1;
}

static void
other_kind(Str valid, StrBuf *out)
{
    StrBuf_Set(out, valid);
    out->ptr[version_place(valid) + 1] = 0x7f;
}

static void
no_field(Str valid, StrBuf *out)
{
    (void)valid;
    StrBuf_Set(out, Str_LIT("\x92\x01\x01"));
}

static void
no_array(Str valid, StrBuf *out)
{
    (void)valid;
    StrBuf_Set(out, Str_LIT("\x01"));
}

static void
nil_field(Str valid, StrBuf *out)
{
    StrBuf_Set(out, valid);
    out->ptr[version_place(valid) + 2] = (char)0xc0;
}

static void
huge_array(Str valid, StrBuf *out)
{
    (void)valid;
    StrBuf_Set(out, Str_LIT("\x93\x01\x01\xdd\x00\xff\xff\xff\x01"));
}

static void
huge_text(Str valid, StrBuf *out)
{
    (void)valid;
    StrBuf_Set(out, Str_LIT("\x93\x01\x01\xc6\xff\xff\xff\xff\x01"));
}

static const SpoilCase spoils[] = {
    {"cut by a byte", cut_last, Err_MALFORMED},
    {"cut by half", cut_half, Err_MALFORMED},
    {"empty", cut_all, Err_MALFORMED},
    {"a byte more", append_byte, Err_MALFORMED},
    {"twice", append_itself, Err_MALFORMED},
    {"another version", other_version, Err_VERSION},
    {"another kind", other_kind, Err_VERSION},
    {"no field", no_field, Err_MALFORMED},
    {"no array", no_array, Err_MALFORMED},
    {"nil for a field", nil_field, Err_MALFORMED},
    {"16 million items claimed", huge_array, Err_TOO_LARGE},
    {"4 billion bytes claimed", huge_text, Err_MALFORMED},
};

enum { SPOILS = sizeof spoils / sizeof spoils[0] };

START_TEST(reads_what_was_packed)
{
    Pack pack;
    Err err = {0};

    Sample_At(_i)->pack(&pack);
    ck_assert_msg(Sample_Read(Sample_At(_i), Pack_View(&pack), &err), "%s: %s",
                  Sample_At(_i)->name, err.text);
    Pack_Finish(&pack);
}
END_TEST

START_TEST(refuses_what_is_spoilt)
{
    Pack pack;

    Sample_At(_i)->pack(&pack);
    for (int row = 0; row < SPOILS; row++) {
        const SpoilCase *c = &spoils[row];
        StrBuf bytes = {0};
        Err err = {0};
        c->spoil(Pack_View(&pack), &bytes);
        ck_assert_msg(!Sample_Read(Sample_At(_i), StrBuf_View(&bytes), &err),
                      "%s, %s: was read", Sample_At(_i)->name, c->name);
        ck_assert_msg(err.code == c->code, "%s, %s: error %d",
                      Sample_At(_i)->name, c->name, (int)err.code);
        StrBuf_Finish(&bytes);
    }
    Pack_Finish(&pack);
}
END_TEST

/* Messages that are nothing but their kind. */
typedef struct {
    MessageKind kind;
    uint32_t fields;
    bool good;
} ShortCase;

static const ShortCase shorts[] = {
    {Wire_RENEWAL_ACK, 0, true},
    {Wire_RENEWAL_ACK, 1, false},
    {Wire_MEMBER_RECORD_REQUEST, 0, true},
    {Wire_MEMBER_RECORD_REQUEST, 1, false},
};

enum { SHORTS = sizeof shorts / sizeof shorts[0] };

START_TEST(short_messages_have_no_fields)
{
    const ShortCase *c = &shorts[_i];
    Pack pack;
    Unpack in;
    MessageKind kind;
    Err err = {0};

    Wire_Begin(&pack, c->kind, c->fields);
    for (uint32_t i = 0; i < c->fields; i++) {
        Pack_U64(&pack, 7);
    }
    ck_assert(Wire_Open(&in, Pack_View(&pack), &kind, &err));
    ck_assert(kind == c->kind);
    ck_assert(Membermsg_ReadEmpty(&in, &err) == c->good);
    ck_assert(err.code == (c->good ? Err_NONE : Err_MALFORMED));
    Unpack_Finish(&in);
    Pack_Finish(&pack);
}
END_TEST

int
main(void)
{
    const SuiteTest tests[] = {
        {reads_what_was_packed, Sample_Count()},
        {refuses_what_is_spoilt, Sample_Count()},
        {short_messages_have_no_fields, SHORTS},
    };

    return Suite_Run("messages", tests, 3, 20);
}
