#include "base/log_sink.h"

#include <errno.h>
#include <fcntl.h>
#include <string.h>
#include <unistd.h>

#include "base/clock.h"

/* Lines that wait for a slow reader. */
#define PENDING_BYTES_MAX ((size_t)64 * 1024)
/* Lines of one event: a steady rate, and a reserve for sudden changes. */
#define LINES_PER_S 100.0
#define LINES_RESERVE 300.0

typedef struct jd_log_quota
{
  double tokens;
  int64_t refilled_us;
  uint32_t left_out;
} jd_log_quota_t;

struct jd_log_sink
{
  int fd;
  GString *pending;
  GHashTable *quotas; /* event -> jd_log_quota_t */
  uint64_t lost;
};

/* Creates a sink and makes the descriptor non-blocking. */
jd_log_sink_t *
jd_log_sink_new (int fd)
{
  jd_log_sink_t *sink = g_new0 (jd_log_sink_t, 1);
  sink->fd = fd;
  sink->pending = g_string_new (NULL);
  sink->quotas = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  int flags = fcntl (fd, F_GETFL);
  if (flags >= 0)
    fcntl (fd, F_SETFL, flags | O_NONBLOCK);
  return sink;
}

/* Frees a sink; the descriptor stays open. */
void
jd_log_sink_free (jd_log_sink_t *sink)
{
  g_string_free (sink->pending, TRUE);
  g_hash_table_destroy (sink->quotas);
  g_free (sink);
}

/* TRUE when a line of an event may be written now; left_out is then the number of lines
 * of the event that were left out since the last one. */
bool
jd_log_sink_admit (jd_log_sink_t *sink, const char *event, int64_t now_us,
                   uint32_t *left_out)
{
  jd_log_quota_t *quota = g_hash_table_lookup (sink->quotas, event);
  if (!quota)
    {
      quota = g_new0 (jd_log_quota_t, 1);
      quota->tokens = LINES_RESERVE;
      quota->refilled_us = now_us;
      g_hash_table_insert (sink->quotas, g_strdup (event), quota);
    }
  double elapsed_s = (double)(now_us - quota->refilled_us) / (double)JD_US_PER_S;
  quota->refilled_us = now_us;
  quota->tokens = MIN (quota->tokens + elapsed_s * LINES_PER_S, LINES_RESERVE);
  if (quota->tokens < 1.0)
    {
      quota->left_out++;
      return false;
    }
  quota->tokens -= 1.0;
  *left_out = quota->left_out;
  quota->left_out = 0;
  return true;
}

/* Writes what waits, as far as the reader takes it. */
static void
flush (jd_log_sink_t *sink)
{
  while (sink->pending->len > 0)
    {
      ssize_t written = write (sink->fd, sink->pending->str, sink->pending->len);
      if (written < 0 && errno == EINTR)
        continue;
      if (written <= 0)
        return;
      g_string_erase (sink->pending, 0, written);
    }
}

/* Writes a whole line, or leaves it out when too much waits for the reader. */
void
jd_log_sink_write (jd_log_sink_t *sink, const char *line, size_t size)
{
  if (sink->pending->len + size > PENDING_BYTES_MAX)
    flush (sink);
  if (sink->pending->len + size > PENDING_BYTES_MAX)
    {
      sink->lost++;
      return;
    }
  g_string_append_len (sink->pending, line, (gssize)size);
  flush (sink);
}

/* Returns the number of lines that were left out for a slow reader. */
uint64_t
jd_log_sink_lost (const jd_log_sink_t *sink)
{
  return sink->lost;
}
