#pragma once

#include <glib.h>

#include "transport/event_poll.h"

/* Turns SIGTERM and SIGINT into a flag of the event loop. */
typedef struct jd_stop_signal
{
  int fd;
  gboolean received;
  jd_event_watch_t *watch;
} jd_stop_signal_t;

/* Blocks the signals; call before any thread starts. */
void jd_stop_signal_block (void);
gboolean jd_stop_signal_init (jd_stop_signal_t *signal, jd_event_poll_t *poll);
void jd_stop_signal_clear (jd_stop_signal_t *signal, jd_event_poll_t *poll);
