#pragma once

#include <glib.h>

/* A queue of calls that other threads post to the thread of an event loop. */
typedef struct jd_loop_inbox jd_loop_inbox_t;

/* A posted call; runs in the thread of the event loop. */
typedef void (*jd_loop_call_t) (void *context, void *argument);

/* wake (context) is called in the posting thread after each post and must wake the event
 * loop. */
jd_loop_inbox_t *jd_loop_inbox_new (void (*wake) (void *context), void *context);
void jd_loop_inbox_free (jd_loop_inbox_t *inbox);

/* Queues call (context, argument) for the event loop. Returns FALSE and does not run the
 * call if the inbox is closed. */
gboolean jd_loop_inbox_post (jd_loop_inbox_t *inbox, jd_loop_call_t call, void *context,
                             void *argument);
/* Like jd_loop_inbox_post, but waits until the call has run. Must not be used in the
 * event loop's own thread, which would wait for itself. */
gboolean jd_loop_inbox_call (jd_loop_inbox_t *inbox, jd_loop_call_t call, void *context,
                             void *argument);
/* Runs all queued calls in order. For the event loop's thread only. */
void jd_loop_inbox_drain (jd_loop_inbox_t *inbox);
/* Refuses all later calls and runs the queued ones; for the end of the event loop. */
void jd_loop_inbox_close (jd_loop_inbox_t *inbox);
