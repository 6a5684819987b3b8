/* The data folder of a control replica: what is read back after a restart,
 * after an interrupted write, a damaged byte, a missing file or a full disk.
 */
#include <fcntl.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/resource.h>
#include <sys/stat.h>
#include <sys/syscall.h>
#include <unistd.h>

#include "support/suite.h"
#include "version/disk.h"

#define ROWS(table) (int)(sizeof(table) / sizeof(table)[0])

enum { IDENTITY = 77, FILE_BYTES_MAX = 4096 };

typedef struct {
    StrBuf folder;
    StrBuf loaded; /* "vote T V;snapshot T I DATA;entry T I DATA;" */
} Folder;

static void
make_folder(Folder *folder)
{
    char name[] = "/tmp/test-disk-XXXXXX";

    *folder = (Folder){0};
    StrBuf_Set(&folder->folder, Str_FromC(mkdtemp(name)));
    StrBuf_Append(&folder->folder, Str_LIT("/data"));
}

static const char *
path_of(Folder *folder, const char *name)
{
    static StrBuf path;

    StrBuf_Clear(&path);
    StrBuf_AppendFmt(&path, "%.*s/%s", Str_ARG(folder->folder), name);
    return StrBuf_CStr(&path);
}

static void
remove_folder(Folder *folder)
{
    const char *const names[] = {"identity",     "vote",        "log",
                                 "snapshot",     "vote.new",    "log.new",
                                 "snapshot.new", "identity.new"};

    for (int i = 0; i < ROWS(names); i++) {
        unlink(path_of(folder, names[i]));
    }
    rmdir(path_of(folder, ""));
    rmdir(path_of(folder, "/.."));
    StrBuf_Finish(&folder->folder);
    StrBuf_Finish(&folder->loaded);
}

static bool
append_vote(void *context, uint64_t term, uint64_t voted_for, Err *err)
{
    (void)err;
    StrBuf_AppendFmt(context, "vote %llu %llu;", (unsigned long long)term,
                     (unsigned long long)voted_for);
    return true;
}

static bool
append_snapshot(void *context, uint64_t term, uint64_t index, Str data,
                Err *err)
{
    (void)err;
    StrBuf_AppendFmt(context, "snapshot %llu %llu %.*s;",
                     (unsigned long long)term, (unsigned long long)index,
                     Str_ARG(data));
    return true;
}

static bool
append_entry(void *context, const RaftEntry *entry, Err *err)
{
    (void)err;
    StrBuf_AppendFmt(context, "entry %llu %llu %.*s;",
                     (unsigned long long)entry->term,
                     (unsigned long long)entry->index, Str_ARG(entry->data));
    return true;
}

/* Opens the folder as a restarted process does, and lists its data in loaded.
 * Returns the error code. */
static ErrCode
reopen_and_load(Folder *folder)
{
    ReplicaStorage storage;
    Err err = {0};
    StorageLoadCallbacks callbacks = {&folder->loaded, append_vote,
                                      append_snapshot, append_entry};

    StrBuf_Clear(&folder->loaded);
    if (Disk_Init(&storage, StrBuf_View(&folder->folder), IDENTITY + 1,
                  &err)) {
        Disk_Load(&storage, &callbacks, &err);
        Disk_Finish(&storage);
    }
    return err.code;
}

typedef enum { END, VOTE, ENTRY, TWO_ENTRIES, TRUNCATE, SNAPSHOT } OpKind;

typedef struct {
    OpKind kind;
    uint64_t term;
    uint64_t index; /* of a vote: the identity voted for */
} Op;

typedef struct {
    Op ops[8];
    Str loaded;
} StoreCase;

