#include <arpa/inet.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/clock.h"
#include "daemons/record_source.h"
#include "support/host_lab.h"
#include "support/loop_run.h"
#include "support/test_main.h"

#define SHARDS 2U
#define TRIALS 4
#define READER 0U /* The host that starts first reads the store. */
#define COPIER 1U /* The other one copies its records. */
/* Default of config-ms. */
#define CONFIG_LIMIT_US (3 * JD_US_PER_S)

static uint32_t
status_with_guest_key (jd_host_fixture_t *fixture, uint32_t host)
{
  static uint32_t count;
  char *text = g_strdup_printf (
      "GET /fetch/1 HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: guest-%u\r\n"
      "X-Deadline-Ms: 1500\r\n" JD_HOST_FIXTURE_GUEST_KEY "\r\n",
      count++);
  jd_host_fixture_reply_t *reply = jd_host_fixture_call (fixture, host, text);
  uint32_t status = reply->status;
  jd_host_fixture_reply_free (reply);
  g_free (text);
  return status;
}

/* Calls a host with the guest key until it gets a status. Returns the time that this
 * took, or INT64_MAX if it is longer than the limit. */
static int64_t
wait_for_guest_status (jd_host_fixture_t *fixture, uint32_t host, uint32_t status,
                       int64_t limit_us)
{
  int64_t start_us = jd_monotonic_us ();
  while (jd_monotonic_us () - start_us < limit_us)
    {
      if (status_with_guest_key (fixture, host) == status)
        return jd_monotonic_us () - start_us;
      jd_host_fixture_run (fixture, 0.02);
    }
  return INT64_MAX;
}

/* Publishes a configuration with or without the guest key. */
static void
publish_guest_key (jd_host_fixture_t *fixture, bool has_guest_key)
{
  fixture->has_guest_key = has_guest_key;
  jd_host_fixture_publish_config (fixture);
}

/* Guards against a withdrawn key that a host accepts for longer than the limit, because
 * the host of its zone that reads the store is killed as the key is withdrawn. */
static void
changes_apply_in_time_after_the_reader_is_killed (void)
{
  static jd_host_fixture_t fixture = { .has_one_zone = true };
  jd_host_fixture_open (&fixture, 2, SHARDS);
  for (int i = 0; i < TRIALS; i++)
    {
      jd_host_fixture_stop_host (&fixture, COPIER, SIGKILL);
      CU_ASSERT_TRUE_FATAL (jd_host_fixture_wait_ready (&fixture, READER, 5.0));
      jd_host_fixture_run (&fixture, 1.0);
      jd_host_fixture_start_host (&fixture, COPIER);
      CU_ASSERT_TRUE_FATAL (jd_host_fixture_wait_ready (&fixture, COPIER, 5.0));
      publish_guest_key (&fixture, true);
      CU_ASSERT_TRUE (wait_for_guest_status (&fixture, COPIER, 200, 5 * JD_US_PER_S) <
                      INT64_MAX);
      /* The records of the reader are as recent as they get right after a read. */
      uint32_t call_count = jd_published_store_call_count (fixture.store);
      while (jd_published_store_call_count (fixture.store) == call_count)
        jd_host_fixture_run (&fixture, 0.002);
      jd_host_fixture_run (&fixture, 0.05 + 0.07 * i);
      kill (fixture.hosts[READER].pid, SIGKILL);
      publish_guest_key (&fixture, false);
      int64_t late_us =
          wait_for_guest_status (&fixture, COPIER, 401, 2 * CONFIG_LIMIT_US);
      printf ("%.2f s ", (double)late_us / (double)JD_US_PER_S);
      CU_ASSERT_TRUE (late_us < CONFIG_LIMIT_US);
      jd_host_fixture_stop_host (&fixture, READER, SIGKILL);
      jd_host_fixture_start_host (&fixture, READER);
      jd_host_fixture_run (&fixture, 0.2);
    }
  jd_host_fixture_close (&fixture);
}

/* Guards against a host that is cut off from the store and denies a key that was added
 * meanwhile for good: its caller would not ask another host. */
