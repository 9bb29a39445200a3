/*
 * Faults of system calls and of the wall clock, preloaded into a node under test. What fails is read from a file of 64-bit
 * words that the test maps as well (see fawnlb.lab.shim.FaultShim), so that it can be changed while the node runs.
 */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <stdint.h>
#include <stdlib.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/time.h>
#include <sys/types.h>
#include <sys/uio.h>
#include <time.h>
#include <unistd.h>

#define WORDS 64
/* Each system call has a block of words, beginning with this one. */
#define FIRST_CALL_WORD 8
#define WORDS_PER_CALL 4

enum { WALL_OFFSET_NS = 0, MAX_READ = 1, MAX_WRITE = 2 };
/*
 * Words of a block: the errno of failing calls (0: none fails); of how many calls one fails, or minus the number of the
 * next calls that fail; failures so far; all calls while some fail.
 */
enum { ERRNO = 0, INTERVAL = 1, FAILURES = 2, TOTAL = 3 };
enum { ACCEPT, CONNECT, SOCKET, READ, WRITE, FSYNC, FILE_WRITE };

static volatile int64_t *words;
static volatile int64_t none[WORDS];

__attribute__((constructor)) static void map_control(void) {
    words = none;
    const char *path = getenv("FAULT_CONTROL");
    int fd = path == NULL ? -1 : open(path, O_RDWR | O_CLOEXEC);
    if (fd >= 0) {
        void *mapped = mmap(NULL, WORDS * sizeof(int64_t), PROT_READ | PROT_WRITE, MAP_SHARED, fd, 0);
        if (mapped != MAP_FAILED) {
            words = mapped;
        }
        close(fd);
    }
}

static volatile int64_t *control(void) {
    return words == NULL ? none : words;
}

static volatile int64_t *block(int call) {
    return control() + FIRST_CALL_WORD + WORDS_PER_CALL * call;
}

static int may_fail(int call) {
    return block(call)[ERRNO] != 0;
}

/* Counts a call and returns whether it is to fail; errno is set then. */
static int fails(int call) {
    volatile int64_t *at = block(call);
    if (at[ERRNO] == 0) {
        return 0;
    }
    if (at[INTERVAL] < 0) {
        /* The last of the next calls that fail clears the errno. */
        if (__atomic_add_fetch(&at[INTERVAL], 1, __ATOMIC_RELAXED) == 0) {
            errno = (int) __atomic_exchange_n(&at[ERRNO], 0, __ATOMIC_RELAXED);
        } else {
            errno = (int) at[ERRNO];
        }
        __atomic_add_fetch(&at[FAILURES], 1, __ATOMIC_RELAXED);
        return 1;
    }
    int64_t interval = at[INTERVAL] < 1 ? 1 : at[INTERVAL];
    if (__atomic_add_fetch(&at[TOTAL], 1, __ATOMIC_RELAXED) % interval != 0) {
        return 0;
    }
    __atomic_add_fetch(&at[FAILURES], 1, __ATOMIC_RELAXED);
    errno = (int) at[ERRNO];
    return 1;
}

#define REAL(name) __typeof__(&name) real = (__typeof__(&name)) dlsym(RTLD_NEXT, #name)

static int is_socket(int fd) {
    struct stat status;
    return fstat(fd, &status) == 0 && S_ISSOCK(status.st_mode);
}

int clock_gettime(clockid_t id, struct timespec *at) {
    static __typeof__(&clock_gettime) real;
    if (real == NULL) {
        real = (__typeof__(&clock_gettime)) dlsym(RTLD_NEXT, "clock_gettime");
    }
    int result = real(id, at);
    if (result == 0 && (id == CLOCK_REALTIME || id == CLOCK_REALTIME_COARSE)) {
        int64_t nanos = at->tv_sec * 1000000000LL + at->tv_nsec + control()[WALL_OFFSET_NS];
        at->tv_sec = nanos / 1000000000LL;
        at->tv_nsec = nanos % 1000000000LL;
    }
    return result;
}

int gettimeofday(struct timeval *restrict at, void *restrict zone) {
    (void) zone;
    struct timespec precise;
    int result = clock_gettime(CLOCK_REALTIME, &precise);
    at->tv_sec = precise.tv_sec;
    at->tv_usec = precise.tv_nsec / 1000;
    return result;
}

time_t time(time_t *at) {
    struct timespec precise;
    clock_gettime(CLOCK_REALTIME, &precise);
    if (at != NULL) {
        *at = precise.tv_sec;
    }
    return precise.tv_sec;
}

int accept(int fd, struct sockaddr *restrict peer, socklen_t *restrict length) {
    REAL(accept);
    return fails(ACCEPT) ? -1 : real(fd, peer, length);
}

int accept4(int fd, struct sockaddr *restrict peer, socklen_t *restrict length, int flags) {
    REAL(accept4);
    return fails(ACCEPT) ? -1 : real(fd, peer, length, flags);
}

int connect(int fd, const struct sockaddr *peer, socklen_t length) {
    REAL(connect);
    return fails(CONNECT) ? -1 : real(fd, peer, length);
}

int socket(int domain, int type, int protocol) {
    REAL(socket);
    return fails(SOCKET) ? -1 : real(domain, type, protocol);
}

ssize_t read(int fd, void *into, size_t count) {
    REAL(read);
    if (may_fail(READ) && is_socket(fd) && fails(READ)) {
        return -1;
    }
    int64_t max_bytes = control()[MAX_READ];
    return real(fd, into, max_bytes > 0 && (int64_t) count > max_bytes && is_socket(fd) ? (size_t) max_bytes : count);
}

ssize_t write(int fd, const void *from, size_t count) {
    REAL(write);
    if (may_fail(WRITE) && is_socket(fd) && fails(WRITE)) {
        return -1;
    }
    if (may_fail(FILE_WRITE) && fd > 2 && !is_socket(fd) && fails(FILE_WRITE)) {
        return -1;
    }
    int64_t max_bytes = control()[MAX_WRITE];
    return real(fd, from, max_bytes > 0 && (int64_t) count > max_bytes && is_socket(fd) ? (size_t) max_bytes : count);
}

ssize_t writev(int fd, const struct iovec *parts, int count) {
    REAL(writev);
    if (may_fail(WRITE) && is_socket(fd) && fails(WRITE)) {
        return -1;
    }
    if (control()[MAX_WRITE] > 0 && count > 0 && is_socket(fd)) {
        return write(fd, parts[0].iov_base, parts[0].iov_len);
    }
    return real(fd, parts, count);
}

int fsync(int fd) {
    REAL(fsync);
    return fails(FSYNC) ? -1 : real(fd);
}

int fdatasync(int fd) {
    REAL(fdatasync);
    return fails(FSYNC) ? -1 : real(fd);
}
