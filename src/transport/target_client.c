#include "transport/target_client.h"

#include "transport/target_body.h"
#include "transport/target_exchange.h"
#include "transport/target_pool.h"

/* The broker ends attempts at their deadline itself. The time-out of curl is later by
 * this margin and closes a connection that is still silent then. */
#define DEADLINE_MARGIN_US (10 * JD_US_PER_MS)
#define CANCEL_TIMEOUT_US (500 * JD_US_PER_MS)

/* One address of one target. */
typedef struct client_target
{
  jd_name_t name;
  jd_target_pool_t *pool;
  jd_target_exchange_t *probe; /* Running health probe, or NULL. */
  GPtrArray *exchanges;        /* All unfinished exchanges with this address. */
} client_target_t;

struct jd_target_client
{
  jd_target_client_options_t options;
  GHashTable *by_name; /* name -> client_target_t in use */
  GPtrArray *targets;  /* client_target_t, also replaced ones with unfinished exchanges */
  GHashTable *by_handle; /* handle -> jd_target_exchange_t of work */
  GQueue unstarted;      /* jd_target_exchange_t that are not yet in a pool */
  GQueue aborted;        /* jd_target_exchange_t of work to end as not sent */
  uint64_t probe_count;
};

/* Frees a target without unfinished exchanges; free function of client->targets. */
static void
free_target (gpointer data)
{
  client_target_t *target = data;
  jd_target_pool_free (target->pool);
  g_ptr_array_unref (target->exchanges);
  g_free (target);
}

/* Copies the options and id_prefix; the event poll must outlive the client. */
jd_target_client_t *
jd_target_client_new (const jd_target_client_options_t *options)
{
  jd_target_client_t *client = g_new0 (jd_target_client_t, 1);
  client->options = *options;
  client->options.id_prefix = g_strdup (options->id_prefix);
  client->by_name = g_hash_table_new (g_str_hash, g_str_equal);
  client->targets = g_ptr_array_new_with_free_func (free_target);
  client->by_handle = g_hash_table_new (g_int64_hash, g_int64_equal);
  g_queue_init (&client->unstarted);
  g_queue_init (&client->aborted);
  return client;
}

/* Aborts all requests without calling back and closes all connections. */
void
jd_target_client_free (jd_target_client_t *client)
{
  if (!client)
    return;
  for (guint i = 0; i < client->targets->len; i++)
    {
      client_target_t *target = g_ptr_array_index (client->targets, i);
      for (guint j = 0; j < target->exchanges->len; j++)
        {
          jd_target_exchange_t *exchange = g_ptr_array_index (target->exchanges, j);
          if (!g_queue_find (&client->unstarted, exchange))
            jd_target_pool_remove (target->pool, exchange);
          jd_target_exchange_free (exchange);
        }
    }
  g_queue_clear (&client->unstarted);
  g_queue_clear (&client->aborted);
  g_hash_table_destroy (client->by_handle);
  g_hash_table_destroy (client->by_name);
  g_ptr_array_unref (client->targets);
  g_free ((char *)client->options.id_prefix);
  g_free (client);
}

/* Adds a target or updates its address and its maximum number of connections. Requests
 * to an earlier address continue there. */
void
jd_target_client_set_target (jd_target_client_t *client, const char *name,
                             const char *address, uint32_t max_connections)
{
  client_target_t *target = g_hash_table_lookup (client->by_name, name);
  if (target && g_strcmp0 (jd_target_pool_address (target->pool), address) == 0)
    {
      jd_target_pool_set_connections (target->pool, max_connections);
      return;
    }
  jd_target_client_drop_target (client, name);
  target = g_new0 (client_target_t, 1);
  g_strlcpy (target->name, name, sizeof (target->name));
  target->exchanges = g_ptr_array_new ();
  target->pool = jd_target_pool_new (client->options.poll, client->options.clock, address,
                                     max_connections);
  g_ptr_array_add (client->targets, target);
  g_hash_table_insert (client->by_name, target->name, target);
}

/* Removes a target, which is freed after its last exchange has ended. */
void
jd_target_client_drop_target (jd_target_client_t *client, const char *name)
{
  g_hash_table_remove (client->by_name, name);
}

/* Returns the options of an exchange with a target. They point to target and request_id,
 * so both must outlive them. */
static jd_exchange_options_t
exchange_options (const jd_target_client_t *client, const client_target_t *target,
                  const char *request_id, int64_t timeout_us)
{
  return (jd_exchange_options_t){
    .target = target->name,
    .address = jd_target_pool_address (target->pool),
    .request_id = request_id,
    .clock = client->options.clock,
    .timeout_us = timeout_us,
    .may_write = client->options.may_write,
    .context = client->options.context,
  };
}

/* Queues an exchange for the next run. Must not call curl, because this may run inside
 * one of its callbacks. */
