// A library that is preloaded into the gateway process and makes system calls fail in ways that Linux
// documents. Other processes that inherit the environment, such as the shell that starts the gateway, are
// recognised by their name and not affected.
//
// SYSCALL_FAULTS holds "key=number" pairs separated by spaces.
//
// Probabilities of faults, in percent of the calls:
//   accept       accept4 fails with a connection or network error
//   accept_full  accept4 fails for lack of descriptors or memory
//   socket, bind, connect
//                the call of this name fails
//   filter       attaching a packet filter to a socket fails for lack of memory
//   descriptor   epoll_create1, eventfd and socketpair fail for lack of descriptors or memory
//   wait         epoll_wait is interrupted (EINTR)
//   read, write  recv or send transfers fewer bytes than requested
//   broken       a connection that the gateway opened breaks at a read or write
//   hold         a write is delayed by 150 ms, at most once a second
// Scheduling delays, as if the process had to wait for a core:
//   preempt              how many in a thousand calls of accept4, connect, close, shutdown, recv and send are
//                        delayed
//   preempt_ms           the maximum delay, in milliseconds
//   preempt_seed         the seed of the random choices of these delays
//   preempt_listener_ms  the delay of every close of a listening socket, in milliseconds
// Others:
//   for_ms        the faults in percent end this many milliseconds after the first intercepted call
//   seed          the seed of all other random choices
//   wall_s        the offset of the wall clock, in seconds
//   wall_step_ms  the interval at which the wall clock steps by an hour, forward or back, in milliseconds
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#define REAL(name) static __typeof__(name) *real; if (!real) real = dlsym(RTLD_NEXT, #name)

/* The length of a clock step, the delay of a write and the minimum time between two such delays, and the
   default maximum of scheduling delays. */
enum { HOUR_S = 3600, HOLD_MS = 150, HOLD_EVERY_MS = 1000, PREEMPT_MS = 20 };

/* Whether this process is the gateway; -1 before the first check. */
static int active = -1;
/* The state of the random number generator of faults. */
static unsigned draw_state;
/* The state of the random number generator of scheduling delays, which do not change the choice of faults. */
static unsigned preempt_state;
/* The monotonic time of the first intercepted call, in milliseconds. */
static long started_ms;

/* Returns the number of a key in SYSCALL_FAULTS, or a default if the key is missing. */
static long number(const char *key, long otherwise) {
  const char *at = getenv("SYSCALL_FAULTS");
  size_t length = strlen(key);
  while (at && *at) {
    if (!strncmp(at, key, length) && at[length] == '=') return atol(at + length + 1);
    at = strchr(at, ' ');
    if (at) at++;
  }
  return otherwise;
}

/* Calls the real clock_gettime, which the library replaces. */
static int real_clock(clockid_t clock, struct timespec *time) { REAL(clock_gettime); return real(clock, time); }

/* Returns the monotonic time in milliseconds. */
static long monotonic_ms(void) {
  struct timespec now;
  real_clock(CLOCK_MONOTONIC, &now);
  return now.tv_sec * 1000 + now.tv_nsec / 1000000;
}

/* Returns whether this process is the gateway; the first call reads the process name and the seeds. */
static int is_active(void) {
  if (active < 0) {
    char name[32] = "";
    FILE *file = fopen("/proc/self/comm", "r");
    if (file) { if (!fgets(name, sizeof name, file)) name[0] = 0; fclose(file); }
    active = getenv("SYSCALL_FAULTS") && !strcmp(name, "grebehook\n");
    draw_state = (unsigned)number("seed", 1) * 2654435761u;
    preempt_state = (unsigned)number("preempt_seed", 1) * 2654435761u;
    started_ms = monotonic_ms();
  }
  return active;
}

/* Returns the next 16-bit pseudo-random number of a generator. */
static unsigned next(unsigned *state) { *state = *state * 1103515245u + 12345u; return *state >> 16; }
static unsigned draw(void) { return next(&draw_state); }

static void sleep_ms(long ms) {
  struct timespec time = {ms / 1000, ms % 1000 * 1000000L};
  nanosleep(&time, 0);
}

/* Delays a call at random, as if the process had to wait for a core; preserves errno. */
static void preempt(void) {
  int kept = errno;
  long per_mille = is_active() ? number("preempt", 0) : 0;
  if (per_mille && (long)(next(&preempt_state) % 1000) < per_mille)
    sleep_ms(1 + next(&preempt_state) % number("preempt_ms", PREEMPT_MS));
  errno = kept;
}

/* Delays the close of a listening socket; preserves errno. */
static void preempt_close(int fd) {
  int kept = errno, listens = 0;
  socklen_t length = sizeof listens;
  long listener_ms = is_active() ? number("preempt_listener_ms", 0) : 0;
  if (listener_ms && !getsockopt(fd, SOL_SOCKET, SO_ACCEPTCONN, &listens, &length) && listens) sleep_ms(listener_ms);
  errno = kept;
}

/* Decides at random whether a fault of a kind occurs; preserves errno. */
static int fails(const char *kind) {
  int kept = errno;
  if (!is_active()) return 0;
  long percent = number(kind, 0), for_ms = number("for_ms", 0);
  int over = for_ms && monotonic_ms() - started_ms > for_ms;
  errno = kept;
  return percent && !over && (long)(draw() % 100) < percent;
}

