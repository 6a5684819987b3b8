/* The data folder of a control replica after a loss of power at any moment,
 * also after a killed process or a failed operation.  The functions below
 * stand in place of the C library's and record what a sync covers; each
 * state that a disk may be left in is then built and opened.
 */
#include <errno.h>
#include <fcntl.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <sys/syscall.h>
#include <unistd.h>

#include "support/suite.h"
#include "version/disk.h"
#include "version/frame.h"

#define ROWS(table) (int)(sizeof(table) / sizeof(table)[0])

enum {
    OPERATIONS_MAX = 256,
    FILES_MAX = 64,
    FDS_MAX = 256,
    PROMISES_MAX = 64,
    STEPS_MAX = 8,
    CHECKED_MAX = 16384,
    PATH_BYTES = 256,
    ROOT_BYTES = 64,
    BYTES_MAX = 512, /* of one write */
    NEVER = -1,
};

typedef enum { NAME, RENAME, WRITE, CUT, SYNC, SYNC_FAILED } OperationKind;

/* One operation on the disk.  File 0 is the folder that was there before. */
typedef struct {
    OperationKind kind;
    int file;   /* that is named, written, cut or synced */
    int folder; /* of the name */
    char name[16];
    char old_name[16]; /* RENAME */
    size_t offset;     /* WRITE; of CUT the new length */
    size_t len;
    char bytes[BYTES_MAX];
} Operation;

static struct {
    bool on;
    Operation operations[OPERATIONS_MAX];
    int count;
    int file_count;
    bool is_folder[FILES_MAX];
    int file_of_fd[FDS_MAX];
    char root[ROOT_BYTES];
    int fault_at;  /* number of the operation that fails; NEVER */
    bool is_kill;  /* all operations after it fail too */
    bool is_alive; /* the process goes on */
} disk;

static void
copy_text(char *to, size_t size, const char *from)
{
    size_t len = strlen(from);

    ck_assert_uint_lt(len, size);
    memcpy(to, from, len + 1);
}

static int
fail_io(void)
{
    errno = EIO;
    return -1;
}

/* Adds an operation; NULL: it fails. */
static Operation *
add_operation(OperationKind kind, int file)
{
    Operation *operation = &disk.operations[disk.count];

    if (disk.count == disk.fault_at) {
        disk.fault_at = NEVER;
        disk.is_alive = !disk.is_kill;
        if (kind != SYNC || disk.is_kill) {
            return NULL;
        }
        kind = SYNC_FAILED;
    }
    if (!disk.is_alive) {
        return NULL;
    }
    ck_assert_int_lt(disk.count, OPERATIONS_MAX);
    *operation = (Operation){.kind = kind, .file = file};
    disk.count++;
    return operation;
}

static int
find_name(int folder, const char *name)
{
    int file = NEVER;

    for (int i = 0; i < disk.count; i++) {
        const Operation *operation = &disk.operations[i];
        if (operation->folder != folder || operation->kind > RENAME) {
            continue;
        }
        if (strcmp(operation->name, name) == 0) {
            file = operation->file;
        }
        else if (strcmp(operation->old_name, name) == 0) {
            file = NEVER;
        }
    }
    return file;
}

static void
set_name(Operation *operation, int folder, const char *name)
{
    operation->folder = folder;
    copy_text(operation->name, sizeof operation->name, name);
}

/* Names a new file in FOLDER. */
static int
add_file(int folder, const char *name, bool is_folder)
{
    Operation *operation = add_operation(NAME, disk.file_count);

    if (!operation) {
        return NEVER;
    }
    set_name(operation, folder, name);
    disk.is_folder[disk.file_count] = is_folder;
    return disk.file_count++;
}

/* Finds the folder that PATH is in, or NEVER, and the last name in PATH. */
static int
find_folder(const char *path, char *name)
{
    size_t skip = strlen(disk.root);
    char names[PATH_BYTES];
    char *rest = names;
    char *part;
    int file = 0;

    name[0] = '\0';
    if (!disk.on || strncmp(path, disk.root, skip) != 0) {
        return NEVER;
    }
    copy_text(names, sizeof names, path + skip);
    while ((part = strsep(&rest, "/"))) {
        if (*part) {
            file = *name ? find_name(file, name) : file;
            copy_text(name, PATH_BYTES, part);
        }
    }
    return file;
}