static void
enqueue (jd_target_client_t *client, client_target_t *target,
         jd_target_exchange_t *exchange)
{
  exchange->user_data = target;
  g_ptr_array_add (target->exchanges, exchange);
  g_queue_push_tail (&client->unstarted, exchange);
}

/* Reports JD_REPLY_NOT_SENT for an attempt that has no exchange. */
static void
report_not_sent (jd_target_client_t *client, uint64_t handle)
{
  jd_target_reply_t reply = { .kind = JD_REPLY_NOT_SENT,
                              .uptime_us = -1,
                              .in_flight = -1 };
  client->options.on_reply (client->options.context, handle, &reply);
}

/* Queues an attempt. Ends it with JD_REPLY_NOT_SENT if the target is unknown or if the
 * organisation is not a valid header value. */
void
jd_target_client_start (jd_target_client_t *client, const jd_broker_start_t *start)
{
  client_target_t *target = g_hash_table_lookup (client->by_name, start->target);
  int64_t left_us = start->deadline_us - jd_clock_now_us (&client->options.clock);
  char *id = g_strdup_printf ("%s-%" G_GUINT64_FORMAT, client->options.id_prefix,
                              (guint64)start->handle);
  jd_target_exchange_t *exchange = NULL;
  if (target)
    {
      const jd_exchange_options_t options =
          exchange_options (client, target, id, MAX (left_us, 0) + DEADLINE_MARGIN_US);
      exchange = jd_target_exchange_work (&options, start);
    }
  g_free (id);
  if (!exchange)
    {
      exchange = g_new0 (jd_target_exchange_t, 1);
      exchange->handle = start->handle;
      g_queue_push_tail (&client->aborted, exchange);
      return;
    }
  g_hash_table_insert (client->by_handle, &exchange->handle, exchange);
  enqueue (client, target, exchange);
}

/* Queues a cancellation of a request that may have been written. */
static void
send_cancel (jd_target_client_t *client, jd_target_exchange_t *work)
{
  client_target_t *target = work->user_data;
  const jd_exchange_options_t options =
      exchange_options (client, target, work->request_id, CANCEL_TIMEOUT_US);
  jd_target_exchange_t *cancel = jd_target_exchange_cancel (&options, work->handle);
  /* While the attempt is running, its own reply may end it first, so the cancellation
   * reports only if the attempt is still registered. */
  cancel->is_report_suppressed = !work->transfer_ended;
  enqueue (client, target, cancel);
}

/* Cancels an attempt; see the header. Has no effect on an unknown handle or on an attempt
 * that is cancelled already. */
void
jd_target_client_cancel (jd_target_client_t *client, uint64_t handle)
{
  jd_target_exchange_t *work = g_hash_table_lookup (client->by_handle, &handle);
  if (!work || work->is_cancelled)
    return;
  work->is_cancelled = TRUE;
  if (!work->was_written && !work->transfer_ended)
    {
      g_queue_push_tail (&client->aborted, work);
      return;
    }
  send_cancel (client, work);
}

/* Queues a health probe. Has no effect if the target is unknown or its last probe is
 * still running. */
void
jd_target_client_probe (jd_target_client_t *client, const char *name, int64_t timeout_us)
{
  client_target_t *target = g_hash_table_lookup (client->by_name, name);
  if (!target || target->probe)
    return;
  char *id = g_strdup_printf ("%s-health-%" G_GUINT64_FORMAT, client->options.id_prefix,
                              (guint64)++client->probe_count);
  const jd_exchange_options_t options = exchange_options (client, target, id, timeout_us);
  target->probe = jd_target_exchange_health (&options);
  enqueue (client, target, target->probe);
  g_free (id);
}

/* Unregisters and frees an exchange that is in no pool. */
static void
release_exchange (jd_target_client_t *client, jd_target_exchange_t *exchange)
{
  client_target_t *target = exchange->user_data;
  if (exchange->kind == JD_EXCHANGE_WORK)
    g_hash_table_remove (client->by_handle, &exchange->handle);
  if (target->probe == exchange)
    target->probe = NULL;
  g_ptr_array_remove_fast (target->exchanges, exchange);
  jd_target_exchange_free (exchange);
}

/* Reports the end of work; on_reply may call jd_target_client_cancel for it. */
static void
finish_work (jd_target_client_t *client, jd_target_exchange_t *exchange, CURLcode result)
{
  exchange->transfer_ended = TRUE;
  jd_target_exchange_finish (exchange, result);
  if (!exchange->is_report_suppressed)
    client->options.on_reply (client->options.context, exchange->handle,
                              &exchange->reply);
}

/* Reports a confirmed cancellation. The cancelled exchange continues without a report: if
 * its reply is read to the end, its connection can be kept, otherwise curl closes it. */
