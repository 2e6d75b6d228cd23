/* Steps the wall clock of the process that this library is preloaded into: for CLOCK_REALTIME, clock_gettime(2)
 * adds the number of seconds that is stored in the file named by SOAK_CLOCK. Other clocks are unchanged. */

#define _GNU_SOURCE
#include <dlfcn.h>
#include <stdio.h>
#include <stdlib.h>
#include <time.h>

static long clock_offset(void)
{
    const char *path = getenv("SOAK_CLOCK");
    FILE *file = path ? fopen(path, "r") : NULL;
    long seconds = 0;

    if (file != NULL) {
        if (fscanf(file, "%ld", &seconds) != 1)
            seconds = 0;
        fclose(file);
    }
    return seconds;
}

int clock_gettime(clockid_t clock, struct timespec *now)
{
    static int (*real)(clockid_t, struct timespec *);
    int failed;

    if (real == NULL)
        real = (int (*)(clockid_t, struct timespec *))dlsym(RTLD_NEXT, "clock_gettime");
    failed = real(clock, now);
    if (!failed && clock == CLOCK_REALTIME)
        now->tv_sec += clock_offset();
    return failed;
}
