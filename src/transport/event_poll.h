#pragma once

#include <glib.h>
#include <stdint.h>

/* Waits on file descriptors of one thread with epoll. */
typedef struct jd_event_poll jd_event_poll_t;
typedef struct jd_event_watch jd_event_watch_t;

/* Called while a file descriptor is ready; events are EPOLLIN, EPOLLOUT and so on. */
typedef void (*jd_event_ready_t) (void *context, uint32_t events);

jd_event_poll_t *jd_event_poll_new (void);
void jd_event_poll_free (jd_event_poll_t *poll);

/* Watches a file descriptor, level-triggered, until the watch is removed. The file
 * descriptor stays the caller's. Returns NULL when the system refuses. */
jd_event_watch_t *jd_event_poll_add (jd_event_poll_t *poll, int fd, uint32_t events,
                                     jd_event_ready_t ready, void *context);
void jd_event_poll_modify (jd_event_poll_t *poll, jd_event_watch_t *watch,
                           uint32_t events);
/* Allowed inside any ready callback; a removed watch is not called again. */
void jd_event_poll_remove (jd_event_poll_t *poll, jd_event_watch_t *watch);

/* Waits up to timeout_ms (-1: no limit), then calls the ready callbacks. */
void jd_event_poll_wait (jd_event_poll_t *poll, int timeout_ms);
/* Makes a wait return early, or the next one at once; allowed from any thread. */
void jd_event_poll_wake (jd_event_poll_t *poll);
