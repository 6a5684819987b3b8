/* Each decoder rejects messages between nodes that are malformed, truncated,
 * oversized, of another version, or followed by more data.  The loop index _i
 * selects a sample message. */
#include "connection/configmsg.h"
#include "connection/membermsg.h"
#include "support/samples.h"
#include "support/suite.h"

typedef void (*CorruptFunction)(Str valid, StrBuf *out);

typedef struct {
    const char *name;
    CorruptFunction corrupt;
    ErrCode code;
} CorruptionCase;

static void
drop_last_byte(Str valid, StrBuf *out)
{
    StrBuf_Set(out, Str_Slice(valid, 0, valid.len - 1));
}

static void
drop_second_half(Str valid, StrBuf *out)
{
    StrBuf_Set(out, Str_Slice(valid, 0, valid.len / 2));
}

static void
drop_all(Str valid, StrBuf *out)
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
repeat_message(Str valid, StrBuf *out)
{
    StrBuf_Set(out, valid);
    StrBuf_Append(out, valid);
}

/* Offset of the format version.  A message starts with its array header (one
 * byte, or one byte and a two-byte count), the format version and the kind. */
static size_t
version_offset(Str valid)
{
    return (unsigned char)valid.ptr[0] == 0xdc ? 3 : 1;
}

static void
set_unknown_version(Str valid, StrBuf *out)
{
    StrBuf_Set(out, valid);
    out->ptr[version_offset(valid)] = Wire_FORMAT + 1;
}

static void
set_unknown_kind(Str valid, StrBuf *out)
{
    StrBuf_Set(out, valid);
    out->ptr[version_offset(valid) + 1] = 0x7f;
}

static void
omit_field(Str valid, StrBuf *out)
{
    (void)valid;
    StrBuf_Set(out, Str_LIT("\x92\x01\x01"));
}

static void
replace_array(Str valid, StrBuf *out)
{
    (void)valid;
    StrBuf_Set(out, Str_LIT("\x01"));
}

static void
set_nil_field(Str valid, StrBuf *out)
{
    StrBuf_Set(out, valid);
    out->ptr[version_offset(valid) + 2] = (char)0xc0;
}

static void
claim_huge_array(Str valid, StrBuf *out)
{
    (void)valid;
    StrBuf_Set(out, Str_LIT("\x93\x01\x01\xdd\x00\xff\xff\xff\x01"));
}

static void
claim_huge_string(Str valid, StrBuf *out)
{
    (void)valid;
    StrBuf_Set(out, Str_LIT("\x93\x01\x01\xc6\xff\xff\xff\xff\x01"));
}

static const CorruptionCase corruptions[] = {
    {"last byte missing", drop_last_byte, Err_MALFORMED},
    {"second half missing", drop_second_half, Err_MALFORMED},
    {"empty", drop_all, Err_MALFORMED},
    {"extra byte", append_byte, Err_MALFORMED},
    {"message repeated", repeat_message, Err_MALFORMED},
    {"unknown version", set_unknown_version, Err_VERSION},
    {"unknown kind", set_unknown_kind, Err_VERSION},
    {"field missing", omit_field, Err_MALFORMED},
    {"not an array", replace_array, Err_MALFORMED},
    {"nil in place of a field", set_nil_field, Err_MALFORMED},
    {"16 million items claimed", claim_huge_array, Err_TOO_LARGE},
    {"4 billion bytes claimed", claim_huge_string, Err_MALFORMED},
};

enum { CORRUPTION_COUNT = sizeof corruptions / sizeof corruptions[0] };

START_TEST(reads_what_was_packed)
{
    Pack pack;
    Err err = {0};

    Sample_Get(_i)->pack(&pack);
    ck_assert_msg(Sample_Read(Sample_Get(_i), Pack_View(&pack), &err),
                  "%s: %s", Sample_Get(_i)->name, err.text);
    Pack_Finish(&pack);
}
END_TEST

