#include "rig.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#define HEARTBEAT_MS 1200
#define READY_TIMEOUT_MS 15000
#define LISTEN_BACKLOG 128
#define STACK_BYTES ((size_t)256 * 1024)
/* All machines start within 0.3 s. */
#define START_PAUSE_MS 55
#define TEMPLATE_PATH "deploy/host.conf.template"
#define PROGRAM_PATH "target/jackdaw-host"

/* An item of the store, or the latest event of a key. */
typedef struct rig_item
{
  char key[64];
  char value[RIG_TEXT_MAX];
  long revision;
} rig_item_t;

/* A connection of a host to the store. */
typedef struct store_connection
{
  const rig_host_t *host;
  int fd;
} store_connection_t;

int rig_slots = 6;

static FILE *record_file;
static pthread_mutex_t record_lock = PTHREAD_MUTEX_INITIALIZER;
static char temp_folder[128];
static int net_a, net_b;
static unsigned int random_state;

static rig_item_t items[RIG_ITEMS_MAX];
static size_t item_count;
static long store_revision = 1;
static pthread_mutex_t store_lock = PTHREAD_MUTEX_INITIALIZER;
static rig_read_observer_t store_observer;

static rig_backend_t backends[RIG_BACKENDS_MAX];
static size_t backend_count;
static rig_host_t hosts[RIG_HOSTS_MAX];
static size_t host_count;
static int peer_port;

/* Returns the monotonic time. */
int64_t
rig_now_ms (void)
{
  struct timespec now;
  clock_gettime (CLOCK_MONOTONIC, &now);
  return (int64_t)now.tv_sec * 1000 + now.tv_nsec / 1000000;
}

/* Sleeps for a time. */
void
rig_sleep_ms (int64_t duration_ms)
{
  struct timespec wait = { .tv_sec = duration_ms / 1000,
                           .tv_nsec = (duration_ms % 1000) * 1000000 };
  while (nanosleep (&wait, &wait) != 0 && errno == EINTR)
    continue;
}

/* Returns a random number, 0 to 1. */
double
rig_random (void)
{
  static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
  pthread_mutex_lock (&lock);
  double number = (double)rand_r (&random_state) / ((double)RAND_MAX + 1.0);
  pthread_mutex_unlock (&lock);
  return number;
}

/* Appends a line to the record, behind the time. */
void
rig_record (const char *format, ...)
{
  va_list arguments;
  pthread_mutex_lock (&record_lock);
  fprintf (record_file, "%lld ", (long long)rig_now_ms ());
  va_start (arguments, format);
  vfprintf (record_file, format, arguments);
  va_end (arguments);
  fputc ('\n', record_file);
  fflush (record_file);
  pthread_mutex_unlock (&record_lock);
}

/* Returns FALSE if TROUBLE=0 is set. */
bool
rig_has_trouble (void)
{
  const char *value = getenv ("TROUBLE");
  return !value || strcmp (value, "0") != 0;
}

/* Ends the processes that were started, and removes their files. With RIG_LOG, their logs
 * stay. */
static void
end_hosts (void)
{
  for (size_t i = 0; i < host_count; i++)
    {
      if (hosts[i].pid == 0)
        continue;
      kill (hosts[i].pid, SIGKILL);
      waitpid (hosts[i].pid, NULL, 0);
      hosts[i].pid = 0;
    }
  for (size_t i = 0; i < host_count; i++)
    unlink (hosts[i].settings_path);
  rmdir (temp_folder);
}

/* Ends the program because the case cannot run. */
void
rig_fail (const char *what)
{
  rig_record ("cannot run: %s", what);
  fprintf (stderr, "cannot run: %s\n", what);
  end_hosts ();
  _exit (2);
}

/* Signal handler: the case was interrupted. */
static void
on_interrupt (int signal_number)
{
  (void)signal_number;
  for (size_t i = 0; i < host_count; i++)
    {
      if (hosts[i].pid != 0)
        kill (hosts[i].pid, SIGKILL);
    }
  _exit (2);
}