static void
old_configuration_denies_no_request (void)
{
  static jd_host_fixture_t fixture = { .has_one_zone = true };
  jd_host_fixture_open (&fixture, 2, SHARDS);
  CU_ASSERT_TRUE_FATAL (jd_host_fixture_wait_ready (&fixture, COPIER, 5.0));
  CU_ASSERT_TRUE (wait_for_guest_status (&fixture, COPIER, 401, CONFIG_LIMIT_US) <
                  INT64_MAX);
  jd_published_store_set_mode (fixture.store, JD_STORE_SILENT);
  jd_host_fixture_run (&fixture, 0.1);
  publish_guest_key (&fixture, true);
  jd_host_fixture_run (&fixture, (double)CONFIG_LIMIT_US / (double)JD_US_PER_S);
  CU_ASSERT_EQUAL (status_with_guest_key (&fixture, COPIER), 503);
  jd_published_store_set_mode (fixture.store, JD_STORE_SERVES);
  CU_ASSERT_TRUE (wait_for_guest_status (&fixture, COPIER, 200, 2 * CONFIG_LIMIT_US) <
                  INT64_MAX);
  jd_host_fixture_close (&fixture);
}

/* Guards against a reader of the store that takes an answer with only a part of the
 * changes for all of them: after a burst of changes it stayed seconds behind, denied new
 * keys and accepted withdrawn ones, while its records seemed to be current. */
static void
burst_of_changes_does_not_delay_others (void)
{
  static jd_host_fixture_t fixture = { .has_one_zone = true };
  jd_host_fixture_open (&fixture, 2, SHARDS);
  CU_ASSERT_TRUE_FATAL (jd_host_fixture_wait_ready (&fixture, COPIER, 5.0));
  CU_ASSERT_TRUE (wait_for_guest_status (&fixture, COPIER, 401, CONFIG_LIMIT_US) <
                  INT64_MAX);
  for (int i = 0; i < 4000; i++)
    {
      char key[32], value[256];
      g_snprintf (key, sizeof (key), "servers/burst-%d", i % 1000);
      g_snprintf (value, sizeof (value),
                  "{\"service\":\"other\",\"address\":\"127.0.0.1:9\",\"zone\":\"a\","
                  "\"slots\":%d,\"state\":\"ready\",\"seq\":1,\"born\":1}",
                  1 + i / 1000);
      jd_published_store_put (fixture.store, key, value);
    }
  publish_guest_key (&fixture, true);
  int64_t late_us = wait_for_guest_status (&fixture, COPIER, 200, 4 * CONFIG_LIMIT_US);
  printf ("%.2f s ", (double)late_us / (double)JD_US_PER_S);
  CU_ASSERT_TRUE (late_us < CONFIG_LIMIT_US);
  jd_host_fixture_close (&fixture);
}

/* Without an outage, removals are held for 40% of drain-ms, 1.2 s, and read every 0.5 s
 * meanwhile: targets that have written themselves again after this time are back in time.
 */
#define WRITTEN_AGAIN_S 0.5

/* Returns the number of searches that get no answer in some seconds, by turns at all
 * hosts. */
static uint32_t
count_failed_searches (jd_host_fixture_t *fixture, double seconds)
{
  static uint32_t count;
  uint32_t failed_count = 0;
  int64_t end_us = jd_monotonic_us () + (int64_t)(seconds * (double)JD_US_PER_S);
  while (jd_monotonic_us () < end_us)
    {
      char *text = g_strdup_printf (
          "GET /search/1 HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: s-%u\r\n"
          "X-Deadline-Ms: 1500\r\n" JD_HOST_FIXTURE_KEY "\r\n",
          count);
      jd_host_fixture_reply_t *reply =
          jd_host_fixture_call (fixture, count++ % MAX (fixture->host_count, 1), text);
      failed_count += reply->status != 200;
      jd_host_fixture_reply_free (reply);
      g_free (text);
      jd_host_fixture_run (fixture, 0.02);
    }
  return failed_count;
}

static void
publish_all_targets (jd_host_fixture_t *fixture)
{
  for (uint32_t i = 0; i < fixture->target_count; i++)
    jd_host_fixture_publish_target (fixture, i, "ready");
}

/* Guards against hosts that refuse callers although all targets answer, because the
 * records of the targets expired while the store was away. On lumeira-cu-grown, an outage
 * of 3 s had 76 of 114 callers refused: hosts that read the store for the first time
 * after it had not failed themselves, and took the removals for news. */