static const StoreCase store_cases[] = {
    {{{END, 0, 0}}, Str_LIT("vote 0 0;")},
    {{{VOTE, 3, 9}, {VOTE, 4, 8}, {END, 0, 0}}, Str_LIT("vote 4 8;")},
    {{{ENTRY, 1, 1}, {ENTRY, 2, 2}, {END, 0, 0}},
     Str_LIT("vote 0 0;entry 1 1 x;entry 2 2 x;")},
    {{{TWO_ENTRIES, 1, 1}, {TRUNCATE, 0, 2}, {ENTRY, 2, 2}, {END, 0, 0}},
     Str_LIT("vote 0 0;entry 1 1 x;entry 2 2 x;")},
    {{{TWO_ENTRIES, 1, 1}, {TWO_ENTRIES, 1, 3}, {TRUNCATE, 0, 1}, {END, 0, 0}},
     Str_LIT("vote 0 0;")},
    {{{TWO_ENTRIES, 1, 1}, {TWO_ENTRIES, 1, 3}, {SNAPSHOT, 1, 3}, {END, 0, 0}},
     Str_LIT("vote 0 0;snapshot 1 3 s;entry 1 4 x;")},
    {{{TWO_ENTRIES, 1, 1}, {SNAPSHOT, 2, 2}, {ENTRY, 2, 3}, {END, 0, 0}},
     Str_LIT("vote 0 0;snapshot 2 2 s;entry 2 3 x;")},
    {{{TWO_ENTRIES, 1, 1}, {SNAPSHOT, 1, 9}, {ENTRY, 3, 10}, {END, 0, 0}},
     Str_LIT("vote 0 0;snapshot 1 9 s;entry 3 10 x;")},
    {{{VOTE, 3, 9}, {ENTRY, 3, 1}, {VOTE, 4, 0}, {VOTE, 4, 7}, {END, 0, 0}},
     Str_LIT("vote 4 7;entry 3 1 x;")},
    {{{TWO_ENTRIES, 1, 1}, {VOTE, 5, 8}, {SNAPSHOT, 1, 1}, {END, 0, 0}},
     Str_LIT("vote 5 8;snapshot 1 1 s;entry 1 2 x;")},
    {{{VOTE, 5, 8}, {SNAPSHOT, 1, 9}, {ENTRY, 5, 10}, {END, 0, 0}},
     Str_LIT("vote 5 8;snapshot 1 9 s;entry 5 10 x;")},
};

static int sync_count;

/* In place of the C library's, to count them. */
int
fsync(int fd)
{
    sync_count++;
    return (int)syscall(SYS_fsync, fd);
}

static bool
store_operation(ReplicaStorage *storage, const Op *op, Err *err)
{
    const RaftEntry entries[] = {
        {op->term, op->index, Rlog_ENTRY_CHANGE, Str_LIT("x")},
        {op->term, op->index + 1, Rlog_ENTRY_CHANGE, Str_LIT("x")},
    };

    switch (op->kind) {
    case VOTE:
        return Disk_StoreVote(storage, op->term, op->index, err);
    case ENTRY:
        return Disk_StoreEntries(storage, entries, 1, err);
    case TWO_ENTRIES:
        return Disk_StoreEntries(storage, entries, 2, err);
    case TRUNCATE:
        return Disk_TruncateEntries(storage, op->index, err);
    case SNAPSHOT:
        return Disk_StoreSnapshot(storage, op->term, op->index, Str_LIT("s"),
                                  err);
    case END:
        break;
    }
    return true;
}

static void
store_operations(Folder *folder, const Op *ops)
{
    ReplicaStorage storage;
    Err err = {0};

    make_folder(folder);
    ck_assert(
        Disk_Init(&storage, StrBuf_View(&folder->folder), IDENTITY, &err));
    ck_assert(storage.is_new);
    for (int i = 0; ops[i].kind != END; i++) {
        ck_assert(store_operation(&storage, &ops[i], &err));
    }
    Disk_Finish(&storage);
}

