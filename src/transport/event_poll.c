#include "transport/event_poll.h"

#include <errno.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>

#define MAX_EVENTS_PER_WAIT 128

struct jd_event_watch
{
  int fd;
  jd_event_ready_t ready; /* NULL after the watch is removed. */
  void *context;
};

struct jd_event_poll
{
  int epoll_fd;
  int wake_fd;
  jd_event_watch_t *wake_watch;
  /* Freed after the current batch of events, which may still point to them. */
  GPtrArray *removed_watches;
};

/* Ready callback of the eventfd: resets its counter after a wake-up. */
static void
on_wake (void *context, uint32_t events)
{
  const jd_event_poll_t *poll = context;
  uint64_t count;
  if (read (poll->wake_fd, &count, sizeof (count)) < 0 && errno != EAGAIN)
    g_warning ("event=wake_read_failed errno=%d", errno);
}

/* Creates an event poll. Returns NULL if the process is out of file descriptors. */
jd_event_poll_t *
jd_event_poll_new (void)
{
  jd_event_poll_t *poll = g_new0 (jd_event_poll_t, 1);
  poll->removed_watches = g_ptr_array_new_with_free_func (g_free);
  poll->epoll_fd = epoll_create1 (EPOLL_CLOEXEC);
  poll->wake_fd = eventfd (0, EFD_CLOEXEC | EFD_NONBLOCK);
  if (poll->epoll_fd >= 0 && poll->wake_fd >= 0)
    poll->wake_watch = jd_event_poll_add (poll, poll->wake_fd, EPOLLIN, on_wake, poll);
  if (poll->wake_watch)
    return poll;
  jd_event_poll_free (poll);
  return NULL;
}

/* Frees an event poll; NULL is allowed. The caller must have removed all watches that it
 * added. */
void
jd_event_poll_free (jd_event_poll_t *poll)
{
  if (!poll)
    return;
  if (poll->epoll_fd >= 0)
    close (poll->epoll_fd);
  if (poll->wake_fd >= 0)
    close (poll->wake_fd);
  g_free (poll->wake_watch);
  g_ptr_array_unref (poll->removed_watches);
  g_free (poll);
}

/* Adds a watch of a file descriptor. The event poll owns the watch and frees it after
 * jd_event_poll_remove. */
jd_event_watch_t *
jd_event_poll_add (jd_event_poll_t *poll, int fd, uint32_t events, jd_event_ready_t ready,
                   void *context)
{
  jd_event_watch_t *watch = g_new0 (jd_event_watch_t, 1);
  *watch = (jd_event_watch_t){ .fd = fd, .ready = ready, .context = context };
  struct epoll_event event = { .events = events, .data.ptr = watch };
  if (epoll_ctl (poll->epoll_fd, EPOLL_CTL_ADD, fd, &event) == 0)
    return watch;
  g_free (watch);
  return NULL;
}

/* Replaces the set of events that a watch waits for. */
void
jd_event_poll_modify (jd_event_poll_t *poll, jd_event_watch_t *watch, uint32_t events)
{
  struct epoll_event event = { .events = events, .data.ptr = watch };
  if (epoll_ctl (poll->epoll_fd, EPOLL_CTL_MOD, watch->fd, &event) < 0)
    g_warning ("event=epoll_modify_failed fd=%d errno=%d", watch->fd, errno);
}

/* Removes a watch; NULL is allowed. Its memory stays valid until all events that
 * epoll_wait has returned are handled. */
void
jd_event_poll_remove (jd_event_poll_t *poll, jd_event_watch_t *watch)
{
  if (!watch)
    return;
  /* Fails if the descriptor is closed already, because closing removes it from epoll. */
  epoll_ctl (poll->epoll_fd, EPOLL_CTL_DEL, watch->fd, NULL);
  watch->ready = NULL;
  g_ptr_array_add (poll->removed_watches, watch);
}

/* Waits once and calls the callbacks of the ready watches; a signal ends the wait. */
void
jd_event_poll_wait (jd_event_poll_t *poll, int timeout_ms)
{
  struct epoll_event events[MAX_EVENTS_PER_WAIT];
  int count = epoll_wait (poll->epoll_fd, events, MAX_EVENTS_PER_WAIT, timeout_ms);
  for (int i = 0; i < count; i++)
    {
      jd_event_watch_t *watch = events[i].data.ptr;
      if (watch->ready)
        watch->ready (watch->context, events[i].events);
    }
  g_ptr_array_set_size (poll->removed_watches, 0);
}

/* Makes the eventfd readable, which ends the wait. */
void
jd_event_poll_wake (jd_event_poll_t *poll)
{
  uint64_t one = 1;
  /* EAGAIN means that the eventfd counter is full, so a wake-up is pending already. */
  if (write (poll->wake_fd, &one, sizeof (one)) < 0 && errno != EAGAIN)
    g_warning ("event=wake_write_failed errno=%d", errno);
}
