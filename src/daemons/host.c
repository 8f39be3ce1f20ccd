#include "daemons/host_defs.h"

#include <arpa/inet.h>
#include <string.h>

#include "base/clock.h"
#include "base/log_event.h"
#include "base/rng.h"
#include "config/settings.h"
#include "transport/socket_address.h"

#define GOSSIP_INTERVAL_S 0.25
/* A host that started less than this long ago may have heard only some of the others, and
 * would take too large shares of the limits. */
#define HOST_COUNT_SETTLE_US (1500 * JD_US_PER_MS)
#define MAINTENANCE_INTERVAL_S 0.25
/* Shares of recent requests for which too few targets are reachable. Above the first, the
 * host is not ready, so that the load balancer sends callers to other hosts; it is ready
 * again once the share is at most the second. */
#define UNREACHABLE_SHARE_NOT_READY 0.5
#define UNREACHABLE_SHARE_READY 0.2
/* Time that the share stays above the first limit before the host is not ready. */
#define UNREACHABLE_MIN_US (250 * JD_US_PER_MS)
/* A larger response of a target is handled as invalid; the sites state that bodies have
 * up to 18 kB. */
#define REPLY_BYTES_MAX (4 * 1024 * 1024)
/* Share of the memory limit for the bytes that connections hold. Buffers grow by
 * doubling, and the check follows after all events of a loop iteration, so the peak is a
 * few times higher. */
#define BYTE_BUDGET_SHARE 8
/* Upper estimate of the memory for a request with its attempts. */
#define REQUEST_MEMORY_KB 128
/* A stopping host listens until the load balancer has removed it, which takes two failed
 * checks at intervals of 1 s. Then it closes idle connections. */
#define STOP_LISTEN_US (2500 * JD_US_PER_MS)
#define STOP_CHECK_INTERVAL_S 0.1

/* Updates the number of hosts and the rank of this host, and all that depends on them. */
static void
update_host_count (jd_host_t *host, int64_t now_us)
{
  uint32_t observed_count = jd_peer_table_host_count (host->peers, now_us);
  bool is_settled =
      observed_count > 1 && now_us - host->started_us >= HOST_COUNT_SETTLE_US;
  uint32_t host_count =
      is_settled ? observed_count : MAX (observed_count, JD_ASSUMED_HOST_COUNT);
  uint32_t rank = jd_peer_table_rank (host->peers, now_us);
  if (host_count == host->host_count && rank == host->rank)
    return;
  jd_log_event (G_LOG_LEVEL_INFO, "hosts_changed", "hosts=%u heard=%u rank=%u before=%u",
                host_count, observed_count, rank, host->host_count);
  host->host_count = host_count;
  host->rank = rank;
  jd_replica_links_set_host_count (host->links, host_count);
  jd_replica_registry_set_hosts (host->registry, host_count, rank);
}

/* Pool visitor: applies this host's share of the slack for extra attempts to the budgets
 * of a service, and refills them. */
static void
refill_extra_budgets (void *context, jd_replica_pool_t *pool)
{
  jd_host_t *host = context;
  const jd_extra_shares_t *shares = &host->extra_shares;
  jd_hedge_budget_set_slack (&pool->host_budget, shares->slack_per_s, shares->reserve);
  jd_hedge_budget_refill (&pool->host_budget, jd_monotonic_us ());
  jd_extra_budget_set_limit (&pool->shared_budget, shares->borrow_limit,
                             host->retry_window_us);
  jd_extra_budget_set_window (&pool->shared_budget, shares->window_slack,
                              shares->requesting_hosts);
}

/* Computes this host's shares of the slack for extra attempts. */
static void
update_extra_shares (jd_host_t *host, int64_t now_us)
{
  jd_extra_slack_t slack = {
    .slack = host->retry_slack,
    .window_us = host->retry_window_us,
    .hosts = host->host_count,
    .live_hosts = jd_peer_table_live_count (host->peers, now_us) + 1,
    .has_full_window =
        host->first_start || now_us - host->started_us >= host->retry_window_us,
  };
  host->extra_shares = jd_extra_shares (&slack);
}

/* Registry visitor: sets this host's share of the rate limit of a cold replica, and
 * resets the quota when the replica is warm or its service has no such limit. */
