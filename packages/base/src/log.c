/* The event log: lines are written whole or dropped, limited in number and
 * bytes per second, and never block the caller on a pipe. */
#include "masticvane/base.h"

#include <errno.h>
#include <fcntl.h>
#include <poll.h>
#include <pthread.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

/* Less than PIPE_BUF, so that a pipe accepts a line whole or not at all. */
#define LINE_MAX_BYTES 2048
#define FILE_MODE 0644
#define NS_PER_MILLISECOND 1000000
/* Events of single flows come in any number: a part of the budget is left to
 * the others, which tell what the node knows. */
#define FIRST_FLOW_EVENT 6001
#define LAST_FLOW_EVENT 6007
#define FLOW_SHARE(budget) ((budget) / 4 * 3)

/**
 * struct mv_log - State of a log.
 * @fd: the file, pipe or standard output
 * @owned: @fd is closed with the log
 * @level: events of a lower level are not logged
 * @lock: protects the fields that follow, and @fd while writing
 * @line_budget: lines per second, 0 for no limit
 * @byte_budget: bytes per second, 0 for no limit
 * @second: Unix second to which @lines and @bytes belong
 * @lines: lines counted against @line_budget
 * @bytes: bytes counted against @byte_budget
 * @over_budget: lines dropped over the budget and not yet reported
 * @not_taken: lines that @fd did not accept and that are not yet reported
 */
struct mv_log {
    int fd;
    bool owned;
    mv_log_level_t level;
    pthread_mutex_t lock;
    unsigned line_budget;
    unsigned byte_budget;
    time_t second;
    unsigned lines;
    unsigned bytes;
    unsigned over_budget;
    unsigned not_taken;
};

typedef struct event_text {
    int number;
    mv_log_level_t level;
    const char *text;
} event_text_t;

static const event_text_t event_texts[] = {
#define MV_EVENT(number, id, level, text) {number, MV_LOG_##level, text},
#include "masticvane/events.def"
#undef MV_EVENT
};

static const char *const level_names[] = {"debug", "info", "warning", "error"};

mv_log_t *
MvLog_Create(const char *path, mv_log_level_t level, GError **error)
{
    mv_log_t *log = g_try_new0(mv_log_t, 1);
    if (!log) {
        g_set_error(error, MV_ERROR, MV_ERROR_NO_MEMORY,
                    "out of memory while opening the log");
        return NULL;
    }
    log->level = level;
    log->fd = STDOUT_FILENO;
    pthread_mutex_init(&log->lock, NULL);
    if (path && *path) {
        log->fd =
            open(path, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, FILE_MODE);
        log->owned = log->fd >= 0;
    }
    if (log->fd < 0) {
        g_set_error(error, MV_ERROR, MV_ERROR_IO, "cannot open log %s: %s",
                    path, g_strerror(errno));
        MvLog_Destroy(log);
        return NULL;
    }
    return log;
}

void
MvLog_SetBudget(mv_log_t *log, unsigned lines_per_second,
                unsigned bytes_per_second)
{
    pthread_mutex_lock(&log->lock);
    log->line_budget = lines_per_second;
    log->byte_budget = bytes_per_second;
    pthread_mutex_unlock(&log->lock);
}

void
MvLog_Destroy(mv_log_t *log)
{
    if (!log) {
        return;
    }
    if (log->owned) {
        close(log->fd);
    }
    pthread_mutex_destroy(&log->lock);
    g_free(log);
}

static const event_text_t *
find_event(mv_log_event_t event)
{
    for (size_t i = 0; i < G_N_ELEMENTS(event_texts); i++) {
        if (event_texts[i].number == (int)event) {
            return &event_texts[i];
        }
    }
    return &event_texts[0];
}

/* Drops the line instead of blocking when a pipe is full. */
static void
write_line(mv_log_t *log, const char *line, size_t length)
{
    struct pollfd writable = {.fd = log->fd, .events = POLLOUT};
    if (poll(&writable, 1, 0) != 1 || !(writable.revents & POLLOUT) ||
        write(log->fd, line, length) != (ssize_t)length) {
        log->not_taken++;
    }
}