START_TEST(restores_what_was_stored)
{
    const StoreCase *c = &store_cases[_i];
    Folder folder;
    ReplicaStorage storage;
    Err err = {0};

    store_operations(&folder, c->ops);
    ck_assert_int_eq(reopen_and_load(&folder), Err_NONE);
    ck_assert_msg(Str_Equal(StrBuf_View(&folder.loaded), c->loaded), "%.*s",
                  Str_ARG(folder.loaded));
    ck_assert(Disk_Init(&storage, StrBuf_View(&folder.folder), 1, &err));
    ck_assert_uint_eq(storage.identity, IDENTITY);
    ck_assert(!storage.is_new);
    Disk_Finish(&storage);
    remove_folder(&folder);
}
END_TEST

/* Guards against the failure that an election waits for more syncs than it has
 * time for. */
START_TEST(vote_takes_one_sync)
{
    Folder folder;
    ReplicaStorage storage;
    Err err = {0};

    make_folder(&folder);
    ck_assert(
        Disk_Init(&storage, StrBuf_View(&folder.folder), IDENTITY, &err));
    sync_count = 0;
    ck_assert(Disk_StoreVote(&storage, 3, 9, &err));
    ck_assert_int_eq(sync_count, 1);
    Disk_Finish(&storage);
    remove_folder(&folder);
}
END_TEST

static off_t
file_size(Folder *folder, const char *name)
{
    struct stat file;

    return stat(path_of(folder, name), &file) == 0 ? file.st_size : 0;
}

static const Op torn_entry[] = {{ENTRY, 1, 1}, {ENTRY, 1, 2}, {END, 0, 0}};
static const Op torn_two_entries[] = {
    {ENTRY, 1, 1}, {TWO_ENTRIES, 1, 2}, {END, 0, 0}};
static const Op torn_truncation[] = {
    {ENTRY, 1, 1}, {TRUNCATE, 0, 1}, {END, 0, 0}};

typedef struct {
    const Op *ops;    /* the last one is interrupted */
    bool zero_filled; /* the file has its full length, the rest is zeros */
} TornCase;

static const TornCase torn_cases[] = {
    {torn_entry, false}, {torn_two_entries, false}, {torn_truncation, false},
    {torn_entry, true},  {torn_two_entries, true},  {torn_truncation, true},
};

/* Keeps the first BYTES of the log.  With ZERO_FILLED, the log keeps its
 * length and the rest is zeros. */
static void
tear_log(Folder *folder, off_t bytes, bool zero_filled)
{
    off_t size = file_size(folder, "log");
    const char *log = path_of(folder, "log");

    ck_assert_int_eq(truncate(log, bytes), 0);
    if (zero_filled) {
        ck_assert_int_eq(truncate(log, size), 0);
    }
}

START_TEST(truncates_a_last_frame_torn_at_any_byte)
{
    const TornCase *c = &torn_cases[_i];
    const Op first[] = {c->ops[0], {END, 0, 0}};
    Folder folder;
    off_t start;
    off_t end;

    store_operations(&folder, first);
    start = file_size(&folder, "log");
    remove_folder(&folder);
    store_operations(&folder, c->ops);
    end = file_size(&folder, "log");
    remove_folder(&folder);
    for (off_t at = start; at < end; at++) {
        store_operations(&folder, c->ops);
        tear_log(&folder, at, c->zero_filled);
        ck_assert_int_eq(reopen_and_load(&folder), Err_NONE);
        ck_assert(Str_Equal(StrBuf_View(&folder.loaded),
                            Str_LIT("vote 0 0;entry 1 1 x;")));
        ck_assert_int_eq(file_size(&folder, "log"), start);
        remove_folder(&folder);
    }
}
END_TEST

static const Op all_kinds[] = {
    {VOTE, 3, 9},  {TWO_ENTRIES, 1, 1}, {SNAPSHOT, 1, 1},
    {ENTRY, 2, 3}, {ENTRY, 3, 4},       {END, 0, 0},
};

typedef struct {
    const char *file;
    bool except_last_frame; /* damage there looks like a torn write */
} FlipCase;

