/* What a control replica's own data folder counts for, among the backend
 * servers that leave. */
#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/syscall.h>
#include <unistd.h>

#include "process/membership/leavesync.h"
#include "support/suite.h"

#define ROWS(table) (int)(sizeof(table) / sizeof(table)[0])

static bool syncs_fail;

/* In place of the C library's. */
int
fsync(int fd)
{
    if (syncs_fail) {
        errno = EIO;
        return -1;
    }
    return (int)syscall(SYS_fsync, fd);
}

static void
ignore_update(void *context, Instant now)
{
    (void)context;
    (void)now;
}

/* A process whose node is the only control replica. */
typedef struct {
    Addr replicas[1];
    Settings settings;
    ReplicaSet replica_set;
    Net net;
    Counters counters;
    Logger logger;
    LeaveSync sync;
} Process;

static void
start_process(Process *process, Str folder)
{
    *process = (Process){.replicas = {7}};
    process->settings.address = 7;
    process->settings.control = true;
    process->settings.replicas = process->replicas;
    process->settings.replica_count = 1;
    process->replica_set.settings = &process->settings;
    process->replica_set.is_member[0] = true;
    StrBuf_Set(&process->settings.data_folder, folder);
    Lgr_Init(&process->logger, Lgr_ERROR, Str_LIT("vm1"), Loop_WallClock);
    Lvs_Init(&process->sync, &process->net, &process->counters,
             &process->logger, &process->settings, &process->replica_set,
             ignore_update, NULL);
}

static void
end_process(Process *process)
{
    Lvs_Finish(&process->sync);
    Lgr_Finish(&process->logger);
    StrBuf_Finish(&process->settings.data_folder);
}

static const bool sync_cases[] = {true, false};

/* Guards against the failure that a backend server that has left is back after
 * a loss of power: the process that wrote the file may have ended before its
 * sync. */
START_TEST(counts_what_was_loaded_once_synced)
{
    static Process process;
    char name[] = "/tmp/test-leave-XXXXXX";
    Str folder = Str_FromC(mkdtemp(name));
    BackendStart start = Lvt_MakeStart(Str_LIT("backend"), 5);
    char file[64];
    Instant now = Loop_Now();

    start_process(&process, folder);
    Lvs_Record(&process.sync, start, now);
    Lvs_Tick(&process.sync, now);
    ck_assert(Lvs_IsConfirmed(&process.sync));
    end_process(&process);

    start_process(&process, folder);
    ck_assert(Lvt_StartsAreEqual(process.sync.own, start));
    syncs_fail = sync_cases[_i];
    Lvs_Tick(&process.sync, now);
    ck_assert_int_eq(Lvs_IsConfirmed(&process.sync), !syncs_fail);
    syncs_fail = false;
    Lvs_Tick(&process.sync, now + Span_S(1));
    ck_assert(Lvs_IsConfirmed(&process.sync));
    end_process(&process);
    snprintf(file, sizeof file, "%s/leaves", name);
    unlink(file);
    rmdir(name);
}
END_TEST

int
main(void)
{
    const SuiteTest tests[] = {
        {counts_what_was_loaded_once_synced, ROWS(sync_cases)},
    };

    return Suite_Run("leave sync", tests, ROWS(tests), 30);
}
