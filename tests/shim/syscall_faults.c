/*
 * Fault injection for system calls: a library that tests of the gateway load into the program with LD_PRELOAD.
 *
 * GATEWAY_FAULTS holds comma-separated NAME=NUMBER pairs. Unless marked otherwise, the number is a rate: how many of a
 * thousand calls are affected.
 *
 *   seed            seed of the random number generator (not a rate; default 0)
 *   recv_eintr      recv fails with EINTR
 *   send_eintr      send and writev fail with EINTR
 *   recv_nomem      recv fails with ENOMEM
 *   send_nobufs     send and writev fail with ENOBUFS
 *   unix_eintr      recv on a Unix socket fails with EINTR
 *   recv_short      recv reads into a part of the buffer, less than 512 bytes long, and may leave bytes unread
 *   send_short      send and writev accept fewer bytes than they are given
 *   accept_abort    accept4 fails with ECONNABORTED and leaves the connection in the queue
 *   accept_full     accept4 fails with ENFILE and leaves the connection in the queue
 *   connect_fail    connect fails with EADDRNOTAVAIL or ENETUNREACH
 *   socket_fail     socket fails with ENOBUFS or ENFILE
 *   open_fail       open of a file whose name ends in .json fails with EIO or ENFILE
 *   epoll_eintr     epoll_wait fails with EINTR
 *   accept_switch   if not 0, accept4 fails with ENFILE while the file named in GATEWAY_FAULT_SWITCH exists
 *                   (not a rate)
 *   wall_clock_s    offset of CLOCK_REALTIME in seconds; may be negative (not a rate)
 */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <stdarg.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <sys/uio.h>
#include <time.h>
#include <unistd.h>

static uint64_t random_state;

/* The number that GATEWAY_FAULTS gives for a name; 0 if the name is missing. */
static long setting(const char *name) {
    const char *text = getenv("GATEWAY_FAULTS");
    size_t length = strlen(name);
    while (text != NULL && *text != '\0') {
        if (strncmp(text, name, length) == 0 && text[length] == '=') {
            return strtol(text + length + 1, NULL, 10);
        }
        text = strchr(text, ',');
        if (text != NULL) {
            text++;
        }
    }
    return 0;
}

/* The next number of a xorshift generator. */
static uint64_t next_random(void) {
    if (random_state == 0) {
        random_state = (uint64_t)setting("seed") * 0x9E3779B97F4A7C15ull + 0x2545F4914F6CDD1Dull;
    }
    random_state ^= random_state << 13;
    random_state ^= random_state >> 7;
    random_state ^= random_state << 17;
    return random_state >> 11;
}

/* Decides at random whether the named fault affects this call, at the rate that GATEWAY_FAULTS gives for it. */
static int draw_fault(const char *name) {
    long rate = setting(name);
    return rate > 0 && (long)(next_random() % 1000) < rate;
}

static int fail(int error) {
    errno = error;
    return -1;
}

/* The address family of a socket; AF_UNSPEC if fd is not a socket. */
static int address_family(int fd) {
    struct sockaddr_storage address;
    socklen_t length = sizeof(address);
    if (getsockname(fd, (struct sockaddr *)&address, &length) != 0) {
        return AF_UNSPEC;
    }
    return address.ss_family;
}

/* A random length from 1 to length - 1; lengths up to 1 are returned unchanged. */
static size_t shortened(size_t length) {
    return length <= 1 ? length : 1 + next_random() % (length - 1);
}

/*
 * The original functions, looked up once when the library is loaded. A lookup at the first call could deadlock: signal
 * handlers call some of these functions, and dlsym takes a lock, which a handler would wait for if it had interrupted
 * another dlsym.
 */
#define REAL(name) real_##name
#define DECLARE(name) static __typeof__(&name) real_##name
#define LOOK_UP(name) real_##name = (__typeof__(&name))dlsym(RTLD_NEXT, #name)

DECLARE(recv);
DECLARE(send);
DECLARE(writev);
DECLARE(accept4);
DECLARE(connect);
DECLARE(socket);
DECLARE(open64);
DECLARE(epoll_wait);
DECLARE(clock_gettime);

