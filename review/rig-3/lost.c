/* Shows whether a machine keeps the connections of requests that it has passed on while a
 * tenant sends many times its usual on connections with one more request behind the
 * running one. */

#include <arpa/inet.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include "rig.h"

#define SERVERS 14
#define LONG_SERVERS 12 /* The others answer the first request of each connection. */
/* A tenant's usual connections, and 7.5 times as many: `hot_tenant` with x 7.5. */
#define USUAL_CONSUMERS 44
#define HOT_CONSUMERS 330
/* For how long the tenant presses. */
#define PRESSING_S 6.5
#define BODY_BYTES 250000 /* `maxBodyBytes` is 262,144. */
#define DEADLINE_MS 3000
#define IDS_MAX 20000

static machine_t machines[1];
static server_t servers[SERVERS];
static volatile int stopped;
static double pressing_from;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static _Atomic bool has_arrived[IDS_MAX];
static _Atomic int id_count;
static int lost_count, unread_count, statuses[600];
static char body[BODY_BYTES];

/* Server callback: notes that a request was passed on. */
static void
on_arrival (server_t *server, const char *attempt_id, double at)
{
  (void)server;
  (void)at;
  int number = atoi (attempt_id);
  if (number > 0 && number < IDS_MAX)
    has_arrived[number] = true;
}

/* Reads one answer; returns its status, or 0 without one. */
static int
read_answer (int fd, bool *closes)
{
  char head[4096], text[64];
  int status = 0;
  if (!read_head (fd, head, sizeof (head)) ||
      sscanf (head, "HTTP/1.1 %d", &status) != 1 || status < 0 || status >= 600)
    return 0;
  header (head, "Connection", text, sizeof (text));
  *closes = strcasecmp (text, "close") == 0;
  header (head, "Content-Length", text, sizeof (text));
  return skip_body (fd, strtol (text, NULL, 10)) ? status : 0;
}

/* Writes the head of a request and returns its number. */
static int
write_head (char *text, size_t size, const char *method, const char *path, int body_bytes)
{
  int number = ++id_count;
  snprintf (text, size,
            "%s %s HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: %d\r\nX-Deadline-Ms: "
            "%d\r\nContent-Length: %d\r\n\r\n",
            method, path, number, DEADLINE_MS, body_bytes);
  return number;
}

/* Notes the status of an answer. A request without one is lost if it was passed on. */
static void
note_end (int number, int status)
{
  pthread_mutex_lock (&lock);
  statuses[status]++;
  bool is_lost = status == 0 && !stopped && has_arrived[number];
  lost_count += is_lost;
  unread_count += status == 0 && !stopped && !has_arrived[number];
  pthread_mutex_unlock (&lock);
  if (is_lost)
    record ("request %d was passed on, and its connection was closed without an answer",
            number);
}

/* Sends a quick request, then a long one with an upload behind it, on one connection.
 * Returns FALSE once the connection has ended. */
static bool
use_connection (int fd)
{
  char first[512], second[512];
  bool closes = false;
  int quick = write_head (first, sizeof (first), "GET", "/quick/q", 0);
  if (!send_all (fd, first, strlen (first)))
    return false;
  int status = read_answer (fd, &closes);
  note_end (quick, status);
  if (status == 0 || closes)
    return false;
  /* The tenant presses from one moment on. */
  if (now_s () < pressing_from)
    wait_s (pressing_from - now_s ());
  int running = write_head (first, sizeof (first), "GET", "/long/q", 0);
  int behind = write_head (second, sizeof (second), "POST", "/long/upload", BODY_BYTES);
  if (!send_all (fd, first, strlen (first)))
    return false;
  wait_s (0.3);
  send (fd, second, strlen (second), MSG_NOSIGNAL);
  ssize_t sent = send (fd, body, sizeof (body), MSG_NOSIGNAL | MSG_DONTWAIT);
  status = read_answer (fd, &closes);
  note_end (running, status);
  if (status == 0 || closes)
    return false;
  size_t done = sent > 0 ? (size_t)sent : 0;
  if (!send_all (fd, body + done, sizeof (body) - done))
    return false;
  status = read_answer (fd, &closes);
  note_end (behind, status);
  return status != 0 && !closes;
}