int
mkdir(const char *path, mode_t mode)
{
    char name[PATH_BYTES];
    int folder = find_folder(path, name);

    if (folder != NEVER && find_name(folder, name) == NEVER &&
        add_file(folder, name, true) == NEVER) {
        return fail_io();
    }
    return (int)syscall(SYS_mkdirat, AT_FDCWD, path, mode);
}

int
open(const char *path, int flags, ...)
{
    int fd = (int)syscall(SYS_openat, AT_FDCWD, path, flags, 0);
    char name[PATH_BYTES];
    int folder = find_folder(path, name);

    if (fd >= 0 && fd < FDS_MAX && folder != NEVER) {
        disk.file_of_fd[fd] = *name ? find_name(folder, name) : folder;
    }
    return fd;
}

static bool
open_recorded(int folder, const char *name, int flags, int *file)
{
    Operation *operation;

    *file = find_name(folder, name);
    if (*file == NEVER && flags & O_CREAT) {
        *file = add_file(folder, name, false);
        return *file != NEVER;
    }
    if (*file != NEVER && flags & O_TRUNC) {
        operation = add_operation(CUT, *file);
        return operation != NULL;
    }
    return true;
}

int
openat(int folder_fd, const char *name, int flags, ...)
{
    int file = NEVER;
    int fd;

    if (disk.on &&
        !open_recorded(disk.file_of_fd[folder_fd], name, flags, &file)) {
        return fail_io();
    }
    fd = (int)syscall(SYS_openat, folder_fd, name, flags, 0600);
    if (disk.on && fd >= 0 && fd < FDS_MAX) {
        disk.file_of_fd[fd] = file;
    }
    return fd;
}

ssize_t
write(int fd, const void *bytes, size_t len)
{
    struct stat file;

    if (disk.on) {
        Operation *operation = add_operation(WRITE, disk.file_of_fd[fd]);
        if (!operation) {
            return fail_io();
        }
        ck_assert_uint_le(len, BYTES_MAX);
        ck_assert_int_eq(fstat(fd, &file), 0);
        operation->offset = (size_t)file.st_size;
        operation->len = len;
        memcpy(operation->bytes, bytes, len);
    }
    return syscall(SYS_write, fd, bytes, len);
}

int
ftruncate(int fd, off_t len)
{
    if (disk.on) {
        Operation *operation = add_operation(CUT, disk.file_of_fd[fd]);
        if (!operation) {
            return fail_io();
        }
        operation->offset = (size_t)len;
    }
    return (int)syscall(SYS_ftruncate, fd, len);
}

int
renameat(int from_fd, const char *from, int to_fd, const char *to)
{
    if (disk.on) {
        int folder = disk.file_of_fd[from_fd];
        Operation *operation = add_operation(RENAME, find_name(folder, from));
        if (!operation) {
            return fail_io();
        }
        set_name(operation, folder, to);
        copy_text(operation->old_name, sizeof operation->old_name, from);
    }
    return (int)syscall(SYS_renameat2, from_fd, from, to_fd, to, 0);
}

int
fsync(int fd)
{
    Operation *operation;

    if (!disk.on) {
        return 0;
    }
    operation = add_operation(SYNC, disk.file_of_fd[fd]);
    return operation && operation->kind == SYNC ? 0 : fail_io();
}

/* Whether a later sync covers operation I, when the power fails before
 * operation END.  A sync that failed leaves writes that no other covers. */
static bool
is_synced(int i, int end)
{
    const Operation *operation = &disk.operations[i];
    bool is_name = operation->kind <= RENAME;
    int file = is_name ? operation->folder : operation->file;

    for (int at = i + 1; at < end; at++) {
        const Operation *later = &disk.operations[at];
        if (later->file != file || later->kind < SYNC) {
            continue;
        }
        if (later->kind == SYNC || !is_name) {
            return later->kind == SYNC;
        }
    }
    return false;
}

/* What remains of an operation that no sync covers. */
typedef enum { WHOLE, GONE, FIRST_HALF, ZEROS, SECOND_HALF, REMAINS } Remains;

static int
count_choices(int i, int end)
{
    if (disk.operations[i].kind >= SYNC || is_synced(i, end)) {
        return 1;
    }
    return disk.operations[i].kind == WRITE ? REMAINS : 2;
}