static const FlipCase flip_cases[] = {
    {"identity", false}, {"vote", false}, {"snapshot", false}, {"log", true}};

static void
flip_bit(Folder *folder, const char *name, off_t at)
{
    int fd = open(path_of(folder, name), O_RDWR);
    char byte;

    ck_assert_int_eq(pread(fd, &byte, 1, at), 1);
    byte = (char)(byte ^ 0x40);
    ck_assert_int_eq(pwrite(fd, &byte, 1, at), 1);
    close(fd);
}

START_TEST(reports_a_changed_byte)
{
    const FlipCase *c = &flip_cases[_i];
    Folder folder;
    off_t end;

    store_operations(&folder, all_kinds);
    end = file_size(&folder, c->file);
    if (c->except_last_frame) {
        end = end / 3 * 2; /* three frames of one entry each */
    }
    remove_folder(&folder);
    for (off_t at = 0; at < end; at++) {
        store_operations(&folder, all_kinds);
        flip_bit(&folder, c->file, at);
        ck_assert_msg(reopen_and_load(&folder) == Err_CORRUPT, "%s byte %d",
                      c->file, (int)at);
        remove_folder(&folder);
    }
}
END_TEST

/* Guards against the failure that whole frames are taken for the rest of an
 * interrupted write and removed. */
START_TEST(reports_zeros_before_a_whole_frame)
{
    static const char zeros[FILE_BYTES_MAX];
    Folder folder;
    off_t end;

    store_operations(&folder, all_kinds);
    end = file_size(&folder, "log") / 2; /* whole frames follow it */
    remove_folder(&folder);
    for (off_t len = 1; len <= end; len++) {
        int fd;

        store_operations(&folder, all_kinds);
        fd = open(path_of(&folder, "log"), O_RDWR);
        ck_assert_int_eq(pwrite(fd, zeros, (size_t)len, 0), len);
        close(fd);
        ck_assert_int_eq(reopen_and_load(&folder), Err_CORRUPT);
        remove_folder(&folder);
    }
}
END_TEST

static const char *const missing_files[] = {"identity", "vote", "log",
                                            "snapshot"};

START_TEST(reports_a_missing_file)
{
    Folder folder;

    store_operations(&folder, all_kinds);
    ck_assert_int_eq(unlink(path_of(&folder, missing_files[_i])), 0);
    ck_assert_int_eq(reopen_and_load(&folder), Err_CORRUPT);
    remove_folder(&folder);
}
END_TEST

/* A write that fails for lack of space, and one that follows when there is
 * space again. */
typedef struct {
    OpKind fails; /* ENTRY or SNAPSHOT */
    Op later;
} FullCase;

static const FullCase full_disk_cases[] = {
    {ENTRY, {ENTRY, 1, 2}},       {ENTRY, {VOTE, 3, 9}},
    {ENTRY, {TRUNCATE, 0, 1}},    {ENTRY, {SNAPSHOT, 1, 1}},
    {SNAPSHOT, {ENTRY, 1, 2}},    {SNAPSHOT, {VOTE, 3, 9}},
    {SNAPSHOT, {TRUNCATE, 0, 1}}, {SNAPSHOT, {SNAPSHOT, 1, 1}},
};

static void
limit_files(rlim_t bytes)
{
    struct rlimit limit;

    ck_assert_int_eq(getrlimit(RLIMIT_FSIZE, &limit), 0);
    limit.rlim_cur = bytes < limit.rlim_max ? bytes : limit.rlim_max;
    ck_assert_int_eq(setrlimit(RLIMIT_FSIZE, &limit), 0);
}

static bool
store_big(ReplicaStorage *storage, OpKind kind, Err *err)
{
    static char big[2 * FILE_BYTES_MAX];
    RaftEntry entry = {1, 2, Rlog_ENTRY_CHANGE, Str_From(big, sizeof big)};

    return kind == ENTRY ? Disk_StoreEntries(storage, &entry, 1, err)
                         : Disk_StoreSnapshot(storage, 1, 1, entry.data, err);
}

