#include "../rig-2/rig.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* The case: the hosts of two zones that read the store lose power just after a
 * configuration is acknowledged, and start again 3 s later. The host of the first zone
 * has not read the configuration, that of the second one has and has told the others. The
 * other hosts of the first zone run on and reach the store. */

#define ZONE_HOSTS 3
#define CONFIG_APPLY_MS 3000 /* configApplyMs */
#define STABLE_MS 8000       /* Twice stableWindowMs. */
#define DARK_MS 3000         /* for_s of after_ack_kill in the site file */
#define WATCHED_MS 6000
#define CALL_INTERVAL_MS 25
/* Shortest and longest time from the read of the first reader to that of the second one
 * with which the power is lost 5 to 400 ms after the acknowledgement. */
#define GAP_MIN_MS 40
#define GAP_MAX_MS 360
/* From the answer to the second reader to the loss of power: its message has arrived. */
#define TOLD_MS 60

static rig_host_t *case_hosts[2 * ZONE_HOSTS];
static int64_t last_read_ms[2 * ZONE_HOSTS];
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static int64_t acknowledged_ms;
static int late_runs;

/* Store observer: notes the time at which a host has got its answer. */
static void
on_read (const rig_host_t *host)
{
  pthread_mutex_lock (&lock);
  for (int i = 0; i < 2 * ZONE_HOSTS; i++)
    {
      if (case_hosts[i] == host)
        last_read_ms[i] = rig_now_ms ();
    }
  pthread_mutex_unlock (&lock);
  rig_record ("store read by %s", host->ip);
}

/* Returns the time of the last read of a host. */
static int64_t
last_read_of (int index)
{
  pthread_mutex_lock (&lock);
  int64_t time_ms = last_read_ms[index];
  pthread_mutex_unlock (&lock);
  return time_ms;
}

/* Backend handler: runs the request. */
static void
on_request (rig_connection_t *connection, const rig_message_t *request)
{
  char id[64] = "", tenant[64] = "";
  rig_header (request, "X-Attempt-Id", id, sizeof (id));
  rig_header (request, "X-Tenant", tenant, sizeof (tenant));
  rig_record ("run id=%s tenant=%s by=%s", id, tenant, connection->backend->id);
  rig_sleep_ms (5);
  rig_answer (connection, request, "200 OK", "X-Server-Load: 0,0,6\r\n", "entry");
}

/* Publishes a configuration with these keys of the tenant school. */
static void
publish_config (int version, const char *keys)
{
  char text[2048];
  snprintf (
      text, sizeof (text),
      "{\"version\":%d,\"routes\":[{\"name\":\"fetch\",\"host\":\"shop.example\","
      "\"prefix\":\"/fetch/\",\"routeKind\":\"safe\",\"timeoutMs\":3000,"
      "\"targetLatencyMs\":500,\"priority\":2,\"service\":\"studio\",\"maxAttempts\":2,"
      "\"public\":false}],\"services\":[{\"name\":\"studio\",\"healthPath\":\"/health\","
      "\"maxConns\":110,\"protocol\":\"h1\",\"tls\":false,\"coldStartS\":3.0,"
      "\"coldPerS\":0.0}],\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":262144,"
      "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000},\"tenants\":[{\"name\":"
      "\"school\",\"apiKeys\":[%s],\"priority\":1,\"ratePerS\":0,\"burst\":0}]}",
      version, keys);
  rig_store_put ("op/config", text);
}

/* Sends a request with the key that is taken away. Returns the status of its answer. */
static int
call_with_key (const rig_host_t *host, rig_message_t *answer)
{
  static int count;
  char request[512];
  int number = __atomic_add_fetch (&count, 1, __ATOMIC_RELAXED);
  snprintf (request, sizeof (request),
            "GET /fetch/1 HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: a-%d\r\n"
            "X-Deadline-Ms: 2000\r\nAuthorization: Token key-two\r\n\r\n",
            number);
  int64_t sent_ms = rig_now_ms ();
  int status = rig_call (host->callers, request, answer, 2500);
  int64_t age_ms = acknowledged_ms > 0 ? sent_ms - acknowledged_ms : 0;
  bool is_late = status == 200 && age_ms > CONFIG_APPLY_MS;
  late_runs += is_late;
  rig_record ("sent id=a-%d host=%s %lld ms after the acknowledgement: %d%s", number,
              host->ip, (long long)age_ms, status,
              is_late ? " RUN WITH A KEY THAT WAS TAKEN AWAY" : "");
  return status;
}