/* Opens the record of a case, and a temporary folder. */
void
rig_open (const char *folder)
{
  char path[512];
  snprintf (path, sizeof (path), "%s/record.txt", folder);
  record_file = fopen (path, "w");
  if (!record_file)
    {
      perror (path);
      exit (2);
    }
  signal (SIGPIPE, SIG_IGN);
  signal (SIGTERM, on_interrupt);
  signal (SIGINT, on_interrupt);
  random_state = (unsigned int)(rig_now_ms () ^ getpid ());
  net_a = 64 + (int)(rig_random () * 128);
  net_b = 1 + (int)(rig_random () * 250);
  snprintf (temp_folder, sizeof (temp_folder), "%s/review-XXXXXX",
            getenv ("TMPDIR") ? getenv ("TMPDIR") : "/tmp");
  if (!mkdtemp (temp_folder))
    rig_fail ("no temporary folder");
  rig_record ("start trouble=%d", rig_has_trouble ());
}

/* Ends the hosts and returns the exit status of the case. */
int
rig_finish (bool rule_held)
{
  end_hosts ();
  rig_record ("end: the rule %s", rule_held ? "held" : "was broken");
  printf ("the rule %s\n", rule_held ? "held" : "was broken");
  return rule_held ? 0 : 1;
}

/* Parses "IP:port". */
static struct sockaddr_in
parse_address (const char *address)
{
  struct sockaddr_in parsed = { .sin_family = AF_INET };
  char ip[32];
  snprintf (ip, sizeof (ip), "%s", address);
  char *colon = strchr (ip, ':');
  if (!colon)
    rig_fail ("address without a port");
  *colon = '\0';
  inet_pton (AF_INET, ip, &parsed.sin_addr);
  parsed.sin_port = htons ((uint16_t)strtol (colon + 1, NULL, 10));
  return parsed;
}

/* Binds a socket to an address, with port 0 to a free port; returns -1 if it is taken. */
static int
bind_socket (const char *ip, int port, int type)
{
  int on = 1;
  int fd = socket (AF_INET, type | SOCK_CLOEXEC, 0);
  struct sockaddr_in address = { .sin_family = AF_INET,
                                 .sin_port = htons ((uint16_t)port) };
  inet_pton (AF_INET, ip, &address.sin_addr);
  if (type == SOCK_STREAM)
    setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof (on));
  if (bind (fd, (struct sockaddr *)&address, sizeof (address)) == 0)
    return fd;
  close (fd);
  return -1;
}

/* Returns the port of a bound socket. */
static int
port_of (int fd)
{
  struct sockaddr_in address = { 0 };
  socklen_t size = sizeof (address);
  getsockname (fd, (struct sockaddr *)&address, &size);
  return ntohs (address.sin_port);
}

/* Returns a port that is free at an address. */
static int
free_port (const char *ip)
{
  int fd = bind_socket (ip, 0, SOCK_STREAM);
  if (fd < 0)
    rig_fail ("no free port");
  int port = port_of (fd);
  close (fd);
  return port;
}

/* Listens on a free port of an address and writes "IP:port". */
static int
listen_on (const char *ip, char *address, size_t size)
{
  int fd = bind_socket (ip, 0, SOCK_STREAM);
  if (fd < 0 || listen (fd, LISTEN_BACKLOG) != 0)
    rig_fail ("cannot listen");
  snprintf (address, size, "%s:%d", ip, port_of (fd));
  return fd;
}

/* Sends a text; a failure shows at the next read. */
void
rig_send (int fd, const char *text)
{
  size_t left = strlen (text);
  while (left > 0)
    {
      ssize_t sent = send (fd, text, left, MSG_NOSIGNAL);
      if (sent <= 0)
        return;
      text += sent;
      left -= (size_t)sent;
    }
}

