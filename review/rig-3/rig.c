#define _GNU_SOURCE
#include "rig.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/tcp.h>
#include <pthread.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#define ITEMS_MAX 256
#define CHANGES_MAX 65536
#define STORE_ANSWER_S 0.004

static double started;
static pthread_mutex_t record_lock = PTHREAD_MUTEX_INITIALIZER;

static double
clock_s (void)
{
  struct timespec now;
  clock_gettime (CLOCK_MONOTONIC, &now);
  return (double)now.tv_sec + (double)now.tv_nsec / 1e9;
}

double
now_s (void)
{
  if (started == 0)
    started = clock_s ();
  return clock_s () - started;
}

void
wait_s (double seconds)
{
  struct timespec left = { (time_t)seconds, (long)((seconds - (time_t)seconds) * 1e9) };
  while (nanosleep (&left, &left) != 0 && errno == EINTR)
    ;
}

/* Adds a line to record.txt in the working directory. */
void
record (const char *format, ...)
{
  static FILE *file;
  pthread_mutex_lock (&record_lock);
  if (!file)
    file = fopen ("record.txt", "w");
  if (file)
    {
      va_list arguments;
      va_start (arguments, format);
      fprintf (file, "%8.3f ", now_s ());
      vfprintf (file, format, arguments);
      fputc ('\n', file);
      fflush (file);
      va_end (arguments);
    }
  pthread_mutex_unlock (&record_lock);
}

/* Ends the rig because the case cannot run. */
void
fail_setup (const char *what)
{
  record ("cannot run: %s", what);
  fprintf (stderr, "cannot run: %s\n", what);
  exit (2);
}

int
listen_on (const char *ip, int *port)
{
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  struct sockaddr_in address = { .sin_family = AF_INET };
  inet_pton (AF_INET, ip, &address.sin_addr);
  socklen_t size = sizeof (address);
  if (fd < 0 || bind (fd, (struct sockaddr *)&address, size) != 0 ||
      listen (fd, 256) != 0 || getsockname (fd, (struct sockaddr *)&address, &size) != 0)
    fail_setup ("no listener");
  *port = ntohs (address.sin_port);
  return fd;
}

/* Starts a detached thread. */
static void
start_thread (void *(*run) (void *), void *argument)
{
  pthread_t thread;
  pthread_attr_t attributes;
  pthread_attr_init (&attributes);
  pthread_attr_setstacksize (&attributes, (size_t)256 * 1024);
  pthread_attr_setdetachstate (&attributes, PTHREAD_CREATE_DETACHED);
  if (pthread_create (&thread, &attributes, run, argument) != 0)
    fail_setup ("no thread");
  pthread_attr_destroy (&attributes);
}

/* Reads a message head, without a body, into text. Returns FALSE at the end of input. */
bool
read_head (int fd, char *text, size_t size)
{
  size_t length = 0;
  while (length + 1 < size)
    {
      ssize_t got = recv (fd, text + length, 1, 0);
      if (got <= 0)
        return false;
      text[++length] = '\0';
      if (length >= 4 && memcmp (text + length - 4, "\r\n\r\n", 4) == 0)
        return true;
    }
  return false;
}

bool
send_all (int fd, const char *text, size_t size)
{
  while (size > 0)
    {
      ssize_t sent = send (fd, text, size, MSG_NOSIGNAL);
      if (sent <= 0)
        return false;
      text += sent;
      size -= (size_t)sent;
    }
  return true;
}

/* Reads and discards a body. Returns FALSE at the end of input. */
bool
skip_body (int fd, long size)
{
  char bytes[16384];
  while (size > 0)
    {
      size_t wanted = size < (long)sizeof (bytes) ? (size_t)size : sizeof (bytes);
      ssize_t got = recv (fd, bytes, wanted, 0);
      if (got <= 0)
        return false;
      size -= got;
    }
  return true;
}

/* Copies the value of a header field; an empty text without it. */
void
header (const char *head, const char *name, char *value, size_t size)
{
  value[0] = '\0';
  size_t length = strlen (name);
  for (const char *line = strstr (head, "\r\n"); line; line = strstr (line, "\r\n"))
    {
      line += 2;
      if (strncasecmp (line, name, length) != 0 || line[length] != ':')
        continue;
      line += length + 1;
      while (*line == ' ')
        line++;
      size_t end = strcspn (line, "\r\n");
      snprintf (value, size, "%.*s", (int)end, line);
      return;
    }
}

