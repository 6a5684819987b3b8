/* Rld: reads the settings file again while the process runs: on SIGHUP, and
 * when the file's modification time or size changed.
 *
 * Applied at once are additional control seeds, the log level and the limit of
 * log lines per second.  All other changes take effect at the next start; the
 * log event settings_read reports whether the file differs in the address of
 * the node or of its servers for callers and operators, in the failure domain
 * or in the control replica role.  A file that cannot be read or is not valid
 * changes nothing and is logged.
 */
#ifndef RELOAD_H
#define RELOAD_H

#include "process/node.h"

typedef struct {
    Node *node;
    StrBuf path;         /* of the settings file */
    int64_t modified_ns; /* modification time when last checked, since 1970 */
    int64_t size_bytes;  /* size when last checked */
    LoopTimer timer;
} SettingsReloader;

/* Starts to check the file at PATH once per second.  NODE must outlive
 * RELOADER, which must stay at its address until Rld_Finish. */
void Rld_Init(SettingsReloader *reloader, Node *node, Str path);
void Rld_Finish(SettingsReloader *reloader);

/* Reads the file now and applies its settings to the node. */
void Rld_ReadFile(SettingsReloader *reloader, Instant now);

#endif
