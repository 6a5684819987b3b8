#include "value/list.h"

void
Lst_Prepend(List *list, ListLink *link, void *item)
{
    *link = (ListLink){list->first, NULL, item};
    if (list->first) {
        list->first->previous = link;
    }
    else {
        list->last = link;
    }
    list->first = link;
    list->count++;
}

void
Lst_Append(List *list, ListLink *link, void *item)
{
    *link = (ListLink){NULL, list->last, item};
    if (list->last) {
        list->last->next = link;
    }
    else {
        list->first = link;
    }
    list->last = link;
    list->count++;
}

void
Lst_Drop(List *list, ListLink *link)
{
    for (ListWalk *walk = list->walks; walk; walk = walk->outer) {
        if (walk->next == link) {
            walk->next = link->next;
        }
    }
    if (link->previous) {
        link->previous->next = link->next;
    }
    else {
        list->first = link->next;
    }
    if (link->next) {
        link->next->previous = link->previous;
    }
    else {
        list->last = link->previous;
    }
    list->count--;
    *link = (ListLink){0};
}

void *
Lst_First(const List *list)
{
    return list->first ? list->first->item : NULL;
}

void
Lst_Begin(ListWalk *walk, List *list)
{
    *walk = (ListWalk){list, list->first, list->walks};
    list->walks = walk;
}

void *
Lst_Next(ListWalk *walk)
{
    ListLink *link = walk->next;

    if (!link) {
        Lst_Stop(walk);
        return NULL;
    }
    walk->next = link->next;
    return link->item;
}

void
Lst_Stop(ListWalk *walk)
{
    ListWalk **at = &walk->list->walks;

    while (*at != walk) {
        at = &(*at)->outer;
    }
    *at = walk->outer;
}