/* --- The store --- */

typedef struct
{
  char key[64];
  char value[8192];
  bool listed;
  int revision;
} item_t;

typedef struct
{
  int item;
  int revision;
  bool removed;
  char *value; /* As it was written. */
} change_t;

typedef struct
{
  int fd;
  machine_t *machine;
} store_client_t;

static pthread_mutex_t store_lock = PTHREAD_MUTEX_INITIALIZER;
static item_t items[ITEMS_MAX];
static int item_count;
static change_t changes[CHANGES_MAX];
static int change_count;
static int store_revision = 1;

static char *
base64 (const char *text)
{
  static const char digits[] =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  size_t size = strlen (text);
  char *out = malloc (size * 2 + 8), *end = out;
  for (size_t i = 0; i < size; i += 3)
    {
      uint32_t group = 0;
      for (size_t k = 0; k < 3; k++)
        group = group << 8 | (i + k < size ? (uint8_t)text[i + k] : 0);
      for (size_t k = 0; k < 4; k++)
        *end++ = i + k > size ? '=' : digits[group >> (18 - 6 * k) & 63];
    }
  *end = '\0';
  return out;
}

static item_t *
find_item (const char *key)
{
  for (int i = 0; i < item_count; i++)
    {
      if (strcmp (items[i].key, key) == 0)
        return &items[i];
    }
  if (item_count == ITEMS_MAX)
    fail_setup ("too many items");
  snprintf (items[item_count].key, sizeof (items[0].key), "%s", key);
  return &items[item_count++];
}

/* Adds a change of an item to the history, with the store locked. */
static void
add_change (item_t *item, bool removed)
{
  if (change_count == CHANGES_MAX)
    fail_setup ("too many changes");
  item->revision = ++store_revision;
  item->listed = !removed;
  changes[change_count++] = (change_t){ .item = (int)(item - items),
                                        .revision = store_revision,
                                        .removed = removed,
                                        .value = removed ? NULL : base64 (item->value) };
}

void
store_put (const char *key, const char *value)
{
  pthread_mutex_lock (&store_lock);
  item_t *item = find_item (key);
  snprintf (item->value, sizeof (item->value), "%s", value);
  add_change (item, false);
  pthread_mutex_unlock (&store_lock);
}

double
store_remove (const char *key)
{
  pthread_mutex_lock (&store_lock);
  add_change (find_item (key), true);
  double at = now_s ();
  pthread_mutex_unlock (&store_lock);
  return at;
}

static int
compare_items (const void *a, const void *b)
{
  return strcmp (items[*(const int *)a].key, items[*(const int *)b].key);
}

/* Writes the answer to kv-range (all items on one page) or kv-watch, with the store
 * locked. */
static void
write_body (FILE *out, const char *target)
{
  const char *after_text = strstr (target, "after=");
  const char *comma = "";
  if (strncmp (target, "/kv-watch", 9) == 0)
    {
      int after = after_text ? atoi (after_text + 6) : 0;
      fputs ("{\"events\":[", out);
      for (int i = 0; i < change_count; i++)
        {
          const change_t *change = &changes[i];
          if (change->revision <= after)
            continue;
          fprintf (out, "%s{\"key\":\"%s\",\"revision\":%d,", comma,
                   items[change->item].key, change->revision);
          if (change->removed)
            fputs ("\"removed\":true}", out);
          else
            fprintf (out, "\"created\":1,\"lease\":0,\"value\":\"%s\"}", change->value);
          comma = ",";
        }
      fprintf (out, "],\"asOf\":%d}", store_revision);
      return;
    }
  int order[ITEMS_MAX] = { 0 };
  for (int i = 0; i < item_count; i++)
    order[i] = i;
  qsort (order, (size_t)item_count, sizeof (order[0]), compare_items);
  fputs ("{\"items\":[", out);
  for (int i = 0; i < item_count; i++)
    {
      const item_t *item = &items[order[i]];
      if (!item->listed)
        continue;
      char *value = base64 (item->value);
      fprintf (out,
               "%s{\"key\":\"%s\",\"value\":\"%s\",\"revision\":%d,\"created\":1,"
               "\"lease\":0}",
               comma, item->key, value, item->revision);
      free (value);
      comma = ",";
    }
  fprintf (out, "],\"truncated\":false,\"asOf\":%d}", store_revision);
}

