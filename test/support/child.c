#include "support/child.h"

#include <spawn.h>
#include <stdlib.h>
#include <sys/wait.h>

extern char **environ;

/* Returns the process id; aborts the test program if the program cannot be started. */
pid_t
jd_child_start (const char *program, const char *const *arguments)
{
  const char *directory = g_getenv ("JACKDAW_BUILD_DIR");
  char *path = g_strdup_printf ("%s/%s", directory ? directory : "build", program);
  GPtrArray *argv = g_ptr_array_new ();
  g_ptr_array_add (argv, path);
  for (int i = 0; arguments[i]; i++)
    g_ptr_array_add (argv, (char *)arguments[i]);
  g_ptr_array_add (argv, NULL);
  pid_t pid = -1;
  if (posix_spawn (&pid, path, NULL, NULL, (char **)argv->pdata, environ) != 0)
    {
      g_printerr ("cannot start the program %s\n", path);
      abort ();
    }
  g_ptr_array_free (argv, TRUE);
  g_free (path);
  return pid;
}

/* Polls every 5 ms; reaps the process when it has ended. */
int
jd_child_wait (pid_t pid, int timeout_ms)
{
  int status = 0;
  for (int waited_ms = 0; waitpid (pid, &status, WNOHANG) == 0; waited_ms += 5)
    {
      if (waited_ms >= timeout_ms)
        return -1;
      g_usleep (5000);
    }
  return WIFEXITED (status) ? WEXITSTATUS (status) : 128 + WTERMSIG (status);
}
