#include "daemons/host_defs.h"

#include <arpa/inet.h>
#include <string.h>

#include "base/clock.h"
#include "base/log_event.h"
#include "base/rng.h"
#include "config/settings.h"
#include "transport/socket_address.h"

/* Records are read this many times within the bound for acting on them. */
#define READS_PER_BOUND 3
#define READ_INTERVAL_MIN_US (300 * JD_US_PER_MS)
#define READ_INTERVAL_MAX_US (2 * JD_US_PER_S)
#define GOSSIP_INTERVAL_S 0.25
#define UPKEEP_INTERVAL_S 0.25
/* A host that reaches too few targets for this share of its recent requests sends callers
 * to other hosts, until it reaches enough but for the smaller share. */
#define UNREACHED_TO_LEAVE 0.5
#define UNREACHED_TO_RETURN 0.2
/* How long that has to last. */
#define UNREACHED_US (250 * JD_US_PER_MS)
/* Answers of targets beyond this size are broken; sites state bodies up to 18 kB. */
#define REPLY_BYTES_MAX (4 * 1024 * 1024)
/* A request with its attempts takes about this much memory at most. */
#define REQUEST_MEMORY_KB 128
/* Stop: listen until the balancer has noticed, which takes two missed checks of 1 s;
 * then close idle connections; end some time before the process would be killed. */
#define STOP_LISTEN_US (2500 * JD_US_PER_MS)
#define STOP_MARGIN_US (400 * JD_US_PER_MS)
#define STOP_TICK_S 0.1

/* Recomputes what depends on the number of hosts. */
static void
apply_hosts (jd_host_t *host, int64_t now_us)
{
  uint32_t heard = jd_peer_table_hosts (host->peers, now_us);
  uint32_t hosts = heard > 1 ? heard : JD_HOSTS_UNHEARD;
  uint32_t rank = jd_peer_table_rank (host->peers, now_us);
  if (hosts == host->hosts && rank == host->rank)
    return;
  jd_log_event (G_LOG_LEVEL_INFO, "hosts_changed", "hosts=%u heard=%u rank=%u before=%u",
                hosts, heard, rank, host->hosts);
  host->hosts = hosts;
  host->rank = rank;
  jd_replica_links_set_hosts (host->links, hosts);
  jd_replica_registry_set_hosts (host->registry, hosts, rank);
}

/* Gives a service this host's part of the slack for extra requests. */
static void
refill_pool (void *context, jd_replica_pool_t *pool)
{
  jd_host_t *host = context;
  const jd_extra_shares_t *shares = &host->extra_shares;
  jd_hedge_budget_set_slack (&pool->extra, shares->slack_per_s, shares->reserve);
  jd_hedge_budget_refill (&pool->extra, jd_monotonic_us ());
  jd_extra_pool_set_limit (&pool->shared, shares->borrow_limit, host->retry_window_us);
}

/* Divides the slack for extra requests among the hosts. */
static void
update_extra_shares (jd_host_t *host, int64_t now_us)
{
  jd_extra_slack_t slack = {
    .slack = host->retry_slack,
    .window_us = host->retry_window_us,
    .hosts = host->hosts,
    .live = jd_peer_table_live_count (host->peers, now_us) + 1,
    .knows_window =
        host->first_start || now_us - host->started_us >= host->retry_window_us,
  };
  host->extra_shares = jd_extra_shares (&slack);
}

/* Registry visitor: updates this host's share of what a cold replica bears. */
static void
update_cold_share (void *context, jd_replica_t *replica)
{
  const jd_host_t *host = context;
  const jd_replica_pool_t *pool = replica->pool;
  int64_t now_us = jd_monotonic_us ();
  if (replica->cold_until_us <= now_us || pool->cold_per_s <= 0.0)
    {
      jd_cold_share_stop (&replica->cold);
      return;
    }
  jd_cold_terms_t terms = {
    .per_s = pool->cold_per_s,
    .slack = host->cold_slack,
    .hosts = host->hosts,
    .turn = host->rank + replica->id_hash % host->hosts,
  };
  jd_cold_share_update (&replica->cold, &terms, now_us);
}

/* Decides whether this host reaches enough targets to take requests. One that is cut off
 * from them is not ready, so that the balancer sends callers to hosts that are not. */
