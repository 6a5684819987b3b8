/* Findings: everything wrong with one input, collected with its location and
 * reported together, so that an operator mends a file in one go.
 */
#ifndef FINDING_H
#define FINDING_H

#include <stddef.h>

#include "value/str.h"

typedef struct {
    StrBuf file;     /* the input's name */
    StrBuf location; /* where in it, as a JSON pointer */
    StrBuf cause;    /* what is wrong */
    StrBuf expected; /* what would be right */
} Finding;

typedef struct {
    StrBuf file; /* name given to the findings added from now on */
    Finding *items;
    size_t count;
    size_t cap;
} FindingList;

void Fnd_Init(FindingList *list);
void Fnd_Finish(FindingList *list);

/* Name the input that the next findings are about. */
void Fnd_SetFile(FindingList *list, Str file);

void Fnd_Add(FindingList *list, Str location, Str cause, Str expected);

/* One line a finding: "file: location: cause; expected ...". */
void Fnd_Print(const FindingList *list, StrBuf *out);

#endif
