#include "support/host_lab.h"

#include <errno.h>
#include <glib/gstdio.h>
#include <jansson.h>
#include <netinet/in.h>
#include <signal.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/clock.h"
#include "support/child.h"
#include "support/free_port.h"
#include "support/loop_run.h"
#include "transport/http_reader.h"
#include "transport/socket_address.h"

#define CALL_TIMEOUT_S 5.0
#define DEFAULT_MEMORY_MB 256U
#define DEFAULT_ROUTE_TIMEOUT_MS 2000
#define STOP_TIMEOUT_MS 9000
/* Calls do not reuse a connection that was idle for longer. Four fifths of the host's
 * idle timeout (idleTimeoutMs), so that the host does not close a connection during its
 * reuse. */
#define CONNECTION_IDLE_MAX_US (12 * JD_US_PER_S)

typedef struct jd_host_fixture_pending_call
{
  jd_host_fixture_t *fixture;
  jd_host_fixture_host_t
      *host; /* Host that keeps the connection for reuse; NULL: none. */
  ev_io io;
  ev_timer timer;
  int fd;
  GString *output;
  size_t sent;
  jd_http_reader_t reader;
  bool has_extra_bytes;
  jd_host_fixture_done_t done;
  void *context;
} jd_host_fixture_pending_call_t;

/* Returns the socket of the idle connection that was used last, or -1 without one. Closes
 * connections that the host has closed, that have unread bytes or that were idle for too
 * long. */
static int
pop_idle_connection (jd_host_fixture_host_t *host)
{
  while (host->idle_connections->len > 0)
    {
      jd_host_fixture_connection_t idle =
          g_array_index (host->idle_connections, jd_host_fixture_connection_t,
                         host->idle_connections->len - 1);
      g_array_set_size (host->idle_connections, host->idle_connections->len - 1);
      char byte;
      bool is_open = recv (idle.fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) < 0 &&
                     (errno == EAGAIN || errno == EWOULDBLOCK);
      if (is_open && jd_monotonic_us () - idle.since_us < CONNECTION_IDLE_MAX_US)
        return idle.fd;
      close (idle.fd);
    }
  return -1;
}

/* Keeps the connection of a completed call if it can be reused; closes it otherwise. */
static void
release_connection (jd_host_fixture_pending_call_t *call, bool complete)
{
  jd_host_fixture_connection_t idle = { .fd = call->fd, .since_us = jd_monotonic_us () };
  if (complete && call->host && call->reader.keep_alive && !call->has_extra_bytes)
    g_array_append_val (call->host->idle_connections, idle);
  else
    close (call->fd);
}

/* Ends a call, passes the reply to its callback and frees the call. */
static void
finish_call (jd_host_fixture_pending_call_t *call, bool complete, bool timed_out)
{
  jd_host_fixture_reply_t reply = { .timed_out = timed_out };
  ev_io_stop (call->fixture->loop, &call->io);
  ev_timer_stop (call->fixture->loop, &call->timer);
  release_connection (call, complete);
  if (complete)
    {
      reply.status = call->reader.parser.status_code;
      reply.closes_connection = !call->reader.keep_alive;
      reply.has_extra_bytes = call->has_extra_bytes;
      reply.stamps = (char *)jd_http_reader_value (&call->reader, "X-Part-Stamps");
      if (!reply.stamps)
        reply.stamps = (char *)jd_http_reader_value (&call->reader, "X-Server-Stamp");
      reply.missing_parts =
          (char *)jd_http_reader_value (&call->reader, "X-Missing-Parts");
      reply.retry_after = (char *)jd_http_reader_value (&call->reader, "Retry-After");
      reply.body = call->reader.body;
    }
  call->done (call->context, &reply);
  jd_http_reader_clear (&call->reader);
  g_string_free (call->output, TRUE);
  g_free (call);
}

static void
on_call_timeout (struct ev_loop *loop, ev_timer *timer, int events)
{
  finish_call (timer->data, false, true);
}

