#include "process/reload.h"

#include <sys/stat.h>

#define LOOK_EVERY Span_S(1)

enum { NS_PER_S = 1000000000 };

/* Remember the file's state; true when it differs from the one before. */
static bool
look(Reload *reload)
{
    struct stat info;
    int64_t changed_ns;
    bool differs;

    if (stat(StrBuf_CStr(&reload->file), &info)) {
        return false;
    }
    changed_ns =
        (int64_t)info.st_mtim.tv_sec * NS_PER_S + info.st_mtim.tv_nsec;
    differs =
        changed_ns != reload->changed_ns || info.st_size != reload->bytes;
    reload->changed_ns = changed_ns;
    reload->bytes = info.st_size;
    return differs;
}

static bool
is_same_start(const Settings *old, const Settings *fresh)
{
    return old->address == fresh->address && old->callers == fresh->callers &&
           old->operators == fresh->operators &&
           old->domain_index == fresh->domain_index &&
           old->control == fresh->control;
}

static void
take(Node *node, const Settings *fresh)
{
    Settings *settings = node->settings;
    size_t seeds = 0;

    for (size_t i = 0; i < fresh->seed_count; i++) {
        seeds +=
            Rps_Find(&node->replicas, fresh->seeds[i]) == Set_REPLICAS_MAX;
        Rps_Add(&node->replicas, fresh->seeds[i]);
    }
    settings->log_level = fresh->log_level;
    node->logger.level = fresh->log_level;
    settings->log_lines_per_s = fresh->log_lines_per_s;
    node->logger.lines_per_s = fresh->log_lines_per_s;
    Lgr_Log(&node->logger, Lgr_INFO, Str_LIT("settings_read"),
            "seeds_new=%zu waits_for_start=%d", seeds,
            !is_same_start(settings, fresh));
}

void
Rld_Now(Reload *reload, Instant now)
{
    Node *node = reload->node;
    FindingList findings;
    Settings fresh;
    StrBuf json = {0};
    StrBuf text = {0};
    Err err = {0};

    (void)now;
    look(reload);
    Set_Init(&fresh);
    Fnd_Init(&findings);
    Fnd_SetFile(&findings, StrBuf_View(&reload->file));
    if (!Set_ReadFile(StrBuf_View(&reload->file), &json, &err)) {
        Lgr_LogErr(&node->logger, Lgr_ERROR, Str_LIT("settings_not_read"),
                   &err);
    }
    else if (!Set_Parse(&fresh, StrBuf_View(&json), &findings)) {
        Fnd_Print(&findings, &text);
        Lgr_Log(&node->logger, Lgr_ERROR, Str_LIT("settings_refused"), "%.*s",
                Str_ARG(text));
    }
    else {
        take(node, &fresh);
    }
    Fnd_Finish(&findings);
    Set_Finish(&fresh);
    StrBuf_Finish(&json);
    StrBuf_Finish(&text);
}

static void
on_tick(void *context, Instant now)
{
    Reload *reload = context;

    if (look(reload)) {
        Rld_Now(reload, now);
    }
}

void
Rld_Init(Reload *reload, Node *node, Str file)
{
    *reload = (Reload){.node = node};
    StrBuf_Set(&reload->file, file);
    look(reload);
    LoopTimer_Init(&reload->tick, &node->loop, LOOK_EVERY, on_tick, reload);
}

void
Rld_Finish(Reload *reload)
{
    LoopTimer_Finish(&reload->tick);
    StrBuf_Finish(&reload->file);
}
