/* The file of suspect requests of a control replica: a table is saved, the
 * file is damaged or not, and another process loads it later. */
#include <fcntl.h>
#include <stdlib.h>
#include <unistd.h>

#include "process/suspects/suspectstore.h"
#include "support/suite.h"

#define ROWS(table) (int)(sizeof(table) / sizeof(table)[0])

static const SuspectLimits limits = {2, Span_S(10)};

typedef enum { WHOLE, NO_FILE, NO_FOLDER, TRUNCATED, BYTE_CHANGED } Damage;

typedef struct {
    const char *name;
    Damage damage;
    Span downtime; /* between the save and the load, on the wall clock */
    bool loaded;
    SuspectVerdict stopped; /* for a request that was stopped */
    SuspectVerdict blamed;  /* for one that was blamed once */
    SuspectVerdict cleared; /* for one that was cleared */
} StoreCase;

static const StoreCase cases[] = {
    {"at once", WHOLE, 0, true, Sus_STOPPED, Sus_EXCLUSIVE, Sus_CLEAR},
    {"before the release time", WHOLE, Span_S(9), true, Sus_STOPPED,
     Sus_EXCLUSIVE, Sus_CLEAR},
    {"at the release time", WHOLE, Span_S(10), true, Sus_CLEAR, Sus_CLEAR,
     Sus_CLEAR},
    {"the clock was set back", WHOLE, -Span_S(5), true, Sus_STOPPED,
     Sus_EXCLUSIVE, Sus_CLEAR},
    {"no file", NO_FILE, 0, false, Sus_CLEAR, Sus_CLEAR, Sus_CLEAR},
    {"no folder", NO_FOLDER, 0, false, Sus_CLEAR, Sus_CLEAR, Sus_CLEAR},
    {"truncated", TRUNCATED, 0, false, Sus_CLEAR, Sus_CLEAR, Sus_CLEAR},
    {"a byte changed", BYTE_CHANGED, 0, false, Sus_CLEAR, Sus_CLEAR,
     Sus_CLEAR},
};

enum { STOPPED = 1, BLAMED, CLEARED };

static void
blame(SuspectTable *suspects, uint64_t fingerprint, uint64_t crash,
      Instant now)
{
    SuspectRecord record = {
        .fingerprint = fingerprint, .crash_id = crash, .node = 77};

    Sus_MergeRecord(suspects, &record, now);
}

static void
damage_file(Str folder, Damage damage)
{
    StrBuf path = {0};
    char byte;
    int fd;

    StrBuf_AppendFmt(&path, "%.*s/suspects", Str_ARG(folder));
    fd = open(StrBuf_CStr(&path), O_RDWR);
    ck_assert_int_ge(fd, 0);
    switch (damage) {
    case NO_FILE:
        ck_assert_int_eq(unlink(StrBuf_CStr(&path)), 0);
        break;
    case TRUNCATED:
        ck_assert_int_eq(ftruncate(fd, lseek(fd, 0, SEEK_END) - 1), 0);
        break;
    case BYTE_CHANGED:
        ck_assert_int_eq(pread(fd, &byte, 1, 30), 1);
        byte ^= 1;
        ck_assert_int_eq(pwrite(fd, &byte, 1, 30), 1);
        break;
    default:
        break;
    }
    close(fd);
    StrBuf_Finish(&path);
}

static void
remove_folder(Str folder)
{
    StrBuf path = {0};

    StrBuf_AppendFmt(&path, "%.*s/suspects", Str_ARG(folder));
    unlink(StrBuf_CStr(&path));
    StrBuf_Set(&path, folder);
    rmdir(StrBuf_CStr(&path));
    StrBuf_Finish(&path);
}

START_TEST(survives_restart)
{
    static SuspectTable before;
    static SuspectTable after;
    const StoreCase *c = &cases[_i];
    char name[] = "/tmp/suspects-XXXXXX";
    Str folder = Str_FromC(mkdtemp(name));
    SuspectStoreTime saved = {Span_S(100), Span_S(5000)};
    /* The clock of another process starts anew. */
    SuspectStoreTime loaded = {Span_S(2), Span_S(5000) + c->downtime};
    Err err = {0};

    Sus_Init(&before, &limits);
    Sus_Init(&after, &limits);
    blame(&before, STOPPED, 7, saved.monotonic_now);
    blame(&before, STOPPED, 8, saved.monotonic_now);
    blame(&before, BLAMED, 8, saved.monotonic_now);
    blame(&before, CLEARED, 8, saved.monotonic_now);
    Sus_OnExclusiveSuccess(&before, CLEARED);
    ck_assert(Sst_Save(folder, &before, &saved, &err));
    damage_file(folder, c->damage);
    ck_assert_msg(
        Sst_Load(c->damage == NO_FOLDER ? Str_LIT("/tmp/none/such") : folder,
                 &after, &loaded, &err) == c->loaded,
        "%s: %.*s", c->name, Str_ARG(Err_Text(&err)));
    ck_assert_int_eq(Sus_GetVerdict(&after, STOPPED, loaded.monotonic_now),
                     c->stopped);
    ck_assert_int_eq(Sus_GetVerdict(&after, BLAMED, loaded.monotonic_now),
                     c->blamed);
    ck_assert_int_eq(Sus_GetVerdict(&after, CLEARED, loaded.monotonic_now),
                     c->cleared);
    remove_folder(folder);
}
END_TEST

int
main(void)
{
    const SuiteTest tests[] = {{survives_restart, ROWS(cases)}};

    return Suite_Run("suspect store", tests, 1, 10);
}