static void
update_reach (jd_host_t *host, int64_t now_us)
{
  double share = host->routes ? jd_route_table_unreached (host->routes) : 0.0;
  bool poor = share > (host->cut_off ? UNREACHED_TO_RETURN : UNREACHED_TO_LEAVE);
  if (!poor)
    host->unreached_since_us = 0;
  else if (host->unreached_since_us == 0)
    host->unreached_since_us = now_us;
  bool cut_off =
      poor && (host->cut_off || now_us - host->unreached_since_us >= UNREACHED_US);
  if (cut_off == host->cut_off)
    return;
  host->cut_off = cut_off;
  jd_log_event (G_LOG_LEVEL_WARNING, cut_off ? "targets_lost" : "targets_regained",
                "unreached_share=%.2f hosts=%u", share, host->hosts);
  jd_caller_server_close_after_answer (host->callers, cut_off || host->stopping);
}

/* Timer callback: regular upkeep. */
static void
on_upkeep (struct ev_loop *loop, ev_timer *timer, int events)
{
  jd_host_t *host = timer->data;
  int64_t now_us = jd_monotonic_us ();
  apply_hosts (host, now_us);
  update_extra_shares (host, now_us);
  jd_replica_registry_each_pool (host->registry, refill_pool, host);
  jd_replica_registry_each (host->registry, update_cold_share, host);
  update_reach (host, now_us);
  jd_record_feed_release_removals (host->feed, now_us);
}

/* Registry event: a target may get requests. */
static void
on_replica_added (void *context, jd_replica_t *replica)
{
  jd_host_t *host = context;
  jd_replica_links_add (host->links, replica);
}

/* Registry event: a target gets nothing new. */
static void
on_replica_removed (void *context, jd_replica_t *replica)
{
  jd_host_t *host = context;
  jd_replica_links_retire (host->links, replica);
}

/* Gossip callback: fills in what this host tells the others. */
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
  state->reads_store = jd_record_source_reads_store (host->source, now_us);
  state->feed_revision = jd_record_feed_revision (host->feed);
  state->changed_revision = jd_record_feed_changed_revision (host->feed);
  state->traces_since = jd_record_feed_traces_since (host->feed);
  state->feed_age_us = now_us - jd_record_feed_as_of_us (host->feed);
}

/* Gossip callback: another host was heard. */
static void
on_peer_heard (void *context)
{
  jd_host_t *host = context;
  jd_record_source_peer_heard (host->source);
}

/* Record source callback: other hosts should hear of new records. */
static void
on_records_changed (void *context)
{
  jd_host_t *host = context;
  jd_peer_gossip_send_now (host->gossip);
}

/* Peer server callback: sends records to another host. */
void
jd_host_answer_peer (void *context, jd_caller_t *caller, const jd_http_reader_t *reader)
{
  jd_host_t *host = context;
  static const char path[] = "/records?after=";
  const char *target = reader->text->str;
  if (reader->target_len < strlen (path) || strncmp (target, path, strlen (path)) != 0)
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

/* Readiness server callback: 200 while this host can take requests. */
void
jd_host_answer_readiness (void *context, jd_caller_t *caller,
                          const jd_http_reader_t *reader)
{
  jd_host_t *host = context;
  const char *path = host->platform.readiness_path;
  bool is_known = reader->target_len == strlen (path) &&
                  memcmp (reader->text->str, path, reader->target_len) == 0;
  bool ready = host->routes && !host->stopping && !host->cut_off;
  jd_caller_answer_status (caller, !is_known ? 404 : ready ? 200 : 503, 0);
}

/* Server callback for callers whose requests are answered at once. */
static void
ignore_gone (void *context, jd_caller_t *caller)
{
}

/* Returns the registry of targets. */
jd_replica_registry_t *
jd_host_registry (jd_host_t *host)
{
  return host->registry;
}

/* Returns the published records. */
jd_record_feed_t *
jd_host_feed (jd_host_t *host)
{
  return host->feed;
}

/* Takes the end of a read of the store. */
void
jd_host_store_read (jd_host_t *host, bool success, int64_t asked_us)
{
  jd_record_source_store_read (host->source, success, asked_us);
}

/* Puts the limits of a service in force. */
static void
apply_service (jd_host_t *host, const jd_service_limits_t *limits)
{
  jd_replica_pool_t *pool = jd_replica_registry_pool (host->registry, limits->name);
  pool->max_connections = limits->max_connections;
  pool->cold_per_s = limits->cold_per_s;
  jd_replica_pool_unref (pool);
}

/* Puts a newer configuration in force; takes over the reference. Requests that run keep
 * the version that they started with. */
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
  for (guint i = 0; i < table->services->len; i++)
    apply_service (host, table->services->pdata[i]);
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
  jd_caller_server_set_limits (host->callers, &limits);
  jd_route_table_unref (host->routes);
  host->routes = table;
  jd_replica_registry_set_hosts (host->registry, host->hosts, host->rank);
  jd_log_event (G_LOG_LEVEL_INFO, "configuration_applied",
                "version=%" G_GINT64_FORMAT " before=%" G_GINT64_FORMAT
                " routes=%u services=%u tenants=%u",
                table->version, before, table->routes->len, table->services->len,
                table->tenants->len);
}

