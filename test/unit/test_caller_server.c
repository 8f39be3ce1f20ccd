#include "transport/caller_server.h"

#include <netinet/in.h>
#include <stdio.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#include "base/clock.h"
#include "support/free_port.h"
#include "support/loop_run.h"
#include "support/test_main.h"

#define CALLERS 4U
#define WATCHED_S 0.5

static void
ignore_request (void *context, jd_caller_t *caller, const jd_http_reader_t *reader)
{
}

static void
ignore_disconnect (void *context, jd_caller_t *caller)
{
}

/* Returns the processor time that this process has used. */
static int64_t
processor_time_us (void)
{
  struct timespec now;
  clock_gettime (CLOCK_PROCESS_CPUTIME_ID, &now);
  return now.tv_sec * JD_US_PER_S + now.tv_nsec / 1000;
}

/* Guards against a host that uses its processor time up because it is woken without end
 * for connections that it has no descriptor for. It accepts them once there is one. */
static void
connections_wait_for_descriptors (void)
{
  struct ev_loop *loop = ev_loop_new (EVFLAG_AUTO);
  jd_caller_handler_t handler = { .on_request = ignore_request,
                                  .on_disconnect = ignore_disconnect };
  jd_caller_server_t *server = jd_caller_server_new (loop, &handler);
  uint16_t port = jd_test_free_port ();
  char address[32];
  g_snprintf (address, sizeof (address), "127.0.0.1:%u", port);
  CU_ASSERT_TRUE_FATAL (jd_caller_server_listen (server, address, NULL));
  struct sockaddr_in target = { .sin_family = AF_INET,
                                .sin_port = htons (port),
                                .sin_addr = { .s_addr = htonl (INADDR_LOOPBACK) } };
  int fds[CALLERS];
  for (uint32_t i = 0; i < CALLERS; i++)
    {
      fds[i] = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
      CU_ASSERT_EQUAL_FATAL (
          connect (fds[i], (struct sockaddr *)&target, sizeof (target)), 0);
    }
  struct rlimit before, limit;
  getrlimit (RLIMIT_NOFILE, &before);
  limit = before;
  limit.rlim_cur = (rlim_t)fds[CALLERS - 1] + 1; /* All descriptors are in use. */
  setrlimit (RLIMIT_NOFILE, &limit);
  int64_t start_us = processor_time_us ();
  jd_test_run_loop (loop, WATCHED_S);
  int64_t used_us = processor_time_us () - start_us;
  printf ("%" G_GINT64_FORMAT " ms ", used_us / JD_US_PER_MS);
  CU_ASSERT_EQUAL (jd_caller_server_connection_count (server), 0);
  CU_ASSERT_TRUE ((double)used_us < WATCHED_S * (double)JD_US_PER_S / 10);
  setrlimit (RLIMIT_NOFILE, &before);
  jd_test_run_loop (loop, WATCHED_S);
  CU_ASSERT_EQUAL (jd_caller_server_connection_count (server), CALLERS);
  for (uint32_t i = 0; i < CALLERS; i++)
    close (fds[i]);
  jd_caller_server_free (server);
  ev_loop_destroy (loop);
}

int
main (void)
{
  static const jd_test_case_t cases[] = {
    { "connections wait for descriptors", connections_wait_for_descriptors },
  };
  return JD_TEST_RUN ("caller_server", cases);
}
