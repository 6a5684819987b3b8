/* The data folder of a control replica, and what is left of it after a torn
 * write, a changed byte, a lost file, a full disk. */
#include <fcntl.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/resource.h>
#include <sys/stat.h>
#include <unistd.h>

#include "support/suite.h"
#include "version/disk.h"

#define ROWS(table) (int)(sizeof(table) / sizeof(table)[0])

enum { IDENTITY = 77, FULL_BYTES = 4096 };

typedef struct {
    StrBuf folder;
    StrBuf seen; /* "vote T V;snapshot T I DATA;entry T I DATA;" */
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
    StrBuf_Finish(&folder->seen);
}

static bool
see_vote(void *context, uint64_t term, uint64_t voted_for, Err *err)
{
    (void)err;
    StrBuf_AppendFmt(context, "vote %llu %llu;", (unsigned long long)term,
                     (unsigned long long)voted_for);
    return true;
}

static bool
see_snapshot(void *context, uint64_t term, uint64_t index, Str data, Err *err)
{
    (void)err;
    StrBuf_AppendFmt(context, "snapshot %llu %llu %.*s;",
                     (unsigned long long)term, (unsigned long long)index,
                     Str_ARG(data));
    return true;
}

static bool
see_entry(void *context, const RaftEntry *entry, Err *err)
{
    (void)err;
    StrBuf_AppendFmt(context, "entry %llu %llu %.*s;",
                     (unsigned long long)entry->term,
                     (unsigned long long)entry->index, Str_ARG(entry->data));
    return true;
}

/* Open it as a restart does, and note what is there. */
static ErrCode
reopen(Folder *folder)
{
    ReplicaStorage disk;
    Err err = {0};
    StorageLoadCallbacks reader = {&folder->seen, see_vote, see_snapshot,
                                   see_entry};

    StrBuf_Clear(&folder->seen);
    if (Disk_Init(&disk, StrBuf_View(&folder->folder), IDENTITY + 1, &err)) {
        Disk_Load(&disk, &reader, &err);
        Disk_Finish(&disk);
    }
    return err.code;
}

typedef enum { END, VOTE, ENTRY, PAIR, CUT, SNAPSHOT } OpKind;

typedef struct {
    OpKind kind;
    uint64_t term;
    uint64_t index; /* of a vote: for whom */
} Op;

typedef struct {
    Op ops[8];
    Str seen;
} StoreCase;

static const StoreCase stores[] = {
    {{{END, 0, 0}}, Str_LIT("vote 0 0;")},
    {{{VOTE, 3, 9}, {VOTE, 4, 8}, {END, 0, 0}}, Str_LIT("vote 4 8;")},
    {{{ENTRY, 1, 1}, {ENTRY, 2, 2}, {END, 0, 0}},
     Str_LIT("vote 0 0;entry 1 1 x;entry 2 2 x;")},
    {{{PAIR, 1, 1}, {CUT, 0, 2}, {ENTRY, 2, 2}, {END, 0, 0}},
     Str_LIT("vote 0 0;entry 1 1 x;entry 2 2 x;")},
    {{{PAIR, 1, 1}, {PAIR, 1, 3}, {CUT, 0, 1}, {END, 0, 0}},
     Str_LIT("vote 0 0;")},
    {{{PAIR, 1, 1}, {PAIR, 1, 3}, {SNAPSHOT, 1, 3}, {END, 0, 0}},
     Str_LIT("vote 0 0;snapshot 1 3 s;entry 1 4 x;")},
    {{{PAIR, 1, 1}, {SNAPSHOT, 2, 2}, {ENTRY, 2, 3}, {END, 0, 0}},
     Str_LIT("vote 0 0;snapshot 2 2 s;entry 2 3 x;")},
    {{{PAIR, 1, 1}, {SNAPSHOT, 1, 9}, {ENTRY, 3, 10}, {END, 0, 0}},
     Str_LIT("vote 0 0;snapshot 1 9 s;entry 3 10 x;")},
};