static void
expired_records_take_no_live_target_away (void)
{
  static const struct
  {
    double outage_s;
    double back_after_s; /* Time until targets have written themselves again. */
  } cases[] = { { 0.0, WRITTEN_AGAIN_S }, { 2.0, 2.0 }, { 3.6, 2.0 } };
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      static jd_host_fixture_t fixture;
      fixture = (jd_host_fixture_t){ .has_one_zone = true };
      jd_host_fixture_open (&fixture, 3, SHARDS);
      for (uint32_t k = 0; k < fixture.host_count; k++)
        CU_ASSERT_TRUE_FATAL (jd_host_fixture_wait_ready (&fixture, k, 5.0));
      CU_ASSERT_EQUAL (count_failed_searches (&fixture, 0.5), 0);
      if (cases[i].outage_s > 0.0)
        jd_published_store_set_mode (fixture.store, JD_STORE_SILENT);
      jd_published_store_remove_all (fixture.store, "servers/");
      uint32_t failed_count = count_failed_searches (&fixture, cases[i].outage_s);
      jd_published_store_set_mode (fixture.store, JD_STORE_SERVES);
      failed_count += count_failed_searches (&fixture, cases[i].back_after_s);
      publish_all_targets (&fixture);
      failed_count += count_failed_searches (&fixture, 2.5);
      printf ("%.1f s: %u failed ", cases[i].outage_s, failed_count);
      CU_ASSERT_EQUAL (failed_count, 0);
      jd_host_fixture_close (&fixture);
    }
}

/* Guards against a host that keeps targets whose records do not return. */
static void
expired_records_that_do_not_return_are_removed (void)
{
  static jd_host_fixture_t fixture = { .has_one_zone = true };
  jd_host_fixture_open (&fixture, 1, SHARDS);
  CU_ASSERT_TRUE_FATAL (jd_host_fixture_wait_ready (&fixture, 0, 5.0));
  CU_ASSERT_EQUAL (count_failed_searches (&fixture, 0.3), 0);
  jd_published_store_remove_all (fixture.store, "servers/");
  jd_host_fixture_run (&fixture, 4.0);
  CU_ASSERT_TRUE (count_failed_searches (&fixture, 0.3) > 0);
  jd_host_fixture_close (&fixture);
}

/* Guards against a withdrawn key that works again, against a target that left and is used
 * again, and against hosts that stay on their records for ever, when the store returns
 * from an older copy: its revisions are lower than those that hosts know. Also for a host
 * that starts meanwhile, whether or not it read the store for its zone before. */
static void
older_copy_of_the_store_takes_nothing_back (void)
{
  static const struct
  {
    uint32_t host;
    double restored_s; /* Time for which the hosts know of the older copy. */
  } cases[] = { { COPIER, 2.0 }, { READER, 2.2 } };
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      static jd_host_fixture_t fixture;
      fixture = (jd_host_fixture_t){ .has_one_zone = true };
      jd_host_fixture_open (&fixture, 2, SHARDS);
      uint32_t host = cases[i].host;
      for (uint32_t k = 0; k < fixture.host_count; k++)
        CU_ASSERT_TRUE_FATAL (jd_host_fixture_wait_ready (&fixture, k, 5.0));
      publish_guest_key (&fixture, true);
      CU_ASSERT_TRUE (wait_for_guest_status (&fixture, host, 200, CONFIG_LIMIT_US) <
                      INT64_MAX);
      jd_published_store_keep_copy (fixture.store);
      publish_guest_key (&fixture, false);
      jd_host_fixture_publish_target (&fixture, 0, NULL);
      for (int k = 0; k < 40; k++)
        jd_published_store_put (fixture.store, "op/other", "{}");
      CU_ASSERT_TRUE (wait_for_guest_status (&fixture, host, 401, CONFIG_LIMIT_US) <
                      INT64_MAX);
      CU_ASSERT_EQUAL (count_failed_searches (&fixture, 0.3), 0);
      jd_published_store_restore_copy (fixture.store);
      /* Until the operator writes again, also on a host that starts meanwhile, as soon as
       * it has heard of another one. */
      jd_host_fixture_run (&fixture, cases[i].restored_s);
      CU_ASSERT_EQUAL (status_with_guest_key (&fixture, host), 401);
      jd_host_fixture_stop_host (&fixture, host, SIGKILL);
      fixture.first_start = false;
      jd_host_fixture_start_host (&fixture, host);
      CU_ASSERT_TRUE_FATAL (jd_host_fixture_wait_ready (&fixture, host, 5.0));
      CU_ASSERT_TRUE (wait_for_guest_status (&fixture, host, 401, JD_US_PER_S) <
                      INT64_MAX);
      publish_all_targets (&fixture);
      publish_guest_key (&fixture, true);
      CU_ASSERT_TRUE (wait_for_guest_status (&fixture, host, 200, CONFIG_LIMIT_US) <
                      INT64_MAX);
      publish_guest_key (&fixture, false);
      CU_ASSERT_TRUE (wait_for_guest_status (&fixture, host, 401, CONFIG_LIMIT_US) <
                      INT64_MAX);
      jd_host_fixture_close (&fixture);
    }
}