static void
write_remains(const char *path, const Operation *operation, Remains remains)
{
    static const char zeros[BYTES_MAX];
    size_t half = operation->len / 2;
    int fd = (int)syscall(SYS_openat, AT_FDCWD, path, O_WRONLY, 0);
    off_t at = (off_t)operation->offset;
    const char *bytes = operation->bytes;

    ck_assert_int_ge(fd, 0);
    if (remains == WHOLE || remains == FIRST_HALF) {
        ck_assert_int_ge(
            pwrite(fd, bytes, remains == WHOLE ? operation->len : half, at),
            0);
    }
    else if (remains != GONE) {
        ck_assert_int_ge(pwrite(fd, zeros, operation->len, at), 0);
    }
    if (remains == SECOND_HALF) {
        ck_assert_int_ge(
            pwrite(fd, bytes + half, operation->len - half, at + (off_t)half),
            0);
    }
    close(fd);
}

typedef struct {
    char paths[FILES_MAX][PATH_BYTES]; /* empty: the file has no name */
    Remains remains[OPERATIONS_MAX];
} Leftover;

/* Gives the files their names, those of a folder after the folder's own. */
static void
name_files(Leftover *left, int end)
{
    for (int i = 0; i < end; i++) {
        const Operation *operation = &disk.operations[i];
        const char *folder = left->paths[operation->folder];
        char path[PATH_BYTES + 16];

        if (operation->kind > RENAME || left->remains[i] == GONE || !*folder) {
            continue;
        }
        snprintf(path, sizeof path, "%s/%s", folder, operation->name);
        for (int file = 0; file < disk.file_count; file++) {
            if (strcmp(left->paths[file], path) == 0) {
                left->paths[file][0] = '\0';
            }
        }
        copy_text(left->paths[operation->file], PATH_BYTES, path);
    }
}

static void
build_leftover(const Leftover *left, int end)
{
    for (int file = 1; file < disk.file_count; file++) {
        const char *path = left->paths[file];
        if (*path && disk.is_folder[file]) {
            ck_assert_int_eq(mkdir(path, 0700), 0);
        }
        else if (*path) {
            int fd = (int)syscall(SYS_openat, AT_FDCWD, path,
                                  O_WRONLY | O_CREAT, 0600);
            ck_assert_int_ge(fd, 0);
            close(fd);
        }
    }
    for (int i = 0; i < end; i++) {
        const Operation *operation = &disk.operations[i];
        const char *path = left->paths[operation->file];
        if (operation->kind == WRITE && *path) {
            write_remains(path, operation, left->remains[i]);
        }
        if (operation->kind == CUT && *path && left->remains[i] != GONE) {
            ck_assert_int_eq(truncate(path, (off_t)operation->offset), 0);
        }
    }
}

static void
remove_files(const char *root)
{
    static const char *const names[] = {
        "data/control/identity", "data/control/identity.new",
        "data/control/vote",     "data/control/vote.new",
        "data/control/log",      "data/control/log.new",
        "data/control/snapshot", "data/control/snapshot.new",
        "data/control",          "data"};
    char path[PATH_BYTES];

    for (int i = 0; i < ROWS(names); i++) {
        snprintf(path, sizeof path, "%s/%s", root, names[i]);
        remove(path);
    }
}

/* What was loaded: "vote T V;snapshot T I DATA;entry T I DATA;". */
typedef struct {
    StrBuf text;
    uint64_t last_term;
    uint64_t last_index;
} Loaded;

static bool
append_vote(void *context, uint64_t term, uint64_t voted_for, Err *err)
{
    (void)err;
    StrBuf_AppendFmt(&((Loaded *)context)->text, "vote %llu %llu;",
                     (unsigned long long)term, (unsigned long long)voted_for);
    return true;
}

static bool
append_snapshot(void *context, uint64_t term, uint64_t index, Str data,
                Err *err)
{
    Loaded *loaded = context;

    (void)err;
    loaded->last_term = term;
    loaded->last_index = index;
    StrBuf_AppendFmt(&loaded->text, "snapshot %llu %llu %.*s;",
                     (unsigned long long)term, (unsigned long long)index,
                     Str_ARG(data));
    return true;
}

static bool
append_entry(void *context, const RaftEntry *entry, Err *err)
{
    Loaded *loaded = context;

    (void)err;
    loaded->last_term = entry->term;
    loaded->last_index = entry->index;
    StrBuf_AppendFmt(&loaded->text, "entry %llu %llu %.*s;",
                     (unsigned long long)entry->term,
                     (unsigned long long)entry->index, Str_ARG(entry->data));
    return true;
}

