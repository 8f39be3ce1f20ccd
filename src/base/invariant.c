#include "base/invariant.h"

#include <stdio.h>
#include <stdlib.h>

static jd_invariant_handler_t installed_handler;
static void *installed_context;

/* Sets the function that is called instead of abort when an invariant is violated, so
 * that tests can check that a deliberate violation is detected. NULL restores the
 * abort. */
void
jd_invariant_set_handler (jd_invariant_handler_t handler, void *context)
{
  installed_handler = handler;
  installed_context = context;
}

/* Calls the installed handler, or without one prints the violated invariant to standard
 * error and aborts. */
void
jd_invariant_failed (const char *rule, const char *condition, const char *file, int line)
{
  if (installed_handler)
    {
      installed_handler (installed_context, rule, condition, file, line);
      return;
    }
  fprintf (stderr, "event=invariant_failed rule=%s condition=\"%s\" at=%s:%d\n", rule,
           condition, file, line);
  abort ();
}
