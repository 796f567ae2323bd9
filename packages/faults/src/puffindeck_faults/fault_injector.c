/* Faults of the machine under one process, loaded into it with LD_PRELOAD.
 *
 * The process maps the file that PUFFINDECK_FAULTS names; whoever wrote it switches faults on and off there while the
 * process runs. Its layout is that of fault_injector.py: 64-bit integers in the machine's byte order.
 */
#define _GNU_SOURCE
#include <dirent.h>
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <signal.h>
#include <stdarg.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/mman.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/time.h>
#include <time.h>
#include <unistd.h>

enum call { ACCEPT, SOCKET, CONNECT, SEND, RECV, EPOLL_WAIT, OPEN, WRITE, FSYNC, RENAME, UNLINK, LIST, CALLS };

struct failure {
    int64_t error;     /* errno, 0: off */
    int64_t remaining; /* how many more calls fail; negative: no limit */
    int64_t chance;    /* of a call, in millionths */
    int64_t hits;      /* calls that have failed */
};

struct control {
    int64_t wall_offset_ns;
    int64_t seed;
    int64_t draws;
    int64_t short_bytes; /* send and recv move at most this many, 0: off */
    int64_t short_chance;
    int64_t pause_ns; /* before a send: held up between reading the clock and writing */
    int64_t pause_chance;
    int64_t paused_at_ns; /* on the monotonic clock: at most one pause a second */
    int64_t kill_at_step; /* SIGKILL at the n-th step of writing files, 0: off */
    struct failure failures[CALLS];
};

static struct control none;
static struct control *control = &none;
static const char *folder;

__attribute__((constructor)) static void map_control(void) {
    const char *path = getenv("PUFFINDECK_FAULTS");
    folder = getenv("PUFFINDECK_FAULTS_FOLDER");
    if (path == NULL)
        return;
    prctl(PR_SET_PDEATHSIG, SIGKILL); /* nobody is left behind when the player is ended */
    int (*real)(const char *, int, ...) = dlsym(RTLD_NEXT, "open");
    int file = real(path, O_RDWR | O_CLOEXEC);
    if (file < 0)
        return;
    void *mapped = mmap(NULL, sizeof(struct control), PROT_READ | PROT_WRITE, MAP_SHARED, file, 0);
    close(file);
    if (mapped != MAP_FAILED)
        control = mapped;
}

/* SplitMix64 (Steele, Lea, Flood 2014): the n-th number depends on the seed and n alone. */
static int drawn(int64_t chance) {
    if (chance >= 1000000)
        return 1;
    if (chance <= 0)
        return 0;
    uint64_t z = (uint64_t)control->seed + (uint64_t)__atomic_add_fetch(&control->draws, 1, __ATOMIC_RELAXED) * 0x9e3779b97f4a7c15ULL;
    z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ULL;
    z = (z ^ (z >> 27)) * 0x94d049bb133111ebULL;
    z ^= z >> 31;
    return (int64_t)(z % 1000000) < chance;
}

/* Does this call fail? Sets errno if so. */
static int fails(enum call call) {
    struct failure *failure = &control->failures[call];
    int error = (int)failure->error;
    if (error == 0 || failure->remaining == 0 || !drawn(failure->chance))
        return 0;
    if (failure->remaining > 0)
        failure->remaining--;
    failure->hits++;
    errno = error;
    return 1;
}

