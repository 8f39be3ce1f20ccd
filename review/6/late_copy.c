#include "../rig-2/rig.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* The case: the backends of a service reject a part of their requests although they are
 * free. A few answers of one of them arrive a second time, late, where the next answer on
 * the connection is expected. Both last for some seconds and come again. */

#define HOSTS 3
#define CLIENTS 10
#define PLAYED_MS 95000
#define CALL_INTERVAL_MS 500 /* Of one client. */
#define WORK_MS 20
#define PAUSE_MS 1000      /* Between two times of trouble. */
#define REJECT_MS 5000     /* for_s of srv_grey; the site file has up to 9 s */
#define COPY_MS 5000       /* for_s of garble */
#define REJECTED_SHARE 0.4 /* x of srv_grey; the site file has up to 0.6 */
#define COPIED_SHARE 0.04  /* x of garble: of all answers of the backend */
#define RECORDS_MAX 4096

typedef struct work
{
  int runs;
  int status; /* That the consumer got; -1: none yet, 0: no answer. */
} work_t;

static rig_host_t *case_hosts[HOSTS];
static work_t works[RECORDS_MAX];
static int work_count;
static int answer_count, copy_count; /* Of the copying backend, while it copies. */
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static int64_t start_ms, end_ms;
static const rig_backend_t *copying_backend;

/* Returns TRUE in the first part of each time of trouble. */
static bool
is_within (int64_t duration_ms)
{
  int64_t since_ms = rig_now_ms () - start_ms;
  return rig_has_trouble () && start_ms > 0 &&
         since_ms % (REJECT_MS + PAUSE_MS) < duration_ms;
}

/* Returns TRUE if the answer of a backend is sent a second time. Counts the answer. */
static bool
take_copy (const rig_backend_t *backend, bool is_rejection)
{
  if (backend != copying_backend || !is_within (COPY_MS))
    return false;
  pthread_mutex_lock (&lock);
  answer_count++;
  bool is_copied = is_rejection && copy_count + 1 <= COPIED_SHARE * answer_count;
  copy_count += is_copied;
  pthread_mutex_unlock (&lock);
  return is_copied;
}

/* Backend handler: rejects the request, or runs it. */
static void
on_request (rig_connection_t *connection, const rig_message_t *request)
{
  char id[64] = "";
  rig_header (request, "X-Attempt-Id", id, sizeof (id));
  int number = (int)strtol (id + 2, NULL, 10);
  const char *backend = connection->backend->id;
  if (connection->late_copy[0] != '\0')
    {
      rig_record ("late copy from %s before its answer to %s", backend, id);
      rig_send (connection->fd, connection->late_copy);
      connection->late_copy[0] = '\0';
    }
  if (is_within (REJECT_MS) && rig_random () < REJECTED_SHARE)
    {
      static const char fields[] = "X-Not-Executed: 1\r\nX-Server-Load: 0,0,6\r\n";
      rig_record ("reject id=%s by=%s fd=%d", id, backend, connection->fd);
      if (take_copy (connection->backend, true))
        snprintf (connection->late_copy, sizeof (connection->late_copy),
                  "HTTP/1.1 503 Service Unavailable\r\nX-Attempt-Id: %s\r\n%s"
                  "Content-Length: 0\r\n\r\n",
                  id, fields);
      rig_answer (connection, request, "503 Service Unavailable", fields, "");
      return;
    }
  pthread_mutex_lock (&lock);
  if (number >= 0 && number < RECORDS_MAX)
    works[number].runs++;
  pthread_mutex_unlock (&lock);
  rig_record ("run id=%s by=%s fd=%d", id, backend, connection->fd);
  rig_sleep_ms (WORK_MS);
  take_copy (connection->backend, false);
  rig_answer (connection, request, "200 OK", "X-Server-Load: 1,0,6\r\n", "stored");
}

/* Sends one edit. */
static void
send_edit (rig_message_t *answer)
{
  char request[512];
  pthread_mutex_lock (&lock);
  int number = work_count++;
  pthread_mutex_unlock (&lock);
  if (number >= RECORDS_MAX)
    rig_fail ("too many requests");
  works[number].status = -1;
  const rig_host_t *host = case_hosts[number % HOSTS];
  snprintf (request, sizeof (request),
            "POST /edit/%d HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: e-%d\r\n"
            "X-Deadline-Ms: 2000\r\nContent-Length: 4\r\n\r\ntext",
            number, number);
  rig_record ("sent id=e-%d host=%s", number, host->ip);
  int status = rig_call (host->callers, request, answer, 2500);
  works[number].status = status;
  rig_record ("answered id=e-%d status=%d", number, status);
}

/* Thread: a consumer that sends edits, one after the other. */
static void *
run_client (void *context)
{
  rig_message_t *answer = calloc (1, sizeof (*answer));
  (void)context;
  while (answer && rig_now_ms () < end_ms)
    {
      send_edit (answer);
      rig_sleep_ms (CALL_INTERVAL_MS / 2 + (int64_t)(rig_random () * CALL_INTERVAL_MS));
    }
  free (answer);
  return NULL;
}

int
main (int argc, char **argv)
{
  pthread_t clients[CLIENTS];
  rig_open (argc > 1 ? argv[1] : ".");
  for (int i = 0; i < HOSTS; i++)
    case_hosts[i] = rig_host_add (i == 0 ? "zone-a" : "zone-b");
  rig_store_put (
      "op/config",
      "{\"version\":3,\"routes\":[{\"name\":\"edit\",\"host\":\"shop.example\","
      "\"prefix\":\"/edit/\",\"routeKind\":\"unsafe\",\"timeoutMs\":3000,"
      "\"targetLatencyMs\":500,\"priority\":2,\"service\":\"studio\",\"maxAttempts\":2,"
      "\"public\":false}],\"services\":[{\"name\":\"studio\",\"healthPath\":\"/health\","
      "\"maxConns\":110,\"protocol\":\"h1\",\"tls\":false,\"coldStartS\":3.0,"
      "\"coldPerS\":0.0}],\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":262144,"
      "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}");
  copying_backend = rig_backend_start ("studio", "zone-a", "101", on_request);
  rig_backend_start ("studio", "zone-b", "102", on_request);
  rig_start_hosts ();
  rig_wait_ready ();
  rig_sleep_ms (3000);
  start_ms = rig_now_ms ();
  end_ms = start_ms + PLAYED_MS;
  for (int i = 0; i < CLIENTS; i++)
    pthread_create (&clients[i], NULL, run_client, NULL);
  for (int i = 0; i < CLIENTS; i++)
    pthread_join (clients[i], NULL);
  rig_sleep_ms (500);
  int twice = 0, refused = 0;
  for (int i = 0; i < work_count; i++)
    {
      bool is_refused =
          (works[i].status == 503 || works[i].status == 429) && works[i].runs > 0;
      if (works[i].runs > 1)
        rig_record ("RUN %d TIMES id=e-%d status=%d", works[i].runs, i, works[i].status);
      if (is_refused)
        rig_record ("REFUSED BUT RUN id=e-%d status=%d", i, works[i].status);
      twice += works[i].runs > 1;
      refused += is_refused;
    }
  rig_record ("sent %d, run more than once %d, refused but run %d", work_count, twice,
              refused);
  rig_record ("answers of the copying backend in its times of trouble %d, sent twice %d",
              answer_count, copy_count);
  return rig_finish (twice == 0 && refused == 0);
}