/* Sets errno to one of the errors at random, and returns -1. */
static int fail_with(const int *errors, int count) { errno = errors[draw() % count]; return -1; }
#define FAIL(...) do { static const int errors[] = {__VA_ARGS__}; return fail_with(errors, sizeof errors / sizeof *errors); } while (0)

/* Whether the gateway itself opened the connection of each descriptor. */
enum { MAX_DESCRIPTORS = 4096 };
static char opened_here[MAX_DESCRIPTORS];

/* Records whether the gateway opened the connection of a descriptor itself. */
static void note_opened(int fd, int opened) { if (fd >= 0 && fd < MAX_DESCRIPTORS) opened_here[fd] = opened; }

/* Decides at random whether a connection that the gateway opened breaks, and if so shuts down both
   directions; data written before is still delivered. */
static int breaks(int fd) {
  if (fd < 0 || fd >= MAX_DESCRIPTORS || !opened_here[fd] || !fails("broken")) return 0;
  shutdown(fd, SHUT_RDWR);
  return 1;
}

/* Delays a write at random, unless the previous delay ended less than HOLD_EVERY_MS ago. */
static void hold(void) {
  static long last_ms;
  if (!fails("hold") || monotonic_ms() - last_ms < HOLD_EVERY_MS) return;
  sleep_ms(HOLD_MS);
  last_ms = monotonic_ms();
}

/* The intercepted calls. Faults exclude the creation, binding and connecting of Unix sockets, and reads that
   only peek. */
int accept4(int fd, struct sockaddr *address, socklen_t *length, int flags) { REAL(accept4);
  preempt();
  if (fails("accept")) FAIL(ECONNABORTED, EPROTO, ENETUNREACH, EHOSTUNREACH, ENETDOWN, EINTR);
  if (fails("accept_full")) FAIL(ENFILE, ENOBUFS, EMFILE, ENOMEM);
  int accepted = real(fd, address, length, flags);
  note_opened(accepted, 0);
  return accepted; }
int socket(int domain, int type, int protocol) { REAL(socket);
  if (domain != AF_UNIX && fails("socket")) FAIL(ENFILE, ENOBUFS, ENOMEM, EMFILE);
  return real(domain, type, protocol); }
int bind(int fd, const struct sockaddr *address, socklen_t length) { REAL(bind);
  if (address->sa_family != AF_UNIX && fails("bind")) FAIL(EADDRINUSE, EADDRNOTAVAIL, ENOBUFS, ENOMEM);
  return real(fd, address, length); }
int connect(int fd, const struct sockaddr *address, socklen_t length) { REAL(connect);
  preempt();
  if (address->sa_family != AF_UNIX && fails("connect")) FAIL(EADDRNOTAVAIL, ENETUNREACH, ENOBUFS);
  note_opened(fd, address->sa_family != AF_UNIX);
  return real(fd, address, length); }
int setsockopt(int fd, int level, int option, const void *value, socklen_t length) { REAL(setsockopt);
  if (level == SOL_SOCKET && option == SO_ATTACH_FILTER && fails("filter")) FAIL(ENOMEM);
  return real(fd, level, option, value, length); }
int close(int fd) { REAL(close); preempt_close(fd); preempt(); return real(fd); }
int shutdown(int fd, int how) { REAL(shutdown); preempt(); return real(fd, how); }
int epoll_create1(int flags) { REAL(epoll_create1); if (fails("descriptor")) FAIL(ENFILE, EMFILE, ENOMEM); return real(flags); }
int eventfd(unsigned value, int flags) { REAL(eventfd); if (fails("descriptor")) FAIL(ENFILE, EMFILE, ENOMEM); return real(value, flags); }
int socketpair(int domain, int type, int protocol, int pair[2]) { REAL(socketpair);
  if (fails("descriptor")) FAIL(ENFILE, EMFILE);
  return real(domain, type, protocol, pair); }
int epoll_wait(int fd, struct epoll_event *events, int most, int timeout) { REAL(epoll_wait);
  if (fails("wait")) FAIL(EINTR);
  return real(fd, events, most, timeout); }
ssize_t recv(int fd, void *data, size_t length, int flags) { REAL(recv);
  preempt();
  if (!(flags & MSG_PEEK) && breaks(fd)) FAIL(ETIMEDOUT, EHOSTUNREACH, ENETUNREACH, ECONNRESET);
  if (length > 1 && !(flags & MSG_PEEK) && fails("read")) length = 1 + draw() % (length < 7 ? length : 7);
  return real(fd, data, length, flags); }
ssize_t send(int fd, const void *data, size_t length, int flags) { REAL(send);
  preempt();
  hold();
  if (breaks(fd)) FAIL(ETIMEDOUT, EHOSTUNREACH, ENETUNREACH, ECONNRESET, EPIPE);
  if (length > 1 && fails("write")) length = 1 + length / 3;
  return real(fd, data, length, flags); }
int clock_gettime(clockid_t clock, struct timespec *time) {
  int result = real_clock(clock, time);
  if (result || clock != CLOCK_REALTIME || !is_active()) return result;
  long step_ms = number("wall_step_ms", 0);
  long steps = step_ms ? (monotonic_ms() - started_ms) / step_ms % 3 - 1 : 0;
  time->tv_sec += number("wall_s", 0) + steps * HOUR_S;
  return result; }
