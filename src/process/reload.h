/* Rld: the settings' file read again, on SIGHUP or when it was seen changed.
 *
 * What may change while the process runs is taken over: further control
 * seeds, and the log level.  A file that is not sound changes
 * nothing, and a change of anything else is named in the log as one that waits
 * for a start.
 */
#ifndef RELOAD_H
#define RELOAD_H

#include "process/node.h"

typedef struct {
    Node *node;
    StrBuf path;
    int64_t modified_ns; /* of the file as it was read last */
    int64_t size_bytes;
    LoopTimer timer;
} SettingsReloader;

void Rld_Init(SettingsReloader *reloader, Node *node, Str path);
void Rld_Finish(SettingsReloader *reloader);

/* Read the file now. */
void Rld_ReadFile(SettingsReloader *reloader, Instant now);

#endif
