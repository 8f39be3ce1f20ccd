#pragma once

#include <glib.h>

#define JD_STAND_IN_ERROR (jd_stand_in_error_quark ())
GQuark jd_stand_in_error_quark (void);

/* Blocks SIGTERM and SIGINT in this thread and the threads it starts, and ignores
 * SIGPIPE. Must be called before any thread is started. */
void jd_stand_in_block_signals (void);
/* Returns when SIGTERM or SIGINT is received. */
void jd_stand_in_wait_for_signal (void);
/* Returns the level named "debug", "info", "warning" or "error"; info for other names. */
GLogLevelFlags jd_stand_in_log_level (const char *name);
