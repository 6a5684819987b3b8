/* Numbers and addresses are parsed from length-counted strings. */
#include "support/suite.h"
#include "value/addr.h"

typedef struct {
    Str text;
    bool is_valid;
    uint64_t value;
} NumberCase;

static const NumberCase numbers[] = {
    {Str_LIT("0"), true, 0},
    {Str_LIT("18446744073709551615"), true, UINT64_MAX},
    {Str_LIT("18446744073709551616"), false, 0},
    {Str_LIT(""), false, 0},
    {Str_LIT("-1"), false, 0},
    {Str_LIT("1 "), false, 0},
    {Str_LIT("1\0"), false, 0},
};

START_TEST(parses_numbers)
{
    const NumberCase *c = &numbers[_i];
    uint64_t value = 0;

    ck_assert_int_eq(Str_ToU64(c->text, &value), c->is_valid);
    ck_assert(value == c->value);
}
END_TEST

/* A valid text is also what the address is printed as. */
typedef struct {
    Str text;
    bool is_valid;
} AddrCase;

static const AddrCase addrs[] = {
    {Str_LIT("127.0.1.2:7400"), true},   {Str_LIT("127.0.1:7400"), false},
    {Str_LIT("127.0.1.256:1"), false},   {Str_LIT("127.0.1.2:0"), false},
    {Str_LIT("127.0.1.2:65536"), false}, {Str_LIT("127.0.1.2"), false},
    {Str_LIT("a.b.c.d:1"), false},       {Str_LIT(""), false},
};

START_TEST(parses_addresses)
{
    const AddrCase *c = &addrs[_i];
    Addr addr = Addr_NONE;
    StrBuf out = {0};

    ck_assert_int_eq(Addr_Parse(c->text, &addr), c->is_valid);
    if (c->is_valid) {
        Addr_Print(addr, &out);
        ck_assert(Str_Equal(StrBuf_View(&out), c->text));
    }
    StrBuf_Finish(&out);
}
END_TEST

#define ROWS(table) (int)(sizeof(table) / sizeof(table)[0])

int
main(void)
{
    const SuiteTest tests[] = {
        {parses_numbers, ROWS(numbers)},
        {parses_addresses, ROWS(addrs)},
    };

    return Suite_Run("str", tests, ROWS(tests), 10);
}
