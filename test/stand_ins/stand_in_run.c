#include "stand_ins/stand_in_run.h"

#include <pthread.h>
#include <signal.h>

GQuark
jd_stand_in_error_quark (void)
{
  return g_quark_from_static_string ("jd-stand-in-error");
}

/* Returns the signals that stop a stand-in. */
static sigset_t
stop_signals (void)
{
  sigset_t signals;
  sigemptyset (&signals);
  sigaddset (&signals, SIGTERM);
  sigaddset (&signals, SIGINT);
  return signals;
}

/* Blocks the stop signals, so that only sigwait receives them. Ignores SIGPIPE, so that a
 * write to a closed connection fails with EPIPE. */
void
jd_stand_in_block_signals (void)
{
  sigset_t signals = stop_signals ();
  pthread_sigmask (SIG_BLOCK, &signals, NULL);
  struct sigaction ignore = { .sa_handler = SIG_IGN };
  sigaction (SIGPIPE, &ignore, NULL);
}

/* Waits for a stop signal. The caller must have blocked the signals. */
void
jd_stand_in_wait_for_signal (void)
{
  sigset_t signals = stop_signals ();
  int received = 0;
  sigwait (&signals, &received);
}

/* Returns the least severe level that the stand-in logs. */
GLogLevelFlags
jd_stand_in_log_level (const char *name)
{
  if (g_strcmp0 (name, "debug") == 0)
    return G_LOG_LEVEL_DEBUG;
  if (g_strcmp0 (name, "warning") == 0)
    return G_LOG_LEVEL_WARNING;
  if (g_strcmp0 (name, "error") == 0)
    return G_LOG_LEVEL_CRITICAL;
  return G_LOG_LEVEL_INFO;
}
