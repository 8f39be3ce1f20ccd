/* Shows whether machines in touch keep to DRAIN when one other machine of their zone, the
 * one that reads the store for it, freezes while servers leave that never report
 * `draining`. */

#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "rig.h"

#define MACHINES 3
#define SHARDS 20
#define SHARD_SERVERS (2 * SHARDS)
#define STUDIO_SERVERS 5
#define SERVERS (SHARD_SERVERS + STUDIO_SERVERS)
/* 5 of the 40 servers of the shards, a share of 0.125; that of scale_in is 0.13. */
#define LEAVING 5
#define DRAIN_S 3.0
#define FREEZE_S 4.0
#define CONSUMERS 6

static machine_t machines[MACHINES];
static server_t servers[SERVERS];
static volatile int stopped;
static volatile int frozen = -1; /* Index of the frozen machine. */
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static int late_count[MACHINES];
static int statuses[MACHINES][600];

/* Server callback: counts requests that arrive too late, by the machine that the consumer
 * connected to, which the id names. */
static void
on_arrival (server_t *server, const char *attempt_id, double at)
{
  int machine = attempt_id[0] - '0';
  if (server->gone == 0 || machine < 0 || machine >= MACHINES)
    return;
  double age = at - server->gone;
  pthread_mutex_lock (&lock);
  bool is_late = age > DRAIN_S;
  late_count[machine] += is_late;
  pthread_mutex_unlock (&lock);
  record ("request %s from %s reaches %s %.0f ms after its removal%s", attempt_id,
          machines[machine].name, server->id, age * 1000.0, is_late ? "  LATE" : "");
}

/* Consumer thread: sends searches to one machine until the end. */
static void *
run_consumer (void *argument)
{
  int index = (int)(size_t)argument, machine = index % MACHINES;
  char id[32];
  for (unsigned count = 0; !stopped; count++)
    {
      if (machine == frozen)
        {
          wait_s (0.1); /* The platform takes a frozen machine out of rotation. */
          continue;
        }
      snprintf (id, sizeof (id), "%dc%dn%u", machine, index, count);
      int status = consumer_get (&machines[machine], "/search/q", id, 800);
      pthread_mutex_lock (&lock);
      statuses[machine][status >= 0 && status < 600 ? status : 0]++;
      pthread_mutex_unlock (&lock);
      wait_s (0.05);
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
      servers_beat (servers, SERVERS);
    }
  return NULL;
}

static void
publish_configuration (void)
{
  char text[8000], *end = text;
  end += sprintf (end, "{\"version\":7,\"routes\":[{\"name\":\"r1\",\"host\":"
                       "\"shop.example\",\"prefix\":\"/search/\",\"routeKind\":\"safe\","
                       "\"timeoutMs\":800,\"targetLatencyMs\":120,\"priority\":1,"
                       "\"maxAttempts\":2,\"topK\":20,\"minCoverage\":0.89,"
                       "\"public\":true,\"gather\":[");
  for (int i = 0; i < SHARDS; i++)
    end += sprintf (end, "%s\"shard%d\"", i ? "," : "", i);
  end += sprintf (end, "]},{\"name\":\"r2\",\"host\":\"shop.example\",\"prefix\":"
                       "\"/fetch/\",\"routeKind\":\"safe\",\"timeoutMs\":2000,"
                       "\"targetLatencyMs\":400,\"priority\":2,\"maxAttempts\":2,"
                       "\"public\":true,\"service\":\"studio\"}],\"services\":[");
  for (int i = 0; i < SHARDS; i++)
    end += sprintf (end,
                    "{\"name\":\"shard%d\",\"healthPath\":\"/health\","
                    "\"maxConns\":26,\"coldStartS\":3.0,\"coldPerS\":0.0},",
                    i);
  sprintf (end, "{\"name\":\"studio\",\"healthPath\":\"/health\",\"maxConns\":49,"
                "\"coldStartS\":3.0,\"coldPerS\":0.0}],\"limits\":{\"maxHeaderBytes\":"
                "16384,\"maxBodyBytes\":262144,\"headerTimeoutMs\":3000,"
                "\"idleTimeoutMs\":15000}}");
  store_put ("op/config", text);
}

/* Returns the machine of zone a that reads the store for the zone: the only one of them
 * with a read in the last two seconds. */
static int
find_reader (void)
{
  for (int tries = 0; tries < 40; tries++)
    {
      double now = now_s ();
      bool reads[2] = { now - machines[0].last_read < 2.0,
                        now - machines[1].last_read < 2.0 };
      if (reads[0] != reads[1])
        return reads[0] ? 0 : 1;
      wait_s (0.25);
    }
  fail_setup ("no single reader in the zone");
}

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
      snprintf (machines[i].ip, sizeof (machines[i].ip), "127.78.%d.%d",
                (int)(getpid () % 250), i + 1);
    }
  store_start (machines, MACHINES);
  for (int i = 0; i < SERVERS; i++)
    {
      server_t *server = &servers[i];
      bool is_shard = i < SHARD_SERVERS;
      snprintf (server->id, sizeof (server->id), "i-%04d", i);
      snprintf (server->service, sizeof (server->service),
                is_shard ? "shard%d" : "studio", i / 2);
      snprintf (server->zone, sizeof (server->zone), i % 2 ? "b" : "a");
      server->work_ms = is_shard ? 5 : 30;
    }
  servers_start (servers, SERVERS, on_arrival);
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
  wait_s (2.0);
  for (size_t i = 0; i < CONSUMERS; i++)
    pthread_create (&thread, NULL, run_consumer, (void *)i);
  wait_s (8.0);
  int reader = find_reader ();
  record ("%s reads the store for zone a", machines[reader].name);
  /* The next read may be up to a second away; the servers leave soon after one. */
  double last_read = machines[reader].last_read;
  while (machines[reader].last_read == last_read)
    wait_s (0.005);
  wait_s (0.1);
  for (int i = 0; i < LEAVING; i++)
    {
      server_t *server =
          &servers[(size_t)4 * (size_t)i]; /* Of different shards, in zone a. */
      char key[64];
      snprintf (key, sizeof (key), "servers/%.23s", server->id);
      server->gone = store_remove (key);
      record ("entry of %s removed", server->id);
    }
  if (has_trouble)
    {
      machine_signal (&machines[reader], SIGSTOP);
      frozen = reader;
    }
  wait_s (FREEZE_S);
  if (has_trouble)
    machine_signal (&machines[reader], SIGCONT);
  wait_s (2.0);
  stopped = 1;
  int late = 0, served = 0;
  for (int i = 0; i < MACHINES; i++)
    {
      record ("%s: %d answers 200, %d answers 503, %d late requests%s", machines[i].name,
              statuses[i][200], statuses[i][503], late_count[i],
              i == frozen ? " (frozen, not judged)" : "");
      served += statuses[i][200];
      if (i != frozen)
        late += late_count[i];
    }
  if (served < 100)
    fail_setup ("too few searches were served");
  record ("DRAIN %s: %d requests reached a removed server more than %.0f ms after the "
          "store had accepted its removal, from machines in touch",
          late ? "broken" : "held", late, DRAIN_S * 1000.0);
  printf ("DRAIN %s: %d late requests\n", late ? "broken" : "held", late);
  return late ? 1 : 0;
}
