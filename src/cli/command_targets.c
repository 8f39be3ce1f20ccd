#include "cli/command_targets.h"

#include <stdio.h>
#include <string.h>

#include "cli/cli_http.h"
#include "cli/cli_output.h"

/* A gauge of the host's metrics that has a line for each target in a state. */
typedef struct cli_target_gauge
{
  const char *name;
  const char *state; /* As printed. */
  const char *value; /* What the value is, as printed. */
} cli_target_gauge_t;

static const cli_target_gauge_t gauges[] = {
  { "jackdaw_target_leaving_seconds", "leaving", "age_s" },
  { "jackdaw_target_paused_seconds", "paused", "age_s" },
  { "jackdaw_target_pause_left_seconds", "paused", "left_s" },
};

/* Prints one line of the metrics if it is about the state of a target. */
static void
print_line (const char *line, gboolean json)
{
  static const char label[] = "{target=\"";
  for (size_t i = 0; i < G_N_ELEMENTS (gauges); i++)
    {
      const cli_target_gauge_t *gauge = &gauges[i];
      size_t length = strlen (gauge->name);
      if (strncmp (line, gauge->name, length) != 0 ||
          strncmp (line + length, label, strlen (label)) != 0)
        continue;
      const char *id = line + length + strlen (label);
      const char *end = strstr (id, "\"} ");
      if (!end)
        return;
      double seconds = g_ascii_strtod (end + strlen ("\"} "), NULL);
      char *name = g_strndup (id, (gsize)(end - id));
      if (json)
        cli_print_json (json_pack ("{s:s, s:s, s:f}", "target", name, "state",
                                   gauge->state, gauge->value, seconds));
      else
        printf ("target=%s state=%s %s=%.3f\n", name, gauge->state, gauge->value,
                seconds);
      g_free (name);
      return;
    }
}

/* Reads the metrics of a host and prints the states of targets in them. */
cli_exit_t
cli_command_targets (const cli_command_t *command, const cli_options_t *options)
{
  char *text = NULL;
  long status = cli_http_call ("GET", options->metrics, "", NULL, &text);
  if (status != 200 || !text)
    {
      if (status == 0)
        cli_print_error ("%s: no response", options->metrics);
      else
        cli_print_error ("%s: HTTP status %ld", options->metrics, status);
      g_free (text);
      return CLI_EXIT_UNREACHABLE;
    }
  char **lines = g_strsplit (text, "\n", -1);
  for (char **line = lines; *line; line++)
    print_line (*line, options->json);
  g_strfreev (lines);
  g_free (text);
  return CLI_EXIT_OK;
}