static void
finish_cancel (jd_target_client_t *client, jd_target_exchange_t *exchange,
               CURLcode result)
{
  if (result != CURLE_OK || jd_target_exchange_status (exchange) != 200 ||
      !jd_target_body_parse_cancelled (exchange->body->str, exchange->body->len))
    return;
  jd_target_exchange_t *work = g_hash_table_lookup (client->by_handle, &exchange->handle);
  if (!work && exchange->is_report_suppressed)
    return;
  if (work)
    work->is_report_suppressed = TRUE;
  jd_target_reply_t reply = { .kind = JD_REPLY_CANCEL_CONFIRMED,
                              .uptime_us = -1,
                              .in_flight = -1 };
  client->options.on_reply (client->options.context, exchange->handle, &reply);
}

/* Reports the result of a probe unless its target has been removed or replaced. */
static void
finish_probe (jd_target_client_t *client, jd_target_exchange_t *exchange, CURLcode result)
{
  jd_target_health_t health;
  gboolean is_valid =
      result == CURLE_OK && !exchange->has_wrong_request_id &&
      jd_target_exchange_status (exchange) == 200 &&
      jd_target_body_parse_health (exchange->body->str, exchange->body->len, &health);
  if (g_hash_table_lookup (client->by_name, exchange->target) == exchange->user_data)
    client->options.on_health (client->options.context, exchange->target,
                               is_valid ? &health : NULL);
}

/* Reports the end of an exchange that is in no pool, and frees it. */
static void
finish_exchange (jd_target_client_t *client, jd_target_exchange_t *exchange,
                 CURLcode result)
{
  switch (exchange->kind)
    {
    case JD_EXCHANGE_WORK:
      finish_work (client, exchange, result);
      break;
    case JD_EXCHANGE_CANCEL:
      finish_cancel (client, exchange, result);
      break;
    case JD_EXCHANGE_HEALTH:
      finish_probe (client, exchange, result);
      break;
    }
  release_exchange (client, exchange);
}

/* Ends attempts that were rejected or cancelled before the write as not sent. */
static void
finish_aborted (jd_target_client_t *client)
{
  jd_target_exchange_t *exchange = NULL;
  while ((exchange = g_queue_pop_head (&client->aborted)) != NULL)
    {
      client_target_t *target = exchange->user_data;
      if (!target)
        {
          report_not_sent (client, exchange->handle);
          g_free (exchange);
          continue;
        }
      if (!g_queue_remove (&client->unstarted, exchange))
        jd_target_pool_remove (target->pool, exchange);
      finish_exchange (client, exchange, CURLE_ABORTED_BY_CALLBACK);
    }
}

/* Adds queued exchanges to their pools. Without a free connection an exchange ends at
 * once. */
static void
start_queued (jd_target_client_t *client)
{
  jd_target_exchange_t *exchange = NULL;
  while ((exchange = g_queue_pop_head (&client->unstarted)) != NULL)
    {
      client_target_t *target = exchange->user_data;
      if (!jd_target_pool_add (target->pool, exchange))
        finish_exchange (client, exchange, CURLE_NO_CONNECTION_AVAILABLE);
    }
}

/* Runs the timers of a target that are due and handles its finished exchanges. */
static void
run_target (jd_target_client_t *client, client_target_t *target)
{
  jd_target_pool_run (target->pool);
  jd_target_exchange_t *exchange = NULL;
  CURLcode result = CURLE_OK;
  while ((exchange = jd_target_pool_pop_finished (target->pool, &result)) != NULL)
    {
      /* An attempt that was cancelled before the write may have ended before
       * finish_aborted could end it. */
      g_queue_remove (&client->aborted, exchange);
      finish_exchange (client, exchange, result);
    }
}

/* Starts queued exchanges and finishes ended ones. Repeats until callbacks have queued no
 * further requests or cancellations. */
void
jd_target_client_run (jd_target_client_t *client)
{
  do
    {
      finish_aborted (client);
      start_queued (client);
      for (guint i = client->targets->len; i > 0; i--)
        {
          client_target_t *target = g_ptr_array_index (client->targets, i - 1);
          run_target (client, target);
          if (target->exchanges->len == 0 &&
              g_hash_table_lookup (client->by_name, target->name) != target)
            g_ptr_array_remove_index_fast (client->targets, i - 1);
        }
    }
  while (!g_queue_is_empty (&client->unstarted) || !g_queue_is_empty (&client->aborted));
}

/* Returns the time of the earliest timer of curl, or 0 if exchanges are queued. */
int64_t
jd_target_client_next_wake_us (const jd_target_client_t *client)
{
  if (!g_queue_is_empty ((GQueue *)&client->unstarted) ||
      !g_queue_is_empty ((GQueue *)&client->aborted))
    return 0;
  int64_t wake_us = INT64_MAX;
  for (guint i = 0; i < client->targets->len; i++)
    {
      const client_target_t *target = g_ptr_array_index (client->targets, i);
      wake_us = MIN (wake_us, jd_target_pool_next_wake_us (target->pool));
    }
  return wake_us;
}