/* Consumer thread: uses one connection after the other. */
static void *
run_consumer (void *argument)
{
  (void)argument;
  while (!stopped)
    {
      int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
      struct sockaddr_in address = { .sin_family = AF_INET };
      address.sin_port = htons ((uint16_t)machines[0].callers_port);
      inet_pton (AF_INET, machines[0].ip, &address.sin_addr);
      struct timeval limit = { DEADLINE_MS / 1000 + 2, 0 };
      setsockopt (fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof (limit));
      if (connect (fd, (struct sockaddr *)&address, sizeof (address)) == 0)
        {
          while (!stopped && use_connection (fd))
            ;
        }
      close (fd);
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
  static const char *const names[] = { "long", "quick" };
  char text[4000], *end = text;
  end += sprintf (end, "{\"version\":7,\"routes\":[");
  for (int i = 0; i < 2; i++)
    end +=
        sprintf (end,
                 "%s{\"name\":\"r-%s\",\"host\":\"shop.example\",\"prefix\":\"/%s/\","
                 "\"routeKind\":\"safe\",\"timeoutMs\":3000,\"targetLatencyMs\":400,"
                 "\"priority\":2,\"maxAttempts\":2,\"public\":true,\"service\":\"%s\"}",
                 i > 0 ? "," : "", names[i], names[i], names[i]);
  end += sprintf (end, "],\"services\":[");
  for (int i = 0; i < 2; i++)
    end += sprintf (end,
                    "%s{\"name\":\"%s\",\"healthPath\":\"/health\",\"maxConns\":110,"
                    "\"coldStartS\":3.0,\"coldPerS\":0.0}",
                    i > 0 ? "," : "", names[i]);
  sprintf (end, "],\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":262144,"
                "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}");
  store_put ("op/config", text);
}

/* Ends the process when the rig exits. */
static void
end_machines (void)
{
  machines_end (machines, 1);
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
  snprintf (machines[0].name, sizeof (machines[0].name), "front-0");
  snprintf (machines[0].zone, sizeof (machines[0].zone), "a");
  snprintf (machines[0].ip, sizeof (machines[0].ip), "127.81.%d.1",
            (int)(getpid () % 250));
  store_start (machines, 1);
  for (int i = 0; i < SERVERS; i++)
    {
      server_t *server = &servers[i];
      snprintf (server->id, sizeof (server->id), "i-%04d", i);
      snprintf (server->service, sizeof (server->service),
                i < LONG_SERVERS ? "long" : "quick");
      snprintf (server->zone, sizeof (server->zone), i % 2 ? "b" : "a");
      server->work_ms = i < LONG_SERVERS ? 1500 : 2;
    }
  servers_start (servers, SERVERS, on_arrival);
  publish_configuration ();
  char path[512];
  snprintf (path, sizeof (path), "%s/front-0.conf", directory);
  settings_write (&machines[0], &machines[0], free_peer_port (machines, 1), path);
  machine_start (&machines[0], path);
  pthread_t thread;
  pthread_create (&thread, NULL, run_beats, NULL);
  wait_s (3.0);
  int consumers = has_trouble ? HOT_CONSUMERS : USUAL_CONSUMERS;
  record ("%d consumers", consumers);
  pressing_from = now_s () + 1.0;
  pthread_attr_t attributes;
  pthread_attr_init (&attributes);
  pthread_attr_setstacksize (&attributes, (size_t)256 * 1024);
  for (int i = 0; i < consumers; i++)
    {
      if (pthread_create (&thread, &attributes, run_consumer, NULL) != 0)
        fail_setup ("no thread");
    }
  wait_s (1.0 + PRESSING_S);
  stopped = 1;
  pthread_mutex_lock (&lock);
  record ("%d answers 200, %d answers 503, %d answers 504, %d closed without an answer "
          "before they were passed on",
          statuses[200], statuses[503], statuses[504], unread_count);
  if (statuses[200] < 50)
    fail_setup ("too few requests were served");
  bool broken = lost_count > 3;
  record ("LOST %s: %d requests", broken ? "broken" : "held", lost_count);
  printf ("LOST %s: %d requests (200: %d, 503: %d, 504: %d, unread: %d)\n",
          broken ? "broken" : "held", lost_count, statuses[200], statuses[503],
          statuses[504], unread_count);
  pthread_mutex_unlock (&lock);
  return broken ? 1 : 0;
}