START_TEST(rejects_corrupt_messages)
{
    Pack pack;

    Sample_Get(_i)->pack(&pack);
    for (int row = 0; row < CORRUPTION_COUNT; row++) {
        const CorruptionCase *c = &corruptions[row];
        StrBuf bytes = {0};
        Err err = {0};
        c->corrupt(Pack_View(&pack), &bytes);
        ck_assert_msg(!Sample_Read(Sample_Get(_i), StrBuf_View(&bytes), &err),
                      "%s, %s: was accepted", Sample_Get(_i)->name, c->name);
        ck_assert_msg(err.code == c->code, "%s, %s: error %d",
                      Sample_Get(_i)->name, c->name, (int)err.code);
        StrBuf_Finish(&bytes);
    }
    Pack_Finish(&pack);
}
END_TEST

/* Messages without fields. */
typedef struct {
    MessageKind kind;
    uint32_t fields;
    bool is_valid;
} EmptyMessageCase;

static const EmptyMessageCase empty_messages[] = {
    {Wire_RENEWAL_ACK, 0, true},
    {Wire_RENEWAL_ACK, 1, false},
    {Wire_MEMBER_RECORD_REQUEST, 0, true},
    {Wire_MEMBER_RECORD_REQUEST, 1, false},
};

enum {
    EMPTY_MESSAGE_COUNT = sizeof empty_messages / sizeof empty_messages[0]
};

START_TEST(empty_messages_reject_fields)
{
    const EmptyMessageCase *c = &empty_messages[_i];
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
    ck_assert(Membermsg_ReadEmpty(&in, &err) == c->is_valid);
    ck_assert(err.code == (c->is_valid ? Err_NONE : Err_MALFORMED));
    Unpack_Finish(&in);
    Pack_Finish(&pack);
}
END_TEST

/* A message of another version of the program, which has other fields:
 * numbers, but for a boolean at BOOL_AT. */
typedef struct {
    const char *name;
    MessageKind kind;
    uint32_t fields;
    uint32_t bool_at;
} OtherFieldsCase;

static const OtherFieldsCase other_fields[] = {
    {"version request", Wire_VERSION_REQUEST, 6, 3},
    {"version", Wire_VERSION, 6, 1},
    {"version", Wire_VERSION, 7, 1},
};

enum { OTHER_FIELDS_COUNT = sizeof other_fields / sizeof other_fields[0] };

START_TEST(rejects_fields_of_other_version)
{
    const OtherFieldsCase *c = &other_fields[_i];
    VersionRequestMessage request;
    VersionMessage version;
    MessageKind kind;
    Err err = {0};
    Unpack in;
    Pack pack;

    Wire_Begin(&pack, c->kind, c->fields);
    for (uint32_t i = 0; i < c->fields; i++) {
        if (i == c->bool_at || i == 0) {
            Pack_Bool(&pack, true);
        }
        else if (i + 1 == c->fields) {
            Pack_Str(&pack, Str_LIT("{}"));
        }
        else {
            Pack_U64(&pack, 7);
        }
    }
    ck_assert(Wire_Open(&in, Pack_View(&pack), &kind, &err));
    ck_assert_msg(!(kind == Wire_VERSION
                        ? Configmsg_ReadVersion(&in, &version, &err)
                        : Configmsg_ReadVersionRequest(&in, &request, &err)),
                  "%s", c->name);
    ck_assert_int_eq(err.code, Err_MALFORMED);
    Unpack_Finish(&in);
    Pack_Finish(&pack);
}
END_TEST

int
main(void)
{
    const SuiteTest tests[] = {
        {reads_what_was_packed, Sample_Count()},
        {rejects_corrupt_messages, Sample_Count()},
        {empty_messages_reject_fields, EMPTY_MESSAGE_COUNT},
        {rejects_fields_of_other_version, OTHER_FIELDS_COUNT},
    };

    return Suite_Run("messages", tests, 4, 20);
}
