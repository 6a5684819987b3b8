/* Lst: an intrusive list that can be walked while its items come and go.
 *
 * The links are members of the caller's structs.  Callbacks that run during a
 * walk may drop any item, the present and the next one too, add items, and
 * walk the list themselves: a walk is known to its list, and dropping the item
 * that it would visit next moves it on.  Items that are prepended, or appended
 * by the visit of the last one, are not visited by it.
 *
 * Every list whose items are handled by functions that may free items is
 * walked in this way:
 *
 *     Lst_Begin(&walk, &list);
 *     while ((item = Lst_Next(&walk))) {
 *         ...
 *     }
 */
#ifndef LIST_H
#define LIST_H

#include <stddef.h>

typedef struct ListLink ListLink;

/* Member of a struct that is in one list at a time.  Set by Lst_Prepend and
 * Lst_Append. */
struct ListLink {
    ListLink *next;
    ListLink *previous;
    void *item; /* the struct */
};

typedef struct ListWalk ListWalk;

/* All zero: an empty list. */
typedef struct {
    ListLink *first;
    ListLink *last;
    size_t count;
    ListWalk *walks; /* that have not ended */
} List;

/* On the stack of the function that walks. */
struct ListWalk {
    List *list;
    ListLink *next; /* visited next; NULL: none */
    ListWalk *outer;
};

void Lst_Prepend(List *list, ListLink *link, void *item);
void Lst_Append(List *list, ListLink *link, void *item);

/* Takes LINK, which must be in LIST, out of it. */
void Lst_Drop(List *list, ListLink *link);

/* The first item; NULL when the list is empty. */
void *Lst_First(const List *list);

/* Starts a walk from the first item to the last.  It ends when Lst_Next
 * returns NULL, or by Lst_Stop; it must end before WALK goes out of scope. */
void Lst_Begin(ListWalk *walk, List *list);

/* The next item; NULL when there is none left. */
void *Lst_Next(ListWalk *walk);

/* Ends the walk before its last item. */
void Lst_Stop(ListWalk *walk);

#endif
