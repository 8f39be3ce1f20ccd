#pragma once

#include <glib.h>
#include <stdint.h>

typedef enum jd_setting_type
{
  JD_SETTING_TEXT,
  JD_SETTING_INTEGER,
  JD_SETTING_FLAG, /* No value; given or not. */
} jd_setting_type_t;

/* One setting. Flag "--listen-port" has the environment variable JACKDAW_LISTEN_PORT;
 * the flag goes first. */
typedef struct jd_setting
{
  const char *name; /* Lower case with hyphens, without the leading "--". */
  const char *help;
  jd_setting_type_t type;
  const char *default_value; /* NULL without required: the setting is optional. */
  gboolean required;
  int64_t min; /* Accepted range of integers. */
  int64_t max;

  /* Results. */
  gboolean given;
  const char *text; /* NULL when there is no value. */
  int64_t integer;
} jd_setting_t;

typedef enum jd_settings_outcome
{
  JD_SETTINGS_RUN,        /* All values are good. */
  JD_SETTINGS_EXIT_OK,    /* --help, --version or --check-settings was served. */
  JD_SETTINGS_EXIT_ERROR, /* An error was printed to standard error. */
} jd_settings_outcome_t;

/* Checks values against each other; returns FALSE with an error that names them. */
typedef gboolean (*jd_settings_check_t) (void *context, GError **error);

typedef struct jd_settings_program
{
  const char *name;
  const char *summary;
  jd_setting_t *settings;
  uint32_t setting_count;
  jd_settings_check_t check; /* May be NULL. */
  void *context;
} jd_settings_program_t;

#define JD_SETTINGS_ERROR (jd_settings_error_quark ())
GQuark jd_settings_error_quark (void);

/* Reads flags and environment into the results of each setting. Texts live until the
 * process ends. */
jd_settings_outcome_t jd_settings_load (jd_settings_program_t *program, int argc,
                                        char **argv);
/* TRUE for "IP:port" with a numeric IPv4 address and a port from 1 to 65535. */
gboolean jd_settings_is_address (const char *text);
