#include "transport/event_poll.h"

#include <errno.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>

#define EVENTS_PER_WAIT 128

struct jd_event_watch
{
  int fd;
  jd_event_ready_t ready; /* NULL once removed. */
  void *context;
};

struct jd_event_poll
{
  int epoll_fd;
  int wake_fd;
  jd_event_watch_t *wake_watch;
  GPtrArray *removed; /* Watches that pending events may still point to. */
};

/* Empties the eventfd after a wake-up. */
static void
clear_wake (void *context, uint32_t events)
{
  const jd_event_poll_t *poll = context;
  uint64_t count;
  if (read (poll->wake_fd, &count, sizeof (count)) < 0 && errno != EAGAIN)
    g_warning ("event=wake_read_failed errno=%d", errno);
}

/* Creates a poll with its wake-up descriptor; returns NULL when out of descriptors. */
jd_event_poll_t *
jd_event_poll_new (void)
{
  jd_event_poll_t *poll = g_new0 (jd_event_poll_t, 1);
  poll->removed = g_ptr_array_new_with_free_func (g_free);
  poll->epoll_fd = epoll_create1 (EPOLL_CLOEXEC);
  poll->wake_fd = eventfd (0, EFD_CLOEXEC | EFD_NONBLOCK);
  if (poll->epoll_fd >= 0 && poll->wake_fd >= 0)
    poll->wake_watch = jd_event_poll_add (poll, poll->wake_fd, EPOLLIN, clear_wake, poll);
  if (poll->wake_watch)
    return poll;
  jd_event_poll_free (poll);
  return NULL;
}

/* Frees a poll. All watches of others must have been removed before. */
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
  g_ptr_array_unref (poll->removed);
  g_free (poll);
}

/* Adds a watch. */
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

/* Changes the events of a watch. */
void
jd_event_poll_modify (jd_event_poll_t *poll, jd_event_watch_t *watch, uint32_t events)
{
  struct epoll_event event = { .events = events, .data.ptr = watch };
  if (epoll_ctl (poll->epoll_fd, EPOLL_CTL_MOD, watch->fd, &event) < 0)
    g_warning ("event=epoll_modify_failed fd=%d errno=%d", watch->fd, errno);
}

/* Removes a watch; its memory stays until the events already read are handled. */
void
jd_event_poll_remove (jd_event_poll_t *poll, jd_event_watch_t *watch)
{
  if (!watch)
    return;
  /* Fails when the descriptor was closed before, which removed it already. */
  epoll_ctl (poll->epoll_fd, EPOLL_CTL_DEL, watch->fd, NULL);
  watch->ready = NULL;
  g_ptr_array_add (poll->removed, watch);
}

/* Waits once and calls the watches that are ready. */
void
jd_event_poll_wait (jd_event_poll_t *poll, int timeout_ms)
{
  struct epoll_event events[EVENTS_PER_WAIT];
  int count = epoll_wait (poll->epoll_fd, events, EVENTS_PER_WAIT, timeout_ms);
  for (int i = 0; i < count; i++)
    {
      jd_event_watch_t *watch = events[i].data.ptr;
      if (watch->ready)
        watch->ready (watch->context, events[i].events);
    }
  g_ptr_array_set_size (poll->removed, 0);
}

/* Wakes the waiting thread. */
void
jd_event_poll_wake (jd_event_poll_t *poll)
{
  uint64_t one = 1;
  /* EAGAIN means that a wake-up is pending already. */
  if (write (poll->wake_fd, &one, sizeof (one)) < 0 && errno != EAGAIN)
    g_warning ("event=wake_write_failed errno=%d", errno);
}
