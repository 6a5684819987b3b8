/* Guards against the failure that a loop over a list goes on with an item that
 * a callback has freed: items are dropped and added during walks.
 */
#include <string.h>

#include "support/suite.h"
#include "value/list.h"
#include "value/mem.h"

#define ROWS(table) (int)(sizeof(table) / sizeof(table)[0])

enum { ITEMS = 5 };

typedef struct {
    ListLink link;
    char name;
} Item;

typedef enum {
    DROP,    /* the item NAME */
    PREPEND, /* a new item NAME */
    APPEND,
    WALK, /* the whole list in a walk within the walk, dropping NAME there */
    STOP
} ActionKind;

/* What the visit of AT does. */
typedef struct {
    char at; /* 0: end of the actions */
    ActionKind kind;
    char name;
} Action;

typedef struct {
    const char *name;
    Action actions[ITEMS + 1];
    const char *visited;
    const char *left;
} WalkCase;

/* The list is a, b, c, d, e at first. */
static const WalkCase cases[] = {
    {"nothing changes", {{0, DROP, 0}}, "abcde", "abcde"},
    {"each drops itself",
     {{'a', DROP, 'a'},
      {'b', DROP, 'b'},
      {'c', DROP, 'c'},
      {'d', DROP, 'd'},
      {'e', DROP, 'e'}},
     "abcde",
     ""},
    {"one drops the next", {{'b', DROP, 'c'}}, "abde", "abde"},
    {"one drops the next two",
     {{'b', DROP, 'c'}, {'b', DROP, 'd'}},
     "abe",
     "abe"},
    {"one drops all others",
     {{'c', DROP, 'a'}, {'c', DROP, 'b'}, {'c', DROP, 'd'}, {'c', DROP, 'e'}},
     "abc",
     "c"},
    {"one drops itself and the next",
     {{'a', DROP, 'a'}, {'a', DROP, 'b'}},
     "acde",
     "cde"},
    {"the last drops the first", {{'e', DROP, 'a'}}, "abcde", "bcde"},
    {"the next is dropped and added again at the front",
     {{'a', DROP, 'b'}, {'a', PREPEND, 'f'}},
     "acde",
     "facde"},
    {"one is appended", {{'a', APPEND, 'f'}}, "abcdef", "abcdef"},
    {"one is appended by the last", {{'e', APPEND, 'f'}}, "abcde", "abcdef"},
    {"a walk within drops the next of the outer one",
     {{'a', WALK, 'b'}},
     "acde",
     "acde"},
    {"a walk within drops the present item",
     {{'a', WALK, 'a'}},
     "abcde",
     "bcde"},
    {"stopped early", {{'c', STOP, 0}, {'c', DROP, 'd'}}, "abc", "abce"},
};

static void
add(List *list, char name, void (*put)(List *, ListLink *, void *))
{
    Item *item = Mem_Alloc(1, sizeof *item);

    item->name = name;
    put(list, &item->link, item);
}

/* Frees the item too, so that the sanitizer sees a use after it. */
static void
drop(List *list, char name)
{
    ListLink *link = list->first;

    while (link && ((Item *)link->item)->name != name) {
        link = link->next;
    }
    if (link) {
        Item *item = link->item;
        Lst_Drop(list, link);
        Mem_Free(item);
    }
}

static void
walk_within(List *list, char name)
{
    ListWalk walk;

    Lst_Begin(&walk, list);
    while (Lst_Next(&walk)) {
        drop(list, name);
    }
}

/* Returns whether the walk goes on. */
static bool
act(List *list, ListWalk *walk, const Action *action)
{
    switch (action->kind) {
    case DROP:
        drop(list, action->name);
        break;
    case PREPEND:
        add(list, action->name, Lst_Prepend);
        break;
    case APPEND:
        add(list, action->name, Lst_Append);
        break;
    case WALK:
        walk_within(list, action->name);
        break;
    case STOP:
        Lst_Stop(walk);
        return false;
    }
    return true;
}

START_TEST(walk_survives_changes)
{
    const WalkCase *c = &cases[_i];
    List list = {0};
    ListWalk walk;
    Item *item;
    char visited[16] = "";
    char left[16] = "";
    bool goes_on = true;

    for (int i = 0; i < ITEMS; i++) {
        add(&list, (char)('a' + i), Lst_Append);
    }
    Lst_Begin(&walk, &list);
    while (goes_on && (item = Lst_Next(&walk))) {
        char name = item->name;
        visited[strlen(visited)] = name;
        for (int i = 0; c->actions[i].at; i++) {
            if (c->actions[i].at == name) {
                goes_on = act(&list, &walk, &c->actions[i]) && goes_on;
            }
        }
    }
    ck_assert_ptr_null(list.walks);
    while ((item = Lst_First(&list))) {
        left[strlen(left)] = item->name;
        drop(&list, item->name);
    }
    ck_assert_msg(!strcmp(visited, c->visited) && !strcmp(left, c->left),
                  "%s: visited %s, left %s", c->name, visited, left);
    ck_assert_uint_eq(list.count, 0);
}
END_TEST

int
main(void)
{
    const SuiteTest tests[] = {{walk_survives_changes, ROWS(cases)}};

    return Suite_Run("list", tests, 1, 10);
}