/* Timer callback while stopping. */
static void
on_stop_tick (struct ev_loop *loop, ev_timer *timer, int events)
{
  jd_host_t *host = timer->data;
  int64_t elapsed_us = jd_monotonic_us () - host->stop_us;
  if (elapsed_us >= STOP_LISTEN_US)
    {
      jd_caller_server_close_listener (host->callers);
      jd_caller_server_close_idle (host->callers);
    }
  bool idle = elapsed_us >= STOP_LISTEN_US && jd_caller_server_count (host->callers) == 0;
  if (!idle && elapsed_us < host->stop_grace_us - STOP_MARGIN_US)
    return;
  jd_log_event (G_LOG_LEVEL_INFO, "host_stopped",
                "running=%u connections=%u ms=%" G_GINT64_FORMAT, host->requests.length,
                jd_caller_server_count (host->callers), elapsed_us / JD_US_PER_MS);
  ev_break (loop, EVBREAK_ALL);
}

/* Starts a graceful stop: the host is no longer ready, serves what still comes, and ends
 * the event loop when all callers have their answers. */
void
jd_host_stop (jd_host_t *host)
{
  if (host->stopping)
    return;
  host->stopping = true;
  host->stop_us = jd_monotonic_us ();
  jd_log_event (G_LOG_LEVEL_INFO, "host_stopping", "running=%u connections=%u",
                host->requests.length, jd_caller_server_count (host->callers));
  jd_caller_server_close_after_answer (host->callers, true);
  jd_peer_gossip_send_now (host->gossip);
  ev_timer_init (&host->stop_timer, on_stop_tick, STOP_TICK_S, STOP_TICK_S);
  host->stop_timer.data = host;
  ev_timer_start (host->loop, &host->stop_timer);
}

/* Adds the hosts that the settings name. */
static void
learn_seeds (jd_host_t *host, char **seeds)
{
  for (char **seed = seeds; *seed; seed++)
    {
      struct sockaddr_in address;
      if (jd_socket_parse (*seed, &address))
        jd_peer_table_learn (host->peers, ntohl (address.sin_addr.s_addr));
    }
}

/* Takes the settings that may change while the host runs. */
static void
take_settings (jd_host_t *host, const jd_host_settings_t *settings)
{
  host->stop_grace_us = settings->stop_grace_us;
  host->retry_slack = settings->retry_slack;
  host->retry_window_us = settings->retry_window_us;
  host->cold_slack = settings->cold_slack;
  learn_seeds (host, settings->seeds);
}

/* Takes a changed settings file. The name cannot change; addresses need a restart. */
bool
jd_host_apply_settings (jd_host_t *host, const jd_host_settings_t *settings,
                        GError **error)
{
  if (strcmp (settings->name, host->name) != 0)
    {
      g_set_error (error, JD_SETTINGS_ERROR, 0,
                   "[host] name=\"%s\": cannot change while the host runs",
                   settings->name);
      return false;
    }
  take_settings (host, settings);
  return true;
}

/* Creates the counters. */
static void
create_counters (jd_host_t *host)
{
  host->counters = jd_counters_new ();
  for (uint32_t i = 0; i < JD_HOST_END_COUNT; i++)
    {
      char *name =
          g_strdup_printf ("jackdaw_requests_total{end=\"%s\"}", jd_host_end_name (i));
      host->ends[i] = jd_counters_get (host->counters, name);
      g_free (name);
    }
  host->hedges = jd_counters_get (host->counters, "jackdaw_hedges_total");
  host->retries = jd_counters_get (host->counters, "jackdaw_retries_total");
}