START_TEST(rejects_writes_after_a_failed_write)
{
    const FullCase *c = &full_disk_cases[_i];
    const Op before[] = {{ENTRY, 1, 1}, {END, 0, 0}};
    Folder folder;
    ReplicaStorage storage;
    Err err = {0};

    store_operations(&folder, before);
    ck_assert(Disk_Init(&storage, StrBuf_View(&folder.folder), 1, &err));
    signal(SIGXFSZ, SIG_IGN);
    limit_files(FILE_BYTES_MAX);
    ck_assert(!store_big(&storage, c->fails, &err));
    ck_assert_int_eq(err.code, Err_IO);
    limit_files(RLIM_INFINITY);
    err = (Err){0};
    ck_assert(!store_operation(&storage, &c->later, &err));
    ck_assert_int_eq(err.code, Err_IO);
    Disk_Finish(&storage);
    ck_assert_int_eq(reopen_and_load(&folder), Err_NONE);
    ck_assert(Str_Equal(StrBuf_View(&folder.loaded),
                        Str_LIT("vote 0 0;entry 1 1 x;")));
    remove_folder(&folder);
}
END_TEST

/* Guards against the failure that a cut log has a frame that is too large to
 * be read. */
START_TEST(keeps_many_large_entries_after_a_snapshot)
{
    enum { COUNT = 34, LARGE_BYTES = 512 * 1024 };
    static char large[LARGE_BYTES];
    Folder folder;
    ReplicaStorage storage;
    Err err = {0};
    StrBuf expected = {0};

    make_folder(&folder);
    StrBuf_Set(&expected, Str_LIT("vote 0 0;snapshot 1 1 s;"));
    ck_assert(
        Disk_Init(&storage, StrBuf_View(&folder.folder), IDENTITY, &err));
    for (uint64_t i = 1; i <= COUNT; i++) {
        RaftEntry entry = {1, i, Rlog_ENTRY_CHANGE,
                           Str_From(large, sizeof large)};
        ck_assert(Disk_StoreEntries(&storage, &entry, 1, &err));
        if (i > 1) {
            StrBuf_AppendFmt(&expected, "entry 1 %llu ;",
                             (unsigned long long)i);
        }
    }
    ck_assert(Disk_StoreSnapshot(&storage, 1, 1, Str_LIT("s"), &err));
    Disk_Finish(&storage);
    ck_assert_int_eq(reopen_and_load(&folder), Err_NONE);
    ck_assert(Str_Equal(StrBuf_View(&folder.loaded), StrBuf_View(&expected)));
    StrBuf_Finish(&expected);
    remove_folder(&folder);
}
END_TEST

START_TEST(rejects_a_second_opener)
{
    Folder folder;
    ReplicaStorage first;
    ReplicaStorage second;
    Err err = {0};

    make_folder(&folder);
    ck_assert(Disk_Init(&first, StrBuf_View(&folder.folder), 1, &err));
    ck_assert(!Disk_Init(&second, StrBuf_View(&folder.folder), 2, &err));
    ck_assert_int_eq(err.code, Err_BUSY);
    Disk_Finish(&first);
    remove_folder(&folder);
}
END_TEST

int
main(void)
{
    const SuiteTest tests[] = {
        {restores_what_was_stored, ROWS(store_cases)},
        {vote_takes_one_sync, 1},
        {truncates_a_last_frame_torn_at_any_byte, ROWS(torn_cases)},
        {reports_a_changed_byte, ROWS(flip_cases)},
        {reports_zeros_before_a_whole_frame, 1},
        {reports_a_missing_file, ROWS(missing_files)},
        {rejects_writes_after_a_failed_write, ROWS(full_disk_cases)},
        {keeps_many_large_entries_after_a_snapshot, 1},
        {rejects_a_second_opener, 1},
    };

    return Suite_Run("disk", tests, ROWS(tests), 30);
}