#define REAL(name) \
    static __typeof__(name) *real; \
    if (real == NULL) \
        real = dlsym(RTLD_NEXT, #name)

/* Clocks */

int clock_gettime(clockid_t clock, struct timespec *time) {
    REAL(clock_gettime);
    int result = real(clock, time);
    if (result == 0 && (clock == CLOCK_REALTIME || clock == CLOCK_REALTIME_COARSE)) {
        int64_t ns = (int64_t)time->tv_sec * 1000000000 + time->tv_nsec + control->wall_offset_ns;
        time->tv_sec = ns / 1000000000;
        time->tv_nsec = ns % 1000000000;
    }
    return result;
}

int gettimeofday(struct timeval *restrict time, void *restrict zone) {
    struct timespec now;
    (void)zone;
    int result = clock_gettime(CLOCK_REALTIME, &now);
    time->tv_sec = now.tv_sec;
    time->tv_usec = now.tv_nsec / 1000;
    return result;
}

time_t time(time_t *result) {
    struct timespec now;
    clock_gettime(CLOCK_REALTIME, &now);
    if (result != NULL)
        *result = now.tv_sec;
    return now.tv_sec;
}

/* Sockets */

int accept4(int fd, struct sockaddr *restrict address, socklen_t *restrict length, int flags) {
    REAL(accept4);
    return fails(ACCEPT) ? -1 : real(fd, address, length, flags);
}

int socket(int domain, int type, int protocol) {
    REAL(socket);
    return fails(SOCKET) ? -1 : real(domain, type, protocol);
}

int connect(int fd, const struct sockaddr *address, socklen_t length) {
    REAL(connect);
    return fails(CONNECT) ? -1 : real(fd, address, length);
}

static size_t shortened(size_t length) {
    size_t most = (size_t)control->short_bytes;
    return most > 0 && length > most && drawn(control->short_chance) ? most : length;
}

static void hold_up(void) {
    struct timespec now;
    if (control->pause_ns == 0)
        return;
    clock_gettime(CLOCK_MONOTONIC, &now);
    int64_t moment = (int64_t)now.tv_sec * 1000000000 + now.tv_nsec;
    if (moment - control->paused_at_ns >= 1000000000 && drawn(control->pause_chance)) {
        control->paused_at_ns = moment;
        struct timespec pause = {control->pause_ns / 1000000000, control->pause_ns % 1000000000};
        nanosleep(&pause, NULL);
    }
}

ssize_t send(int fd, const void *data, size_t length, int flags) {
    REAL(send);
    hold_up();
    return fails(SEND) ? -1 : real(fd, data, shortened(length), flags);
}

ssize_t recv(int fd, void *data, size_t length, int flags) {
    REAL(recv);
    return fails(RECV) ? -1 : real(fd, data, shortened(length), flags);
}

int epoll_wait(int fd, struct epoll_event *events, int most, int timeout) {
    REAL(epoll_wait);
    return fails(EPOLL_WAIT) ? -1 : real(fd, events, most, timeout);
}

/* Files below PUFFINDECK_FAULTS_FOLDER */

static int below(const char *path) {
    return folder != NULL && path != NULL && strncmp(path, folder, strlen(folder)) == 0;
}

static int file_below(int fd) {
    char link[64], path[4096];
    if (folder == NULL)
        return 0;
    strcpy(link, "/proc/self/fd/");
    char digits[16];
    int count = 0;
    do {
        digits[count++] = (char)('0' + fd % 10);
        fd /= 10;
    } while (fd > 0);
    char *end = link + strlen(link);
    while (count > 0)
        *end++ = digits[--count];
    *end = '\0';
    ssize_t length = readlink(link, path, sizeof path - 1);
    if (length < 0)
        return 0;
    path[length] = '\0';
    return below(path);
}

/* A step of a write to the folder: the process may be killed here. */
static void step(void) {
    if (control->kill_at_step > 0 && --control->kill_at_step == 0)
        kill(getpid(), 9);
}

static int open_checked(int (*real)(const char *, int, ...), const char *path, int flags, mode_t mode) {
    if (below(path) && (flags & (O_WRONLY | O_RDWR | O_CREAT))) {
        step();
        if (fails(OPEN))
            return -1;
    }
    return real(path, flags, mode);
}

int open(const char *path, int flags, ...) {
    REAL(open);
    va_list arguments;
    va_start(arguments, flags);
    mode_t mode = (flags & O_CREAT) ? va_arg(arguments, mode_t) : 0;
    va_end(arguments);
    return open_checked(real, path, flags, mode);
}

int open64(const char *path, int flags, ...) {
    REAL(open64);
    va_list arguments;
    va_start(arguments, flags);
    mode_t mode = (flags & O_CREAT) ? va_arg(arguments, mode_t) : 0;
    va_end(arguments);
    return open_checked(real, path, flags, mode);
}

ssize_t write(int fd, const void *data, size_t length) {
    REAL(write);
    if (!file_below(fd))
        return real(fd, data, length);
    step();
    if (control->kill_at_step == 1) { /* the next step: half of this write reaches the file first */
        ssize_t written = real(fd, data, length / 2);
        step();
        return written;
    }
    return fails(WRITE) ? -1 : real(fd, data, shortened(length));
}

ssize_t pwrite64(int fd, const void *data, size_t length, off64_t offset) {
    REAL(pwrite64);
    if (file_below(fd)) {
        step();
        if (fails(WRITE))
            return -1;
    }
    return real(fd, data, length, offset);
}

int unlink(const char *path) {
    REAL(unlink);
    if (below(path)) {
        step();
        if (fails(UNLINK))
            return -1;
    }
    return real(path);
}

DIR *opendir(const char *path) {
    REAL(opendir);
    return below(path) && fails(LIST) ? NULL : real(path);
}

int fsync(int fd) {
    REAL(fsync);
    if (file_below(fd)) {
        step();
        if (fails(FSYNC))
            return -1;
    }
    return real(fd);
}

int rename(const char *from, const char *to) {
    REAL(rename);
    if (below(from)) {
        step();
        if (fails(RENAME))
            return -1;
    }
    return real(from, to);
}