/* Fills the empty buffer within the time left. Returns FALSE at the end of the input. */
static bool
fill_buffer (int fd, rig_message_t *message, int64_t until_ms)
{
  struct pollfd poll_fd = { .fd = fd, .events = POLLIN };
  int64_t left_ms = until_ms - rig_now_ms ();
  if (left_ms <= 0 || poll (&poll_fd, 1, (int)left_ms) <= 0)
    return false;
  ssize_t size = recv (fd, message->buffer, sizeof (message->buffer), 0);
  message->buffer_start = 0;
  message->buffer_end = size > 0 ? (size_t)size : 0;
  return size > 0;
}

/* Reads one byte within the time left. Returns FALSE at the end of the input. */
static bool
read_byte (int fd, rig_message_t *message, char *byte, int64_t until_ms)
{
  if (message->buffer_start == message->buffer_end &&
      !fill_buffer (fd, message, until_ms))
    return false;
  *byte = message->buffer[message->buffer_start++];
  return true;
}

/* Copies the value of a header field. Returns FALSE if there is none. */
bool
rig_header (const rig_message_t *message, const char *name, char *value,
            size_t value_size)
{
  size_t name_bytes = strlen (name);
  for (const char *line = strchr (message->head, '\n'); line; line = strchr (line, '\n'))
    {
      line++;
      if (strncasecmp (line, name, name_bytes) != 0 || line[name_bytes] != ':')
        continue;
      const char *start = line + name_bytes + 1;
      start += strspn (start, " ");
      snprintf (value, value_size, "%.*s", (int)strcspn (start, "\r\n"), start);
      return true;
    }
  return false;
}

/* Reads one message with a stated length. Returns FALSE without a whole one. */
bool
rig_read_message (int fd, rig_message_t *message, int64_t timeout_ms)
{
  int64_t until_ms = rig_now_ms () + timeout_ms;
  size_t length = 0;
  char text[32];
  message->body_bytes = 0;
  message->status = 0;
  while (length < 4 || memcmp (message->head + length - 4, "\r\n\r\n", 4) != 0)
    {
      if (length + 1 >= sizeof (message->head) ||
          !read_byte (fd, message, &message->head[length], until_ms))
        return false;
      message->head[++length] = '\0';
    }
  if (strncmp (message->head, "HTTP/1.1 ", 9) == 0)
    message->status = (int)strtol (message->head + 9, NULL, 10);
  if (rig_header (message, "Content-Length", text, sizeof (text)))
    message->body_bytes = (size_t)strtoul (text, NULL, 10);
  for (size_t left = message->body_bytes; left > 0;)
    {
      if (message->buffer_start == message->buffer_end &&
          !fill_buffer (fd, message, until_ms))
        return false;
      size_t present = message->buffer_end - message->buffer_start;
      size_t taken = present < left ? present : left;
      message->buffer_start += taken;
      left -= taken;
    }
  return true;
}

/* Opens a connection; returns -1 if that fails. */
int
rig_connect (const char *address)
{
  int on = 1;
  struct sockaddr_in parsed = parse_address (address);
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (connect (fd, (struct sockaddr *)&parsed, sizeof (parsed)) == 0)
    {
      setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof (on));
      return fd;
    }
  close (fd);
  return -1;
}

/* Sends a request on a connection of its own. Returns the status of the answer, 0 without
 * one. */
int
rig_call (const char *address, const char *request, rig_message_t *answer,
          int64_t timeout_ms)
{
  int fd = rig_connect (address);
  if (fd < 0)
    return 0;
  answer->buffer_start = answer->buffer_end = 0;
  rig_send (fd, request);
  bool is_whole = rig_read_message (fd, answer, timeout_ms);
  close (fd);
  return is_whole ? answer->status : 0;
}

/* Starts a detached thread. */
void
rig_start_thread (void *(*run) (void *), void *context)
{
  pthread_t thread;
  pthread_attr_t attributes;
  pthread_attr_init (&attributes);
  pthread_attr_setstacksize (&attributes, STACK_BYTES);
  pthread_attr_setdetachstate (&attributes, PTHREAD_CREATE_DETACHED);
  if (pthread_create (&thread, &attributes, run, context) != 0)
    rig_fail ("no thread");
  pthread_attr_destroy (&attributes);
}