static void
on_call_io (struct ev_loop *loop, ev_io *io, int events)
{
  jd_host_fixture_pending_call_t *call = io->data;
  if (call->sent < call->output->len)
    {
      ssize_t sent = send (call->fd, call->output->str + call->sent,
                           call->output->len - call->sent, MSG_NOSIGNAL);
      if (sent < 0)
        {
          finish_call (call, false, false);
          return;
        }
      call->sent += (size_t)sent;
      if (call->sent == call->output->len)
        {
          ev_io_stop (loop, &call->io);
          ev_io_set (&call->io, call->fd, EV_READ);
          ev_io_start (loop, &call->io);
        }
      return;
    }
  char data[16384];
  ssize_t size = recv (call->fd, data, sizeof (data), 0);
  if (size <= 0)
    {
      finish_call (call, false, false);
      return;
    }
  size_t used = 0;
  jd_http_progress_t progress =
      jd_http_reader_feed (&call->reader, data, (size_t)size, &used);
  call->has_extra_bytes = used < (size_t)size;
  if (progress != JD_HTTP_MORE)
    finish_call (call, progress == JD_HTTP_COMPLETE, false);
}

/* Starts to connect to an address, without blocking; returns the socket. */
static int
open_connection (const char *address)
{
  struct sockaddr_in socket_address;
  jd_socket_parse_address (address, &socket_address);
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (connect (fd, (struct sockaddr *)&socket_address, sizeof (socket_address)) != 0 &&
      errno != EINPROGRESS)
    g_printerr ("cannot connect to %s\n", address);
  return fd;
}

/* Sends a request to an address and reads one reply. With a host, uses one of its idle
 * connections if there is one, and keeps the connection for reuse. */
static void
start_call (jd_host_fixture_t *fixture, jd_host_fixture_host_t *host, const char *address,
            const char *request, double seconds, jd_host_fixture_done_t done,
            void *context)
{
  jd_host_fixture_pending_call_t *call = g_new0 (jd_host_fixture_pending_call_t, 1);
  call->fixture = fixture;
  call->host = host;
  call->done = done;
  call->context = context;
  call->output = g_string_new (request);
  jd_http_reader_init (&call->reader, HTTP_RESPONSE, 65536, 1 << 20);
  call->fd = host ? pop_idle_connection (host) : -1;
  if (call->fd < 0)
    call->fd = open_connection (address);
  ev_io_init (&call->io, on_call_io, call->fd, EV_WRITE);
  call->io.data = call;
  ev_io_start (fixture->loop, &call->io);
  ev_timer_init (&call->timer, on_call_timeout, seconds, 0.0);
  call->timer.data = call;
  ev_now_update (fixture->loop);
  ev_timer_start (fixture->loop, &call->timer);
}

/* Calls done with the reply, or without one after a failure or the timeout of seconds.
 * The reply belongs to the fixture and is valid during done only. */
void
jd_host_fixture_call_async (jd_host_fixture_t *fixture, uint32_t host,
                            const char *request, double seconds,
                            jd_host_fixture_done_t done, void *context)
{
  char address[32];
  g_snprintf (address, sizeof (address), "%s:%u", fixture->hosts[host].ip,
              fixture->hosts[host].callers_port);
  start_call (fixture, fixture->reuses_connections ? &fixture->hosts[host] : NULL,
              address, request, seconds, done, context);
}

typedef struct jd_broker_fixture_wait_for_attempt
{
  bool done;
  jd_host_fixture_reply_t *reply;
} jd_host_fixture_waiter_t;

static void
copy_reply (void *context, const jd_host_fixture_reply_t *reply)
{
  jd_host_fixture_waiter_t *wait = context;
  wait->done = true;
  wait->reply = g_new0 (jd_host_fixture_reply_t, 1);
  *wait->reply = *reply;
  wait->reply->stamps = g_strdup (reply->stamps);
  wait->reply->missing_parts = g_strdup (reply->missing_parts);
  wait->reply->retry_after = g_strdup (reply->retry_after);
  wait->reply->body = g_string_new_len (reply->body ? reply->body->str : "",
                                        reply->body ? (gssize)reply->body->len : 0);
}

/* Frees a reply that jd_host_fixture_call or jd_host_fixture_metrics returned. */
void
jd_host_fixture_reply_free (jd_host_fixture_reply_t *reply)
{
  g_free (reply->stamps);
  g_free (reply->missing_parts);
  g_free (reply->retry_after);
  g_string_free (reply->body, TRUE);
  g_free (reply);
}