/* Returns the host of a zone that read the store last. */
static int
find_reader (int first)
{
  int reader = first;
  for (int i = first; i < first + ZONE_HOSTS; i++)
    {
      if (last_read_of (i) > last_read_of (reader))
        reader = i;
    }
  return reader;
}

/* Waits for the next read of a host. */
static void
wait_for_read (int index)
{
  int64_t before_ms = last_read_of (index);
  int64_t until_ms = rig_now_ms () + 5000;
  while (last_read_of (index) == before_ms)
    {
      if (rig_now_ms () > until_ms)
        rig_fail ("a host has stopped reading the store");
      rig_sleep_ms (1);
    }
}

/* Returns the time from the read of one host to the next one of another. */
static int64_t
gap_ms (int from, int to)
{
  wait_for_read (from);
  int64_t from_ms = last_read_of (from);
  wait_for_read (to);
  return last_read_of (to) - from_ms;
}

int
main (int argc, char **argv)
{
  rig_open (argc > 1 ? argv[1] : ".");
  rig_message_t *answer = calloc (1, sizeof (*answer));
  rig_store_observe (on_read);
  for (int i = 0; i < 2 * ZONE_HOSTS; i++)
    case_hosts[i] = rig_host_add (i < ZONE_HOSTS ? "zone-a" : "zone-b");
  publish_config (3, "\"key-one\",\"key-two\"");
  rig_backend_start ("studio", "zone-a", "101", on_request);
  rig_backend_start ("studio", "zone-b", "102", on_request);
  rig_start_hosts ();
  rig_wait_ready ();
  rig_sleep_ms (STABLE_MS);
  int first = find_reader (0), second = find_reader (ZONE_HOSTS);
  if (gap_ms (first, second) > gap_ms (second, first))
    {
      int other = first;
      first = second;
      second = other;
    }
  int64_t gap = gap_ms (first, second);
  if (gap < GAP_MIN_MS || gap > GAP_MAX_MS)
    rig_fail ("the hosts read the store at times that do not fit");
  int zone_start = first < ZONE_HOSTS ? 0 : ZONE_HOSTS;
  for (int i = zone_start; i < zone_start + ZONE_HOSTS; i++)
    {
      if (call_with_key (case_hosts[i], answer) != 200)
        rig_fail ("a host does not serve before the change");
    }
  wait_for_read (first);
  rig_sleep_ms (20);
  publish_config (7, "\"key-one\"");
  acknowledged_ms = rig_now_ms ();
  rig_record ("version 7 acknowledged: key-two is taken away; %s has just read the store,"
              " %s reads it %lld ms later",
              case_hosts[first]->ip, case_hosts[second]->ip, (long long)gap);
  wait_for_read (second);
  rig_sleep_ms (TOLD_MS);
  /* A stopped process answers nothing, like a machine without power. */
  if (rig_has_trouble ())
    {
      rig_signal (case_hosts[first], SIGSTOP);
      rig_signal (case_hosts[second], SIGSTOP);
    }
  int64_t dark_since_ms = rig_now_ms ();
  bool is_dark = rig_has_trouble ();
  while (rig_now_ms () < acknowledged_ms + WATCHED_MS)
    {
      for (int i = zone_start; i < zone_start + ZONE_HOSTS; i++)
        {
          if (i != first)
            call_with_key (case_hosts[i], answer);
        }
      if (is_dark && rig_now_ms () >= dark_since_ms + DARK_MS)
        {
          rig_host_kill (case_hosts[first]);
          rig_host_kill (case_hosts[second]);
          rig_host_start (case_hosts[first]);
          rig_host_start (case_hosts[second]);
          is_dark = false;
        }
      rig_sleep_ms (CALL_INTERVAL_MS);
    }
  rig_record ("requests run with the key more than %d ms after the acknowledgement: %d",
              CONFIG_APPLY_MS, late_runs);
  free (answer);
  return rig_finish (late_runs == 0);
}