__attribute__((constructor)) static void look_up_originals(void) {
    LOOK_UP(recv);
    LOOK_UP(send);
    LOOK_UP(writev);
    LOOK_UP(accept4);
    LOOK_UP(connect);
    LOOK_UP(socket);
    LOOK_UP(open64);
    LOOK_UP(epoll_wait);
    LOOK_UP(clock_gettime);
}

ssize_t recv(int fd, void *buffer, size_t length, int flags) {
    int family = address_family(fd);
    if (family == AF_UNIX && draw_fault("unix_eintr")) {
        return fail(EINTR);
    }
    if (family == AF_INET) {
        if (draw_fault("recv_eintr")) {
            return fail(EINTR);
        }
        if (draw_fault("recv_nomem")) {
            return fail(ENOMEM);
        }
        if (!(flags & MSG_PEEK) && draw_fault("recv_short")) {
            length = shortened(length < 512 ? length : 512);
        }
    }
    return REAL(recv)(fd, buffer, length, flags);
}

ssize_t send(int fd, const void *buffer, size_t length, int flags) {
    if (address_family(fd) == AF_INET) {
        if (draw_fault("send_eintr")) {
            return fail(EINTR);
        }
        if (draw_fault("send_nobufs")) {
            return fail(ENOBUFS);
        }
        if (draw_fault("send_short")) {
            length = shortened(length);
        }
    }
    return REAL(send)(fd, buffer, length, flags);
}

ssize_t writev(int fd, const struct iovec *parts, int count) {
    if (count > 0 && address_family(fd) == AF_INET) {
        if (draw_fault("send_eintr")) {
            return fail(EINTR);
        }
        if (draw_fault("send_nobufs")) {
            return fail(ENOBUFS);
        }
        if (draw_fault("send_short")) {
            return REAL(send)(fd, parts[0].iov_base, shortened(parts[0].iov_len), MSG_NOSIGNAL);
        }
    }
    return REAL(writev)(fd, parts, count);
}

int accept4(int fd, struct sockaddr *address, socklen_t *length, int flags) {
    if (draw_fault("accept_abort")) {
        return fail(ECONNABORTED);
    }
    if (draw_fault("accept_full")) {
        return fail(ENFILE);
    }
    const char *file = getenv("GATEWAY_FAULT_SWITCH");
    if (setting("accept_switch") && file != NULL && access(file, F_OK) == 0) {
        return fail(ENFILE);
    }
    return REAL(accept4)(fd, address, length, flags);
}

int connect(int fd, const struct sockaddr *address, socklen_t length) {
    if (draw_fault("connect_fail")) {
        return fail(next_random() % 2 ? EADDRNOTAVAIL : ENETUNREACH);
    }
    return REAL(connect)(fd, address, length);
}

int socket(int domain, int type, int protocol) {
    if (domain == AF_INET && draw_fault("socket_fail")) {
        return fail(next_random() % 2 ? ENOBUFS : ENFILE);
    }
    return REAL(socket)(domain, type, protocol);
}

static int is_configuration(const char *path) {
    size_t length = strlen(path);
    return length >= 5 && strcmp(path + length - 5, ".json") == 0;
}

int open64(const char *path, int flags, ...) {
    va_list arguments;
    va_start(arguments, flags);
    mode_t mode = (flags & O_CREAT) ? va_arg(arguments, mode_t) : 0;
    va_end(arguments);
    if (is_configuration(path) && draw_fault("open_fail")) {
        return fail(next_random() % 2 ? EIO : ENFILE);
    }
    return REAL(open64)(path, flags, mode);
}

int epoll_wait(int fd, struct epoll_event *events, int count, int timeout) {
    if (draw_fault("epoll_eintr")) {
        return fail(EINTR);
    }
    return REAL(epoll_wait)(fd, events, count, timeout);
}

int clock_gettime(clockid_t clock, struct timespec *now) {
    int result = REAL(clock_gettime)(clock, now);
    if (result == 0 && clock == CLOCK_REALTIME) {
        now->tv_sec += setting("wall_clock_s");
    }
    return result;
}