static void
update_cold_quota (void *context, jd_replica_t *replica)
{
  const jd_host_t *host = context;
  const jd_replica_pool_t *pool = replica->pool;
  int64_t now_us = jd_monotonic_us ();
  if (replica->cold_until_us <= now_us || pool->cold_per_s <= 0.0)
    {
      jd_cold_quota_reset (&replica->cold_quota);
      return;
    }
  jd_cold_limit_t limit = {
    .requests_per_s = pool->cold_per_s,
    .burst = host->cold_slack,
    .hosts = host->host_count,
    .host_index = host->rank + replica->id_hash % host->host_count,
  };
  jd_cold_quota_set_limit (&replica->cold_quota, &limit, now_us);
}

/* Updates whether this host reaches enough targets to be ready. While it does not, the
 * load balancer sends callers to hosts that do. */
static void
update_targets_reachable (jd_host_t *host, int64_t now_us)
{
  double unreachable_share =
      host->routes ? jd_route_table_unreachable_share (host->routes) : 0.0;
  bool share_too_high =
      unreachable_share >
      (host->too_few_reachable ? UNREACHABLE_SHARE_READY : UNREACHABLE_SHARE_NOT_READY);
  if (!share_too_high)
    host->unreachable_since_us = 0;
  else if (host->unreachable_since_us == 0)
    host->unreachable_since_us = now_us;
  bool too_few_reachable =
      share_too_high && (host->too_few_reachable ||
                         now_us - host->unreachable_since_us >= UNREACHABLE_MIN_US);
  if (too_few_reachable == host->too_few_reachable)
    return;
  host->too_few_reachable = too_few_reachable;
  jd_log_event (G_LOG_LEVEL_WARNING,
                too_few_reachable ? "targets_lost" : "targets_regained",
                "unreached_share=%.2f hosts=%u", unreachable_share, host->host_count);
  jd_caller_server_set_close_after_answer (host->caller_server,
                                           too_few_reachable || host->stopping);
}

/* Timer callback: periodic maintenance. */
static void
on_maintenance_timer (struct ev_loop *loop, ev_timer *timer, int events)
{
  jd_host_t *host = timer->data;
  int64_t now_us = jd_monotonic_us ();
  update_host_count (host, now_us);
  update_extra_shares (host, now_us);
  jd_replica_registry_each_pool (host->registry, refill_extra_budgets, host);
  jd_replica_registry_each (host->registry, update_cold_quota, host);
  update_targets_reachable (host, now_us);
  jd_record_feed_release_removals (host->feed, now_us);
  jd_replica_registry_expire_notices (host->registry, now_us);
}

/* Prepare callback, before the loop waits for events: ends the connections that hold the
 * most bytes until the others are within the budget. */
static void
on_budget_check (struct ev_loop *loop, ev_prepare *watcher, int events)
{
  jd_host_t *host = watcher->data;
  jd_byte_holder_t *holder;
  while ((holder = jd_byte_budget_excess (&host->byte_budget)))
    holder->cut (holder->context);
}

/* Registry event: a target may receive requests. */
static void
on_replica_added (void *context, jd_replica_t *replica)
{
  jd_host_t *host = context;
  jd_replica_links_add (host->links, replica);
}

/* Registry event: a target receives no new requests. */
static void
on_replica_removed (void *context, jd_replica_t *replica)
{
  jd_host_t *host = context;
  jd_replica_links_retire (host->links, replica);
}

/* Gossip callback: fills in the state that this host sends to its peers. */
static void
fill_state (void *context, jd_peer_state_t *state)
{
  jd_host_t *host = context;
  int64_t now_us = jd_monotonic_us ();
  state->ip = host->ip;
  state->incarnation = host->incarnation;
  g_strlcpy (state->name, host->name, sizeof (state->name));
  g_strlcpy (state->zone, host->zone, sizeof (state->zone));
  state->leaving = host->stopping;
  state->reads_store = jd_record_source_reads_store (host->record_source, now_us);
  state->store_failed = jd_record_source_store_failed (host->record_source, now_us);
  state->feed_revision = jd_record_feed_revision (host->feed);
  state->changed_revision = jd_record_feed_changed_revision (host->feed);
  state->tombstones_since = jd_record_feed_tombstones_since (host->feed);
  state->feed_age_us = now_us - jd_record_feed_as_of_us (host->feed);
}

