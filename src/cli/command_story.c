#include "cli/command_story.h"

#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include "cli/cli_output.h"

/* Hosts log lines of at most 1024 bytes. */
#define LINE_BYTES 4096

/* Explanation of each value of the end key, printed after the log line that has it. */
static const struct
{
  const char *end;
  const char *meaning;
} meanings[] = {
  { "served", "answered with all parts" },
  { "partial", "answered in time with some parts missing; see the attempts above" },
  { "target_failure",
    "a target answered with a failure, which was passed on to the caller" },
  { "not_run", "refused: no target could take it, and no target ran it" },
  { "failed", "failed; a target may have run it" },
  { "timed_out", "no target answered before the deadline of the caller or the route" },
  { "caller_left", "the caller disconnected before the answer" },
};

/* Returns the value of a key in a log line, or NULL if the line does not have the key;
 * free with g_free. */
static char *
line_value (const char *line, const char *key)
{
  char *key_prefix = g_strdup_printf (" %s=", key);
  const char *match = strstr (line, key_prefix);
  char *value = NULL;
  if (match)
    {
      match += strlen (key_prefix);
      value = g_strndup (match, strcspn (match, " \r\n"));
    }
  g_free (key_prefix);
  return value;
}

/* Stores a log line that reports a state change of a target, as the last known state of
 * the target at the host that logged it. Ignores other lines. */
static void
record_target_state (GHashTable *target_states, const char *line)
{
  static const char *const events[] = { "target_ejected",   "target_unreachable",
                                        "target_reachable", "target_gone",
                                        "target_seen",      "target_leaving",
                                        "target_paused" };
  char *event = line_value (line, "event");
  char *target = line_value (line, "target");
  char *host = line_value (line, "host");
  for (size_t i = 0; event && target && host && i < G_N_ELEMENTS (events); i++)
    {
      if (strcmp (event, events[i]) == 0)
        g_hash_table_replace (target_states, g_strdup_printf ("%s %s", host, target),
                              g_strdup (line));
    }
  g_free (event);
  g_free (target);
  g_free (host);
}

/* Prints a log line of the request, preceded by the last known state of its target at
 * that host. Each state is printed once. */
static void
print_line (GHashTable *target_states, const char *line)
{
  char *target = line_value (line, "target");
  char *host = line_value (line, "host");
  char *key = g_strdup_printf ("%s %s", host ? host : "", target ? target : "");
  const char *target_state = target ? g_hash_table_lookup (target_states, key) : NULL;
  if (target_state)
    printf ("  before: %s", target_state);
  printf ("%s", line);
  if (target_state)
    g_hash_table_remove (target_states, key);
  g_free (key);
  g_free (target);
  g_free (host);
}

/* Prints the meaning of a log line that ends or rejects the request. */
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
    printf ("  meaning: rejected before it was sent to a target, cause %s\n", cause);
  g_free (end);
  g_free (cause);
}

/* Prints the trace of a request from the log lines in a file, or in standard input if
 * path is NULL. Fails if no line has the id of the request. */
cli_exit_t
cli_command_request_trace (const char *id, const char *path)
{
  FILE *file = path ? fopen (path, "r") : stdin;
  if (!file)
    {
      cli_print_error ("cannot read \"%s\"", path);
      return CLI_EXIT_USAGE;
    }
  GHashTable *target_states =
      g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  char line[LINE_BYTES];
  uint32_t match_count = 0;
  while (fgets (line, sizeof (line), file))
    {
      char *line_id = line_value (line, "id");
      if (line_id && strcmp (line_id, id) == 0)
        {
          match_count++;
          print_line (target_states, line);
          print_meaning (line);
        }
      else if (!line_id)
        record_target_state (target_states, line);
      g_free (line_id);
    }
  g_hash_table_destroy (target_states);
  if (path)
    fclose (file);
  if (match_count > 0)
    return CLI_EXIT_OK;
  cli_print_error (
      "no log line has id \"%s\"; lines_left_out in other lines counts lines "
      "that a rate limit suppressed",
      id);
  return CLI_EXIT_CHECK_FAILED;
}
