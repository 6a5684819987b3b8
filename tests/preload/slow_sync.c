/* A shared object for LD_PRELOAD: each fsync and fdatasync first waits for as
 * long as the file that SLOW_SYNC_FILE names says, in milliseconds.  Without
 * the variable, the file or a number in it, none waits.
 */
#include <stdio.h>
#include <stdlib.h>
#include <sys/syscall.h>
#include <time.h>
#include <unistd.h>

static void
wait_as_told(void)
{
    const char *path = getenv("SLOW_SYNC_FILE");
    FILE *file = path ? fopen(path, "r") : NULL;
    char text[16] = "";
    long ms;
    struct timespec wait;

    if (!file) {
        return;
    }
    ms = fgets(text, sizeof text, file) ? strtol(text, NULL, 10) : 0;
    fclose(file);
    wait = (struct timespec){ms / 1000, ms % 1000 * 1000000};
    nanosleep(&wait, NULL);
}

int
fsync(int fd)
{
    wait_as_told();
    return (int)syscall(SYS_fsync, fd);
}

int
fdatasync(int fd)
{
    wait_as_told();
    return (int)syscall(SYS_fdatasync, fd);
}
