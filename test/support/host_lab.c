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
#include "transport/http_reader.h"
#include "transport/socket_address.h"

#define CALL_SECONDS 5.0
#define STOP_TIMEOUT_MS 9000
/* Callers do not use a connection again that was idle for longer: four fifths of the idle
 * time that the configuration allows. */
#define IDLE_MAX_US (12 * JD_US_PER_S)

typedef struct jd_lab_call
{
  jd_host_lab_t *lab;
  jd_lab_host_t *host; /* Whose connections are kept; NULL: they are not. */
  ev_io io;
  ev_timer timer;
  int fd;
  GString *output;
  size_t sent;
  jd_http_reader_t reader;
  bool stray_bytes;
  jd_lab_done_t done;
  void *context;
} jd_lab_call_t;

/* Takes an open connection to a host; -1 when there is none. */
static int
take_idle (jd_lab_host_t *host)
{
  while (host->idle->len > 0)
    {
      jd_lab_idle_t idle = g_array_index (host->idle, jd_lab_idle_t, host->idle->len - 1);
      g_array_set_size (host->idle, host->idle->len - 1);
      char byte;
      bool is_open = recv (idle.fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) < 0 &&
                     (errno == EAGAIN || errno == EWOULDBLOCK);
      if (is_open && jd_monotonic_us () - idle.since_us < IDLE_MAX_US)
        return idle.fd;
      close (idle.fd);
    }
  return -1;
}

/* Keeps the connection of a call that was answered, or closes it. */
static void
release_connection (jd_lab_call_t *call, bool complete)
{
  jd_lab_idle_t idle = { .fd = call->fd, .since_us = jd_monotonic_us () };
  if (complete && call->host && call->reader.keep_alive && !call->stray_bytes)
    g_array_append_val (call->host->idle, idle);
  else
    close (call->fd);
}

