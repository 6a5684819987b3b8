/* Fnd: the list of everything that is wrong with an input.
 *
 * A parser does not stop at the first fault but adds a finding for each, so
 * that an operator sees all faults of a file at once.
 */
#ifndef FINDING_H
#define FINDING_H

#include <stddef.h>

#include "value/str.h"

/* One fault.  The texts are owned by the list. */
typedef struct {
    StrBuf file;     /* name of the input */
    StrBuf location; /* JSON pointer into the input, or a line */
    StrBuf cause;    /* what is wrong */
    StrBuf expected; /* description of a valid value */
} Finding;

typedef struct {
    StrBuf file; /* input name for the next findings */
    Finding *items;
    size_t count;
    size_t cap;
} FindingList;

/* Starts an empty list. */
void Fnd_Init(FindingList *list);

/* Frees the findings; LIST is empty afterwards. */
void Fnd_Finish(FindingList *list);

/* Sets the input name of the findings that are added from now on. */
void Fnd_SetFile(FindingList *list, Str file);

/* Adds a finding with copies of the texts. */
void Fnd_Add(FindingList *list, Str location, Str cause, Str expected);

/* Appends one line per finding to OUT, in the order of their addition:
 * "file: location: cause; expected ...". */
void Fnd_Print(const FindingList *list, StrBuf *out);

#endif