static bool
open_and_load(ReplicaStorage *storage, const char *root, uint64_t identity,
              Loaded *loaded, Err *err)
{
    StorageLoadCallbacks callbacks = {loaded, append_vote, append_snapshot,
                                      append_entry};
    char path[PATH_BYTES + 16];

    StrBuf_Clear(&loaded->text);
    loaded->last_term = loaded->last_index = 0;
    snprintf(path, sizeof path, "%s/data", root);
    if (!Frm_MakeFolder(Str_FromC(path), err)) {
        return false;
    }
    snprintf(path, sizeof path, "%s/data/control", root);
    if (!Disk_Init(storage, Str_FromC(path), identity, err)) {
        return false;
    }
    if (!Disk_Load(storage, &callbacks, err)) {
        Disk_Finish(storage);
        return false;
    }
    return true;
}

typedef enum { END, VOTE, ENTRY, TWO_ENTRIES, TRUNCATE, SNAPSHOT } StepKind;

typedef struct {
    StepKind kind;
    uint64_t term;
    uint64_t index; /* of a vote: the identity voted for */
} Step;

static bool
store_step(ReplicaStorage *storage, const Step *step, Err *err)
{
    const RaftEntry entries[] = {
        {step->term, step->index, Rlog_ENTRY_CHANGE, Str_LIT("x")},
        {step->term, step->index + 1, Rlog_ENTRY_CHANGE, Str_LIT("x")},
    };

    switch (step->kind) {
    case VOTE:
        return Disk_StoreVote(storage, step->term, step->index, err);
    case ENTRY:
        return Disk_StoreEntries(storage, entries, 1, err);
    case TWO_ENTRIES:
        return Disk_StoreEntries(storage, entries, 2, err);
    case TRUNCATE:
        return Disk_TruncateEntries(storage, step->index, err);
    case SNAPSHOT:
        return Disk_StoreSnapshot(storage, step->term, step->index,
                                  Str_LIT("s"), err);
    case END:
        break;
    }
    return true;
}

/* From operation AT on, the folder holds one of two states: that after LOW
 * steps, or that after HIGH steps while one more runs or has failed. */
typedef struct {
    int at;
    int low;
    int high;
    uint64_t identity; /* 0: none is promised yet */
} Promise;

typedef struct {
    const Step *steps;
    int step_count;
    StrBuf states[STEPS_MAX + 1];
    Promise promises[PROMISES_MAX];
    int promise_count;
    uint64_t checked[CHECKED_MAX]; /* hashes of states */
    int state_count;
    char other_root[ROOT_BYTES]; /* for what a loss of power leaves */
} Trial;

static void
promise(Trial *trial, int low, int high, uint64_t identity)
{
    ck_assert_int_lt(trial->promise_count, PROMISES_MAX);
    trial->promises[trial->promise_count++] =
        (Promise){disk.count, low, high, identity};
}

static bool
is_state(const Trial *trial, int number, const Loaded *loaded)
{
    return Str_Equal(StrBuf_View(&trial->states[number]),
                     StrBuf_View(&loaded->text));
}

/* Lists the state after each step, from folders without any fault. */
static void
list_states(Trial *trial)
{
    for (int count = 0; count <= trial->step_count; count++) {
        ReplicaStorage storage;
        Loaded loaded = {0};
        Err err = {0};

        ck_assert(
            open_and_load(&storage, trial->other_root, 1, &loaded, &err));
        for (int i = 0; i < count; i++) {
            ck_assert(store_step(&storage, &trial->steps[i], &err));
        }
        Disk_Finish(&storage);
        ck_assert(
            open_and_load(&storage, trial->other_root, 1, &loaded, &err));
        Disk_Finish(&storage);
        trial->states[count] = loaded.text;
        remove_files(trial->other_root);
    }
}

/* One process: opens the folder and takes the steps that it does not hold.
 * Returns false when it ends early. */
static bool
run_process(Trial *trial, uint64_t identity, int *done)
{
    ReplicaStorage storage;
    Loaded loaded = {0};
    Err err = {0};
    bool good = open_and_load(&storage, disk.root, identity, &loaded, &err);

    ck_assert_msg(err.code != Err_CORRUPT, "%.*s", (int)err.text_len,
                  err.text);
    if (!good) {
        StrBuf_Finish(&loaded.text);
        return false;
    }
    if (*done < trial->step_count && !is_state(trial, *done, &loaded)) {
        ++*done;
    }
    ck_assert_msg(is_state(trial, *done, &loaded), "%.*s",
                  Str_ARG(loaded.text));
    StrBuf_Finish(&loaded.text);
    identity = storage.identity;
    promise(trial, *done, *done, identity);
    while (good && *done < trial->step_count) {
        promise(trial, *done, *done + 1, identity);
        good = store_step(&storage, &trial->steps[*done], &err);
        if (good) {
            ++*done;
            promise(trial, *done, *done, identity);
        }
    }
    Disk_Finish(&storage);
    return good;
}

