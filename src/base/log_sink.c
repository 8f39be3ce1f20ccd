#include "base/log_sink.h"

#include <errno.h>
#include <fcntl.h>
#include <string.h>
#include <unistd.h>

#include "base/clock.h"

/* Bytes buffered for a slow reader; lines beyond this are lost. */
#define PENDING_BYTES_MAX ((size_t)64 * 1024)
/* Rate limit of each event: a token bucket with this refill rate and size. The burst
 * admits the lines that a sudden change logs at once. */
#define LINES_PER_S 100.0
#define LINES_BURST 300.0

typedef struct jd_log_quota
{
  double tokens;
  int64_t refilled_us;
  uint32_t suppressed_lines;
} jd_log_quota_t;

struct jd_log_sink
{
  int fd;
  GString *pending;
  GHashTable *quotas; /* event -> jd_log_quota_t */
  uint64_t lost_lines;
};

/* Creates a sink and makes the descriptor non-blocking; free with jd_log_sink_free. */
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

/* Returns true if the rate limit of the event allows a line now. Then *suppressed_lines
 * is the number of lines of this event that were suppressed since the last allowed line;
 * otherwise it is unchanged. */
bool
jd_log_sink_admit (jd_log_sink_t *sink, const char *event, int64_t now_us,
                   uint32_t *suppressed_lines)
{
  jd_log_quota_t *quota = g_hash_table_lookup (sink->quotas, event);
  if (!quota)
    {
      quota = g_new0 (jd_log_quota_t, 1);
      quota->tokens = LINES_BURST;
      quota->refilled_us = now_us;
      g_hash_table_insert (sink->quotas, g_strdup (event), quota);
    }
  double elapsed_s = (double)(now_us - quota->refilled_us) / (double)JD_US_PER_S;
  quota->refilled_us = now_us;
  quota->tokens = MIN (quota->tokens + elapsed_s * LINES_PER_S, LINES_BURST);
  if (quota->tokens < 1.0)
    {
      quota->suppressed_lines++;
      return false;
    }
  quota->tokens -= 1.0;
  *suppressed_lines = quota->suppressed_lines;
  quota->suppressed_lines = 0;
  return true;
}

/* Writes pending bytes until the descriptor would block or a write fails; the rest stays
 * pending. */
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

/* Writes a line, or counts it as lost if the whole line does not fit into the buffer.
 * Never blocks. */
void
jd_log_sink_write (jd_log_sink_t *sink, const char *line, size_t size)
{
  if (sink->pending->len + size > PENDING_BYTES_MAX)
    flush (sink);
  if (sink->pending->len + size > PENDING_BYTES_MAX)
    {
      sink->lost_lines++;
      return;
    }
  g_string_append_len (sink->pending, line, (gssize)size);
  flush (sink);
}

/* Returns the number of lines that were lost because the reader was too slow. */
uint64_t
jd_log_sink_lost_lines (const jd_log_sink_t *sink)
{
  return sink->lost_lines;
}