/* Gossip callback: the state of another host has arrived. */
static void
on_peer_state_received (void *context)
{
  jd_host_t *host = context;
  jd_record_source_on_peer_state (host->record_source);
}

/* Record source callback: sends gossip at once so that peers fetch the new records. */
static void
on_records_changed (void *context)
{
  jd_host_t *host = context;
  jd_peer_gossip_send_state (host->gossip);
}

/* Peer server callback: answers a peer's request for the records after a revision; 503
 * until this host has records. */
void
jd_host_answer_peer (void *context, jd_caller_t *caller, const jd_http_reader_t *reader)
{
  jd_host_t *host = context;
  static const char path[] = "/records?after=";
  const char *target = reader->text->str;
  if (reader->request_target_len < strlen (path) ||
      strncmp (target, path, strlen (path)) != 0)
    {
      jd_caller_answer_status (caller, 404, 0);
      return;
    }
  if (jd_record_feed_as_of_us (host->feed) == 0)
    {
      jd_caller_answer_status (caller, 503, 0);
      return;
    }
  int64_t after = g_ascii_strtoll (target + strlen (path), NULL, 10);
  GString *fields = g_string_new (NULL);
  GString *body = jd_record_source_render (host->feed, after, jd_monotonic_us ());
  jd_caller_answer (caller, 200, fields, body->str, body->len);
  g_string_free (body, TRUE);
  g_string_free (fields, TRUE);
}

/* Readiness server callback: answers 200 while this host accepts requests, or 503. */
void
jd_host_answer_readiness (void *context, jd_caller_t *caller,
                          const jd_http_reader_t *reader)
{
  jd_host_t *host = context;
  const char *path = host->platform.readiness_path;
  bool path_matches = reader->request_target_len == strlen (path) &&
                      memcmp (reader->text->str, path, reader->request_target_len) == 0;
  bool ready = host->routes && !host->stopping && !host->too_few_reachable;
  jd_caller_answer_status (caller, !path_matches ? 404 : ready ? 200 : 503, 0);
}

/* Disconnect callback of servers that answer each request at once and hold no state for
 * it. */
static void
ignore_disconnect (void *context, jd_caller_t *caller)
{
}

/* Returns the target registry, owned by the host. */
jd_replica_registry_t *
jd_host_registry (jd_host_t *host)
{
  return host->registry;
}

/* Returns the feed of published records, owned by the host. */
jd_record_feed_t *
jd_host_feed (jd_host_t *host)
{
  return host->feed;
}

/* Handles the end of a store read. `requested_us` is the monotonic time of its start. */
void
jd_host_on_store_read (jd_host_t *host, bool success, int64_t requested_us)
{
  jd_record_source_on_store_read (host->record_source, success, requested_us);
}

/* Handles the start of a new generation of the store: it has returned from an older copy
 * of its records. */
void
jd_host_on_new_generation (jd_host_t *host)
{
  jd_record_source_on_new_generation (host->record_source);
}

/* Applies the limits of a service to its replica pool. */
static void
apply_service_limits (jd_host_t *host, const jd_service_limits_t *limits)
{
  jd_replica_pool_t *pool = jd_replica_registry_pool (host->registry, limits->name);
  pool->max_connections = limits->max_connections;
  pool->cold_per_s = limits->cold_per_s;
  jd_replica_pool_unref (pool);
}

/* Applies a configuration and ignores one that is not newer than the current one. Takes
 * ownership of the reference. Running requests keep the version they started with. */