static void *
serve_store (void *argument)
{
  store_client_t client = *(store_client_t *)argument;
  free (argument);
  char head[4096], target[256];
  while (read_head (client.fd, head, sizeof (head)) &&
         sscanf (head, "GET %255s", target) == 1)
    {
      char *body = NULL;
      size_t size = 0;
      wait_s (STORE_ANSWER_S);
      FILE *out = open_memstream (&body, &size);
      pthread_mutex_lock (&store_lock);
      write_body (out, target);
      client.machine->last_read = now_s ();
      pthread_mutex_unlock (&store_lock);
      fclose (out);
      char start[128];
      int length = snprintf (start, sizeof (start),
                             "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                             "Content-Length: %zu\r\n\r\n",
                             size);
      bool sent =
          send_all (client.fd, start, (size_t)length) && send_all (client.fd, body, size);
      free (body);
      if (!sent)
        break;
    }
  close (client.fd);
  return NULL;
}

typedef struct
{
  int fd;
  machine_t *machine;
} store_listener_t;

static void *
accept_store (void *argument)
{
  store_listener_t *listener = argument;
  for (;;)
    {
      int fd = accept4 (listener->fd, NULL, NULL, SOCK_CLOEXEC);
      if (fd < 0)
        continue;
      int on = 1;
      setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof (on));
      store_client_t *client = malloc (sizeof (*client));
      *client = (store_client_t){ fd, listener->machine };
      start_thread (serve_store, client);
    }
  return NULL;
}

void
store_start (machine_t *machines, int count)
{
  for (int i = 0; i < count; i++)
    {
      store_listener_t *listener = malloc (sizeof (*listener));
      listener->machine = &machines[i];
      listener->fd = listen_on ("127.0.0.1", &machines[i].store_port);
      start_thread (accept_store, listener);
    }
}

/* --- Servers --- */

typedef struct
{
  int fd;
  server_t *server;
} server_client_t;

static arrival_t arrival_callback;

static void *
serve_client (void *argument)
{
  server_client_t client = *(server_client_t *)argument;
  free (argument);
  server_t *server = client.server;
  static _Atomic unsigned stamp_count;
  char head[8192], id[128], expected[64], size[24], answer[512];
  while (read_head (client.fd, head, sizeof (head)))
    {
      header (head, "X-Attempt-Id", id, sizeof (id));
      header (head, "X-Expect-Instance", expected, sizeof (expected));
      header (head, "Content-Length", size, sizeof (size));
      if (!skip_body (client.fd, strtol (size, NULL, 10)))
        break;
      int length;
      if (expected[0] && strcmp (expected, server->id) != 0)
        length = snprintf (answer, sizeof (answer),
                           "HTTP/1.1 421 Misdirected Request\r\nX-Instance-Id: %s\r\n"
                           "Content-Length: 0\r\n\r\n",
                           server->id);
      else
        {
          arrival_callback (server, id, now_s ());
          unsigned stamp = ++stamp_count;
          wait_s (server->work_ms / 1000.0);
          length = snprintf (answer, sizeof (answer),
                             "HTTP/1.1 200 OK\r\nX-Server-Stamp: %s.%u\r\n"
                             "X-Attempt-Id: %s\r\nX-Server-Load: 0,0,2\r\n"
                             "Content-Length: 16\r\n\r\n%016u",
                             server->id, stamp, id, stamp);
        }
      if (!send_all (client.fd, answer, (size_t)length))
        break;
    }
  close (client.fd);
  return NULL;
}

typedef struct
{
  int fd;
  server_t *server;
} server_listener_t;

static void *
accept_server (void *argument)
{
  server_listener_t *listener = argument;
  for (;;)
    {
      int fd = accept4 (listener->fd, NULL, NULL, SOCK_CLOEXEC);
      if (fd < 0)
        continue;
      int on = 1;
      setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof (on));
      server_client_t *client = malloc (sizeof (*client));
      *client = (server_client_t){ fd, listener->server };
      start_thread (serve_client, client);
    }
  return NULL;
}

