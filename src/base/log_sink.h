#pragma once

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* Writes log lines to a descriptor without ever blocking on its reader. Lines that do not
 * fit into the buffer are lost and counted. Each event has a rate limit of its own; lines
 * above it are suppressed and counted. Not thread-safe. */
typedef struct jd_log_sink jd_log_sink_t;

jd_log_sink_t *jd_log_sink_new (int fd);
void jd_log_sink_free (jd_log_sink_t *sink);
bool jd_log_sink_admit (jd_log_sink_t *sink, const char *event, int64_t now_us,
                        uint32_t *suppressed_lines);
void jd_log_sink_write (jd_log_sink_t *sink, const char *line, size_t size);
uint64_t jd_log_sink_lost_lines (const jd_log_sink_t *sink);
