#pragma once

#include <glib.h>

/* Work that other threads hand to the event loop. */
typedef struct jd_loop_inbox jd_loop_inbox_t;

/* Runs in the event loop. */
typedef void (*jd_loop_call_t) (void *context, void *argument);

/* wake is called in the posting thread after each post. */
jd_loop_inbox_t *jd_loop_inbox_new (void (*wake) (void *context), void *context);
void jd_loop_inbox_free (jd_loop_inbox_t *inbox);

/* Has call (context, argument) run by the loop. Returns FALSE, and does not run it, when
 * the inbox is closed. */
gboolean jd_loop_inbox_post (jd_loop_inbox_t *inbox, jd_loop_call_t call, void *context,
                             void *argument);
/* As post, and waits until the call has run. Not from the loop's own thread. */
gboolean jd_loop_inbox_call (jd_loop_inbox_t *inbox, jd_loop_call_t call, void *context,
                             void *argument);
/* Runs all calls that wait; from the loop's thread. */
void jd_loop_inbox_drain (jd_loop_inbox_t *inbox);
/* Runs what waits and refuses everything later; for the end of the loop. */
void jd_loop_inbox_close (jd_loop_inbox_t *inbox);
