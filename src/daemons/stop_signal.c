#include "daemons/stop_signal.h"

#include <signal.h>
#include <sys/epoll.h>
#include <sys/signalfd.h>
#include <unistd.h>

/* Returns the signals that stop a daemon. */
static sigset_t
stop_signals (void)
{
  sigset_t set;
  sigemptyset (&set);
  sigaddset (&set, SIGTERM);
  sigaddset (&set, SIGINT);
  return set;
}

/* Blocks the signals in this thread and in those that it starts, and ignores SIGPIPE,
 * which a closed connection would raise. */
void
jd_stop_signal_block (void)
{
  sigset_t set = stop_signals ();
  pthread_sigmask (SIG_BLOCK, &set, NULL);
  signal (SIGPIPE, SIG_IGN);
}

/* Reads the signal and sets the flag. */
static void
on_ready (void *context, uint32_t events)
{
  jd_stop_signal_t *stop = context;
  struct signalfd_siginfo info;
  if (read (stop->fd, &info, sizeof (info)) == (ssize_t)sizeof (info))
    stop->received = TRUE;
}

/* Watches for the signals in an event loop. */
gboolean
jd_stop_signal_init (jd_stop_signal_t *stop, jd_event_poll_t *poll)
{
  sigset_t set = stop_signals ();
  *stop = (jd_stop_signal_t){ .fd = signalfd (-1, &set, SFD_CLOEXEC | SFD_NONBLOCK) };
  if (stop->fd < 0)
    return FALSE;
  stop->watch = jd_event_poll_add (poll, stop->fd, EPOLLIN, on_ready, stop);
  return stop->watch != NULL;
}

/* Ends the watch. */
void
jd_stop_signal_clear (jd_stop_signal_t *stop, jd_event_poll_t *poll)
{
  if (stop->watch)
    jd_event_poll_remove (poll, stop->watch);
  if (stop->fd >= 0)
    close (stop->fd);
}