/* Guards against hosts that lose their configuration and targets to a store that returns
 * without any record. */
static void
empty_store_takes_nothing_away (void)
{
  static jd_host_fixture_t fixture = { .has_one_zone = true };
  jd_host_fixture_open (&fixture, 2, SHARDS);
  for (uint32_t i = 0; i < fixture.host_count; i++)
    CU_ASSERT_TRUE_FATAL (jd_host_fixture_wait_ready (&fixture, i, 5.0));
  jd_published_store_remove_all (fixture.store, "");
  jd_published_store_discard_history (fixture.store);
  CU_ASSERT_EQUAL (count_failed_searches (&fixture, WRITTEN_AGAIN_S), 0);
  publish_all_targets (&fixture);
  CU_ASSERT_EQUAL (count_failed_searches (&fixture, 3.0), 0);
  jd_host_fixture_close (&fixture);
}

#define FROZEN_SHARDS 16U
/* One target of each of some shards: more than max-removed-percent of all targets. */
#define FROZEN_REMOVED 5U
/* Default of drain-ms. */
#define DRAIN_LIMIT_US (3 * JD_US_PER_S)

/* Observer of a target: notes the time of the last request. */
static void
note_arrival (void *context, jd_shard_target_t *target, const jd_shard_arrival_t *arrival)
{
  *(int64_t *)context = jd_monotonic_us ();
}

/* Guards against requests to targets that left, while the host that reads the store for
 * its zone is frozen: the wait for it and the hold of many removals added up to more than
 * the drain limit (review/12). */
static void
removals_apply_in_time_beside_a_frozen_reader (void)
{
  static jd_host_fixture_t fixture = { .has_one_zone = true };
  jd_host_fixture_open (&fixture, 2, FROZEN_SHARDS);
  for (uint32_t i = 0; i < fixture.host_count; i++)
    CU_ASSERT_TRUE_FATAL (jd_host_fixture_wait_ready (&fixture, i, 5.0));
  CU_ASSERT_EQUAL (count_failed_searches (&fixture, 1.5), 0);
  uint32_t call_count = jd_published_store_call_count (fixture.store);
  while (jd_published_store_call_count (fixture.store) == call_count)
    jd_host_fixture_run (&fixture, 0.002);
  jd_host_fixture_run (&fixture, 0.1);
  kill (fixture.hosts[READER].pid, SIGSTOP);
  int64_t removed_us = jd_monotonic_us ();
  int64_t last_arrival_us = 0;
  for (uint32_t i = 0; i < FROZEN_REMOVED; i++)
    {
      jd_shard_target_set_observer (fixture.targets[(size_t)2 * i].target, note_arrival,
                                    &last_arrival_us);
      jd_host_fixture_publish_target (&fixture, 2 * i, NULL);
    }
  while (jd_monotonic_us () < removed_us + 2 * DRAIN_LIMIT_US)
    {
      char *text =
          g_strdup_printf ("GET /search/1 HTTP/1.1\r\nHost: shop.example\r\n"
                           "X-Attempt-Id: f-%" G_GINT64_FORMAT
                           "\r\nX-Deadline-Ms: 1500\r\n" JD_HOST_FIXTURE_KEY "\r\n",
                           jd_monotonic_us ());
      jd_host_fixture_reply_t *reply = jd_host_fixture_call (&fixture, COPIER, text);
      CU_ASSERT_EQUAL (reply->status, 200);
      jd_host_fixture_reply_free (reply);
      g_free (text);
      jd_host_fixture_run (&fixture, 0.01);
    }
  kill (fixture.hosts[READER].pid, SIGCONT);
  printf ("%.2f s ", (double)(last_arrival_us - removed_us) / (double)JD_US_PER_S);
  CU_ASSERT_TRUE (last_arrival_us > removed_us);
  CU_ASSERT_TRUE (last_arrival_us - removed_us < DRAIN_LIMIT_US);
  jd_host_fixture_close (&fixture);
}