/* Opens the servers; FALSE with an error. */
static bool
listen_all (jd_host_t *host, const jd_host_settings_t *settings, GError **error)
{
  struct
  {
    jd_caller_server_t **server;
    const char *address;
    jd_caller_handler_t handler;
  } servers[] = {
    { &host->callers,
      settings->callers_address,
      { jd_host_take_request, jd_host_caller_gone, host } },
    { &host->readiness,
      settings->readiness_address,
      { jd_host_answer_readiness, ignore_gone, host } },
    { &host->metrics,
      settings->metrics_address,
      { jd_host_answer_metrics, ignore_gone, host } },
  };
  for (size_t i = 0; i < G_N_ELEMENTS (servers); i++)
    {
      if (!servers[i].address)
        continue;
      *servers[i].server = jd_caller_server_new (host->loop, &servers[i].handler);
      if (!jd_caller_server_listen (*servers[i].server, servers[i].address, error))
        return false;
    }
  char *address = g_strdup_printf ("%s:%u", settings->ip, settings->peer_port);
  jd_caller_handler_t handler = { .on_request = jd_host_answer_peer,
                                  .on_gone = ignore_gone,
                                  .context = host };
  host->peer_server = jd_caller_server_new (host->loop, &handler);
  bool good = jd_caller_server_listen (host->peer_server, address, error);
  jd_peer_gossip_options_t gossip = {
    .loop = host->loop,
    .address = address,
    .port = settings->peer_port,
    .interval_s = GOSSIP_INTERVAL_S,
    .peers = host->peers,
    .quota = host->quota,
    .registry = host->registry,
    .fill_state = fill_state,
    .on_heard = on_peer_heard,
    .context = host,
  };
  host->gossip = good ? jd_peer_gossip_new (&gossip, error) : NULL;
  g_free (address);
  return host->gossip != NULL;
}

/* Creates the parts that need no sockets. */
static void
create_parts (jd_host_t *host, const jd_host_settings_t *settings)
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
  };
  host->registry = jd_replica_registry_new (host->zone, &events);
  host->links = jd_replica_links_new (&links);
  host->feed = jd_record_feed_new (&host->platform.feed);
  host->quota = jd_fleet_quota_new (settings->first_start);
  host->peers = jd_peer_table_new (host->ip, host->zone);
  take_settings (host, settings);
  int64_t bound_us = MIN (settings->drain_us, settings->config_us);
  jd_record_source_options_t source = {
    .loop = host->loop,
    .feed = host->feed,
    .peers = host->peers,
    .peer_port = settings->peer_port,
    .interval_us =
        CLAMP (bound_us / READS_PER_BOUND, READ_INTERVAL_MIN_US, READ_INTERVAL_MAX_US),
    .heartbeat_us = settings->heartbeat_us,
    .read_store = host->platform.read_store,
    .store_context = host->platform.store_context,
    .on_changed = on_records_changed,
    .context = host,
  };
  host->source = jd_record_source_new (&source);
}

/* Creates a host and opens its sockets; NULL with an error. */
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
  host->hosts = JD_HOSTS_UNHEARD;
  g_queue_init (&host->requests);
  create_counters (host);
  jd_host_metrics_init (&host->latencies);
  create_parts (host, settings);
  if (!listen_all (host, settings, error))
    {
      jd_host_free (host);
      return NULL;
    }
  jd_replica_links_set_hosts (host->links, host->hosts);
  ev_timer_init (&host->upkeep, on_upkeep, UPKEEP_INTERVAL_S, UPKEEP_INTERVAL_S);
  host->upkeep.data = host;
  ev_timer_start (loop, &host->upkeep);
  return host;
}

/* Frees a host; running requests end without an answer. */
void
jd_host_free (jd_host_t *host)
{
  ev_timer_stop (host->loop, &host->upkeep);
  ev_timer_stop (host->loop, &host->stop_timer);
  jd_caller_server_t *servers[] = { host->callers, host->readiness, host->metrics,
                                    host->peer_server };
  for (size_t i = 0; i < G_N_ELEMENTS (servers); i++)
    {
      if (servers[i])
        jd_caller_server_free (servers[i]);
    }
  if (host->gossip)
    jd_peer_gossip_free (host->gossip);
  jd_record_source_free (host->source);
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