/* Appends the base64 form of a text. */
static void
append_base64 (char *to, const char *text)
{
  static const char digits[] =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  size_t length = strlen (text);
  char *end = to + strlen (to);
  for (size_t i = 0; i < length; i += 3)
    {
      unsigned int left = (unsigned int)(length - i);
      unsigned int bits = (unsigned int)(unsigned char)text[i] << 16;
      if (left > 1)
        bits |= (unsigned int)(unsigned char)text[i + 1] << 8;
      if (left > 2)
        bits |= (unsigned int)(unsigned char)text[i + 2];
      *end++ = digits[bits >> 18 & 63];
      *end++ = digits[bits >> 12 & 63];
      *end++ = left > 1 ? digits[bits >> 6 & 63] : '=';
      *end++ = left > 2 ? digits[bits & 63] : '=';
    }
  *end = '\0';
}

/* Sets a record of the store, which is its acknowledgement. */
void
rig_store_put (const char *key, const char *value)
{
  pthread_mutex_lock (&store_lock);
  size_t at = 0;
  while (at < item_count && strcmp (items[at].key, key) != 0)
    at++;
  if (at == RIG_ITEMS_MAX)
    rig_fail ("too many records");
  if (at == item_count)
    snprintf (items[item_count++].key, sizeof (items[at].key), "%s", key);
  snprintf (items[at].value, sizeof (items[at].value), "%s", value);
  items[at].revision = ++store_revision;
  pthread_mutex_unlock (&store_lock);
}

/* Sets the observer of reads. */
void
rig_store_observe (rig_read_observer_t observer)
{
  store_observer = observer;
}

/* Inserts an item into an array that is ordered by key. */
static void
insert_by_key (const rig_item_t **chosen, size_t count, const rig_item_t *item)
{
  size_t at = count;
  for (; at > 0 && strcmp (chosen[at - 1]->key, item->key) > 0; at--)
    chosen[at] = chosen[at - 1];
  chosen[at] = item;
}

/* Writes the items that changed after a revision as a JSON object with this member. */
static char *
render_items (const char *member, long after)
{
  const rig_item_t *chosen[RIG_ITEMS_MAX];
  size_t count = 0;
  char *text = malloc ((size_t)RIG_ITEMS_MAX * RIG_TEXT_MAX);
  if (!text)
    rig_fail ("no memory");
  pthread_mutex_lock (&store_lock);
  for (size_t i = 0; i < item_count; i++)
    {
      if (items[i].revision > after)
        insert_by_key (chosen, count++, &items[i]);
    }
  sprintf (text, "{\"%s\":[", member);
  for (size_t i = 0; i < count; i++)
    {
      sprintf (text + strlen (text), "%s{\"key\":\"%s\",\"value\":\"", i > 0 ? "," : "",
               chosen[i]->key);
      append_base64 (text, chosen[i]->value);
      sprintf (text + strlen (text), "\",\"revision\":%ld,\"created\":%ld,\"lease\":0}",
               chosen[i]->revision, chosen[i]->revision);
    }
  sprintf (text + strlen (text), "],\"truncated\":false,\"asOf\":%ld}", store_revision);
  pthread_mutex_unlock (&store_lock);
  return text;
}

/* Thread: answers the calls of one connection to the store, each after 4 ms. */
static void *
serve_store_connection (void *context)
{
  store_connection_t *connection = context;
  int fd = connection->fd;
  rig_message_t *call = calloc (1, sizeof (*call));
  while (call && rig_read_message (fd, call, 3600000))
    {
      char head[160];
      const char *after_text = strstr (call->head, "after=");
      bool is_watch = strstr (call->head, "/kv-watch") != NULL;
      long after = is_watch && after_text ? strtol (after_text + 6, NULL, 10) : -1;
      rig_sleep_ms (4);
      char *body = render_items (is_watch ? "events" : "items", after);
      snprintf (head, sizeof (head),
                "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                "Content-Length: %zu\r\n\r\n",
                strlen (body));
      rig_send (fd, head);
      rig_send (fd, body);
      free (body);
      if (store_observer)
        store_observer (connection->host);
    }
  free (call);
  free (connection);
  close (fd);
  return NULL;
}

