#include <stdio.h>
#include <stdlib.h>

#include "base/log_event.h"
#include "config/settings.h"
#include "stand_ins/stand_in_run.h"
#include "stand_ins/target_server.h"

enum
{
  SETTING_IP,
  SETTING_PORT,
  SETTING_COUNT,
  SETTING_ID_PREFIX,
  SETTING_FIRST_INDEX,
  SETTING_ZONE,
  SETTING_SEED,
  SETTING_SNAPSHOTS,
  SETTING_CONDITIONS,
  SETTING_LOG_LEVEL,
  SETTING_TOTAL,
};

static jd_setting_t settings[SETTING_TOTAL] = {
  [SETTING_IP] = { .name = "ip",
                   .help = "address to bind",
                   .default_value = "127.0.0.1" },
  [SETTING_PORT] = { .name = "port",
                     .type = JD_SETTING_INTEGER,
                     .default_value = "0",
                     .max = 65535,
                     .help = "port of the first target; the others use the next ports; "
                             "0: any free ports" },
  [SETTING_COUNT] = { .name = "count",
                      .type = JD_SETTING_INTEGER,
                      .default_value = "1",
                      .min = 1,
                      .max = 200,
                      .help = "number of targets" },
  [SETTING_ID_PREFIX] = { .name = "id-prefix",
                          .default_value = "t",
                          .help =
                              "prefix of target ids; the index of the target follows" },
  [SETTING_FIRST_INDEX] = { .name = "first-index",
                            .type = JD_SETTING_INTEGER,
                            .default_value = "0",
                            .max = 1000000,
                            .help = "index of the first target" },
  [SETTING_ZONE] = { .name = "zone", .default_value = "a", .help = "availability zone" },
  [SETTING_SEED] = { .name = "seed",
                     .type = JD_SETTING_INTEGER,
                     .default_value = "1",
                     .max = INT64_MAX,
                     .help = "seed of the service times" },
  [SETTING_SNAPSHOTS] = { .name = "snapshots",
                          .default_value = "1",
                          .help = "snapshots of each target, newest first, separated by "
                                  "commas" },
  [SETTING_CONDITIONS] = { .name = "conditions",
                           .default_value = "{}",
                           .help = "JSON object with initial values of fields of GET "
                                   "/faults" },
  [SETTING_LOG_LEVEL] = { .name = "log-level",
                          .default_value = "info",
                          .help = "debug, info, warning or error" },
};

static jd_target_conditions_t conditions;

/* Settings check: parses the snapshots and the conditions. */
static gboolean
check_conditions (void *context, GError **error)
{
  conditions = jd_target_conditions_default ();
  char *text = g_strdup_printf ("{\"snapshots\":[%s]}", settings[SETTING_SNAPSHOTS].text);
  const char *texts[] = { text, settings[SETTING_CONDITIONS].text };
  gboolean valid = TRUE;
  for (size_t i = 0; valid && i < G_N_ELEMENTS (texts); i++)
    {
      json_t *object = json_loads (texts[i], 0, NULL);
      if (json_is_object (object))
        valid = jd_target_conditions_apply (&conditions, object, error);
      else
        {
          g_set_error (error, JD_SETTINGS_ERROR, 0, "%s: not a JSON object", texts[i]);
          valid = FALSE;
        }
      json_decref (object);
    }
  g_free (text);
  return valid;
}

/* Starts one target and prints its id and address on standard output. Logs an error and
 * returns NULL if the target cannot start. */
static jd_target_t *
start_target (int64_t index, jd_timer_queue_t *timers, jd_execution_log_t *executions)
{
  int64_t target_number = settings[SETTING_FIRST_INDEX].integer + index;
  int64_t port = settings[SETTING_PORT].integer;
  char *id = g_strdup_printf ("%s%" G_GINT64_FORMAT, settings[SETTING_ID_PREFIX].text,
                              target_number);
  jd_target_options_t options = {
    .id = id,
    .zone = settings[SETTING_ZONE].text,
    .ip = settings[SETTING_IP].text,
    .port = (uint16_t)(port ? port + index : 0),
    .seed = (uint64_t)settings[SETTING_SEED].integer,
    .stream = (uint64_t)target_number,
    .conditions = conditions,
    .timers = timers,
    .executions = executions,
  };
  GError *error = NULL;
  jd_target_t *target = jd_target_new (&options, &error);
  if (target)
    printf ("target id=%s address=%s:%u\n", id, options.ip, jd_target_port (target));
  else
    jd_log_event (G_LOG_LEVEL_CRITICAL, "start_failed", "target=%s error=\"%s\"", id,
                  error->message);
  g_clear_error (&error);
  g_free (id);
  return target;
}

/* Runs the targets until a stop signal. Returns the exit status. */
static int
run (void)
{
  jd_timer_queue_t *timers = jd_timer_queue_new ();
  jd_execution_log_t *executions = jd_execution_log_new ();
  GPtrArray *targets = g_ptr_array_new ();
  int status = EXIT_SUCCESS;
  for (int64_t i = 0; i < settings[SETTING_COUNT].integer && status == EXIT_SUCCESS; i++)
    {
      jd_target_t *target = start_target (i, timers, executions);
      if (target)
        g_ptr_array_add (targets, target);
      else
        status = EXIT_FAILURE;
    }
  if (status == EXIT_SUCCESS)
    {
      printf ("ready\n");
      fflush (stdout);
      jd_stand_in_wait_for_signal ();
    }
  g_ptr_array_foreach (targets, (GFunc)(void (*) (void))jd_target_stop, NULL);
  /* The timers refer to the targets, so they are freed before the targets. */
  jd_timer_queue_free (timers);
  g_ptr_array_foreach (targets, (GFunc)(void (*) (void))jd_target_free, NULL);
  g_ptr_array_free (targets, TRUE);
  jd_execution_log_free (executions);
  return status;
}

int
main (int argc, char **argv)
{
  jd_settings_program_t program = {
    .name = "jackdaw-target-stand-in",
    .summary = "stand-ins for targets, for tests and the demo",
    .settings = settings,
    .setting_count = SETTING_TOTAL,
    .check = check_conditions,
  };
  switch (jd_settings_load (&program, argc, argv))
    {
    case JD_SETTINGS_RUN:
      break;
    case JD_SETTINGS_EXIT_OK:
      return EXIT_SUCCESS;
    case JD_SETTINGS_EXIT_ERROR:
    default:
      return EXIT_FAILURE;
    }
  jd_log_install ("target-stand-in", settings[SETTING_ID_PREFIX].text,
                  jd_stand_in_log_level (settings[SETTING_LOG_LEVEL].text));
  jd_stand_in_block_signals ();
  return run ();
}
