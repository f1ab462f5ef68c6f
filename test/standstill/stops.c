/* Part of masticvaned-stops, the daemon with the socket calls of its traffic
 * thread wrapped: stops the whole process once at a chosen place between two
 * of its steps, where a signal from outside would land by chance only.
 *
 * The environment variable MASTICVANE_STOP_FILE names a file.  When it exists
 * and holds the name of a place, the process removes it at that place and
 * stops itself until it receives SIGCONT. */
#include <fcntl.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define MAX_NAME 32

int __real_recvmmsg(int fd, struct mmsghdr *messages, unsigned count,
                    int flags, struct timespec *timeout);
int __real_sendmmsg(int fd, struct mmsghdr *messages, unsigned count,
                    int flags);
int __wrap_recvmmsg(int fd, struct mmsghdr *messages, unsigned count,
                    int flags, struct timespec *timeout);
int __wrap_sendmmsg(int fd, struct mmsghdr *messages, unsigned count,
                    int flags);

static void
stop_at(const char *place)
{
    char name[MAX_NAME] = "";
    const char *path = getenv("MASTICVANE_STOP_FILE");
    int fd = path ? open(path, O_RDONLY) : -1;
    if (fd < 0) {
        return;
    }
    ssize_t length = read(fd, name, sizeof(name) - 1);
    (void)close(fd);
    if (length > 0 && strcmp(name, place) == 0) {
        (void)unlink(path);
        /* Sent to this thread: it does not run on until the group stops. */
        (void)raise(SIGSTOP);
    }
}

int
__wrap_recvmmsg(int fd, struct mmsghdr *messages, unsigned count, int flags,
                struct timespec *timeout)
{
    stop_at("before-read");
    int received = __real_recvmmsg(fd, messages, count, flags, timeout);
    if (received > 0) {
        stop_at("after-read");
    }
    return received;
}

int
__wrap_sendmmsg(int fd, struct mmsghdr *messages, unsigned count, int flags)
{
    stop_at("before-send");
    return __real_sendmmsg(fd, messages, count, flags);
}
