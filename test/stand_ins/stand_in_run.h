#pragma once

#include <glib.h>

#define JD_STAND_IN_ERROR (jd_stand_in_error_quark ())
GQuark jd_stand_in_error_quark (void);

/* Blocks the stop signals in this thread and those it starts; call it first. */
void jd_stand_in_block_signals (void);
/* Waits for SIGTERM or SIGINT. */
void jd_stand_in_wait_for_signal (void);
/* Translates "debug", "info", "warning" or "error"; info for other texts. */
GLogLevelFlags jd_stand_in_log_level (const char *name);