/* Runs the event loop until the reply is complete, the connection fails or CALL_TIMEOUT_S
 * has passed. Free the reply with jd_host_fixture_reply_free. */
jd_host_fixture_reply_t *
jd_host_fixture_call (jd_host_fixture_t *fixture, uint32_t host, const char *request)
{
  jd_host_fixture_waiter_t wait = { 0 };
  jd_host_fixture_call_async (fixture, host, request, CALL_TIMEOUT_S, copy_reply, &wait);
  while (!wait.done)
    ev_run (fixture->loop, EVRUN_ONCE);
  return wait.reply;
}

/* Sends a GET of a path to a port of a host and waits up to 1 s; free the reply with
 * jd_host_fixture_reply_free. */
static jd_host_fixture_reply_t *
get_path (jd_host_fixture_t *fixture, uint32_t host, uint16_t port, const char *path)
{
  char address[32], request[128];
  jd_host_fixture_waiter_t wait = { 0 };
  g_snprintf (address, sizeof (address), "%s:%u", fixture->hosts[host].ip, port);
  g_snprintf (request, sizeof (request), "GET %s HTTP/1.1\r\nHost: x\r\n\r\n", path);
  start_call (fixture, NULL, address, request, 1.0, copy_reply, &wait);
  while (!wait.done)
    ev_run (fixture->loop, EVRUN_ONCE);
  return wait.reply;
}

/* Returns the HTTP status of a host's /ready; 0 without a reply. */
uint32_t
jd_host_fixture_ready_status (jd_host_fixture_t *fixture, uint32_t host)
{
  jd_host_fixture_reply_t *reply =
      get_path (fixture, host, fixture->hosts[host].readiness_port, "/ready");
  uint32_t status = reply->status;
  jd_host_fixture_reply_free (reply);
  return status;
}

/* Returns the reply of a host to GET /metrics; free with jd_host_fixture_reply_free. */
jd_host_fixture_reply_t *
jd_host_fixture_metrics (jd_host_fixture_t *fixture, uint32_t host)
{
  return get_path (fixture, host, fixture->hosts[host].metrics_port, "/metrics");
}

/* Polls the readiness of a host every 50 ms. Returns false if it is not ready within the
 * given time. */
bool
jd_host_fixture_wait_ready (jd_host_fixture_t *fixture, uint32_t index, double seconds)
{
  int64_t end_us = jd_monotonic_us () + (int64_t)(seconds * (double)JD_US_PER_S);
  while (jd_monotonic_us () < end_us)
    {
      if (jd_host_fixture_ready_status (fixture, index) == 200)
        return true;
      jd_host_fixture_run (fixture, 0.05);
    }
  return false;
}

/* Runs the event loop for some seconds. */
void
jd_host_fixture_run (jd_host_fixture_t *fixture, double seconds)
{
  jd_test_run_loop (fixture->loop, seconds);
}

static json_t *
new_route (const jd_host_fixture_t *fixture, const char *prefix, const char *kind)
{
  int32_t timeout_ms = fixture->route_timeout_ms > 0 ? fixture->route_timeout_ms
                                                     : DEFAULT_ROUTE_TIMEOUT_MS;
  return json_pack ("{s:s, s:s, s:s, s:s, s:i, s:i, s:i, s:i, s:b}", "name", prefix,
                    "host", "shop.example", "prefix", prefix, "routeKind", kind,
                    "timeoutMs", timeout_ms, "targetLatencyMs", 200, "maxAttempts", 2,
                    "priority", 1, "public", 0);
}

/* Returns a route to the service studio. */
static json_t *
new_studio_route (const jd_host_fixture_t *fixture, const char *prefix, const char *kind)
{
  json_t *route = new_route (fixture, prefix, kind);
  json_object_set_new (route, "service", json_string ("studio"));
  return route;
}

static json_t *
new_service (const jd_host_fixture_t *fixture, const char *name, int max_connections)
{
  return json_pack ("{s:s, s:i, s:f}", "name", name, "maxConns", max_connections,
                    "coldPerS", fixture->cold_rate_per_s);
}

