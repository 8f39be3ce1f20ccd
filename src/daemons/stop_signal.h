#pragma once

#include <glib.h>

#include "transport/event_poll.h"

/* Receives SIGTERM and SIGINT in an event poll and sets a flag. */
typedef struct jd_stop_signal
{
  int fd;
  gboolean received;
  jd_event_watch_t *watch;
} jd_stop_signal_t;

/* Blocks the stop signals. Must run before any thread starts. */
void jd_stop_signal_block (void);
gboolean jd_stop_signal_init (jd_stop_signal_t *signal, jd_event_poll_t *poll);
void jd_stop_signal_clear (jd_stop_signal_t *signal, jd_event_poll_t *poll);