void
jd_host_set_routes (jd_host_t *host, jd_route_table_t *table)
{
  int64_t now_us = jd_monotonic_us ();
  int64_t before = host->routes ? host->routes->version : 0;
  if (host->routes && table->version <= before)
    {
      jd_log_event (G_LOG_LEVEL_WARNING, "configuration_older",
                    "version=%" G_GINT64_FORMAT " in_force=%" G_GINT64_FORMAT,
                    table->version, before);
      jd_route_table_unref (table);
      return;
    }
  jd_route_table_finish (table, host->routes);
  jd_route_table_name_services (table, host->routes, now_us);
  for (guint i = 0; i < table->services->len; i++)
    apply_service_limits (host, table->services->pdata[i]);
  for (guint i = 0; i < table->tenants->len; i++)
    {
      const jd_tenant_t *tenant = table->tenants->pdata[i];
      jd_fleet_quota_set (host->quota, tenant->name, tenant->rate_per_s, tenant->burst,
                          now_us);
    }
  jd_caller_limits_t limits = {
    .head_bytes = table->head_bytes,
    .body_bytes = table->body_bytes,
    .head_timeout_us = table->head_timeout_us,
    .idle_timeout_us = table->idle_timeout_us,
  };
  jd_caller_server_set_limits (host->caller_server, &limits);
  jd_route_table_unref (host->routes);
  host->routes = table;
  jd_replica_registry_set_hosts (host->registry, host->host_count, host->rank);
  jd_log_event (G_LOG_LEVEL_INFO, "configuration_applied",
                "version=%" G_GINT64_FORMAT " before=%" G_GINT64_FORMAT
                " routes=%u services=%u tenants=%u",
                table->version, before, table->routes->len, table->services->len,
                table->tenants->len);
}

/* Timer callback of a stopping host: answers the requests that cannot go on, closes the
 * listener and idle connections, and ends the event loop when no caller is left or the
 * grace period is almost over. */
static void
on_stop_timer (struct ev_loop *loop, ev_timer *timer, int events)
{
  jd_host_t *host = timer->data;
  int64_t now_us = jd_monotonic_us ();
  int64_t elapsed_us = now_us - host->stop_started_us;
  jd_host_end_requests (host, now_us);
  if (elapsed_us >= STOP_LISTEN_US)
    {
      jd_caller_server_close_listener (host->caller_server);
      jd_caller_server_close_idle (host->caller_server);
    }
  bool idle = elapsed_us >= STOP_LISTEN_US &&
              jd_caller_server_connection_count (host->caller_server) == 0;
  if (!idle && now_us < host->stop_plan.exit_by_us)
    return;
  jd_log_event (G_LOG_LEVEL_INFO, "host_stopped",
                "running=%u connections=%u ms=%" G_GINT64_FORMAT, host->requests.length,
                jd_caller_server_connection_count (host->caller_server),
                elapsed_us / JD_US_PER_MS);
  ev_break (loop, EVBREAK_ALL);
}

/* Starts a graceful stop. The host is no longer ready, and serves the requests that still
 * arrive while there is time to answer them. It answers all others before the grace
 * period ends, and then ends the event loop, or when all caller connections are closed.
 */
void
jd_host_stop (jd_host_t *host)
{
  if (host->stopping)
    return;
  host->stopping = true;
  host->stop_started_us = jd_monotonic_us ();
  host->stop_plan = jd_stop_plan_new (host->stop_started_us, host->stop_grace_us);
  jd_log_event (G_LOG_LEVEL_INFO, "host_stopping", "running=%u connections=%u",
                host->requests.length,
                jd_caller_server_connection_count (host->caller_server));
  jd_caller_server_set_close_after_answer (host->caller_server, true);
  jd_peer_gossip_send_state (host->gossip);
  ev_timer_init (&host->stop_timer, on_stop_timer, STOP_CHECK_INTERVAL_S,
                 STOP_CHECK_INTERVAL_S);
  host->stop_timer.data = host;
  ev_timer_start (host->loop, &host->stop_timer);
}

/* Adds the seed hosts of the settings to the peer table; skips unreadable addresses. */
static void
add_seed_peers (jd_host_t *host, char **seeds)
{
  for (char **seed = seeds; *seed; seed++)
    {
      struct sockaddr_in address;
      if (jd_socket_parse_address (*seed, &address))
        jd_peer_table_add_seed (host->peers, ntohl (address.sin_addr.s_addr));
    }
}

/* Returns the limits of the settings for the published records. */
static jd_record_source_limits_t
record_source_limits (const jd_host_settings_t *settings)
{
  return (jd_record_source_limits_t){
    .change_limit_us = MIN (settings->drain_limit_us, settings->config_limit_us),
    .max_removed_share = settings->max_removed_share,
    .store_stable_us = settings->store_stable_us,
    .drain_limit_us = settings->drain_limit_us,
  };
}

