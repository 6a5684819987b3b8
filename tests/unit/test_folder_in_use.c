/* A control replica whose data folder another process still has. */
#include <fcntl.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

#include "process/control/control.h"
#include "support/suite.h"

#define ROWS(table) (int)(sizeof(table) / sizeof(table)[0])

/* From the end of the other process until the replica has its folder. */
#define OPENING_TIME Span_S(1)

typedef struct {
    Loop loop;
    LoopTimer timer;
    Net net;
    Counters counters;
    Logger logger;
    Timeline timeline;
    Settings settings;
    Rng rng;
    MembershipTable membership;
    ReplicaSet replica_set;
    SuspectSync suspects;
    ControlReplica control;
    int lock_fd; /* of the other process; -1: it has ended */
    Instant lock_ends_at;
} Process;

static void
check(void *context, Instant now)
{
    Process *process = context;

    if (process->lock_fd >= 0 && now >= process->lock_ends_at) {
        close(process->lock_fd);
        process->lock_fd = -1;
    }
    if (process->control.is_open ||
        now >= process->lock_ends_at + OPENING_TIME) {
        Loop_Stop(&process->loop);
    }
}

static void
lock_folder(Process *process, const char *folder, Span time)
{
    char path[64];

    snprintf(path, sizeof path, "%s/control", folder);
    ck_assert_int_eq(mkdir(path, 0700), 0);
    process->lock_fd = open(path, O_RDONLY | O_DIRECTORY);
    ck_assert_int_eq(flock(process->lock_fd, LOCK_EX | LOCK_NB), 0);
    process->lock_ends_at = Loop_Now() + time;
}

static void
remove_folder(const char *folder)
{
    static const char *const names[] = {"control/identity", "control/vote",
                                        "control/log", "control", ""};
    char path[64];

    for (int i = 0; i < ROWS(names); i++) {
        snprintf(path, sizeof path, "%s/%s", folder, names[i]);
        remove(path);
    }
}

static const Span busy_cases[] = {Span_MS(30), Span_MS(500)};

/* Guards against the failure that a replica is missing for seconds since its
 * predecessor had not quite ended. */
START_TEST(opens_soon_after_the_other_has_ended)
{
    static Process process;
    char folder[] = "/tmp/test-in-use-XXXXXX";

    ck_assert_ptr_nonnull(mkdtemp(folder));
    process.settings.control = true;
    process.settings.address = 7;
    StrBuf_Set(&process.settings.data_folder, Str_FromC(folder));
    process.timeline.logger = &process.logger;
    process.replica_set.settings = &process.settings;
    Lgr_Init(&process.logger, Lgr_ERROR, Str_LIT("vm1"), Loop_WallClock);
    Rng_Init(&process.rng, 1);
    ck_assert(Loop_Init(&process.loop, NULL));
    lock_folder(&process, folder, busy_cases[_i]);
    Ctl_Init(&process.control, &process.loop, &process.net, &process.counters,
             &process.timeline, &process.settings, &process.rng,
             &process.membership, &process.replica_set, &process.suspects,
             (Str){0}, (Str){0});
    ck_assert(!process.control.is_open);
    LoopTimer_Init(&process.timer, &process.loop, Span_MS(5), check, &process);
    Loop_Run(&process.loop);
    ck_assert(process.control.is_open);
    LoopTimer_Finish(&process.timer);
    Ctl_Finish(&process.control);
    Loop_Finish(&process.loop);
    Rng_Finish(&process.rng);
    Lgr_Finish(&process.logger);
    StrBuf_Finish(&process.settings.data_folder);
    remove_folder(folder);
}
END_TEST

int
main(void)
{
    const SuiteTest tests[] = {
        {opens_soon_after_the_other_has_ended, ROWS(busy_cases)},
    };

    return Suite_Run("folder in use", tests, ROWS(tests), 30);
}
