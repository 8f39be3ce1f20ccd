#include "base/log_event.h"

#include <stdio.h>
#include <unistd.h>

#include "base/clock.h"
#include "base/log_sink.h"

/* Longer lines are truncated. */
#define LINE_BYTES_MAX 1024
/* Reserved at the end of a line for the key lines_left_out and the newline. */
#define LINE_TAIL_BYTES 40

static char *log_program;
static char *log_source_name;
static GLogLevelFlags log_least_severe_level = G_LOG_LEVEL_INFO;
static jd_log_sink_t *log_sink; /* NULL: log to standard error through GLib. */

/* Returns the value of the level key in log lines. */
static const char *
level_name (GLogLevelFlags level)
{
  if (level & G_LOG_LEVEL_ERROR)
    return "fatal";
  if (level & G_LOG_LEVEL_CRITICAL)
    return "error";
  if (level & G_LOG_LEVEL_WARNING)
    return "warning";
  if (level & (G_LOG_LEVEL_MESSAGE | G_LOG_LEVEL_INFO))
    return "info";
  return "debug";
}

/* GLib log writer: prints one key=value line per message to standard error. */
static GLogWriterOutput
write_line (GLogLevelFlags level, const GLogField *fields, gsize count,
            gpointer user_data)
{
  /* In GLib a higher number means a less severe level. */
  if ((level & G_LOG_LEVEL_MASK) > log_least_severe_level)
    return G_LOG_WRITER_HANDLED;
  const char *message = "";
  for (gsize i = 0; i < count; i++)
    {
      if (g_strcmp0 (fields[i].key, "MESSAGE") == 0)
        message = fields[i].value;
    }
  int64_t now_us = jd_wall_time_us ();
  fprintf (stderr, "time=%" G_GINT64_FORMAT ".%06d level=%s program=%s seat=%s %s\n",
           now_us / JD_US_PER_S, (int)(now_us % JD_US_PER_S), level_name (level),
           log_program ? log_program : "-", log_source_name ? log_source_name : "-",
           message);
  return G_LOG_WRITER_HANDLED;
}

/* Sends all GLib log messages of this process to standard error as key=value lines, with
 * source_name (may be NULL) as the value of the key seat. Call once, before threads
 * start. */
void
jd_log_install (const char *program, const char *source_name,
                GLogLevelFlags least_severe_level)
{
  log_program = g_strdup (program);
  log_source_name = g_strdup (source_name);
  log_least_severe_level = least_severe_level;
  g_log_set_writer_func (write_line, NULL, NULL);
}

/* Sends all events that this process logs to standard output as key=value lines. Writes
 * never block on a slow reader, and each event has a rate limit. Only for programs that
 * log from one thread, because the sink has no lock. */
void
jd_log_install_stream (const char *host, GLogLevelFlags least_severe_level)
{
  log_program = g_strdup ("jackdaw-host");
  log_source_name = g_strdup (host);
  log_least_severe_level = least_severe_level;
  log_sink = jd_log_sink_new (STDOUT_FILENO);
}

/* Writes one event to the sink, unless the rate limit of the event suppresses it. */
static void
write_to_sink (GLogLevelFlags level, const char *event, const char *format,
               va_list arguments)
{
  uint32_t suppressed_lines = 0;
  int64_t now_us = jd_wall_time_us ();
  if (!jd_log_sink_admit (log_sink, event, jd_monotonic_us (), &suppressed_lines))
    return;
  char line[LINE_BYTES_MAX];
  int size = g_snprintf (line, sizeof (line),
                         "time=%" G_GINT64_FORMAT ".%06d level=%s host=%s event=%s ",
                         now_us / JD_US_PER_S, (int)(now_us % JD_US_PER_S),
                         level_name (level), log_source_name, event);
  size += g_vsnprintf (line + size, sizeof (line) - size - LINE_TAIL_BYTES, format,
                       arguments);
  size = MIN (size, (int)sizeof (line) - LINE_TAIL_BYTES - 1);
  if (suppressed_lines > 0)
    size += g_snprintf (line + size, sizeof (line) - size, " lines_left_out=%u",
                        suppressed_lines);
  line[size++] = '\n';
  jd_log_sink_write (log_sink, line, size);
}

/* Logs one event. The format produces the key=value pairs; quote values that may contain
 * spaces with jd_log_quote. */
void
jd_log_event (GLogLevelFlags level, const char *event, const char *format, ...)
{
  if (level > log_least_severe_level)
    return;
  va_list arguments;
  va_start (arguments, format);
  if (log_sink)
    {
      write_to_sink (level, event, format, arguments);
      va_end (arguments);
      return;
    }
  char *pairs = g_strdup_vprintf (format, arguments);
  va_end (arguments);
  g_log_structured ("jackdaw", level, "MESSAGE", "event=%s %s", event, pairs);
  g_free (pairs);
}

/* Returns the number of lines that were lost because the reader of the log was too
 * slow. */
guint64
jd_log_lost_lines (void)
{
  return log_sink ? jd_log_sink_lost_lines (log_sink) : 0;
}

/* Returns the string in double quotes, with quotes, backslashes and control characters
 * escaped; NULL gives an empty string. Free with g_free. */
char *
jd_log_quote (const char *text)
{
  char *escaped = g_strescape (text ? text : "", NULL);
  char *quoted = g_strdup_printf ("\"%s\"", escaped);
  g_free (escaped);
  return quoted;
}

/* Parses the name of the least severe level to log: error, warning, info or debug.
 * Returns FALSE and leaves *level unchanged for any other name. */
gboolean
jd_log_parse_level (const char *name, GLogLevelFlags *level)
{
  static const struct
  {
    const char *name;
    GLogLevelFlags level;
  } levels[] = {
    { "error", G_LOG_LEVEL_CRITICAL },
    { "warning", G_LOG_LEVEL_WARNING },
    { "info", G_LOG_LEVEL_INFO },
    { "debug", G_LOG_LEVEL_DEBUG },
  };
  for (gsize i = 0; i < G_N_ELEMENTS (levels); i++)
    {
      if (g_strcmp0 (name, levels[i].name) != 0)
        continue;
      *level = levels[i].level;
      return TRUE;
    }
  return FALSE;
}
