#include "cli/command_story.h"

#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include "cli/cli_output.h"

#define LINE_BYTES 4096

/* What each end of a request means, for a reader who has only the lines. */
static const struct
{
  const char *end;
  const char *meaning;
} meanings[] = {
  { "served", "answered with all parts" },
  { "partial", "answered in time without some parts; see the attempts above" },
  { "target_failure", "a target answered with a failure, which was passed on" },
  { "not_run", "refused: no target could take it, and none ran it" },
  { "failed", "failed after a target may have run it" },
  { "timed_out", "no target answered within the time of the caller or the route" },
  { "caller_left", "the caller left before the answer" },
};

/* Returns the value of a key in a line; free with g_free. NULL when it is absent. */
static char *
line_value (const char *line, const char *key)
{
  char *wanted = g_strdup_printf (" %s=", key);
  const char *at = strstr (line, wanted);
  char *value = NULL;
  if (at)
    {
      at += strlen (wanted);
      value = g_strndup (at, strcspn (at, " \r\n"));
    }
  g_free (wanted);
  return value;
}

/* Remembers the last line that tells what a host believes of a target. */
static void
note_belief (GHashTable *beliefs, const char *line)
{
  static const char *const events[] = { "target_ejected", "target_unreachable",
                                        "target_reachable", "target_gone",
                                        "target_seen" };
  char *event = line_value (line, "event");
  char *target = line_value (line, "target");
  char *host = line_value (line, "host");
  for (size_t i = 0; event && target && host && i < G_N_ELEMENTS (events); i++)
    {
      if (strcmp (event, events[i]) == 0)
        g_hash_table_replace (beliefs, g_strdup_printf ("%s %s", host, target),
                              g_strdup (line));
    }
  g_free (event);
  g_free (target);
  g_free (host);
}

/* Prints a line of the request, after what its host believed of the target it names. */
static void
print_line (GHashTable *beliefs, const char *line)
{
  char *target = line_value (line, "target");
  char *host = line_value (line, "host");
  char *key = g_strdup_printf ("%s %s", host ? host : "", target ? target : "");
  const char *belief = target ? g_hash_table_lookup (beliefs, key) : NULL;
  if (belief)
    printf ("  before: %s", belief);
  printf ("%s", line);
  if (belief)
    g_hash_table_remove (beliefs, key);
  g_free (key);
  g_free (target);
  g_free (host);
}

/* Prints what the end of the request means. */
static void
print_meaning (const char *line)
{
  char *end = line_value (line, "end");
  char *cause = line_value (line, "cause");
  for (size_t i = 0; end && i < G_N_ELEMENTS (meanings); i++)
    {
      if (strcmp (end, meanings[i].end) == 0)
        printf ("  meaning: %s\n", meanings[i].meaning);
    }
  if (!end && cause)
    printf ("  meaning: rejected before it was sent anywhere, cause %s\n", cause);
  g_free (end);
  g_free (cause);
}

/* Prints the story of a request; fails when no line names it. */
cli_exit_t
cli_command_story (const char *id, const char *path)
{
  FILE *file = path ? fopen (path, "r") : stdin;
  if (!file)
    {
      cli_print_error ("cannot read \"%s\"", path);
      return CLI_EXIT_USAGE;
    }
  GHashTable *beliefs = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  char line[LINE_BYTES];
  uint32_t found = 0;
  while (fgets (line, sizeof (line), file))
    {
      char *line_id = line_value (line, "id");
      if (line_id && strcmp (line_id, id) == 0)
        {
          found++;
          print_line (beliefs, line);
          print_meaning (line);
        }
      else if (!line_id)
        note_belief (beliefs, line);
      g_free (line_id);
    }
  g_hash_table_destroy (beliefs);
  if (path)
    fclose (file);
  if (found > 0)
    return CLI_EXIT_OK;
  cli_print_error ("no line names request \"%s\"; lines_left_out in other lines tells of "
                   "lines that were left out",
                   id);
  return CLI_EXIT_CHECK_FAILED;
}