/* Thread: accepts the connections of one host to the store. */
static void *
accept_store_connections (void *context)
{
  rig_host_t *host = context;
  for (;;)
    {
      int fd = accept (host->store_fd, NULL, NULL);
      int on = 1;
      if (fd < 0)
        continue;
      setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof (on));
      store_connection_t *connection = calloc (1, sizeof (*connection));
      if (!connection)
        rig_fail ("no memory");
      connection->host = host;
      connection->fd = fd;
      rig_start_thread (serve_store_connection, connection);
    }
  return NULL;
}

/* Sends an answer with the signature of the backend and the id of the request. */
void
rig_answer (rig_connection_t *connection, const rig_message_t *request,
            const char *status, const char *fields, const char *body)
{
  static unsigned int stamp_count;
  char id[64] = "", text[RIG_TEXT_MAX];
  rig_header (request, "X-Attempt-Id", id, sizeof (id));
  snprintf (text, sizeof (text),
            "HTTP/1.1 %s\r\nX-Attempt-Id: %s\r\nX-Server-Stamp: %s.%u\r\n%s"
            "Content-Length: %zu\r\n\r\n%s",
            status, id, connection->backend->id,
            __atomic_add_fetch (&stamp_count, 1, __ATOMIC_RELAXED), fields, strlen (body),
            body);
  rig_send (connection->fd, text);
}

/* Thread: serves the requests of one connection to a backend. */
static void *
serve_backend_connection (void *context)
{
  rig_connection_t *connection = context;
  rig_message_t *request = calloc (1, sizeof (*request));
  while (request && rig_read_message (connection->fd, request, 3600000))
    {
      char expected[64] = "";
      if (rig_header (request, "X-Expect-Instance", expected, sizeof (expected)) &&
          strcmp (expected, connection->backend->id) != 0)
        rig_answer (connection, request, "421 Misdirected Request",
                    "X-Not-Executed: 1\r\n", "");
      else
        connection->backend->handler (connection, request);
    }
  free (request);
  close (connection->fd);
  free (connection);
  return NULL;
}

/* Thread: accepts connections to a backend. */
static void *
accept_backend_connections (void *context)
{
  rig_backend_t *backend = context;
  for (;;)
    {
      int fd = accept (backend->listen_fd, NULL, NULL);
      int on = 1;
      if (fd < 0)
        continue;
      setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof (on));
      rig_connection_t *connection = calloc (1, sizeof (*connection));
      if (!connection)
        rig_fail ("no memory");
      connection->backend = backend;
      connection->fd = fd;
      rig_start_thread (serve_backend_connection, connection);
    }
  return NULL;
}

/* Writes the entry of a backend. */
static void
publish_backend (rig_backend_t *backend)
{
  char key[64], value[512];
  snprintf (key, sizeof (key), "servers/%s", backend->id);
  snprintf (value, sizeof (value),
            "{\"service\":\"%s\",\"address\":\"%s\",\"zone\":\"%s\",\"version\":\"v1\","
            "\"slots\":%d,\"state\":\"ready\",\"coldLeftMs\":0,\"seq\":%d,"
            "\"born\":%lld}",
            backend->service, backend->address, backend->zone, backend->slots,
            ++backend->seq, (long long)backend->born_ms);
  rig_store_put (key, value);
}

/* Thread: writes the entry of a backend at each heartbeat. */
static void *
send_heartbeats (void *context)
{
  for (;;)
    {
      rig_sleep_ms (HEARTBEAT_MS);
      publish_backend (context);
    }
  return NULL;
}