#define LOST_SOURCES 3U
#define LOST_INTERVAL_US (400 * JD_US_PER_MS)
#define LOST_LIMIT_US (2 * JD_US_PER_S)

static int64_t store_read_us;

/* Source callback: notes the time of the first read of the store. */
static void
note_store_read (void *context, int64_t call_limit_us)
{
  if (store_read_us == 0)
    store_read_us = jd_monotonic_us ();
}

static void
ignore_change (void *context)
{
}

/* Opens the port of a host that has lost power: connections to it get no answer. Sets the
 * port if it is 0. */
static int
open_lost_host (uint32_t ip, uint16_t *port)
{
  struct sockaddr_in address = { .sin_family = AF_INET,
                                 .sin_port = htons (*port),
                                 .sin_addr = { .s_addr = htonl (ip) } };
  socklen_t size = sizeof (address);
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  CU_ASSERT_EQUAL_FATAL (bind (fd, (struct sockaddr *)&address, size), 0);
  CU_ASSERT_EQUAL_FATAL (listen (fd, 16), 0);
  getsockname (fd, (struct sockaddr *)&address, &size);
  *port = ntohs (address.sin_port);
  return fd;
}

/* Receives the last message of a host: it has just read a newer configuration. */
static void
receive_last_message (jd_peer_table_t *peers, uint32_t ip, uint32_t number)
{
  jd_peer_state_t state = { .ip = ip,
                            .incarnation = 1,
                            .sequence = 1,
                            .reads_store = true,
                            .feed_revision = 5 + number,
                            .changed_revision = 5 + number,
                            .tombstones_since = 1 };
  g_snprintf (state.zone, sizeof (state.zone), "zone-%u", number);
  g_snprintf (state.name, sizeof (state.name), "host-%u", number);
  jd_peer_table_update (peers, &state, jd_monotonic_us ());
}

typedef struct lone_source
{
  struct ev_loop *loop;
  jd_record_feed_t *feed;
  jd_peer_table_t *peers;
  jd_record_source_t *source;
  uint32_t removal_count; /* Removals that have taken effect. */
} lone_source_t;

/* Feed callback: counts removals. */
static void
count_removal (void *context, const char *key, GBytes *value)
{
  *(uint32_t *)context += !value;
}

/* Opens a source without a store or other hosts. It takes its first step when the loop
 * runs. */
static void
open_lone_source (lone_source_t *lone, uint32_t own_ip, uint16_t peer_port,
                  int64_t change_limit_us)
{
  lone->loop = ev_loop_new (EVFLAG_AUTO);
  const jd_feed_events_t events = { .on_change = count_removal,
                                    .context = &lone->removal_count };
  lone->removal_count = 0;
  lone->feed = jd_record_feed_new (&events);
  lone->peers = jd_peer_table_new (own_ip, "zone-0");
  jd_record_source_options_t options = {
    .loop = lone->loop,
    .feed = lone->feed,
    .peers = lone->peers,
    .peer_port = peer_port,
    .is_first_start = true,
    .limits = { .change_limit_us = change_limit_us, .max_removed_share = 1.0 },
    .heartbeat_interval_us = JD_US_PER_S,
    .read_store = note_store_read,
    .on_changed = ignore_change,
  };
  store_read_us = 0;
  lone->source = jd_record_source_new (&options);
}

/* Runs the loop until a source has started to read the store, and sets the records that
 * this read brings. */
static void
run_first_read (lone_source_t *lone)
{
  jd_test_run_loop (lone->loop, 0.1);
  CU_ASSERT_TRUE (store_read_us > 0);
  jd_record_feed_advance (lone->feed, 5, store_read_us);
}

static void
close_lone_source (lone_source_t *lone)
{
  jd_record_source_free (lone->source);
  jd_peer_table_free (lone->peers);
  jd_record_feed_free (lone->feed);
  ev_loop_destroy (lone->loop);
}

/* Guards against hosts that act on an old configuration because the hosts from which they
 * copy are lost one after the other: the waits for each of them added up to more than the
 * limit, although the store could be read all the while (review/7). */