static size_t
format_prefix(char *line, const event_text_t *event,
              const struct timespec *now)
{
    struct tm utc;
    char timestamp[32];
    gmtime_r(&now->tv_sec, &utc);
    strftime(timestamp, sizeof(timestamp), "%Y-%m-%dT%H:%M:%S", &utc);
    return (size_t)snprintf(line, LINE_MAX_BYTES, "%s.%03ldZ %d %s \"%s\" ",
                            timestamp, now->tv_nsec / NS_PER_MILLISECOND,
                            event->number, level_names[event->level],
                            event->text);
}

static void
finish_line(mv_log_t *log, char *line, size_t length)
{
    length = MIN(length, LINE_MAX_BYTES - 2);
    line[length++] = '\n';
    write_line(log, line, length);
}

static void
report_dropped(mv_log_t *log, const struct timespec *now)
{
    char line[LINE_MAX_BYTES];
    size_t length =
        format_prefix(line, find_event(MV_EVENT_LINES_DROPPED), now);
    length += (size_t)snprintf(line + length, LINE_MAX_BYTES - length,
                               "over_budget=%u not_taken=%u", log->over_budget,
                               log->not_taken);
    log->over_budget = 0;
    log->not_taken = 0;
    finish_line(log, line, length);
}

static void
start_new_second(mv_log_t *log, const struct timespec *now)
{
    if (now->tv_sec == log->second) {
        return;
    }
    log->second = now->tv_sec;
    log->lines = 0;
    log->bytes = 0;
    if (log->over_budget + log->not_taken > 0) {
        report_dropped(log, now);
    }
}

static bool
is_about_flow(const event_text_t *event)
{
    return event->number >= FIRST_FLOW_EVENT &&
           event->number <= LAST_FLOW_EVENT;
}

static unsigned
budget_of(const event_text_t *event, unsigned budget)
{
    return is_about_flow(event) ? FLOW_SHARE(budget) : budget;
}

/* Checked before formatting, so that dropped lines cost little. */
static bool
is_within_line_budget(const mv_log_t *log, const event_text_t *event)
{
    return log->line_budget == 0 ||
           log->lines < budget_of(event, log->line_budget);
}

static bool
is_within_byte_budget(const mv_log_t *log, const event_text_t *event,
                      size_t length)
{
    return log->byte_budget == 0 ||
           log->bytes + length <= budget_of(event, log->byte_budget);
}

void
MvLog_Tick(mv_log_t *log)
{
    struct timespec now;
    if (!log) {
        return;
    }
    clock_gettime(CLOCK_REALTIME, &now);
    pthread_mutex_lock(&log->lock);
    start_new_second(log, &now);
    pthread_mutex_unlock(&log->lock);
}

static void G_GNUC_PRINTF(4, 0)
    write_event(mv_log_t *log, const event_text_t *event,
                const struct timespec *now, const char *format, va_list args)
{
    char line[LINE_MAX_BYTES];
    size_t length = format_prefix(line, event, now);
    length += (size_t)vsnprintf(line + length, LINE_MAX_BYTES - length, format,
                                args);
    length = MIN(length, LINE_MAX_BYTES - 2);
    if (!is_within_byte_budget(log, event, length + 1)) {
        log->over_budget++;
        return;
    }
    log->lines++;
    log->bytes += (unsigned)length + 1;
    finish_line(log, line, length);
}

void
MvLog_Write(mv_log_t *log, mv_log_event_t event, const char *format, ...)
{
    if (!log) {
        return;
    }
    const event_text_t *entry = find_event(event);
    if (entry->level < log->level) {
        return;
    }
    struct timespec now;
    clock_gettime(CLOCK_REALTIME, &now);
    pthread_mutex_lock(&log->lock);
    start_new_second(log, &now);
    if (is_within_line_budget(log, entry)) {
        va_list args;
        va_start(args, format);
        write_event(log, entry, &now, format, args);
        va_end(args);
    }
    else {
        log->over_budget++;
    }
    pthread_mutex_unlock(&log->lock);
}