static bool
apply(ReplicaStorage *disk, const Op *op, Err *err)
{
    const RaftEntry entries[] = {
        {op->term, op->index, Rlog_ENTRY_CHANGE, Str_LIT("x")},
        {op->term, op->index + 1, Rlog_ENTRY_CHANGE, Str_LIT("x")},
    };

    switch (op->kind) {
    case VOTE:
        return Disk_StoreVote(disk, op->term, op->index, err);
    case ENTRY:
        return Disk_StoreEntries(disk, entries, 1, err);
    case PAIR:
        return Disk_StoreEntries(disk, entries, 2, err);
    case CUT:
        return Disk_TruncateEntries(disk, op->index, err);
    case SNAPSHOT:
        return Disk_StoreSnapshot(disk, op->term, op->index, Str_LIT("s"),
                                  err);
    case END:
        break;
    }
    return true;
}

static void
fill(Folder *folder, const Op *ops)
{
    ReplicaStorage disk;
    Err err = {0};

    make_folder(folder);
    ck_assert(Disk_Init(&disk, StrBuf_View(&folder->folder), IDENTITY, &err));
    ck_assert(disk.is_new);
    for (int i = 0; ops[i].kind != END; i++) {
        ck_assert(apply(&disk, &ops[i], &err));
    }
    Disk_Finish(&disk);
}

START_TEST(restores_what_was_stored)
{
    const StoreCase *c = &stores[_i];
    Folder folder;
    ReplicaStorage disk;
    Err err = {0};

    fill(&folder, c->ops);
    ck_assert_int_eq(reopen(&folder), Err_NONE);
    ck_assert_msg(Str_Equal(StrBuf_View(&folder.seen), c->seen), "%.*s",
                  Str_ARG(folder.seen));
    ck_assert(Disk_Init(&disk, StrBuf_View(&folder.folder), 1, &err));
    ck_assert_uint_eq(disk.identity, IDENTITY);
    ck_assert(!disk.is_new);
    Disk_Finish(&disk);
    remove_folder(&folder);
}
END_TEST

static off_t
size_of(Folder *folder, const char *name)
{
    struct stat file;

    return stat(path_of(folder, name), &file) == 0 ? file.st_size : 0;
}

static const Op three[] = {{ENTRY, 1, 1}, {ENTRY, 1, 2}, {END, 0, 0}};
static const Op torn_pair[] = {{ENTRY, 1, 1}, {PAIR, 1, 2}, {END, 0, 0}};
static const Op torn_cut[] = {{ENTRY, 1, 1}, {CUT, 0, 1}, {END, 0, 0}};

typedef struct {
    const Op *ops; /* the last one is torn */
    bool zeros;    /* the file has its length, but not its bytes */
} TornCase;

static const TornCase torn[] = {
    {three, false}, {torn_pair, false}, {torn_cut, false},
    {three, true},  {torn_pair, true},  {torn_cut, true},
};

/* Leave BYTES of the log; ZEROS in place of the rest. */
static void
tear(Folder *folder, off_t bytes, bool zeros)
{
    off_t size = size_of(folder, "log");
    const char *log = path_of(folder, "log");

    ck_assert_int_eq(truncate(log, bytes), 0);
    if (zeros) {
        ck_assert_int_eq(truncate(log, size), 0);
    }
}

START_TEST(cuts_a_torn_last_record_at_every_byte)
{
    const TornCase *c = &torn[_i];
    const Op first[] = {c->ops[0], {END, 0, 0}};
    Folder folder;
    off_t start;
    off_t end;

    fill(&folder, first);
    start = size_of(&folder, "log");
    remove_folder(&folder);
    fill(&folder, c->ops);
    end = size_of(&folder, "log");
    remove_folder(&folder);
    for (off_t at = start; at < end; at++) {
        fill(&folder, c->ops);
        tear(&folder, at, c->zeros);
        ck_assert_int_eq(reopen(&folder), Err_NONE);
        ck_assert(Str_Equal(StrBuf_View(&folder.seen),
                            Str_LIT("vote 0 0;entry 1 1 x;")));
        ck_assert_int_eq(size_of(&folder, "log"), start);
        remove_folder(&folder);
    }
}
END_TEST

static const Op everything[] = {
    {VOTE, 3, 9},  {PAIR, 1, 1},  {SNAPSHOT, 1, 1},
    {ENTRY, 2, 3}, {ENTRY, 3, 4}, {END, 0, 0},
};

typedef struct {
    const char *file;
    bool but_last; /* the last frame is taken for a torn one */
} FlipCase;

static const FlipCase flips[] = {
    {"identity", false}, {"vote", false}, {"snapshot", false}, {"log", true}};