/* Writes the entry of a server to the store. */
static void
beat (server_t *server)
{
  char key[64], value[512];
  double cold_s = server->cold_until - now_s ();
  snprintf (key, sizeof (key), "servers/%s", server->id);
  snprintf (value, sizeof (value),
            "{\"service\":\"%s\",\"address\":\"127.0.0.1:%d\",\"zone\":\"%s\","
            "\"version\":\"v1\",\"slots\":2,\"state\":\"ready\",\"coldLeftMs\":%d,"
            "\"seq\":%d,\"born\":1700000000000}",
            server->service, server->port, server->zone,
            cold_s > 0 ? (int)(cold_s * 1000) : 0, ++server->seq);
  store_put (key, value);
}

void
write_odd_entry (const server_t *server)
{
  char key[64], value[512];
  snprintf (key, sizeof (key), "servers/%s", server->id);
  snprintf (value, sizeof (value),
            "{\"service\":\"%s\",\"address\":\"127.0.0.1:%d\",\"zone\":\"%s\","
            "\"version\":\"v1\",\"slots\":2,\"state\":\"ready\",\"coldLeftMs\":0,"
            "\"born\":1700000000000}",
            server->service, server->port, server->zone);
  store_put (key, value);
}

void
servers_start (server_t *servers, int count, arrival_t on_arrival)
{
  arrival_callback = on_arrival;
  for (int i = 0; i < count; i++)
    {
      server_listener_t *listener = malloc (sizeof (*listener));
      listener->server = &servers[i];
      listener->fd = listen_on ("127.0.0.1", &servers[i].port);
      start_thread (accept_server, listener);
      beat (&servers[i]);
    }
}

double
servers_beat (server_t *servers, int count)
{
  for (int i = 0; i < count; i++)
    {
      if (servers[i].gone == 0)
        beat (&servers[i]);
    }
  return now_s ();
}

/* --- Processes --- */

/* Starts jackdaw-host with the command of the deploy file, from the repository's root. */
void
machine_start (machine_t *machine, const char *settings_path)
{
  const char *root = getenv ("RIG_ROOT");
  char log_path[512];
  snprintf (log_path, sizeof (log_path), "%s.log", settings_path);
  machine->pid = fork ();
  if (machine->pid < 0)
    fail_setup ("no process");
  if (machine->pid > 0)
    {
      record ("started %s (zone %s)", machine->name, machine->zone);
      return;
    }
  prctl (PR_SET_PDEATHSIG, SIGKILL); /* No process outlives the rig. */
  setenv ("JACKDAWARCH_BOOT", settings_path, 1);
  if (!root || chdir (root) != 0 || !freopen (log_path, "a", stdout) ||
      !freopen (log_path, "a", stderr))
    _exit (127);
  execl ("target/jackdaw-host", "target/jackdaw-host", (char *)NULL);
  _exit (127);
}

void
machine_signal (machine_t *machine, int signal_number)
{
  record ("%s to %s", strsignal (signal_number), machine->name);
  if (machine->pid > 0)
    kill (machine->pid, signal_number);
}

void
machines_end (machine_t *machines, int count)
{
  for (int i = 0; i < count; i++)
    {
      if (machines[i].pid <= 0)
        continue;
      kill (machines[i].pid, SIGKILL);
      waitpid (machines[i].pid, NULL, 0);
      machines[i].pid = 0;
    }
}

/* --- Consumers --- */

int
consumer_get (const machine_t *machine, const char *path, const char *attempt_id,
              int deadline_ms)
{
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  struct sockaddr_in address = { .sin_family = AF_INET,
                                 .sin_port = htons ((uint16_t)machine->callers_port) };
  inet_pton (AF_INET, machine->ip, &address.sin_addr);
  struct timeval limit = { deadline_ms / 1000 + 1, deadline_ms % 1000 * 1000L };
  setsockopt (fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof (limit));
  char request[TEXT_MAX], head[8192];
  int length = snprintf (request, sizeof (request),
                         "GET %s HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: %s\r\n"
                         "X-Deadline-Ms: %d\r\nConnection: close\r\n\r\n",
                         path, attempt_id, deadline_ms);
  int status = 0;
  if (connect (fd, (struct sockaddr *)&address, sizeof (address)) != 0 ||
      !send_all (fd, request, (size_t)length) || !read_head (fd, head, sizeof (head)) ||
      sscanf (head, "HTTP/1.1 %d", &status) != 1)
    status = 0;
  close (fd);
  return status;
}

