/*
 * Preloaded into a process under test: adds the seconds that stand in the file CLOCK_STEP_FILE (one 64-bit number, mapped,
 * so that a change counts at once) to the wall clock. The monotonic clocks stay as they are.
 */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <fcntl.h>
#include <stdlib.h>
#include <sys/mman.h>
#include <sys/time.h>
#include <time.h>
#include <unistd.h>

static volatile const long long *step_seconds;

__attribute__((constructor)) static void map_step(void) {
    const char *path = getenv("CLOCK_STEP_FILE");
    int file = path == NULL ? -1 : open(path, O_RDONLY | O_CLOEXEC);
    if (file < 0) {
        return;
    }
    void *mapped = mmap(NULL, sizeof(long long), PROT_READ, MAP_SHARED, file, 0);
    close(file);
    step_seconds = mapped == MAP_FAILED ? NULL : mapped;
}

int clock_gettime(clockid_t clock, struct timespec *time) {
    static int (*real)(clockid_t, struct timespec *);
    if (real == NULL) {
        real = (int (*)(clockid_t, struct timespec *)) dlsym(RTLD_NEXT, "clock_gettime");
    }
    int result = real(clock, time);
    if (result == 0 && step_seconds != NULL && (clock == CLOCK_REALTIME || clock == CLOCK_REALTIME_COARSE)) {
        time->tv_sec += *step_seconds;
    }
    return result;
}

int gettimeofday(struct timeval *time, void *zone) {
    struct timespec now;
    (void) zone;
    int result = clock_gettime(CLOCK_REALTIME, &now);
    if (result == 0 && time != NULL) {
        time->tv_sec = now.tv_sec;
        time->tv_usec = now.tv_nsec / 1000;
    }
    return result;
}