static void
flip(Folder *folder, const char *name, off_t at)
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
    const FlipCase *c = &flips[_i];
    Folder folder;
    off_t end;

    fill(&folder, everything);
    end = size_of(&folder, c->file);
    if (c->but_last) {
        end = end / 3 * 2; /* three frames of one entry each */
    }
    remove_folder(&folder);
    for (off_t at = 0; at < end; at++) {
        fill(&folder, everything);
        flip(&folder, c->file, at);
        ck_assert_msg(reopen(&folder) == Err_CORRUPT, "%s byte %d", c->file,
                      (int)at);
        remove_folder(&folder);
    }
}
END_TEST

static const char *const lost_files[] = {"identity", "vote", "log",
                                         "snapshot"};

START_TEST(reports_a_lost_file)
{
    Folder folder;

    fill(&folder, everything);
    ck_assert_int_eq(unlink(path_of(&folder, lost_files[_i])), 0);
    ck_assert_int_eq(reopen(&folder), Err_CORRUPT);
    remove_folder(&folder);
}
END_TEST

/* A write for which there is no room, and one that comes when there is room
 * again. */
typedef struct {
    OpKind fails;
    Op later;
} FullCase;

static const FullCase fulls[] = {
    {ENTRY, {ENTRY, 1, 2}},    {ENTRY, {VOTE, 3, 9}},
    {ENTRY, {CUT, 0, 1}},      {ENTRY, {SNAPSHOT, 1, 1}},
    {SNAPSHOT, {ENTRY, 1, 2}}, {SNAPSHOT, {VOTE, 3, 9}},
    {SNAPSHOT, {CUT, 0, 1}},   {SNAPSHOT, {SNAPSHOT, 1, 1}},
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
store_big(ReplicaStorage *disk, OpKind kind, Err *err)
{
    static char big[2 * FULL_BYTES];
    RaftEntry entry = {1, 2, Rlog_ENTRY_CHANGE, Str_From(big, sizeof big)};

    return kind == ENTRY ? Disk_StoreEntries(disk, &entry, 1, err)
                         : Disk_StoreSnapshot(disk, 1, 1, entry.data, err);
}

START_TEST(refuses_all_after_a_write_that_failed)
{
    const FullCase *c = &fulls[_i];
    const Op before[] = {{ENTRY, 1, 1}, {END, 0, 0}};
    Folder folder;
    ReplicaStorage disk;
    Err err = {0};

    fill(&folder, before);
    ck_assert(Disk_Init(&disk, StrBuf_View(&folder.folder), 1, &err));
    signal(SIGXFSZ, SIG_IGN);
    limit_files(FULL_BYTES);
    ck_assert(!store_big(&disk, c->fails, &err));
    ck_assert_int_eq(err.code, Err_IO);
    limit_files(RLIM_INFINITY);
    err = (Err){0};
    ck_assert(!apply(&disk, &c->later, &err));
    ck_assert_int_eq(err.code, Err_IO);
    Disk_Finish(&disk);
    ck_assert_int_eq(reopen(&folder), Err_NONE);
    ck_assert(Str_Equal(StrBuf_View(&folder.seen),
                        Str_LIT("vote 0 0;entry 1 1 x;")));
    remove_folder(&folder);
}
END_TEST

START_TEST(serves_one_process)
{
    Folder folder;
    ReplicaStorage first;
    ReplicaStorage second;
    Err err = {0};

    make_folder(&folder);
    ck_assert(Disk_Init(&first, StrBuf_View(&folder.folder), 1, &err));
    ck_assert(!Disk_Init(&second, StrBuf_View(&folder.folder), 2, &err));
    ck_assert_int_eq(err.code, Err_IO);
    Disk_Finish(&first);
    remove_folder(&folder);
}
END_TEST

int
main(void)
{
    const SuiteTest tests[] = {
        {restores_what_was_stored, ROWS(stores)},
        {cuts_a_torn_last_record_at_every_byte, ROWS(torn)},
        {reports_a_changed_byte, ROWS(flips)},
        {reports_a_lost_file, ROWS(lost_files)},
        {refuses_all_after_a_write_that_failed, ROWS(fulls)},
        {serves_one_process, 1},
    };

    return Suite_Run("disk", tests, ROWS(tests), 30);
}
