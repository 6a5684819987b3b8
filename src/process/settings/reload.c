#include "process/settings/reload.h"

#include <sys/stat.h>

#define CHECK_PERIOD Span_S(1)

enum { NS_PER_S = 1000000000 };

/* Stores the file's modification time and size.  Returns whether they differ
 * from the stored ones; false if the file cannot be examined. */
static bool
update_file_state(SettingsReloader *reloader)
{
    struct stat info;
    int64_t modified_ns;
    bool differs;

    if (stat(StrBuf_CStr(&reloader->path), &info)) {
        return false;
    }
    modified_ns =
        (int64_t)info.st_mtim.tv_sec * NS_PER_S + info.st_mtim.tv_nsec;
    differs = modified_ns != reloader->modified_ns ||
              info.st_size != reloader->size_bytes;
    reloader->modified_ns = modified_ns;
    reloader->size_bytes = info.st_size;
    return differs;
}

/* Compares the settings that are only applied at the start of the process. */
static bool
has_same_startup_settings(const Settings *old, const Settings *fresh)
{
    return old->address == fresh->address && old->callers == fresh->callers &&
           old->operators == fresh->operators &&
           old->domain_index == fresh->domain_index &&
           old->control == fresh->control;
}

/* Applies the settings that can change while the process runs. */
static void
apply_settings(Node *node, const Settings *fresh)
{
    Settings *settings = node->settings;
    size_t added_seed_count = 0;

    for (size_t i = 0; i < fresh->seed_count; i++) {
        added_seed_count +=
            Rps_Find(&node->replicas, fresh->seeds[i]) == Set_REPLICAS_MAX;
        Rps_Add(&node->replicas, fresh->seeds[i]);
    }
    settings->log_level = fresh->log_level;
    node->logger.level = fresh->log_level;
    settings->log_lines_per_s = fresh->log_lines_per_s;
    node->logger.lines_per_s = fresh->log_lines_per_s;
    Lgr_Log(&node->logger, Lgr_INFO, Str_LIT("settings_read"),
            "seeds_new=%zu waits_for_start=%d", added_seed_count,
            !has_same_startup_settings(settings, fresh));
}

void
Rld_ReadFile(SettingsReloader *reloader, Instant now)
{
    Node *node = reloader->node;
    FindingList findings;
    Settings fresh;
    StrBuf json = {0};
    StrBuf text = {0};
    Err err = {0};

    (void)now;
    update_file_state(reloader);
    Set_Init(&fresh);
    Fnd_Init(&findings);
    Fnd_SetFile(&findings, StrBuf_View(&reloader->path));
    if (!Set_ReadFile(StrBuf_View(&reloader->path), &json, &err)) {
        Lgr_LogErr(&node->logger, Lgr_ERROR, Str_LIT("settings_not_read"),
                   &err);
    }
    else if (!Set_Parse(&fresh, StrBuf_View(&json), &findings)) {
        Fnd_Print(&findings, &text);
        Lgr_Log(&node->logger, Lgr_ERROR, Str_LIT("settings_refused"), "%.*s",
                Str_ARG(text));
    }
    else {
        apply_settings(node, &fresh);
    }
    Fnd_Finish(&findings);
    Set_Finish(&fresh);
    StrBuf_Finish(&json);
    StrBuf_Finish(&text);
}

static void
on_timer(void *context, Instant now)
{
    SettingsReloader *reloader = context;

    if (update_file_state(reloader)) {
        Rld_ReadFile(reloader, now);
    }
}

void
Rld_Init(SettingsReloader *reloader, Node *node, Str path)
{
    *reloader = (SettingsReloader){.node = node};
    StrBuf_Set(&reloader->path, path);
    update_file_state(reloader);
    LoopTimer_Init(&reloader->timer, &node->loop, CHECK_PERIOD, on_timer,
                   reloader);
}

void
Rld_Finish(SettingsReloader *reloader)
{
    LoopTimer_Finish(&reloader->timer);
    StrBuf_Finish(&reloader->path);
}
