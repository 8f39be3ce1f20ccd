#pragma once

#include <glib.h>
#include <sys/types.h>

/* Starts a program of the build folder (JACKDAW_BUILD_DIR) with "--name=value" texts; the
 * list ends with NULL. Its log goes to the test's standard error. */
pid_t jd_child_start (const char *program, const char *const *arguments);
/* Waits up to timeout_ms for the end. Returns the exit status, 128 + N for signal N, or
 * -1 when it still runs. */
int jd_child_wait (pid_t pid, int timeout_ms);
