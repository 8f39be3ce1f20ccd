#pragma once

#include <glib.h>

void jd_log_install (const char *program, const char *source_name,
                     GLogLevelFlags least_severe_level);
void jd_log_install_stream (const char *host, GLogLevelFlags least_severe_level);
void jd_log_event (GLogLevelFlags level, const char *event, const char *format, ...)
    G_GNUC_PRINTF (3, 4);
gboolean jd_log_parse_level (const char *name, GLogLevelFlags *level);
guint64 jd_log_lost_lines (void);
char *jd_log_quote (const char *text);