/* --- Settings --- */

/* Returns a port that is free on an address now. */
static int
free_port (const char *ip)
{
  int port = 0;
  close (listen_on (ip, &port));
  return port;
}

int
free_peer_port (const machine_t *machines, int count)
{
  for (int port = 7160; port < 9000; port++)
    {
      bool is_free = true;
      for (int i = 0; i < count && is_free; i++)
        {
          struct sockaddr_in address = { .sin_family = AF_INET,
                                         .sin_port = htons ((uint16_t)port) };
          inet_pton (AF_INET, machines[i].ip, &address.sin_addr);
          int tcp = socket (AF_INET, SOCK_STREAM, 0),
              udp = socket (AF_INET, SOCK_DGRAM, 0);
          is_free = bind (tcp, (struct sockaddr *)&address, sizeof (address)) == 0 &&
                    bind (udp, (struct sockaddr *)&address, sizeof (address)) == 0;
          close (tcp);
          close (udp);
        }
      if (is_free)
        return port;
    }
  fail_setup ("no peer port");
}

void
settings_write (machine_t *machine, const machine_t *seed, int peer_port,
                const char *path)
{
  machine->callers_port = free_port (machine->ip);
  char front[64], ready[64], store[64], seeds[64], peer[16], metrics[32];
  snprintf (front, sizeof (front), "%s:%d", machine->ip, machine->callers_port);
  snprintf (ready, sizeof (ready), "%s:%d", machine->ip, free_port (machine->ip));
  snprintf (store, sizeof (store), "127.0.0.1:%d", machine->store_port);
  snprintf (seeds, sizeof (seeds), "%s:8181", seed->ip);
  snprintf (peer, sizeof (peer), "%d", peer_port);
  snprintf (metrics, sizeof (metrics), ":%d", free_port (machine->ip));
  const char *const fields[][2] = {
    { "{{nodeName}}", machine->name },
    { "{{zone}}", machine->zone },
    { "{{ip}}", machine->ip },
    { "{{bootstrap}}", "true" },
    { "{{listen.front}}", front },
    { "{{listen.readiness}}", ready },
    { "{{internalPorts.0}}", peer },
    { "{{seeds}}", seeds },
    { "{{platform.address}}", store },
    { "{{bounds.stableWindowMs}}", "4000" },
    { "{{bounds.graceS}}", "6" },
    { "{{bounds.drainMs}}", "3000" },
    { "{{bounds.configApplyMs}}", "3000" },
    { "{{heartbeatMs}}", "1200" },
    { "{{bounds.retrySlack}}", "58" },
    { "{{bounds.retryWindowS}}", "10" },
    { "{{bounds.quotaSlack}}", "20" },
    { "{{bounds.coldSlack}}", "5" },
    { "{{limits.memoryMb}}", "260" },
    { "{{limits.maxFds}}", "4100" },
    { ":9464", metrics }, /* A free port in place of the fixed one. */
  };
  char template_path[512], line[512];
  snprintf (template_path, sizeof (template_path), "%s/deploy/host.conf.template",
            getenv ("RIG_ROOT") ? getenv ("RIG_ROOT") : ".");
  FILE *in = fopen (template_path, "r"), *out = fopen (path, "w");
  if (!in || !out)
    fail_setup ("no settings template");
  while (fgets (line, sizeof (line), in))
    {
      for (size_t i = 0; i < sizeof (fields) / sizeof (fields[0]); i++)
        {
          char *at = strstr (line, fields[i][0]);
          if (!at)
            continue;
          char rest[512];
          snprintf (rest, sizeof (rest), "%s", at + strlen (fields[i][0]));
          snprintf (at, sizeof (line) - (size_t)(at - line), "%s%s", fields[i][1], rest);
        }
      fputs (line, out);
    }
  fclose (in);
  fclose (out);
}