/* Ends a call and tells its owner. */
static void
finish_call (jd_lab_call_t *call, bool complete, bool timed_out)
{
  jd_lab_reply_t reply = { .timed_out = timed_out };
  ev_io_stop (call->lab->loop, &call->io);
  ev_timer_stop (call->lab->loop, &call->timer);
  release_connection (call, complete);
  if (complete)
    {
      reply.status = call->reader.parser.status_code;
      reply.close = !call->reader.keep_alive;
      reply.stray_bytes = call->stray_bytes;
      reply.signatures = (char *)jd_http_reader_value (&call->reader, "X-Part-Stamps");
      if (!reply.signatures)
        reply.signatures = (char *)jd_http_reader_value (&call->reader, "X-Server-Stamp");
      reply.missing = (char *)jd_http_reader_value (&call->reader, "X-Missing-Parts");
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
  jd_lab_call_t *call = io->data;
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
  call->stray_bytes = used < (size_t)size;
  if (progress != JD_HTTP_MORE)
    finish_call (call, progress == JD_HTTP_COMPLETE, false);
}

/* Opens a connection to an address. */
static int
open_connection (const char *address)
{
  struct sockaddr_in to;
  jd_socket_parse (address, &to);
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (connect (fd, (struct sockaddr *)&to, sizeof (to)) != 0 && errno != EINPROGRESS)
    g_printerr ("cannot connect to %s\n", address);
  return fd;
}

/* Sends bytes to an address and reads one answer. With a host, its open connections are
 * used, and this one is kept. */
static void
start_call (jd_host_lab_t *lab, jd_lab_host_t *host, const char *address,
            const char *request, double seconds, jd_lab_done_t done, void *context)
{
  jd_lab_call_t *call = g_new0 (jd_lab_call_t, 1);
  call->lab = lab;
  call->host = host;
  call->done = done;
  call->context = context;
  call->output = g_string_new (request);
  jd_http_reader_init (&call->reader, HTTP_RESPONSE, 65536, 1 << 20);
  call->fd = host ? take_idle (host) : -1;
  if (call->fd < 0)
    call->fd = open_connection (address);
  ev_io_init (&call->io, on_call_io, call->fd, EV_WRITE);
  call->io.data = call;
  ev_io_start (lab->loop, &call->io);
  ev_timer_init (&call->timer, on_call_timeout, seconds, 0.0);
  call->timer.data = call;
  ev_now_update (lab->loop);
  ev_timer_start (lab->loop, &call->timer);
}

/* Sends a request to a host; done is called with its end. */
void
jd_host_lab_call_async (jd_host_lab_t *lab, uint32_t host, const char *request,
                        double seconds, jd_lab_done_t done, void *context)
{
  char address[32];
  g_snprintf (address, sizeof (address), "%s:%u", lab->hosts[host].ip,
              lab->hosts[host].callers_port);
  start_call (lab, lab->keeps_connections ? &lab->hosts[host] : NULL, address, request,
              seconds, done, context);
}

typedef struct jd_lab_wait
{
  bool done;
  jd_lab_reply_t *reply;
} jd_lab_wait_t;

static void
copy_reply (void *context, const jd_lab_reply_t *reply)
{
  jd_lab_wait_t *wait = context;
  wait->done = true;
  wait->reply = g_new0 (jd_lab_reply_t, 1);
  *wait->reply = *reply;
  wait->reply->signatures = g_strdup (reply->signatures);
  wait->reply->missing = g_strdup (reply->missing);
  wait->reply->retry_after = g_strdup (reply->retry_after);
  wait->reply->body = g_string_new_len (reply->body ? reply->body->str : "",
                                        reply->body ? (gssize)reply->body->len : 0);
}

/* Frees the copy of a reply. */
void
jd_lab_reply_free (jd_lab_reply_t *reply)
{
  g_free (reply->signatures);
  g_free (reply->missing);
  g_free (reply->retry_after);
  g_string_free (reply->body, TRUE);
  g_free (reply);
}

/* Sends a request to a host and waits for its end; free with jd_lab_reply_free. */
jd_lab_reply_t *
jd_host_lab_call (jd_host_lab_t *lab, uint32_t host, const char *request)
{
  jd_lab_wait_t wait = { 0 };
  jd_host_lab_call_async (lab, host, request, CALL_SECONDS, copy_reply, &wait);
  while (!wait.done)
    ev_run (lab->loop, EVRUN_ONCE);
  return wait.reply;
}

/* Gets a path from a port of a host. */
static jd_lab_reply_t *
get (jd_host_lab_t *lab, uint32_t host, uint16_t port, const char *path)
{
  char address[32], request[128];
  jd_lab_wait_t wait = { 0 };
  g_snprintf (address, sizeof (address), "%s:%u", lab->hosts[host].ip, port);
  g_snprintf (request, sizeof (request), "GET %s HTTP/1.1\r\nHost: x\r\n\r\n", path);
  start_call (lab, NULL, address, request, 1.0, copy_reply, &wait);
  while (!wait.done)
    ev_run (lab->loop, EVRUN_ONCE);
  return wait.reply;
}

/* Returns the status of a host's readiness; 0 when it cannot be asked. */
uint32_t
jd_host_lab_ready_status (jd_host_lab_t *lab, uint32_t host)
{
  jd_lab_reply_t *reply = get (lab, host, lab->hosts[host].readiness_port, "/ready");
  uint32_t status = reply->status;
  jd_lab_reply_free (reply);
  return status;
}

/* Returns what a host serves at its metrics address. */
jd_lab_reply_t *
jd_host_lab_metrics (jd_host_lab_t *lab, uint32_t host)
{
  return get (lab, host, lab->hosts[host].metrics_port, "/metrics");
}

/* Waits until a host is ready. */
bool
jd_host_lab_wait_ready (jd_host_lab_t *lab, uint32_t index, double seconds)
{
  int64_t end_us = jd_monotonic_us () + (int64_t)(seconds * (double)JD_US_PER_S);
  while (jd_monotonic_us () < end_us)
    {
      if (jd_host_lab_ready_status (lab, index) == 200)
        return true;
      jd_host_lab_run (lab, 0.05);
    }
  return false;
}

static void
stop_loop (struct ev_loop *loop, ev_timer *timer, int events)
{
  ev_break (loop, EVBREAK_ONE);
}

/* Runs the event loop for a time. */
void
jd_host_lab_run (jd_host_lab_t *lab, double seconds)
{
  ev_timer timer;
  ev_now_update (lab->loop);
  ev_timer_init (&timer, stop_loop, seconds, 0.0);
  ev_timer_start (lab->loop, &timer);
  ev_run (lab->loop, 0);
  ev_timer_stop (lab->loop, &timer);
}

static json_t *
new_route (const char *prefix, const char *kind)
{
  return json_pack ("{s:s, s:s, s:s, s:s, s:i, s:i, s:i, s:i, s:b}", "name", prefix,
                    "host", "shop.example", "prefix", prefix, "routeKind", kind,
                    "timeoutMs", 2000, "targetLatencyMs", 200, "maxAttempts", 2,
                    "priority", 1, "public", 0);
}

/* Returns a route to studio. */
static json_t *
new_studio_route (const char *prefix, const char *kind)
{
  json_t *route = new_route (prefix, kind);
  json_object_set_new (route, "service", json_string ("studio"));
  return route;
}

static json_t *
new_service (const jd_host_lab_t *lab, const char *name, int max_connections)
{
  return json_pack ("{s:s, s:i, s:f}", "name", name, "maxConns", max_connections,
                    "coldPerS", lab->cold_per_s);
}

static json_t *
new_tenant (const char *name, json_t *keys, double rate_per_s)
{
  return json_pack ("{s:s, s:o, s:f, s:f}", "name", name, "apiKeys", keys, "ratePerS",
                    rate_per_s, "burst", rate_per_s);
}

/* Returns all routes; shards are the names of the services of a search. */
static json_t *
new_routes (const jd_host_lab_t *lab, json_t *shards)
{
  json_t *search = new_route ("/search/", "safe");
  json_object_set_new (search, "gather", shards);
  json_object_set_new (search, "topK", json_integer (4));
  json_object_set_new (search, "minCoverage", json_real (0.75));
  json_t *routes = json_pack ("[o,o,o]", search, new_studio_route ("/fetch/", "safe"),
                              new_studio_route ("/edit/", "unsafe"));
  for (int64_t i = 0; lab->versioned_routes && i <= JD_LAB_OLDER_ROUTES; i++)
    {
      char prefix[32];
      g_snprintf (prefix, sizeof (prefix), "/v%" G_GINT64_FORMAT "/", lab->version - i);
      json_array_append_new (routes, new_studio_route (prefix, "safe"));
    }
  return routes;
}

static json_t *
new_tenants (const jd_host_lab_t *lab)
{
  json_t *keys = json_array ();
  if (lab->has_key)
    json_array_append_new (keys, json_string ("lab-key"));
  if (lab->has_guest_key)
    json_array_append_new (keys, json_string ("guest-key"));
  json_t *tenants = json_pack ("[o]", new_tenant ("school", keys, lab->rate_per_s));
  if (lab->has_club)
    json_array_append_new (tenants, new_tenant ("club", json_pack ("[s]", "club-key"),
                                                lab->club_rate_per_s));
  return tenants;
}

/* Publishes the next version of the configuration. */
void
jd_host_lab_publish_routes (jd_host_lab_t *lab)
{
  json_t *shards = json_array ();
  json_t *services = json_pack ("[o]", new_service (lab, "studio", 100));
  lab->version++;
  for (uint32_t i = 0; i < lab->shards; i++)
    {
      char name[16];
      g_snprintf (name, sizeof (name), "shard-%u", i);
      json_array_append_new (shards, json_string (name));
      json_array_append_new (services, new_service (lab, name, 30));
    }
  json_t *config = json_pack (
      "{s:I, s:o, s:o, s:{s:i,s:i,s:i,s:i}, s:o}", "version", (json_int_t)lab->version,
      "routes", new_routes (lab, shards), "services", services, "limits",
      "maxHeaderBytes", 16384, "maxBodyBytes", 65536, "headerTimeoutMs", 3000,
      "idleTimeoutMs", 15000, "tenants", new_tenants (lab));
  char *text = json_dumps (config, JSON_COMPACT);
  jd_published_store_put (lab->store, "op/config", text);
  free (text);
  json_decref (config);
}

/* Publishes a target in a state; NULL removes its entry. */
void
jd_host_lab_publish_target (jd_host_lab_t *lab, uint32_t index, const char *state)
{
  jd_lab_target_t *target = &lab->targets[index];
  char *key = g_strdup_printf ("servers/%s", target->id);
  char *value = g_strdup_printf (
      "{\"service\":\"%s\",\"address\":\"%s\",\"zone\":\"%s\",\"version\":\"v1\","
      "\"slots\":4,\"state\":\"%s\",\"coldLeftMs\":%u,\"seq\":1,\"born\":%u}",
      target->service, target->published, target->zone, state ? state : "",
      target->cold_ms, 1 + target->starts);
  target->cold_ms = 0;
  if (state)
    jd_published_store_put (lab->store, key, value);
  else
    jd_published_store_remove (lab->store, key);
  g_free (key);
  g_free (value);
}

/* Ends a target and starts it again under another id; it is cold for a time. */
void
jd_host_lab_replace_target (jd_host_lab_t *lab, uint32_t index, uint32_t cold_ms)
{
  jd_lab_target_t *target = &lab->targets[index];
  jd_host_lab_publish_target (lab, index, NULL);
  if (target->relay)
    jd_relay_reset (target->relay);
  g_snprintf (target->id, sizeof (target->id), "i-%u-%u", index, ++target->starts);
  jd_shard_target_rename (target->target, target->id);
  target->cold_ms = cold_ms;
  jd_host_lab_publish_target (lab, index, "ready");
}

static void
add_target (jd_host_lab_t *lab, const char *service, const char *zone)
{
  uint32_t index = lab->target_count++;
  jd_lab_target_t *target = &lab->targets[index];
  uint16_t port = jd_test_free_port ();
  g_snprintf (target->id, sizeof (target->id), "i-%u", index);
  g_strlcpy (target->service, service, sizeof (target->service));
  g_strlcpy (target->zone, zone, sizeof (target->zone));
  g_snprintf (target->address, sizeof (target->address), "127.0.0.1:%u", port);
  g_strlcpy (target->published, target->address, sizeof (target->published));
  target->target = jd_shard_target_new (lab->loop, target->id, target->address, index);
  if (lab->relays)
    {
      target->relay = jd_relay_new (port);
      g_snprintf (target->published, sizeof (target->published), "127.0.0.1:%u",
                  jd_relay_port (target->relay));
    }
  jd_shard_faults_t faults = { .delay_us = 3000 };
  jd_shard_target_set_faults (target->target, &faults);
  jd_host_lab_publish_target (lab, index, "ready");
}

/* Writes the settings file of a host. */
static void
write_settings (jd_host_lab_t *lab, uint32_t index)
{
  jd_lab_host_t *host = &lab->hosts[index];
  char *text = g_strdup_printf (
      "[host]\nname=host-%u\nzone=%s\nip=%s\nfirst-start=%s\n[listen]\ncallers=%s:%u\n"
      "readiness=%s:%u\nmetrics=%s:%u\npeer-port=%u\n[peers]\nseeds=%s:1,%s:1\n[store]"
      "\naddress=%s\n"
      "[limits]\nstop-grace-s=6\nretry-slack=58\n[log]\nlevel=%s\n",
      index, host->zone, host->ip, lab->first_start ? "true" : "false", host->ip,
      host->callers_port, host->ip, host->readiness_port, host->ip, host->metrics_port,
      lab->peer_port, lab->hosts[0].ip, lab->hosts[1 % lab->host_count].ip,
      lab->store_address, g_getenv ("JACKDAW_LAB_LOG") ? "info" : "error");
  g_file_set_contents (host->settings_path, text, -1, NULL);
  g_free (text);
}

/* Starts the process of a host. */
void
jd_host_lab_start_host (jd_host_lab_t *lab, uint32_t index)
{
  jd_lab_host_t *host = &lab->hosts[index];
  write_settings (lab, index);
  char *flag = g_strdup_printf ("--settings=%s", host->settings_path);
  const char *arguments[] = { flag, NULL };
  host->pid = jd_child_start ("jackdaw-host", arguments);
  g_free (flag);
}

/* Sends a signal to a host and waits for its end while the event loop runs. Returns as
 * jd_child_wait. */
int
jd_host_lab_stop_host (jd_host_lab_t *lab, uint32_t index, int signal_number)
{
  jd_lab_host_t *host = &lab->hosts[index];
  if (host->pid == 0)
    return 0;
  kill (host->pid, SIGCONT);
  kill (host->pid, signal_number);
  int status = -1;
  for (int waited_ms = 0; status == -1 && waited_ms < STOP_TIMEOUT_MS; waited_ms += 20)
    {
      jd_host_lab_run (lab, 0.02);
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

/* Opens a lab and starts its hosts. Fields of the lab that are set before are kept. */
void
jd_host_lab_open (jd_host_lab_t *lab, uint32_t hosts, uint32_t shards)
{
  static uint32_t opened;
  uint32_t net = 1 + ((uint32_t)getpid () + 31 * opened++) % 250;
  signal (SIGPIPE, SIG_IGN);
  lab->loop = ev_loop_new (EVFLAG_AUTO);
  lab->folder = g_dir_make_tmp ("jackdaw-lab-XXXXXX", NULL);
  lab->peer_port = jd_test_free_port ();
  lab->host_count = hosts;
  lab->shards = shards;
  lab->has_key = true;
  lab->first_start = true;
  g_snprintf (lab->store_address, sizeof (lab->store_address), "127.0.0.1:%u",
              jd_test_free_port ());
  lab->store = jd_published_store_new (lab->loop, lab->store_address);
  for (uint32_t i = 0; i < shards; i++)
    {
      char service[16];
      g_snprintf (service, sizeof (service), "shard-%u", i);
      add_target (lab, service, "a");
      add_target (lab, service, "b");
    }
  add_target (lab, "studio", "a");
  add_target (lab, "studio", "b");
  jd_host_lab_publish_routes (lab);
  for (uint32_t i = 0; i < hosts; i++)
    {
      jd_lab_host_t *host = &lab->hosts[i];
      g_snprintf (host->ip, sizeof (host->ip), "127.%u.0.%u", net, i + 1);
      g_strlcpy (host->zone, i % 2 ? "b" : "a", sizeof (host->zone));
      host->callers_port = jd_test_free_port ();
      host->readiness_port = jd_test_free_port ();
      host->metrics_port = jd_test_free_port ();
      host->idle = g_array_new (FALSE, FALSE, sizeof (jd_lab_idle_t));
      host->settings_path = g_strdup_printf ("%s/host-%u.conf", lab->folder, i);
    }
  for (uint32_t i = 0; i < hosts; i++)
    jd_host_lab_start_host (lab, i);
}

/* Kills the hosts and frees the lab. */
void
jd_host_lab_close (jd_host_lab_t *lab)
{
  for (uint32_t i = 0; i < lab->host_count; i++)
    {
      jd_host_lab_stop_host (lab, i, SIGKILL);
      g_unlink (lab->hosts[i].settings_path);
      g_free (lab->hosts[i].settings_path);
      for (guint k = 0; k < lab->hosts[i].idle->len; k++)
        close (g_array_index (lab->hosts[i].idle, jd_lab_idle_t, k).fd);
      g_array_free (lab->hosts[i].idle, TRUE);
    }
  for (uint32_t i = 0; i < lab->target_count; i++)
    {
      if (lab->targets[i].relay)
        jd_relay_free (lab->targets[i].relay);
      jd_shard_target_free (lab->targets[i].target);
    }
  jd_published_store_free (lab->store);
  g_rmdir (lab->folder);
  g_free (lab->folder);
  ev_loop_destroy (lab->loop);
}