/* Records all steps, with a fault at one operation.  Returns false when there
 * is no such operation. */
static bool
record_steps(Trial *trial, int fault_at, bool is_kill)
{
    int done = 0;
    uint64_t identity = 1;

    remove_files(disk.root);
    disk.count = 0;
    disk.file_count = 1;
    disk.fault_at = fault_at;
    disk.is_kill = is_kill;
    disk.is_alive = true;
    disk.on = true;
    trial->promise_count = 0;
    trial->state_count = 0;
    promise(trial, 0, 0, 0);
    while (!run_process(trial, identity, &done)) {
        ck_assert_uint_lt(identity, 4);
        disk.is_alive = true;
        identity++;
    }
    disk.on = false;
    return disk.fault_at == NEVER;
}

static const Promise *
find_promise(const Trial *trial, int end)
{
    int i = trial->promise_count - 1;

    while (trial->promises[i].at > end) {
        i--;
    }
    return &trial->promises[i];
}

/* The folder can be used on: what is stored next is there as well. */
static void
check_use(const Trial *trial, ReplicaStorage *storage, Loaded *loaded)
{
    Step next = {ENTRY, loaded->last_term + 1, loaded->last_index + 1};
    StrBuf expected = {0};
    Err err = {0};

    StrBuf_AppendFmt(&expected, "%.*sentry %llu %llu x;",
                     Str_ARG(loaded->text), (unsigned long long)next.term,
                     (unsigned long long)next.index);
    ck_assert(store_step(storage, &next, &err));
    Disk_Finish(storage);
    ck_assert_msg(open_and_load(storage, trial->other_root, 9, loaded, &err),
                  "%.*s", (int)err.text_len, err.text);
    ck_assert_msg(
        Str_Equal(StrBuf_View(&loaded->text), StrBuf_View(&expected)), "%.*s",
        Str_ARG(loaded->text));
    StrBuf_Finish(&expected);
}

static void
check_leftover(const Trial *trial, int end)
{
    const Promise *expected = find_promise(trial, end);
    ReplicaStorage storage;
    Loaded loaded = {0};
    Err err = {0};

    ck_assert_msg(open_and_load(&storage, trial->other_root, 9, &loaded, &err),
                  "power lost before operation %d: %.*s", end,
                  (int)err.text_len, err.text);
    ck_assert_msg(is_state(trial, expected->low, &loaded) ||
                      is_state(trial, expected->high, &loaded),
                  "power lost before operation %d: %.*s", end,
                  Str_ARG(loaded.text));
    if (expected->identity) {
        ck_assert_uint_eq(storage.identity, expected->identity);
    }
    check_use(trial, &storage, &loaded);
    Disk_Finish(&storage);
    StrBuf_Finish(&loaded.text);
}

/* Advances to the next combination; returns false after the last one. */
static bool
choose_next(Leftover *left, int end)
{
    for (int i = 0; i < end; i++) {
        int choices = count_choices(i, end);
        left->remains[i] = (Remains)((left->remains[i] + 1) % choices);
        if (left->remains[i]) {
            return true;
        }
    }
    return false;
}

/* Whether this state was not checked before; the files without a name do not
 * count. */
static bool
is_new_state(Trial *trial, const Leftover *left, int end)
{
    const Promise *expected = find_promise(trial, end);
    StrBuf text = {0};
    uint64_t hash;

    StrBuf_AppendFmt(&text, "%d %d %d\n", expected->low, expected->high,
                     (int)expected->identity);
    for (int file = 0; file < disk.file_count; file++) {
        StrBuf_AppendFmt(&text, "%s\n", left->paths[file]);
    }
    for (int i = 0; i < end; i++) {
        OperationKind kind = disk.operations[i].kind;
        if ((kind == WRITE || kind == CUT) && left->remains[i] != GONE &&
            *left->paths[disk.operations[i].file]) {
            StrBuf_AppendFmt(&text, "%d %d\n", i, left->remains[i]);
        }
    }
    hash = Str_Hash(StrBuf_View(&text));
    StrBuf_Finish(&text);
    for (int i = 0; i < trial->state_count; i++) {
        if (trial->checked[i] == hash) {
            return false;
        }
    }
    ck_assert_int_lt(trial->state_count, CHECKED_MAX);
    trial->checked[trial->state_count++] = hash;
    return true;
}