/* Starts a backend and publishes it. */
rig_backend_t *
rig_backend_start (const char *service, const char *zone, const char *address_ip,
                   rig_handler_t handler)
{
  if (backend_count == RIG_BACKENDS_MAX)
    rig_fail ("too many backends");
  rig_backend_t *backend = &backends[backend_count++];
  char ip[16];
  snprintf (ip, sizeof (ip), "127.%d.%d.%s", net_a, net_b, address_ip);
  snprintf (backend->id, sizeof (backend->id), "i-%s-%zu", service, backend_count);
  snprintf (backend->service, sizeof (backend->service), "%s", service);
  snprintf (backend->zone, sizeof (backend->zone), "%s", zone);
  backend->slots = rig_slots;
  backend->born_ms = (int64_t)time (NULL) * 1000;
  backend->handler = handler;
  backend->listen_fd = listen_on (ip, backend->address, sizeof (backend->address));
  rig_start_thread (accept_backend_connections, backend);
  publish_backend (backend);
  rig_start_thread (send_heartbeats, backend);
  return backend;
}

/* Adds a host of a zone; rig_start_hosts () starts it. */
rig_host_t *
rig_host_add (const char *zone)
{
  if (host_count == RIG_HOSTS_MAX)
    rig_fail ("too many hosts");
  rig_host_t *host = &hosts[host_count++];
  char store_ip[16];
  char ip[16];
  snprintf (ip, sizeof (ip), "127.%d.%d.%zu", net_a, net_b, host_count);
  snprintf (host->ip, sizeof (host->ip), "%s", ip);
  snprintf (host->zone, sizeof (host->zone), "%s", zone);
  snprintf (host->callers, sizeof (host->callers), "%s:%d", ip, free_port (ip));
  snprintf (host->readiness, sizeof (host->readiness), "%s:%d", ip, free_port (ip));
  snprintf (store_ip, sizeof (store_ip), "127.%d.%d.200", net_a, net_b);
  host->store_fd = listen_on (store_ip, host->store, sizeof (host->store));
  rig_start_thread (accept_store_connections, host);
  return host;
}

/* Writes the value of a placeholder of the settings template. */
static void
fill_placeholder (const rig_host_t *host, const char *name, char *value, size_t size)
{
  const struct
  {
    const char *name;
    const char *value;
  } fixed[] = {
    { "nodeName", host->ip },
    { "zone", host->zone },
    { "ip", host->ip },
    { "bootstrap", host->was_started ? "false" : "true" },
    { "listen.front", host->callers },
    { "listen.readiness", host->readiness },
    { "platform.address", host->store },
    { "bounds.stableWindowMs", "4000" },
    { "bounds.graceS", "6" },
    { "bounds.drainMs", "3000" },
    { "bounds.configApplyMs", "3000" },
    { "heartbeatMs", "1200" },
    { "bounds.retrySlack", "58" },
    { "bounds.retryWindowS", "10" },
    { "bounds.quotaSlack", "20" },
    { "bounds.coldSlack", "5" },
    { "limits.memoryMb", "260" },
    { "limits.maxFds", "4100" },
  };
  for (size_t i = 0; i < sizeof (fixed) / sizeof (fixed[0]); i++)
    {
      if (strcmp (fixed[i].name, name) == 0)
        {
          snprintf (value, size, "%s", fixed[i].value);
          return;
        }
    }
  value[0] = '\0';
  if (strcmp (name, "internalPorts.0") == 0)
    snprintf (value, size, "%d", peer_port);
  else if (strcmp (name, "seeds") == 0)
    for (size_t i = 0; i < host_count && i < 3; i++)
      {
        char seed[32];
        snprintf (seed, sizeof (seed), "%s%.15s:8181", i > 0 ? "," : "", hosts[i].ip);
        strncat (value, seed, size - strlen (value) - 1);
      }
  else
    rig_fail ("the settings template has a placeholder that the rig does not know");
}

