#pragma once

#include <glib.h>
#include <stdint.h>

typedef enum jd_setting_type
{
  JD_SETTING_TEXT,
  JD_SETTING_INTEGER,
  JD_SETTING_FLAG, /* Has no value on the command line. */
} jd_setting_type_t;

/* One setting. The flag "--listen-port" and the environment variable JACKDAW_LISTEN_PORT
 * set the same setting; the flag takes precedence. */
typedef struct jd_setting
{
  const char *name; /* Lower case with hyphens, without the leading "--". */
  const char *help;
  jd_setting_type_t type;
  const char *default_value; /* NULL if the setting has no default. */
  gboolean required;
  int64_t min; /* Smallest accepted integer. */
  int64_t max; /* Largest accepted integer. */

  /* Results of jd_settings_load (). */
  gboolean given;   /* The flag or the variable is set. */
  const char *text; /* NULL if there is no value. */
  int64_t integer;  /* Value of an integer; 1 or 0 for a flag. */
} jd_setting_t;

typedef enum jd_settings_outcome
{
  JD_SETTINGS_RUN,        /* All values are valid; the program can run. */
  JD_SETTINGS_EXIT_OK,    /* --help, --version or --check-settings was handled. */
  JD_SETTINGS_EXIT_ERROR, /* An error was printed to standard error. */
} jd_settings_outcome_t;

/* Checks settings that depend on each other. Returns FALSE with an error that names
 * them. */
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

/* Reads the command line and the environment and stores the result in each setting. Texts
 * stay valid until the process ends. */
jd_settings_outcome_t jd_settings_load (jd_settings_program_t *program, int argc,
                                        char **argv);
/* Returns TRUE if a text is "IP:port" with a numeric IPv4 address and a port from 1 to
 * 65535; FALSE for NULL. */
gboolean jd_settings_is_address (const char *text);
