#include "transport/target_pool.h"

#include <sys/epoll.h>

struct jd_target_pool
{
  jd_event_poll_t *poll;
  jd_clock_t clock;
  char *address;
  uint32_t max_connections;
  CURLM *multi;
  GHashTable *socket_watches; /* file descriptor -> socket_watch_t */
  int64_t wake_us;
  uint32_t active_exchanges;
};

/* A socket of curl and its watch in the event poll. */
typedef struct socket_watch
{
  jd_target_pool_t *pool;
  curl_socket_t fd;
  jd_event_watch_t *watch;
} socket_watch_t;

/* Ready callback: lets curl read from and write to a socket. */
static void
on_socket_ready (void *context, uint32_t events)
{
  const socket_watch_t *socket = context;
  int action = 0;
  if (events & EPOLLIN)
    action |= CURL_CSELECT_IN;
  if (events & EPOLLOUT)
    action |= CURL_CSELECT_OUT;
  if (events & (EPOLLERR | EPOLLHUP))
    action |= CURL_CSELECT_ERR;
  int running = 0;
  curl_multi_socket_action (socket->pool->multi, socket->fd, action, &running);
}

/* Stops watching a socket; destroy callback of pool->socket_watches. */
static void
free_watch (gpointer data)
{
  socket_watch_t *socket = data;
  jd_event_poll_remove (socket->pool->poll, socket->watch);
  g_free (socket);
}

/* curl callback: the events that curl waits for on a socket have changed. Returns -1
 * if the socket cannot be watched, which makes curl abort the transfers of the pool. */
static int
on_socket_events (CURL *easy, curl_socket_t fd, int what, void *context,
                  void *socket_data)
{
  jd_target_pool_t *pool = context;
  socket_watch_t *socket =
      g_hash_table_lookup (pool->socket_watches, GINT_TO_POINTER (fd));
  if (what == CURL_POLL_REMOVE)
    {
      g_hash_table_remove (pool->socket_watches, GINT_TO_POINTER (fd));
      return 0;
    }
  uint32_t events = (what & CURL_POLL_IN ? (uint32_t)EPOLLIN : 0) |
                    (what & CURL_POLL_OUT ? (uint32_t)EPOLLOUT : 0);
  if (socket)
    {
      jd_event_poll_modify (pool->poll, socket->watch, events);
      return 0;
    }
  socket = g_new0 (socket_watch_t, 1);
  *socket = (socket_watch_t){ .pool = pool, .fd = fd };
  socket->watch = jd_event_poll_add (pool->poll, fd, events, on_socket_ready, socket);
  if (!socket->watch)
    {
      g_free (socket);
      return -1;
    }
  g_hash_table_insert (pool->socket_watches, GINT_TO_POINTER (fd), socket);
  return 0;
}

/* curl callback: curl has to be called after timeout_ms for its time-outs; -1 cancels the
 * timer. */
static int
on_timer (CURLM *multi, long timeout_ms, void *context)
{
  jd_target_pool_t *pool = context;
  pool->wake_us = timeout_ms < 0 ? INT64_MAX
                                 : jd_clock_now_us (&pool->clock) +
                                       (int64_t)timeout_ms * JD_US_PER_MS;
  return 0;
}

/* Connections are opened on demand. The event poll must outlive the pool. */
jd_target_pool_t *
jd_target_pool_new (jd_event_poll_t *poll, jd_clock_t clock, const char *address,
                    uint32_t max_connections)
{
  jd_target_pool_t *pool = g_new0 (jd_target_pool_t, 1);
  *pool = (jd_target_pool_t){ .poll = poll, .clock = clock, .wake_us = INT64_MAX };
  pool->address = g_strdup (address);
  pool->socket_watches = g_hash_table_new_full (NULL, NULL, NULL, free_watch);
  pool->multi = curl_multi_init ();
  if (!pool->multi)
    g_error ("event=out_of_memory");
  curl_multi_setopt (pool->multi, CURLMOPT_SOCKETFUNCTION, on_socket_events);
  curl_multi_setopt (pool->multi, CURLMOPT_SOCKETDATA, pool);
  curl_multi_setopt (pool->multi, CURLMOPT_TIMERFUNCTION, on_timer);
  curl_multi_setopt (pool->multi, CURLMOPT_TIMERDATA, pool);
  jd_target_pool_set_connections (pool, max_connections);
  return pool;
}

/* Frees a pool, from which all exchanges must have been removed. */
void
jd_target_pool_free (jd_target_pool_t *pool)
{
  curl_multi_cleanup (pool->multi);
  g_hash_table_destroy (pool->socket_watches);
  g_free (pool->address);
  g_free (pool);
}

/* Sets the maximum number of connections, active and idle ones together. */
void
jd_target_pool_set_connections (jd_target_pool_t *pool, uint32_t max_connections)
{
  pool->max_connections = max_connections;
  curl_multi_setopt (pool->multi, CURLMOPT_MAXCONNECTS, (long)max_connections);
  curl_multi_setopt (pool->multi, CURLMOPT_MAX_TOTAL_CONNECTIONS, (long)max_connections);
}

/* Returns the address of the target; the string is owned by the pool. */
const char *
jd_target_pool_address (const jd_target_pool_t *pool)
{
  return pool->address;
}

/* Adds an exchange, which starts at the next jd_target_pool_run. */
gboolean
jd_target_pool_add (jd_target_pool_t *pool, jd_target_exchange_t *exchange)
{
  if (pool->active_exchanges >= pool->max_connections ||
      curl_multi_add_handle (pool->multi, exchange->easy) != CURLM_OK)
    return FALSE;
  pool->active_exchanges++;
  return TRUE;
}

/* Removes an exchange; the caller keeps ownership of it. */
void
jd_target_pool_remove (jd_target_pool_t *pool, jd_target_exchange_t *exchange)
{
  curl_multi_remove_handle (pool->multi, exchange->easy);
  pool->active_exchanges--;
}

/* Runs the timers of curl if they are due; adding an exchange makes them due. */
void
jd_target_pool_run (jd_target_pool_t *pool)
{
  if (jd_clock_now_us (&pool->clock) < pool->wake_us)
    return;
  pool->wake_us = INT64_MAX;
  int running = 0;
  curl_multi_socket_action (pool->multi, CURL_SOCKET_TIMEOUT, 0, &running);
}

/* Returns an exchange that has ended, which the caller owns from then on, or NULL. */
jd_target_exchange_t *
jd_target_pool_pop_finished (jd_target_pool_t *pool, CURLcode *result)
{
  int queued_messages = 0;
  CURLMsg *message = NULL;
  while ((message = curl_multi_info_read (pool->multi, &queued_messages)) != NULL)
    {
      if (message->msg != CURLMSG_DONE)
        continue;
      *result = message->data.result;
      jd_target_exchange_t *exchange = NULL;
      curl_easy_getinfo (message->easy_handle, CURLINFO_PRIVATE, &exchange);
      jd_target_pool_remove (pool, exchange);
      return exchange;
    }
  return NULL;
}

/* Returns the time of the next call of jd_target_pool_run that curl needs, in the clock
 * that the pool was created with. */
int64_t
jd_target_pool_next_wake_us (const jd_target_pool_t *pool)
{
  return pool->wake_us;
}

/* Returns the number of exchanges that have not been removed. */
uint32_t
jd_target_pool_active (const jd_target_pool_t *pool)
{
  return pool->active_exchanges;
}
