#include "daemons/stop_signal.h"

#include <signal.h>
#include <sys/epoll.h>
#include <sys/signalfd.h>
#include <unistd.h>

/* Returns the set of signals that stop a daemon. */
static sigset_t
stop_signals (void)
{
  sigset_t signals;
  sigemptyset (&signals);
  sigaddset (&signals, SIGTERM);
  sigaddset (&signals, SIGINT);
  return signals;
}

/* Blocks the stop signals in this thread and in those that it starts. Also ignores
 * SIGPIPE, which a write to a closed connection would raise. */
void
jd_stop_signal_block (void)
{
  sigset_t signals = stop_signals ();
  pthread_sigmask (SIG_BLOCK, &signals, NULL);
  signal (SIGPIPE, SIG_IGN);
}

/* Poll callback: reads the signal and sets the flag. */
static void
on_signal (void *context, uint32_t events)
{
  jd_stop_signal_t *stop = context;
  struct signalfd_siginfo info;
  if (read (stop->fd, &info, sizeof (info)) == (ssize_t)sizeof (info))
    stop->received = TRUE;
}

/* Opens a descriptor for the stop signals and adds it to an event poll. Returns FALSE if
 * one of the two fails; jd_stop_signal_clear is valid in both cases. */
gboolean
jd_stop_signal_init (jd_stop_signal_t *stop, jd_event_poll_t *poll)
{
  sigset_t signals = stop_signals ();
  *stop = (jd_stop_signal_t){ .fd = signalfd (-1, &signals, SFD_CLOEXEC | SFD_NONBLOCK) };
  if (stop->fd < 0)
    return FALSE;
  stop->watch = jd_event_poll_add (poll, stop->fd, EPOLLIN, on_signal, stop);
  return stop->watch != NULL;
}

/* Removes the watch and closes the descriptor. */
void
jd_stop_signal_clear (jd_stop_signal_t *stop, jd_event_poll_t *poll)
{
  if (stop->watch)
    jd_event_poll_remove (poll, stop->watch);
  if (stop->fd >= 0)
    close (stop->fd);
}
