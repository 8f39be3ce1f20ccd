/* Shows whether machines use servers again whose entries were odd for a moment. */

#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "rig.h"

#define MACHINES 3
#define ROUTES 2
#define SERVERS 4
#define CONSUMERS 6
#define HEARTBEAT_S 1.2
/* The bounds of the small sites. */
#define CONFIG_APPLY_S 3.0
#define STABLE_S 4.0
#define JUDGED_S 8.0

static machine_t machines[MACHINES];
static server_t servers[SERVERS]; /* The first two serve the first route. */
static volatile int stopped, judged;
static volatile int route_count = 1;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static int sent_count[ROUTES], served_count[ROUTES];

/* Server callback: records which server ran a request. */
static void
on_arrival (server_t *server, const char *attempt_id, double at)
{
  (void)at;
  record ("%s runs %s", server->id, attempt_id);
}

/* Consumer thread: sends fetches to one machine, on each route in turn. */
static void *
run_consumer (void *argument)
{
  static const char *const paths[ROUTES] = { "/first/q", "/second/q" };
  int index = (int)(size_t)argument, machine = index % MACHINES;
  char id[64];
  for (int count = 0; !stopped; count++)
    {
      int route = route_count > 1 && count % ROUTES ? 1 : 0;
      bool counts = judged != 0;
      snprintf (id, sizeof (id), "%dc%dn%d", machine, index, count);
      int status = consumer_get (&machines[machine], paths[route], id, 2000);
      record ("%s: %s at %s is answered %d", id, paths[route], machines[machine].name,
              status);
      pthread_mutex_lock (&lock);
      sent_count[route] += counts;
      served_count[route] += counts && status == 200;
      pthread_mutex_unlock (&lock);
      wait_s (0.1);
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
      wait_s (HEARTBEAT_S);
      servers_beat (servers, SERVERS);
    }
  return NULL;
}

/* Publishes a configuration with the first routes. */
static void
publish_configuration (int version, int routes)
{
  static const char *const names[ROUTES] = { "first", "second" };
  char text[4000], *end = text;
  end += sprintf (end, "{\"version\":%d,\"routes\":[", version);
  for (int i = 0; i < routes && i < ROUTES; i++)
    end +=
        sprintf (end,
                 "%s{\"name\":\"r-%s\",\"host\":\"shop.example\",\"prefix\":\"/%s/\","
                 "\"routeKind\":\"safe\",\"timeoutMs\":2000,\"targetLatencyMs\":400,"
                 "\"priority\":2,\"maxAttempts\":2,\"public\":true,\"service\":\"%s\"}",
                 i > 0 ? "," : "", names[i], names[i], names[i]);
  end += sprintf (end, "],\"services\":[");
  for (int i = 0; i < ROUTES; i++)
    end += sprintf (end,
                    "%s{\"name\":\"%s\",\"healthPath\":\"/health\",\"maxConns\":49,"
                    "\"coldStartS\":3.0,\"coldPerS\":0.0}",
                    i > 0 ? "," : "", names[i]);
  sprintf (end, "],\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":262144,"
                "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}");
  store_put ("op/config", text);
  record ("configuration %d with %d routes accepted", version, routes);
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
      snprintf (machines[i].ip, sizeof (machines[i].ip), "127.80.%d.%d",
                (int)(getpid () % 250), i + 1);
    }
  store_start (machines, MACHINES);
  for (int i = 0; i < SERVERS; i++)
    {
      server_t *server = &servers[i];
      snprintf (server->id, sizeof (server->id), "i-%04d", i);
      snprintf (server->service, sizeof (server->service), i < 2 ? "first" : "second");
      snprintf (server->zone, sizeof (server->zone), i % 2 ? "b" : "a");
      server->work_ms = 5;
    }
  servers_start (servers, SERVERS, on_arrival);
  publish_configuration (7, 1);
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
  wait_s (3.0);
  publish_configuration (9, ROUTES);
  wait_s (CONFIG_APPLY_S);
  route_count = ROUTES;
  wait_s (1.0);
  for (int i = 2; has_trouble && i < SERVERS; i++)
    {
      write_odd_entry (&servers[i]);
      record ("another writer wrote the entry of %s without seq", servers[i].id);
    }
  /* The servers write their own entries again within a heartbeat interval; all machines
   * know them CONFIG_APPLY_S later. */
  wait_s (HEARTBEAT_S + CONFIG_APPLY_S + STABLE_S);
  judged = 1;
  wait_s (JUDGED_S);
  stopped = 1;
  wait_s (0.3);
  pthread_mutex_lock (&lock);
  double share[ROUTES];
  for (int i = 0; i < ROUTES; i++)
    {
      if (sent_count[i] < 20)
        fail_setup ("too few requests");
      share[i] = (double)served_count[i] / sent_count[i];
      record ("route %d: %d of %d requests served", i + 1, served_count[i],
              sent_count[i]);
      printf ("route %d: %d of %d requests served\n", i + 1, served_count[i],
              sent_count[i]);
    }
  pthread_mutex_unlock (&lock);
  if (share[0] < 0.9)
    fail_setup ("the first route is not served");
  bool broken = share[1] < 0.25 * share[0];
  record ("CONFIG %s", broken ? "broken" : "held");
  printf ("CONFIG %s\n", broken ? "broken" : "held");
  return broken ? 1 : 0;
}