/* Applies the settings that may change while the host runs. */
static void
apply_runtime_settings (jd_host_t *host, const jd_host_settings_t *settings)
{
  host->stop_grace_us = settings->stop_grace_us;
  host->retry_slack = settings->retry_slack;
  host->retry_window_us = settings->retry_window_us;
  host->cold_slack = settings->cold_slack;
  jd_record_source_limits_t source_limits = record_source_limits (settings);
  jd_record_source_apply_limits (host->record_source, &source_limits);
  jd_fleet_quota_set_slack (host->quota, settings->rate_slack);
  jd_replica_registry_set_drain_limit (host->registry, settings->drain_limit_us);
  jd_replica_registry_set_uses_mean_load (host->registry, settings->uses_mean_load);
  jd_replica_registry_set_learns_rejections (host->registry, settings->learns_rejections);
  add_seed_peers (host, settings->seeds);
}

/* Applies changed settings. Returns FALSE and sets `error` if the name differs, which
 * cannot change at run time. Changed addresses take effect only after a restart. */
bool
jd_host_apply_settings (jd_host_t *host, const jd_host_settings_t *settings,
                        GError **error)
{
  if (strcmp (settings->name, host->name) != 0)
    {
      g_set_error (error, JD_SETTINGS_ERROR, 0,
                   "[host] name=\"%s\": the name of a running host cannot change",
                   settings->name);
      return false;
    }
  apply_runtime_settings (host, settings);
  return true;
}

/* Creates the counters of request ends, hedges and retries. */
static void
create_counters (jd_host_t *host)
{
  host->counters = jd_counters_new ();
  for (uint32_t i = 0; i < JD_HOST_END_COUNT; i++)
    {
      char *name =
          g_strdup_printf ("jackdaw_requests_total{end=\"%s\"}", jd_host_end_name (i));
      host->end_counters[i] = jd_counters_get (host->counters, name);
      g_free (name);
    }
  host->hedge_counter = jd_counters_get (host->counters, "jackdaw_hedges_total");
  host->retry_counter = jd_counters_get (host->counters, "jackdaw_retries_total");
  host->scarce_counter =
      jd_counters_get (host->counters, "jackdaw_searches_rejected_scarce_total");
}

/* Opens the servers and the gossip socket. Returns FALSE with `error` set if one fails.
 */
static bool
open_sockets (jd_host_t *host, const jd_host_settings_t *settings, GError **error)
{
  struct
  {
    jd_caller_server_t **server;
    const char *address;
    jd_caller_handler_t handler;
  } servers[] = {
    { &host->caller_server,
      settings->callers_address,
      { jd_host_on_request, jd_host_on_disconnect, host } },
    { &host->readiness_server,
      settings->readiness_address,
      { jd_host_answer_readiness, ignore_disconnect, host } },
    { &host->metrics_server,
      settings->metrics_address,
      { jd_host_answer_metrics, ignore_disconnect, host } },
  };
  for (size_t i = 0; i < G_N_ELEMENTS (servers); i++)
    {
      if (!servers[i].address)
        continue;
      *servers[i].server = jd_caller_server_new (host->loop, &servers[i].handler);
      jd_caller_server_set_budget (*servers[i].server, &host->byte_budget);
      if (!jd_caller_server_listen (*servers[i].server, servers[i].address, error))
        return false;
    }
  char *address = g_strdup_printf ("%s:%u", settings->ip, settings->peer_port);
  jd_caller_handler_t handler = { .on_request = jd_host_answer_peer,
                                  .on_disconnect = ignore_disconnect,
                                  .context = host };
  host->peer_server = jd_caller_server_new (host->loop, &handler);
  jd_caller_server_set_budget (host->peer_server, &host->byte_budget);
  bool is_listening = jd_caller_server_listen (host->peer_server, address, error);
  jd_peer_gossip_options_t gossip = {
    .loop = host->loop,
    .address = address,
    .port = settings->peer_port,
    .interval_s = GOSSIP_INTERVAL_S,
    .peers = host->peers,
    .quota = host->quota,
    .registry = host->registry,
    .fill_state = fill_state,
    .on_state_received = on_peer_state_received,
    .context = host,
  };
  host->gossip = is_listening ? jd_peer_gossip_new (&gossip, error) : NULL;
  g_free (address);
  return host->gossip != NULL;
}