static void
waits_for_lost_sources_do_not_add_up (void)
{
  uint32_t own_ip = INADDR_LOOPBACK;
  uint16_t port = 0;
  int listeners[LOST_SOURCES];
  for (uint32_t i = 0; i < LOST_SOURCES; i++)
    listeners[i] = open_lost_host (own_ip + 1 + i, &port);
  int64_t start_us = jd_monotonic_us ();
  lone_source_t lone;
  open_lone_source (&lone, own_ip, port, LOST_LIMIT_US);
  jd_record_feed_advance (lone.feed, 5, start_us);
  receive_last_message (lone.peers, own_ip + 1, 0);
  for (uint32_t i = 1; i < LOST_SOURCES; i++)
    {
      jd_test_run_loop (lone.loop, (double)LOST_INTERVAL_US / (double)JD_US_PER_S);
      receive_last_message (lone.peers, own_ip + 1 + i, i);
      jd_record_source_on_peer_state (lone.source);
    }
  while (store_read_us == 0 && jd_monotonic_us () < start_us + 4 * LOST_LIMIT_US)
    jd_test_run_loop (lone.loop, 0.02);
  printf ("%.2f s ", (double)(store_read_us - start_us) / (double)JD_US_PER_S);
  CU_ASSERT_TRUE (store_read_us > 0 && store_read_us - start_us < LOST_LIMIT_US);
  close_lone_source (&lone);
  for (uint32_t i = 0; i < LOST_SOURCES; i++)
    close (listeners[i]);
}

/* A host that sends one copy of its records to each connection. */
typedef struct copied_host
{
  struct ev_loop *loop;
  ev_io listener;
  ev_io connection;
  GString *copy;
} copied_host_t;

/* Event loop callback: answers a request on a connection and closes it. */
static void
send_copy (struct ev_loop *loop, ev_io *io, int events)
{
  copied_host_t *host = io->data;
  char request[1024];
  if (recv (io->fd, request, sizeof (request), 0) > 0)
    {
      char *head = g_strdup_printf ("HTTP/1.1 200 OK\r\nContent-Length: %zu\r\n\r\n",
                                    host->copy->len);
      send (io->fd, head, strlen (head), MSG_NOSIGNAL);
      send (io->fd, host->copy->str, host->copy->len, MSG_NOSIGNAL);
      g_free (head);
    }
  ev_io_stop (loop, io);
  close (io->fd);
}

/* Event loop callback: accepts a connection. */
static void
accept_copy (struct ev_loop *loop, ev_io *io, int events)
{
  copied_host_t *host = io->data;
  ev_io_init (&host->connection, send_copy, accept (io->fd, NULL, NULL), EV_READ);
  host->connection.data = host;
  ev_io_start (loop, &host->connection);
}

/* Guards against hosts that hold removals because the host from which they copy does: it
 * was cut off from the store, and they were not (review/15). */
static void
copies_carry_no_hold_of_removals (void)
{
  uint32_t own_ip = INADDR_LOOPBACK;
  uint16_t port = 0;
  copied_host_t host = { 0 };
  int listener = open_lost_host (own_ip + 1, &port);
  const jd_feed_events_t no_events = { 0 };
  jd_record_feed_t *other = jd_record_feed_new (&no_events);
  jd_record_feed_remove (other, "servers/left", 6);
  jd_record_feed_hold_removals (other, jd_monotonic_us () + 3 * JD_US_PER_S);
  jd_record_feed_advance (other, 6, jd_monotonic_us ());
  host.copy = jd_record_source_render (other, 5, jd_monotonic_us ());
  lone_source_t lone;
  open_lone_source (&lone, own_ip, port, LOST_LIMIT_US);
  ev_io_init (&host.listener, accept_copy, listener, EV_READ);
  host.listener.data = &host;
  ev_io_start (lone.loop, &host.listener);
  GBytes *value = g_bytes_new_static ("a", 1);
  jd_record_feed_put (lone.feed, "servers/left", value, 4, JD_RECORD_WRITTEN);
  g_bytes_unref (value);
  jd_record_feed_advance (lone.feed, 5, jd_monotonic_us ());
  receive_last_message (lone.peers, own_ip + 1, 1);
  jd_record_source_on_peer_state (lone.source);
  jd_test_run_loop (lone.loop, 0.3);
  CU_ASSERT_EQUAL (jd_record_feed_revision (lone.feed), 6);
  CU_ASSERT_EQUAL (lone.removal_count, 1);
  CU_ASSERT_TRUE (jd_record_feed_removals_held_until_us (lone.feed) <=
                  jd_monotonic_us ());
  close_lone_source (&lone);
  close (listener);
  jd_record_feed_free (other);
  g_string_free (host.copy, TRUE);
}