/* Writes the settings file of a host from the template of the deploy file. */
static void
write_settings (rig_host_t *host)
{
  char text[RIG_TEXT_MAX] = "";
  FILE *template_file = fopen (TEMPLATE_PATH, "r");
  if (!template_file)
    rig_fail ("no settings template; run from the root of the repository");
  text[fread (text, 1, sizeof (text) - 1, template_file)] = '\0';
  fclose (template_file);
  snprintf (host->settings_path, sizeof (host->settings_path), "%s/%s.conf", temp_folder,
            host->ip);
  FILE *settings = fopen (host->settings_path, "w");
  if (!settings)
    rig_fail ("cannot write settings");
  const char *cursor = text;
  for (const char *open = strstr (cursor, "{{"); open; open = strstr (cursor, "{{"))
    {
      char name[64], value[512];
      const char *close_braces = strstr (open, "}}");
      if (!close_braces)
        rig_fail ("the settings template is not closed");
      fwrite (cursor, 1, (size_t)(open - cursor), settings);
      snprintf (name, sizeof (name), "%.*s", (int)(close_braces - open - 2), open + 2);
      fill_placeholder (host, name, value, sizeof (value));
      fputs (value, settings);
      cursor = close_braces + 2;
    }
  fputs (cursor, settings);
  fclose (settings);
}

/* Starts one host with the command of the deploy file. */
void
rig_host_start (rig_host_t *host)
{
  char variable[320], log_path[300];
  write_settings (host);
  host->was_started = true;
  snprintf (variable, sizeof (variable), "JACKDAWARCH_BOOT=%s", host->settings_path);
  snprintf (log_path, sizeof (log_path), "%s.log", host->settings_path);
  host->pid = fork ();
  if (host->pid < 0)
    rig_fail ("fork");
  if (host->pid > 0)
    {
      rig_record ("host %s zone=%s pid=%d started", host->ip, host->zone, host->pid);
      return;
    }
  char *arguments[] = { (char *)PROGRAM_PATH, NULL };
  char *environment[] = { variable, (char *)"PATH=/usr/bin:/bin", NULL };
  if (!freopen (getenv ("RIG_LOG") ? log_path : "/dev/null", "w", stdout) ||
      !freopen ("/dev/null", "r", stdin))
    _exit (127);
  execve (PROGRAM_PATH, arguments, environment);
  _exit (127);
}

/* Chooses a port that is free for TCP and UDP at the addresses of all hosts. */
static void
choose_peer_port (void)
{
  for (int attempt = 0; attempt < 50; attempt++)
    {
      bool is_free = true;
      peer_port = free_port (hosts[0].ip);
      for (size_t i = 0; i < host_count; i++)
        {
          int tcp = bind_socket (hosts[i].ip, peer_port, SOCK_STREAM);
          int udp = bind_socket (hosts[i].ip, peer_port, SOCK_DGRAM);
          is_free = is_free && tcp >= 0 && udp >= 0;
          if (tcp >= 0)
            close (tcp);
          if (udp >= 0)
            close (udp);
        }
      if (is_free)
        return;
    }
  rig_fail ("no free port for the hosts");
}

/* Starts all hosts, within 0.3 s. */
void
rig_start_hosts (void)
{
  choose_peer_port ();
  for (size_t i = 0; i < host_count; i++)
    {
      rig_host_start (&hosts[i]);
      rig_sleep_ms (START_PAUSE_MS);
    }
}

/* Waits until all hosts count as ready. */
void
rig_wait_ready (void)
{
  static const char request[] = "GET /ready HTTP/1.1\r\nHost: x\r\n\r\n";
  rig_message_t *answer = calloc (1, sizeof (*answer));
  int64_t until_ms = rig_now_ms () + READY_TIMEOUT_MS;
  for (size_t i = 0; i < host_count; i++)
    {
      while (answer && rig_call (hosts[i].readiness, request, answer, 1000) != 200)
        {
          if (rig_now_ms () > until_ms)
            rig_fail ("a host is not ready");
          rig_sleep_ms (50);
        }
    }
  free (answer);
  rig_record ("all hosts are ready");
}

/* Sends a signal to a host. */
void
rig_signal (rig_host_t *host, int signal_number)
{
  rig_record ("signal %d to host %s", signal_number, host->ip);
  kill (host->pid, signal_number);
}

/* Kills a host. */
void
rig_host_kill (rig_host_t *host)
{
  rig_signal (host, SIGKILL);
  waitpid (host->pid, NULL, 0);
  host->pid = 0;
}
