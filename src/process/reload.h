/* Rld: the settings' file read again, on SIGHUP or when it was seen changed.
 *
 * What may change while the process runs is taken over: further control
 * seeds, and the log level.  A file that is not sound changes nothing, and a
 * change of anything else is named in the log as one that waits for a start.
 */
#ifndef RELOAD_H
#define RELOAD_H

#include "process/node.h"

typedef struct {
    Node *node;
    StrBuf file;
    int64_t changed_ns; /* of the file as it was read last */
    int64_t bytes;
    LoopTimer tick;
} Reload;

void Rld_Init(Reload *reload, Node *node, Str file);
void Rld_Finish(Reload *reload);

/* Read the file now. */
void Rld_Now(Reload *reload, Instant now);

#endif
