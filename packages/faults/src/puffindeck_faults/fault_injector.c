/* Fault injection for the system calls and clocks of one process, loaded into the process with LD_PRELOAD.
 *
 * The process maps the control file that PUFFINDECK_FAULTS names. The test process changes the file to switch faults
 * on and off while the process runs. fault_injector.py defines the layout: 64-bit integers in native byte order.
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
    int64_t error;     /* errno of a failed call; 0: no failures */
    int64_t remaining; /* number of calls that may still fail; negative: no limit */
    int64_t chance;    /* probability that a call fails, in millionths */
    int64_t failed;    /* number of calls that have failed */
};

struct control {
    int64_t wall_offset_ns;
    int64_t seed;
    int64_t draws;        /* number of random numbers drawn so far */
    int64_t short_bytes;  /* maximum bytes that one send, recv or write transfers; 0: no limit */
    int64_t short_chance; /* probability of the limit, in millionths */
    int64_t pause_ns;     /* pause before a send: a delay between reading the clock and writing; 0: no pause */
    int64_t pause_chance; /* probability of a pause, in millionths */
    int64_t paused_at_ns; /* monotonic time of the last pause: at least one second lies between two pauses */
    int64_t kill_at_step; /* remaining steps of writing files until SIGKILL; 0: off */
    struct failure failures[CALLS];
};

static struct control no_faults;
static struct control *control = &no_faults;
static const char *folder;

__attribute__((constructor)) static void map_control(void) {
    const char *path = getenv("PUFFINDECK_FAULTS");
    folder = getenv("PUFFINDECK_FAULTS_FOLDER");
    if (path == NULL)
        return;
    prctl(PR_SET_PDEATHSIG, SIGKILL); /* the process must not outlive the test process that started it */
    int (*real)(const char *, int, ...) = dlsym(RTLD_NEXT, "open");
    int file = real(path, O_RDWR | O_CLOEXEC);
    if (file < 0)
        return;
    void *mapped = mmap(NULL, sizeof(struct control), PROT_READ | PROT_WRITE, MAP_SHARED, file, 0);
    close(file);
    if (mapped != MAP_FAILED)
        control = mapped;
}

/* Returns 1 with a probability in millionths, otherwise 0.
 *
 * The generator is SplitMix64 (Steele, Lea, Flood 2014): the n-th number depends only on the seed and n. */
static int random_event(int64_t chance) {
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

/* Returns whether this call fails, and sets errno if it does. */
static int inject_failure(enum call call) {
    struct failure *failure = &control->failures[call];
    int error = (int)failure->error;
    if (error == 0 || failure->remaining == 0 || !random_event(failure->chance))
        return 0;
    if (failure->remaining > 0)
        failure->remaining--;
    failure->failed++;
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
    return inject_failure(ACCEPT) ? -1 : real(fd, address, length, flags);
}

int socket(int domain, int type, int protocol) {
    REAL(socket);
    return inject_failure(SOCKET) ? -1 : real(domain, type, protocol);
}

int connect(int fd, const struct sockaddr *address, socklen_t length) {
    REAL(connect);
    return inject_failure(CONNECT) ? -1 : real(fd, address, length);
}

static size_t limited_length(size_t length) {
    size_t most = (size_t)control->short_bytes;
    return most > 0 && length > most && random_event(control->short_chance) ? most : length;
}

static void maybe_pause(void) {
    struct timespec now;
    if (control->pause_ns == 0)
        return;
    clock_gettime(CLOCK_MONOTONIC, &now);
    int64_t moment = (int64_t)now.tv_sec * 1000000000 + now.tv_nsec;
    if (moment - control->paused_at_ns >= 1000000000 && random_event(control->pause_chance)) {
        control->paused_at_ns = moment;
        struct timespec pause = {control->pause_ns / 1000000000, control->pause_ns % 1000000000};
        nanosleep(&pause, NULL);
    }
}

ssize_t send(int fd, const void *data, size_t length, int flags) {
    REAL(send);
    maybe_pause();
    return inject_failure(SEND) ? -1 : real(fd, data, limited_length(length), flags);
}

ssize_t recv(int fd, void *data, size_t length, int flags) {
    REAL(recv);
    return inject_failure(RECV) ? -1 : real(fd, data, limited_length(length), flags);
}

int epoll_wait(int fd, struct epoll_event *events, int most, int timeout) {
    REAL(epoll_wait);
    return inject_failure(EPOLL_WAIT) ? -1 : real(fd, events, most, timeout);
}

/* Files in PUFFINDECK_FAULTS_FOLDER */

static int in_folder(const char *path) {
    return folder != NULL && path != NULL && strncmp(path, folder, strlen(folder)) == 0;
}

static int descriptor_in_folder(int fd) {
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
    return in_folder(path);
}

/* Counts a step of writing to files of the folder, and kills the process at the configured step. */
static void count_file_step(void) {
    if (control->kill_at_step > 0 && --control->kill_at_step == 0)
        kill(getpid(), 9);
}

static int open_with_faults(int (*real)(const char *, int, ...), const char *path, int flags, mode_t mode) {
    if (in_folder(path) && (flags & (O_WRONLY | O_RDWR | O_CREAT))) {
        count_file_step();
        if (inject_failure(OPEN))
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
    return open_with_faults(real, path, flags, mode);
}

int open64(const char *path, int flags, ...) {
    REAL(open64);
    va_list arguments;
    va_start(arguments, flags);
    mode_t mode = (flags & O_CREAT) ? va_arg(arguments, mode_t) : 0;
    va_end(arguments);
    return open_with_faults(real, path, flags, mode);
}

ssize_t write(int fd, const void *data, size_t length) {
    REAL(write);
    if (!descriptor_in_folder(fd))
        return real(fd, data, length);
    count_file_step();
    if (control->kill_at_step == 1) { /* the kill is due at the next step: half of this write reaches the file first */
        ssize_t written = real(fd, data, length / 2);
        count_file_step();
        return written;
    }
    return inject_failure(WRITE) ? -1 : real(fd, data, limited_length(length));
}

ssize_t pwrite64(int fd, const void *data, size_t length, off64_t offset) {
    REAL(pwrite64);
    if (descriptor_in_folder(fd)) {
        count_file_step();
        if (inject_failure(WRITE))
            return -1;
    }
    return real(fd, data, length, offset);
}

int unlink(const char *path) {
    REAL(unlink);
    if (in_folder(path)) {
        count_file_step();
        if (inject_failure(UNLINK))
            return -1;
    }
    return real(path);
}

DIR *opendir(const char *path) {
    REAL(opendir);
    return in_folder(path) && inject_failure(LIST) ? NULL : real(path);
}

int fsync(int fd) {
    REAL(fsync);
    if (descriptor_in_folder(fd)) {
        count_file_step();
        if (inject_failure(FSYNC))
            return -1;
    }
    return real(fd);
}

int rename(const char *from, const char *to) {
    REAL(rename);
    if (in_folder(from)) {
        count_file_step();
        if (inject_failure(RENAME))
            return -1;
    }
    return real(from, to);
}