static json_t *
new_tenant (const char *name, json_t *keys, double rate_per_s)
{
  return json_pack ("{s:s, s:o, s:f, s:f}", "name", name, "apiKeys", keys, "ratePerS",
                    rate_per_s, "burst", rate_per_s);
}

/* Returns all routes. Takes ownership of shards, the service names that a search is
 * gathered from. */
static json_t *
new_routes (const jd_host_fixture_t *fixture, json_t *shards)
{
  json_t *search = new_route (fixture, "/search/", "safe");
  json_object_set_new (search, "gather", shards);
  json_object_set_new (search, "topK", json_integer (4));
  json_object_set_new (search, "minCoverage", json_real (0.75));
  json_t *routes =
      json_pack ("[o,o,o]", search, new_studio_route (fixture, "/fetch/", "safe"),
                 new_studio_route (fixture, "/edit/", "unsafe"));
  for (int64_t i = 0; fixture->versioned_routes && i <= JD_HOST_FIXTURE_OLDER_ROUTES; i++)
    {
      char prefix[32];
      g_snprintf (prefix, sizeof (prefix), "/v%" G_GINT64_FORMAT "/",
                  fixture->version - i);
      json_array_append_new (routes, new_studio_route (fixture, prefix, "safe"));
    }
  return routes;
}

static json_t *
new_tenants (const jd_host_fixture_t *fixture)
{
  json_t *keys = json_array ();
  if (fixture->has_key)
    json_array_append_new (keys, json_string ("lab-key"));
  if (fixture->has_guest_key)
    json_array_append_new (keys, json_string ("guest-key"));
  json_t *tenants =
      json_pack ("[o]", new_tenant ("school", keys, fixture->school_rate_per_s));
  if (fixture->has_club)
    json_array_append_new (tenants, new_tenant ("club", json_pack ("[s]", "club-key"),
                                                fixture->club_rate_per_s));
  return tenants;
}

/* Publishes a configuration from the current members of the fixture, with the next
 * version. */
void
jd_host_fixture_publish_config (jd_host_fixture_t *fixture)
{
  json_t *shards = json_array ();
  json_t *services = json_pack ("[o]", new_service (fixture, "studio", 100));
  fixture->version++;
  for (uint32_t i = 0; i < fixture->shard_count; i++)
    {
      char name[16];
      g_snprintf (name, sizeof (name), "shard-%u", i);
      json_array_append_new (shards, json_string (name));
      json_array_append_new (services, new_service (fixture, name, 30));
    }
  json_t *config = json_pack (
      "{s:I, s:o, s:o, s:{s:i,s:i,s:i,s:i}, s:o}", "version",
      (json_int_t)fixture->version, "routes", new_routes (fixture, shards), "services",
      services, "limits", "maxHeaderBytes", 16384, "maxBodyBytes", 65536,
      "headerTimeoutMs", 3000, "idleTimeoutMs", 15000, "tenants", new_tenants (fixture));
  char *text = json_dumps (config, JSON_COMPACT);
  jd_published_store_put (fixture->store, "op/config", text);
  free (text);
  json_decref (config);
}

/* Publishes the record of a target with a state; a NULL state removes the record. */
void
jd_host_fixture_publish_target (jd_host_fixture_t *fixture, uint32_t index,
                                const char *state)
{
  jd_host_fixture_target_t *target = &fixture->targets[index];
  char *key = g_strdup_printf ("servers/%s", target->id);
  char *value = g_strdup_printf (
      "{\"service\":\"%s\",\"address\":\"%s\",\"zone\":\"%s\",\"version\":\"v1\","
      "\"slots\":4,\"state\":\"%s\",\"coldLeftMs\":%u,\"seq\":%u,\"born\":%u}",
      target->service, target->published_address, target->zone, state ? state : "",
      target->cold_ms, ++target->write_count, 1 + target->replacement_count);
  target->cold_ms = 0;
  if (state)
    jd_published_store_put (fixture->store, key, value);
  else
    jd_published_store_remove (fixture->store, key);
  g_free (key);
  g_free (value);
}

