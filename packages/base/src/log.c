#include "masticvane/base.h"

#include <errno.h>
#include <string.h>
#include <time.h>

struct mv_log {
    FILE *file;
    bool owned;
    mv_log_level_t level;
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
        g_set_error(error, MV_ERROR, MV_ERROR_NO_MEMORY, "no memory");
        return NULL;
    }
    log->level = level;
    log->file = stderr;
    if (path && *path) {
        log->file = fopen(path, "a");
        log->owned = true;
    }
    if (!log->file) {
        g_set_error(error, MV_ERROR, MV_ERROR_IO, "cannot open log %s: %s",
                    path, g_strerror(errno));
        MvLog_Destroy(log);
        return NULL;
    }
    return log;
}

void
MvLog_Destroy(mv_log_t *log)
{
    if (!log) {
        return;
    }
    if (log->owned && log->file) {
        (void)fclose(log->file);
    }
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

void
MvLog_Write(mv_log_t *log, mv_log_event_t event, const char *format, ...)
{
    if (!log) {
        return;
    }
    const event_text_t *known = find_event(event);
    if (known->level < log->level) {
        return;
    }
    struct timespec now;
    clock_gettime(CLOCK_REALTIME, &now);
    struct tm utc;
    gmtime_r(&now.tv_sec, &utc);
    char stamp[32];
    strftime(stamp, sizeof(stamp), "%Y-%m-%dT%H:%M:%S", &utc);
    va_list args;
    va_start(args, format);
    char *pairs = g_strdup_vprintf(format, args);
    va_end(args);
    (void)fprintf(log->file, "%s.%03ldZ %d %s \"%s\" %s\n", stamp,
                  now.tv_nsec / 1000000, known->number,
                  level_names[known->level], known->text, pairs);
    (void)fflush(log->file);
    g_free(pairs);
}
