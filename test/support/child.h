#pragma once

#include <glib.h>
#include <sys/types.h>

/* Starts a program of the build directory (JACKDAW_BUILD_DIR, or "build") with the given
 * arguments, a list that ends with NULL. Its log goes to the test's standard error. */
pid_t jd_child_start (const char *program, const char *const *arguments);
/* Waits up to timeout_ms for the end of a process. Returns its exit status, 128 + N if
 * signal N ended it, or -1 if it still runs. */
int jd_child_wait (pid_t pid, int timeout_ms);