/* Creates the components that need no sockets of their own. */
static void
create_components (jd_host_t *host, const jd_host_settings_t *settings)
{
  jd_replica_events_t events = {
    .on_added = on_replica_added,
    .on_removed = on_replica_removed,
    .context = host,
  };
  jd_replica_links_options_t links = {
    .loop = host->loop,
    .fields = host->platform.fields.target,
    .reply_body_limit_bytes = REPLY_BYTES_MAX,
    .budget = &host->byte_budget,
  };
  host->registry = jd_replica_registry_new (host->zone, &events);
  host->links = jd_replica_links_new (&links);
  host->feed = jd_record_feed_new (&host->platform.feed_events);
  host->quota = jd_fleet_quota_new (settings->first_start);
  host->peers = jd_peer_table_new (host->ip, host->zone);
  jd_record_source_options_t source = {
    .loop = host->loop,
    .feed = host->feed,
    .peers = host->peers,
    .peer_port = settings->peer_port,
    .is_first_start = settings->first_start,
    .limits = record_source_limits (settings),
    .heartbeat_interval_us = settings->heartbeat_interval_us,
    .read_store = host->platform.read_store,
    .store_context = host->platform.store_context,
    .on_changed = on_records_changed,
    .context = host,
  };
  host->record_source = jd_record_source_new (&source);
  apply_runtime_settings (host, settings);
}

/* Creates a host and opens its sockets. Returns NULL with `error` set if one fails. */
jd_host_t *
jd_host_new (struct ev_loop *loop, const jd_host_settings_t *settings,
             const jd_host_platform_t *platform, GError **error)
{
  struct in_addr ip;
  inet_pton (AF_INET, settings->ip, &ip);
  jd_host_t *host = g_new0 (jd_host_t, 1);
  host->loop = loop;
  host->platform = *platform;
  host->name = g_strdup (settings->name);
  host->zone = g_strdup (settings->zone);
  host->ip = ntohl (ip.s_addr);
  host->incarnation = jd_entropy ();
  host->first_start = settings->first_start;
  host->started_us = jd_monotonic_us ();
  host->max_requests = settings->memory_mb * 1024 / 2 / REQUEST_MEMORY_KB;
  host->salt = (uint32_t)jd_entropy ();
  host->host_count = JD_ASSUMED_HOST_COUNT;
  jd_byte_budget_init (&host->byte_budget,
                       (uint64_t)settings->memory_mb * 1024 * 1024 / BYTE_BUDGET_SHARE);
  ev_prepare_init (&host->budget_check, on_budget_check);
  host->budget_check.data = host;
  g_queue_init (&host->requests);
  create_counters (host);
  jd_host_metrics_init (&host->latencies);
  create_components (host, settings);
  if (!open_sockets (host, settings, error))
    {
      jd_host_free (host);
      return NULL;
    }
  jd_replica_links_set_host_count (host->links, host->host_count);
  ev_timer_init (&host->maintenance_timer, on_maintenance_timer, MAINTENANCE_INTERVAL_S,
                 MAINTENANCE_INTERVAL_S);
  host->maintenance_timer.data = host;
  ev_timer_start (loop, &host->maintenance_timer);
  ev_prepare_start (loop, &host->budget_check);
  return host;
}

/* Frees a host. Running requests end without an answer. */
void
jd_host_free (jd_host_t *host)
{
  ev_timer_stop (host->loop, &host->maintenance_timer);
  ev_timer_stop (host->loop, &host->stop_timer);
  ev_prepare_stop (host->loop, &host->budget_check);
  jd_caller_server_t *servers[] = { host->caller_server, host->readiness_server,
                                    host->metrics_server, host->peer_server };
  for (size_t i = 0; i < G_N_ELEMENTS (servers); i++)
    {
      if (servers[i])
        jd_caller_server_free (servers[i]);
    }
  if (host->gossip)
    jd_peer_gossip_free (host->gossip);
  jd_record_source_free (host->record_source);
  jd_replica_links_free (host->links);
  jd_route_table_unref (host->routes);
  jd_replica_registry_free (host->registry);
  jd_record_feed_free (host->feed);
  jd_fleet_quota_free (host->quota);
  jd_peer_table_free (host->peers);
  jd_counters_free (host->counters);
  jd_host_metrics_clear (&host->latencies);
  g_free (host->name);
  g_free (host->zone);
  g_free (host);
}
