/* The MessagePack reader rejects messages with a field of a wrong type, a
 * wrong number of fields or an array over its bound. */
#include "support/suite.h"
#include "value/pack.h"

typedef struct {
    Str bytes; /* read as a message of U64, Str, Bool, [I64] */
    bool is_valid;
} PackCase;

static const PackCase cases[] = {
    {Str_LIT("\x94\x01\xc4\x02hi\xc3\x91\xff"), true},
    {Str_LIT("\x94\x01\xc4\x02hi\xc3\x91\x05"), true},
    {Str_LIT(""), false},                                   /* empty */
    {Str_LIT("\x01"), false},                               /* not an array */
    {Str_LIT("\x94\x01\xc4\x02hi\xc3\x91"), false},         /* truncated */
    {Str_LIT("\x94\x01\xc4\x02hi\xc3\x91\xff\x00"), false}, /* trailing */
    {Str_LIT("\x93\x01\xc4\x02hi\xc3"), false},             /* field missing */
    {Str_LIT("\x95\x01\xc4\x02hi\xc3\x91\xff\x01"), false}, /* extra field */
    {Str_LIT("\x94\xff\xc4\x02hi\xc3\x91\xff"), false}, /* negative for U64 */
    {Str_LIT("\x94\x01\xa2hi\xc3\x91\xff"), false},     /* str, not bin */
    {Str_LIT("\x94\x01\xc4\x02hi\x01\x91\xff"), false}, /* not a boolean */
    {Str_LIT("\x94\x01\xc4\x02hi\xc3\x92\xff\xff"), false}, /* over bound */
    {Str_LIT("\x94\x01\xc4\x02hi\xc3\xff"), false}, /* no nested array */
};

static bool
read_message(Str bytes)
{
    Unpack in;
    Unpack inner;
    Err err = {0};
    bool is_complete;

    if (!Unpack_Init(&in, bytes, &err)) {
        return false;
    }
    Unpack_U64(&in);
    Unpack_Str(&in);
    Unpack_Bool(&in);
    Unpack_Array(&in, 1, &inner);
    Unpack_I64(&inner);
    is_complete = Unpack_Ok(&inner, NULL) && Unpack_Ok(&in, &err);
    ck_assert(is_complete || err.code == Err_MALFORMED || inner.failed);
    Unpack_Finish(&in);
    return is_complete;
}

START_TEST(accepts_only_well_formed_messages)
{
    ck_assert_int_eq(read_message(cases[_i].bytes), cases[_i].is_valid);
}
END_TEST

int
main(void)
{
    const SuiteTest tests[] = {
        {accepts_only_well_formed_messages, sizeof cases / sizeof cases[0]}};

    return Suite_Run("pack", tests, 1, 10);
}
