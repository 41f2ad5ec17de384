/*
 * Injects system faults into one process; loaded by LD_PRELOAD. Maps the file that FAULT_CONTROL names, which consists of
 * 64-bit words. Word 0 is added to the wall clock, in microseconds. In words 1 to 6, a value n makes one of n calls fail, 0
 * none: accept, socket, connect, epoll_wait, short reads and writes of sockets, reads of sockets that fail as on a broken
 * connection. Words 16 + the same numbers count the calls that were made to fail. Other clocks than the wall clock are not
 * changed.
 */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <stdint.h>
#include <stdlib.h>
#include <sys/epoll.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/time.h>
#include <sys/uio.h>
#include <time.h>
#include <unistd.h>

enum { CLOCK, ACCEPT, SOCKET, CONNECT, EPOLL, SHORT, BROKEN, KINDS, COUNTS = 16, WORDS = 64 };

static volatile int64_t none[WORDS];
static volatile int64_t *words = none;
static int64_t calls[KINDS];

__attribute__((constructor)) static void map_control(void) {
    const char *name = getenv("FAULT_CONTROL");
    int file = name ? open(name, O_RDWR | O_CLOEXEC) : -1;
    if (file >= 0) {
        void *mapped = mmap(NULL, WORDS * sizeof(int64_t), PROT_READ | PROT_WRITE, MAP_SHARED, file, 0);
        words = mapped == MAP_FAILED ? none : mapped;
        close(file);
    }
}

/* Whether this call is to fail: 0 if not, else its number among the failed calls of its kind, from 1. */
static int64_t fails(int kind) {
    int64_t every = words[kind];
    if (every <= 0 || __atomic_add_fetch(&calls[kind], 1, __ATOMIC_RELAXED) % every != 0) {
        return 0;
    }
    return __atomic_add_fetch(&words[COUNTS + kind], 1, __ATOMIC_RELAXED);
}

static int fail(const int *codes, int count, int64_t turn) {
    errno = codes[turn % count];
    return -1;
}

#define REAL(name) \
    static __typeof__(name) *real; \
    if (!real) { \
        real = (__typeof__(name) *) dlsym(RTLD_NEXT, #name); \
    }

static const int accept_codes[] = {ECONNABORTED, ENFILE, ENOBUFS};
static const int socket_codes[] = {ENFILE, ENOBUFS};
static const int connect_codes[] = {EADDRNOTAVAIL, ENETUNREACH, ENOBUFS};
static const int broken_codes[] = {ETIMEDOUT, EHOSTUNREACH};

static int is_socket(int file) {
    struct stat seen;
    return fstat(file, &seen) == 0 && S_ISSOCK(seen.st_mode);
}

int accept(int file, __SOCKADDR_ARG address, socklen_t *length) {
    REAL(accept)
    int64_t turn = fails(ACCEPT);
    return turn ? fail(accept_codes, 3, turn) : real(file, address, length);
}

int accept4(int file, __SOCKADDR_ARG address, socklen_t *length, int flags) {
    REAL(accept4)
    int64_t turn = fails(ACCEPT);
    return turn ? fail(accept_codes, 3, turn) : real(file, address, length, flags);
}

int socket(int domain, int type, int protocol) {
    REAL(socket)
    int64_t turn = fails(SOCKET);
    return turn ? fail(socket_codes, 2, turn) : real(domain, type, protocol);
}

int connect(int file, __CONST_SOCKADDR_ARG address, socklen_t length) {
    REAL(connect)
    int64_t turn = fails(CONNECT);
    return turn ? fail(connect_codes, 3, turn) : real(file, address, length);
}

int epoll_wait(int file, struct epoll_event *events, int most, int timeout) {
    REAL(epoll_wait)
    if (fails(EPOLL)) {
        errno = EINTR;
        return -1;
    }
    return real(file, events, most, timeout);
}

ssize_t read(int file, void *bytes, size_t size) {
    REAL(read)
    if (size > 1 && words[BROKEN] > 0 && is_socket(file)) {
        int64_t turn = fails(BROKEN);
        if (turn) {
            return fail(broken_codes, 2, turn);
        }
    }
    if (size > 1 && words[SHORT] > 0 && is_socket(file) && fails(SHORT)) {
        size = 1;
    }
    return real(file, bytes, size);
}

ssize_t write(int file, const void *bytes, size_t size) {
    REAL(write)
    if (size > 1 && words[SHORT] > 0 && is_socket(file) && fails(SHORT)) {
        size = 1;
    }
    return real(file, bytes, size);
}

int clock_gettime(clockid_t clock, struct timespec *now) {
    REAL(clock_gettime)
    int result = real(clock, now);
    int64_t step = clock == CLOCK_REALTIME || clock == CLOCK_REALTIME_COARSE ? words[CLOCK] : 0;
    if (step) {
        int64_t nanos = now->tv_nsec + step % 1000000 * 1000;
        now->tv_sec += step / 1000000 + (nanos < 0 ? -1 : nanos / 1000000000);
        now->tv_nsec = nanos < 0 ? nanos + 1000000000 : nanos % 1000000000;
    }
    return result;
}

int gettimeofday(struct timeval *restrict now, void *restrict zone) {
    struct timespec exact;
    (void) zone;
    clock_gettime(CLOCK_REALTIME, &exact);
    now->tv_sec = exact.tv_sec;
    now->tv_usec = exact.tv_nsec / 1000;
    return 0;
}