/* Guards against a host that no longer reads the store, because a host with a lower
 * address does, and ignores its offers for three read intervals: it held removals without
 * copying what had returned meanwhile, and refused callers. */
static void
host_that_gives_up_reading_copies_at_once (void)
{
  uint32_t own_ip = INADDR_LOOPBACK + 9;
  uint16_t port = 0;
  int listener = open_lost_host (own_ip - 1, &port);
  lone_source_t lone;
  open_lone_source (&lone, own_ip, port, LOST_LIMIT_US);
  run_first_read (&lone);
  jd_record_source_on_store_read (lone.source, true, store_read_us);
  CU_ASSERT_TRUE (jd_record_source_reads_store (lone.source, jd_monotonic_us ()));
  receive_last_message (lone.peers, own_ip - 1, 0);
  double interval_s = (double)LOST_LIMIT_US / (double)JD_US_PER_S / 3;
  jd_test_run_loop (lone.loop, interval_s + 0.1);
  CU_ASSERT_FALSE (jd_record_source_reads_store (lone.source, jd_monotonic_us ()));
  close_lone_source (&lone);
  close (listener);
}

/* Guards against records that have returned to the store while their removals are held,
 * but are read only after a whole read interval, when the hold may be over. */
static void
store_is_read_soon_while_removals_are_held (void)
{
  lone_source_t lone;
  open_lone_source (&lone, INADDR_LOOPBACK, 0, 6 * JD_US_PER_S);
  run_first_read (&lone);
  jd_record_feed_hold_removals (lone.feed, jd_monotonic_us () + 5 * JD_US_PER_S);
  jd_record_source_on_store_read (lone.source, true, store_read_us);
  store_read_us = 0;
  jd_test_run_loop (lone.loop, 0.7);
  CU_ASSERT_TRUE (store_read_us > 0);
  close_lone_source (&lone);
}

/* Guards against a host that learns of changes by the former limit after its settings
 * were loaded again: it read the store too late. */
static void
changed_limit_applies_without_a_restart (void)
{
  lone_source_t lone;
  open_lone_source (&lone, INADDR_LOOPBACK, 0, 60 * JD_US_PER_S);
  run_first_read (&lone);
  jd_record_source_on_store_read (lone.source, true, store_read_us);
  const jd_record_source_limits_t limits = { .change_limit_us = LOST_LIMIT_US,
                                             .max_removed_share = 1.0 };
  jd_record_source_apply_limits (lone.source, &limits);
  store_read_us = 0;
  jd_test_run_loop (lone.loop, (double)LOST_LIMIT_US / (double)JD_US_PER_S / 2);
  CU_ASSERT_TRUE (store_read_us > 0);
  close_lone_source (&lone);
}

int
main (void)
{
  static const jd_test_case_t cases[] = {
    { "waits for lost sources do not add up", waits_for_lost_sources_do_not_add_up },
    { "host that gives up reading copies at once",
      host_that_gives_up_reading_copies_at_once },
    { "changed limit applies without a restart",
      changed_limit_applies_without_a_restart },
    { "copies carry no hold of removals", copies_carry_no_hold_of_removals },
    { "store is read soon while removals are held",
      store_is_read_soon_while_removals_are_held },
    { "changes apply in time after the reader is killed",
      changes_apply_in_time_after_the_reader_is_killed },
    { "old configuration denies no request", old_configuration_denies_no_request },
    { "burst of changes does not delay others", burst_of_changes_does_not_delay_others },
    { "expired records take no live target away",
      expired_records_take_no_live_target_away },
    { "expired records that do not return are removed",
      expired_records_that_do_not_return_are_removed },
    { "older copy of the store takes nothing back",
      older_copy_of_the_store_takes_nothing_back },
    { "empty store takes nothing away", empty_store_takes_nothing_away },
    { "removals apply in time beside a frozen reader",
      removals_apply_in_time_beside_a_frozen_reader },
  };
  return JD_TEST_RUN ("record_source", cases);
}
