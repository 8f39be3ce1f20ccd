/* Shows whether machines keep to FAILBACK for a server that becomes cold a second time.
 */

#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "rig.h"

#define MACHINES 3
#define SERVERS 3
#define COLD_PER_S 4
#define COLD_START_S 8
/* The bounds of the small sites. */
#define COLD_OVERAGE 1.5
#define COLD_SLACK 5.0
#define CONSUMERS 6
#define ARRIVALS_MAX 20000
/* A cold time is judged only from this long after the store has accepted it: the time
 * that the pages give to a change of the configuration or to a drain. */
#define KNOWN_AFTER_S 3.0

typedef struct
{
  double sent, arrived;
  int machine;
} arrival_record_t;

static machine_t machines[MACHINES];
static server_t servers[SERVERS];
static volatile int stopped;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static arrival_record_t arrivals[ARRIVALS_MAX]; /* At the cold server. */
static int arrival_count;
static int served_count;

/* Server callback: notes the requests that reach the cold server. The id holds the
 * machine that the consumer connected to and the time at which it sent the request. */
static void
on_arrival (server_t *server, const char *attempt_id, double at)
{
  int machine = 0;
  double sent = 0;
  if (server != &servers[0] || sscanf (attempt_id, "%d-%lf", &machine, &sent) != 2)
    return;
  pthread_mutex_lock (&lock);
  if (arrival_count < ARRIVALS_MAX)
    arrivals[arrival_count++] =
        (arrival_record_t){ .sent = sent, .arrived = at, .machine = machine };
  pthread_mutex_unlock (&lock);
  if (server->cold_until > at)
    record ("request %s from %s reaches the cold server", attempt_id,
            machines[machine].name);
}

/* Consumer thread: sends fetches to one machine until the end. */
static void *
run_consumer (void *argument)
{
  int index = (int)(size_t)argument, machine = index % MACHINES;
  char id[64];
  while (!stopped)
    {
      snprintf (id, sizeof (id), "%d-%.6f-%d", machine, now_s (), index);
      int status = consumer_get (&machines[machine], "/fetch/q", id, 2000);
      pthread_mutex_lock (&lock);
      served_count += status == 200;
      pthread_mutex_unlock (&lock);
      wait_s (0.02);
    }
  return NULL;
}

/* Thread: servers write their entries each heartbeat interval. */
static void *
run_beats (void *argument)
{
  (void)argument;
  while (!stopped)
    {
      wait_s (1.2);
      servers_beat (&servers[1], SERVERS - 1);
      if (servers[0].port)
        servers_beat (&servers[0], 1);
    }
  return NULL;
}

static void
publish_configuration (void)
{
  char text[2000];
  snprintf (text, sizeof (text),
            "{\"version\":7,\"routes\":[{\"name\":\"r2\",\"host\":\"shop.example\","
            "\"prefix\":\"/fetch/\",\"routeKind\":\"safe\",\"timeoutMs\":2000,"
            "\"targetLatencyMs\":400,\"priority\":2,\"maxAttempts\":2,\"public\":true,"
            "\"service\":\"studio\"}],\"services\":[{\"name\":\"studio\",\"healthPath\":"
            "\"/health\",\"maxConns\":49,\"coldStartS\":%d,\"coldPerS\":%d}],"
            "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":262144,"
            "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}",
            COLD_START_S, COLD_PER_S);
  store_put ("op/config", text);
}

/* Makes the server cold, writes its entry and waits until it is warm again. Returns the
 * greatest number of requests in one second of the judged time. */
static int
play_cold_time (const char *name)
{
  double bound = COLD_PER_S * COLD_OVERAGE + COLD_SLACK;
  servers[0].cold_until = now_s () + COLD_START_S;
  double accepted = servers_beat (&servers[0], 1);
  record ("%s: the store has accepted that %s is cold for %d s", name, servers[0].id,
          COLD_START_S);
  double from = accepted + KNOWN_AFTER_S, until = servers[0].cold_until;
  wait_s (until - now_s ());
  int most = 0, per_machine[MACHINES] = { 0 };
  pthread_mutex_lock (&lock);
  for (int i = 0; i < arrival_count; i++)
    {
      double start = arrivals[i].sent;
      if (start < from || start + 1.0 > until)
        continue;
      per_machine[arrivals[i].machine]++;
      int count = 0;
      for (int k = 0; k < arrival_count; k++)
        count += arrivals[k].sent >= start && arrivals[k].arrived <= start + 1.0;
      if (count > most)
        most = count;
    }
  pthread_mutex_unlock (&lock);
  record ("%s: at most %d requests in one second, allowed %.0f; sent by %s %d, %s %d, %s "
          "%d",
          name, most, bound, machines[0].name, per_machine[0], machines[1].name,
          per_machine[1], machines[2].name, per_machine[2]);
  printf ("%s: at most %d requests in one second, allowed %.0f\n", name, most, bound);
  return (double)most > bound;
}

/* Ends the processes when the rig exits. */
static void
end_machines (void)
{
  machines_end (machines, MACHINES);
}

int
main (void)
{
  const char *trouble_text = getenv ("TROUBLE"), *directory = getenv ("RIG_TEMP");
  bool has_trouble = !trouble_text || strcmp (trouble_text, "0") != 0;
  if (!directory)
    fail_setup ("RIG_TEMP is not set");
  signal (SIGPIPE, SIG_IGN);
  atexit (end_machines);
  record ("trouble: %s", has_trouble ? "yes" : "no");
  for (int i = 0; i < MACHINES; i++)
    {
      snprintf (machines[i].name, sizeof (machines[i].name), "front-%d", i);
      snprintf (machines[i].zone, sizeof (machines[i].zone), i < 2 ? "a" : "b");
      snprintf (machines[i].ip, sizeof (machines[i].ip), "127.79.%d.%d",
                (int)(getpid () % 250), i + 1);
    }
  store_start (machines, MACHINES);
  for (int i = 0; i < SERVERS; i++)
    {
      server_t *server = &servers[i];
      snprintf (server->id, sizeof (server->id), "i-%04d", i);
      snprintf (server->service, sizeof (server->service), "studio");
      snprintf (server->zone, sizeof (server->zone), i == 1 ? "b" : "a");
      server->work_ms = 5;
    }
  servers_start (&servers[1], SERVERS - 1, on_arrival);
  publish_configuration ();
  int peer_port = free_peer_port (machines, MACHINES);
  for (int i = 0; i < MACHINES; i++)
    {
      char path[512];
      snprintf (path, sizeof (path), "%s/%s.conf", directory, machines[i].name);
      settings_write (&machines[i], &machines[0], peer_port, path);
      machine_start (&machines[i], path);
    }
  pthread_t thread;
  pthread_create (&thread, NULL, run_beats, NULL);
  wait_s (3.0);
  for (size_t i = 0; i < CONSUMERS; i++)
    pthread_create (&thread, NULL, run_consumer, (void *)i);
  wait_s (4.0);
  /* The server starts during traffic, so it is cold at first. */
  servers[0].cold_until = now_s () + COLD_START_S;
  servers_start (servers, 1, on_arrival);
  int broken = play_cold_time ("first cold time");
  wait_s (4.0);
  if (has_trouble)
    broken += play_cold_time ("second cold time");
  stopped = 1;
  if (served_count < 100)
    fail_setup ("too few requests were served");
  record ("FAILBACK %s", broken ? "broken" : "held");
  printf ("FAILBACK %s\n", broken ? "broken" : "held");
  return broken ? 1 : 0;
}
