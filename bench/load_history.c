#include "load_history.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "config/settings.h"

struct load_history
{
  GMutex lock;
  FILE *file;
};

/* Opens and truncates the file. Returns NULL without an error if path is NULL, and NULL
 * with an error if the file cannot be opened. All functions accept a history of NULL. */
load_history_t *
load_history_open (const char *path, GError **error)
{
  if (!path)
    return NULL;
  FILE *file = fopen (path, "we");
  if (!file)
    {
      g_set_error (error, JD_SETTINGS_ERROR, 0, "%s: %s", path, g_strerror (errno));
      return NULL;
    }
  load_history_t *history = g_new0 (load_history_t, 1);
  g_mutex_init (&history->lock);
  history->file = file;
  return history;
}

/* Appends the object as one line; takes ownership of the object. */
void
load_history_add (load_history_t *history, json_t *object)
{
  char *line = history ? json_dumps (object, JSON_COMPACT) : NULL;
  json_decref (object);
  if (!line)
    return;
  g_mutex_lock (&history->lock);
  fprintf (history->file, "%s\n", line);
  g_mutex_unlock (&history->lock);
  free (line);
}

/* Closes the file and frees the history. */
void
load_history_close (load_history_t *history)
{
  if (!history)
    return;
  fclose (history->file);
  g_mutex_clear (&history->lock);
  g_free (history);
}
