/* A body that is kept once, and the messages written around it. */
#include <string.h>

#include "support/suite.h"
#include "value/bodybuf.h"

#define ROWS(table) (int)(sizeof(table) / sizeof(table)[0])

enum {
    HEADROOM = 16,
    PARTS = 5,
    KB = 1024,
    MB = 1024 * KB,
    BODY_MAX = 64 * MB
};

typedef struct {
    const char *name;
    size_t reserved;
    size_t head_len;
    bool is_sending; /* an earlier message is still being sent */
    bool expected;
} PrependCase;

static const PrependCase cases[] = {
    {"a short head", 0, 1, false, true},
    {"all of the room", 0, HEADROOM, false, true},
    {"too long a head", 0, HEADROOM + 1, false, false},
    {"still being sent", 0, 1, true, false},
    {"reserved", 1000, 5, false, true},
    {"reserved too little", 3, 5, false, true},
};

START_TEST(writes_head_before_body)
{
    const PrependCase *c = &cases[_i];
    const char head[HEADROOM + 1] = "hhhhhhhhhhhhhhhh";
    BodyBuf *body = Bod_New(HEADROOM);
    Str whole = {0};

    if (c->reserved) {
        Bod_Reserve(body, c->reserved);
    }
    for (int i = 0; i < PARTS; i++) {
        Bod_Append(body, Str_LIT("part"));
    }
    if (c->is_sending) {
        Bod_Retain(body);
    }
    ck_assert_msg(Bod_Prepend(body, Str_From(head, c->head_len), &whole) ==
                      c->expected,
                  "%s", c->name);
    if (c->expected) {
        ck_assert_uint_eq(whole.len, c->head_len + Bod_View(body).len);
        ck_assert(whole.ptr + c->head_len == Bod_View(body).ptr);
        ck_assert(memcmp(whole.ptr, head, c->head_len) == 0);
    }
    ck_assert(Str_Equal(Bod_View(body), Str_LIT("partpartpartpartpart")));
    if (c->is_sending) {
        Bod_Release(body);
        ck_assert(Bod_Prepend(body, Str_From(head, c->head_len), &whole));
    }
    Bod_Release(body);
}
END_TEST

START_TEST(empty_body_has_no_bytes)
{
    BodyBuf *body = Bod_New(HEADROOM);
    Str whole;

    Bod_Append(body, (Str){0});
    ck_assert(Bod_View(body).len == 0 && Bod_View(NULL).len == 0);
    ck_assert(!Bod_Prepend(body, Str_LIT("h"), &whole));
    Bod_Release(body);
    Bod_Release(NULL);
}
END_TEST

/* Bodies of an unknown length that arrive in pieces, while others leave FREE
 * bytes: how often one moves, and where it ends. */
typedef struct {
    const char *name;
    size_t piece;
    size_t len;  /* of the whole body */
    size_t free; /* what others leave */
    int moves_max;
    bool fits;
} GrowthCase;

static const GrowthCase growth_cases[] = {
    {"small, in calm", 100, 60 * KB, 1000 * MB, 12, true},
    {"the largest, in calm", 16 * KB, BODY_MAX, 1000 * MB, 40, true},
    {"the largest, in tiny pieces", 7, 4 * MB, 1000 * MB, 40, true},
    {"the largest, where just it has room", 16 * KB, BODY_MAX, BODY_MAX, 40,
     true},
    {"refused a quarter", 16 * KB, 40 * MB, 43 * MB, 60, true},
    {"no room for the end", 16 * KB, 60 * MB, 23 * MB, 60, false},
    {"no room for the end, in tiny pieces", 7, 5 * MB, 4 * MB, 60, false},
};

static bool
has_room(const GrowthCase *c, size_t room)
{
    return room <= c->free;
}

START_TEST(moves_seldom_while_it_grows)
{
    const GrowthCase *c = &growth_cases[_i];
    size_t room = 0;
    size_t len = 0;
    int moves = 0;
    bool fits = true;

    while (fits && len < c->len) {
        len += c->piece;
        if (len > room) {
            room = Bod_ChooseRoom(len, BODY_MAX);
            room =
                has_room(c, room) ? room : Bod_ChooseLeastRoom(len, BODY_MAX);
            fits = has_room(c, room);
            moves++;
        }
    }
    ck_assert_msg(moves <= c->moves_max, "%s: %d moves", c->name, moves);
    ck_assert_msg(fits == c->fits, "%s: %zu bytes", c->name, len);
}
END_TEST

int
main(void)
{
    const SuiteTest tests[] = {
        {writes_head_before_body, ROWS(cases)},
        {empty_body_has_no_bytes, 1},
        {moves_seldom_while_it_grows, ROWS(growth_cases)}};

    return Suite_Run("body buffers", tests, 3, 10);
}