/* Publishes a target as a new process under its id and address, as after a restart. */
void
jd_host_fixture_restart_target (jd_host_fixture_t *fixture, uint32_t index)
{
  fixture->targets[index].replacement_count++;
  fixture->targets[index].write_count = 0;
  jd_host_fixture_publish_target (fixture, index, "ready");
}

/* Replaces a target by one with a new id at the same address, which is cold for cold_ms.
 * Resets the connections to the old one if there is a relay. */
void
jd_host_fixture_replace_target (jd_host_fixture_t *fixture, uint32_t index,
                                uint32_t cold_ms)
{
  jd_host_fixture_target_t *target = &fixture->targets[index];
  jd_host_fixture_publish_target (fixture, index, NULL);
  if (target->relay)
    jd_relay_reset (target->relay);
  g_snprintf (target->id, sizeof (target->id), "i-%u-%u", index,
              ++target->replacement_count);
  target->write_count = 0;
  jd_shard_target_set_id (target->target, target->id);
  target->cold_ms = cold_ms;
  jd_host_fixture_publish_target (fixture, index, "ready");
}

static void
add_target (jd_host_fixture_t *fixture, const char *service, const char *zone)
{
  uint32_t index = fixture->target_count++;
  jd_host_fixture_target_t *target = &fixture->targets[index];
  uint16_t port = jd_test_free_port ();
  g_snprintf (target->id, sizeof (target->id), "i-%u", index);
  g_strlcpy (target->service, service, sizeof (target->service));
  g_strlcpy (target->zone, zone, sizeof (target->zone));
  g_snprintf (target->address, sizeof (target->address), "127.0.0.1:%u", port);
  g_strlcpy (target->published_address, target->address,
             sizeof (target->published_address));
  target->target =
      jd_shard_target_new (fixture->loop, target->id, target->address, index);
  if (fixture->uses_relays)
    {
      target->relay = jd_relay_new (port);
      g_snprintf (target->published_address, sizeof (target->published_address),
                  "127.0.0.1:%u", jd_relay_port (target->relay));
    }
  jd_shard_faults_t faults = { .delay_us = 3000 };
  jd_shard_target_set_faults (target->target, &faults);
  jd_host_fixture_publish_target (fixture, index, "ready");
}

/* Writes the settings file of a host. */
static void
write_settings (jd_host_fixture_t *fixture, uint32_t index)
{
  jd_host_fixture_host_t *host = &fixture->hosts[index];
  char *text = g_strdup_printf (
      "[host]\nname=host-%u\nzone=%s\nip=%s\nfirst-start=%s\n[listen]\ncallers=%s:%u\n"
      "readiness=%s:%u\nmetrics=%s:%u\npeer-port=%u\n[peers]\nseeds=%s:1,%s:1\n[store]"
      "\naddress=%s\n"
      "[limits]\nstop-grace-s=6\nretry-slack=58\nmemory-mb=%u\n[log]\nlevel=%s\n",
      index, host->zone, host->ip, fixture->first_start ? "true" : "false", host->ip,
      host->callers_port, host->ip, host->readiness_port, host->ip, host->metrics_port,
      fixture->peer_port, fixture->hosts[0].ip,
      fixture->hosts[1 % fixture->host_count].ip, fixture->store_address,
      fixture->memory_mb > 0 ? fixture->memory_mb : DEFAULT_MEMORY_MB,
      g_getenv ("JACKDAW_LAB_LOG") ? "info" : "error");
  g_file_set_contents (host->settings_path, text, -1, NULL);
  g_free (text);
}

/* Writes the settings of a host from the current members of the fixture and starts its
 * process. */
void
jd_host_fixture_start_host (jd_host_fixture_t *fixture, uint32_t index)
{
  jd_host_fixture_host_t *host = &fixture->hosts[index];
  write_settings (fixture, index);
  char *settings_flag = g_strdup_printf ("--settings=%s", host->settings_path);
  const char *arguments[] = { settings_flag, NULL };
  host->pid = jd_child_start ("jackdaw-host", arguments);
  g_free (settings_flag);
}

/* Sends a signal to a host (after SIGCONT, as it may be stopped) and runs the event loop
 * until it has ended. Returns as jd_child_wait does: -1 if it still runs after
 * STOP_TIMEOUT_MS, and is then killed. Returns 0 if the host was not running. */
