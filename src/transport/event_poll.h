#pragma once

#include <glib.h>
#include <stdint.h>

/* Waits on file descriptors of one thread with epoll. */
typedef struct jd_event_poll jd_event_poll_t;
typedef struct jd_event_watch jd_event_watch_t;

/* Called as long as a file descriptor is ready; events is a set of EPOLL* bits. */
typedef void (*jd_event_ready_t) (void *context, uint32_t events);

jd_event_poll_t *jd_event_poll_new (void);
void jd_event_poll_free (jd_event_poll_t *poll);

/* Watches a file descriptor, level-triggered, until the watch is removed. The caller
 * keeps ownership of the file descriptor. Returns NULL if epoll_ctl fails. */
jd_event_watch_t *jd_event_poll_add (jd_event_poll_t *poll, int fd, uint32_t events,
                                     jd_event_ready_t ready, void *context);
void jd_event_poll_modify (jd_event_poll_t *poll, jd_event_watch_t *watch,
                           uint32_t events);
/* May be called inside any ready callback; the callback of a removed watch is not called
 * again. */
void jd_event_poll_remove (jd_event_poll_t *poll, jd_event_watch_t *watch);

/* Waits up to timeout_ms (-1: no limit), then calls the ready callbacks. */
void jd_event_poll_wait (jd_event_poll_t *poll, int timeout_ms);
/* Makes the current jd_event_poll_wait return early, or else the next one return at once.
 * May be called from any thread. */
void jd_event_poll_wake (jd_event_poll_t *poll);
