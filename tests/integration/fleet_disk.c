#include <stdio.h>
#include <unistd.h>

#include "fleet.h"

static void
append_file_name(const Fleet *fleet, int vm, StrBuf *out)
{
    StrBuf_AppendFmt(out, "%.*s/sync%d", Str_ARG(fleet->folder), vm);
}

/* Renames a new file, so that no node reads a part of it. */
void
Fleet_DelaySyncs(Fleet *fleet, int vm, Span delay)
{
    StrBuf name = {0};
    StrBuf new_name = {0};
    FILE *file;

    fleet->delays_syncs = true;
    append_file_name(fleet, vm, &name);
    StrBuf_AppendFmt(&new_name, "%.*s.new", Str_ARG(name));
    file = fopen(StrBuf_CStr(&new_name), "w");
    fprintf(file, "%d\n", (int)(delay / 1000));
    fclose(file);
    rename(StrBuf_CStr(&new_name), StrBuf_CStr(&name));
    StrBuf_Finish(&name);
    StrBuf_Finish(&new_name);
}

/* A sanitized daemon would refuse to run with an object before its own. */
void
Fleet_AppendDelay(const Fleet *fleet, int vm, StrBuf *out)
{
    if (!fleet->delays_syncs) {
        return;
    }
    StrBuf_AppendFmt(out,
                     "/usr/bin/env LD_PRELOAD=%.*s/slow_sync.so "
                     "ASAN_OPTIONS=verify_asan_link_order=0 SLOW_SYNC_FILE=",
                     Str_ARG(fleet->build_folder));
    append_file_name(fleet, vm, out);
    StrBuf_Append(out, Str_LIT(" "));
}