int
jd_host_fixture_stop_host (jd_host_fixture_t *fixture, uint32_t index, int signal_number)
{
  jd_host_fixture_host_t *host = &fixture->hosts[index];
  if (host->pid == 0)
    return 0;
  kill (host->pid, SIGCONT);
  kill (host->pid, signal_number);
  int status = -1;
  for (int waited_ms = 0; status == -1 && waited_ms < STOP_TIMEOUT_MS; waited_ms += 20)
    {
      jd_host_fixture_run (fixture, 0.02);
      status = jd_child_wait (host->pid, 0);
    }
  if (status == -1)
    {
      kill (host->pid, SIGKILL);
      jd_child_wait (host->pid, 1000);
    }
  host->pid = 0;
  return status;
}

/* Starts the store, the targets and the hosts. The caller sets all other members to zero
 * or to its options; has_key and first_start are set to true. */
void
jd_host_fixture_open (jd_host_fixture_t *fixture, uint32_t hosts, uint32_t shards)
{
  static uint32_t open_count;
  uint32_t subnet = 1 + ((uint32_t)getpid () + 31 * open_count++) % 250;
  signal (SIGPIPE, SIG_IGN);
  fixture->loop = ev_loop_new (EVFLAG_AUTO);
  fixture->directory = g_dir_make_tmp ("jackdaw-lab-XXXXXX", NULL);
  fixture->peer_port = jd_test_free_port ();
  fixture->host_count = hosts;
  fixture->shard_count = shards;
  fixture->has_key = true;
  fixture->first_start = true;
  g_snprintf (fixture->store_address, sizeof (fixture->store_address), "127.0.0.1:%u",
              jd_test_free_port ());
  fixture->store = jd_published_store_new (fixture->loop, fixture->store_address);
  for (uint32_t i = 0; i < shards; i++)
    {
      char service[16];
      g_snprintf (service, sizeof (service), "shard-%u", i);
      add_target (fixture, service, "a");
      add_target (fixture, service, "b");
    }
  add_target (fixture, "studio", "a");
  add_target (fixture, "studio", "b");
  jd_host_fixture_publish_config (fixture);
  for (uint32_t i = 0; i < hosts; i++)
    {
      jd_host_fixture_host_t *host = &fixture->hosts[i];
      g_snprintf (host->ip, sizeof (host->ip), "127.%u.0.%u", subnet, i + 1);
      g_strlcpy (host->zone, i % 2 && !fixture->has_one_zone ? "b" : "a",
                 sizeof (host->zone));
      host->callers_port = jd_test_free_port ();
      host->readiness_port = jd_test_free_port ();
      host->metrics_port = jd_test_free_port ();
      host->idle_connections =
          g_array_new (FALSE, FALSE, sizeof (jd_host_fixture_connection_t));
      host->settings_path = g_strdup_printf ("%s/host-%u.conf", fixture->directory, i);
    }
  for (uint32_t i = 0; i < hosts; i++)
    jd_host_fixture_start_host (fixture, i);
}

/* Kills the hosts and frees the content of the fixture. */
void
jd_host_fixture_close (jd_host_fixture_t *fixture)
{
  for (uint32_t i = 0; i < fixture->host_count; i++)
    {
      jd_host_fixture_stop_host (fixture, i, SIGKILL);
      g_unlink (fixture->hosts[i].settings_path);
      g_free (fixture->hosts[i].settings_path);
      for (guint k = 0; k < fixture->hosts[i].idle_connections->len; k++)
        close (g_array_index (fixture->hosts[i].idle_connections,
                              jd_host_fixture_connection_t, k)
                   .fd);
      g_array_free (fixture->hosts[i].idle_connections, TRUE);
    }
  for (uint32_t i = 0; i < fixture->target_count; i++)
    {
      if (fixture->targets[i].relay)
        jd_relay_free (fixture->targets[i].relay);
      jd_shard_target_free (fixture->targets[i].target);
    }
  jd_published_store_free (fixture->store);
  g_rmdir (fixture->directory);
  g_free (fixture->directory);
  ev_loop_destroy (fixture->loop);
}