static void
lose_power_at_each_operation(Trial *trial, int first)
{
    static Leftover left;

    for (int end = first; end <= disk.count; end++) {
        memset(left.remains, 0, sizeof left.remains);
        do {
            memset(left.paths, 0, sizeof left.paths);
            copy_text(left.paths[0], PATH_BYTES, trial->other_root);
            name_files(&left, end);
            if (is_new_state(trial, &left, end)) {
                build_leftover(&left, end);
                check_leftover(trial, end);
                remove_files(trial->other_root);
            }
        } while (choose_next(&left, end));
    }
}

static const Step only_made[] = {{END, 0, 0}};
static const Step votes[] = {{VOTE, 3, 9}, {VOTE, 4, 8}, {END, 0, 0}};
static const Step entries[] = {
    {ENTRY, 1, 1}, {TWO_ENTRIES, 1, 2}, {END, 0, 0}};
static const Step truncation[] = {
    {TWO_ENTRIES, 1, 1}, {TRUNCATE, 0, 2}, {END, 0, 0}};
static const Step own_snapshot[] = {
    {VOTE, 1, 9}, {TWO_ENTRIES, 1, 1}, {SNAPSHOT, 1, 1}, {END, 0, 0}};
static const Step later_snapshot[] = {
    {TWO_ENTRIES, 1, 1}, {SNAPSHOT, 1, 9}, {END, 0, 0}};
static const Step other_snapshot[] = {
    {TWO_ENTRIES, 1, 1}, {SNAPSHOT, 2, 1}, {END, 0, 0}};
static const Step two_snapshots[] = {
    {ENTRY, 1, 1}, {SNAPSHOT, 1, 1}, {SNAPSHOT, 1, 9}, {END, 0, 0}};

static const Step *const step_cases[] = {
    only_made,    votes,          entries,        truncation,
    own_snapshot, later_snapshot, other_snapshot, two_snapshots};

static void
init_trial(Trial *trial, const Step *steps)
{
    char root[] = "/tmp/test-power-XXXXXX";
    char other_root[] = "/tmp/test-power-XXXXXX";

    *trial = (Trial){.steps = steps};
    while (steps[trial->step_count].kind != END) {
        trial->step_count++;
    }
    copy_text(disk.root, sizeof disk.root, mkdtemp(root));
    copy_text(trial->other_root, sizeof trial->other_root,
              mkdtemp(other_root));
    list_states(trial);
}

static void
finish_trial(Trial *trial)
{
    remove_files(disk.root);
    remove_files(trial->other_root);
    rmdir(disk.root);
    rmdir(trial->other_root);
    for (int i = 0; i <= trial->step_count; i++) {
        StrBuf_Finish(&trial->states[i]);
    }
}

/* Guards against the failure that something acknowledged is gone after a loss
 * of power. */
START_TEST(keeps_what_was_stored)
{
    static Trial trial;

    init_trial(&trial, step_cases[_i]);
    record_steps(&trial, NEVER, false);
    lose_power_at_each_operation(&trial, 0);
    finish_trial(&trial);
}
END_TEST

static void
lose_power_after_each_fault(const Step *steps, bool is_kill)
{
    static Trial trial;

    init_trial(&trial, steps);
    for (int at = 0; record_steps(&trial, at, is_kill); at++) {
        lose_power_at_each_operation(&trial, at);
    }
    finish_trial(&trial);
}

/* Guards against the failure that a process counts on what an earlier one
 * wrote and never synced. */
START_TEST(keeps_what_the_next_process_read)
{
    lose_power_after_each_fault(step_cases[_i], true);
}
END_TEST

/* Guards against the failure that what a failed write or sync left is counted
 * on when the folder is opened again. */
START_TEST(keeps_what_was_read_after_a_failure)
{
    lose_power_after_each_fault(step_cases[_i], false);
}
END_TEST

int
main(void)
{
    const SuiteTest tests[] = {
        {keeps_what_was_stored, ROWS(step_cases)},
        {keeps_what_the_next_process_read, ROWS(step_cases)},
        {keeps_what_was_read_after_a_failure, ROWS(step_cases)},
    };

    return Suite_Run("power loss", tests, ROWS(tests), 120);
}
