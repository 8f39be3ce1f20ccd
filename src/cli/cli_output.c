#include "cli/cli_output.h"

#include <glib.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>

/* Prints the object as one line of JSON to standard output and releases it. */
void
cli_print_json (json_t *object)
{
  char *text = json_dumps (object, JSON_COMPACT);
  printf ("%s\n", text ? text : "{}");
  free (text);
  json_decref (object);
}

/* Prints one formatted error message to standard error. */
void
cli_print_error (const char *format, ...)
{
  va_list arguments;
  va_start (arguments, format);
  char *message = g_strdup_vprintf (format, arguments);
  va_end (arguments);
  fprintf (stderr, "jackdawctl: %s\n", message);
  g_free (message);
}
