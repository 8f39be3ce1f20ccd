#include "stand_ins/platform_records.h"

#include <string.h>

#include "base/clock.h"

typedef struct version
{
  char *text; /* NULL: there is no such version. */
  uint64_t revision;
} version_t;

typedef struct record
{
  version_t versions[3]; /* Indexed by jd_platform_view_t. */
} record_t;

struct jd_platform_records
{
  GHashTable *by_name;
  jd_platform_view_t view;
  uint64_t last_revision;
};

static void
record_free (gpointer data)
{
  record_t *record = data;
  for (size_t i = 0; i < G_N_ELEMENTS (record->versions); i++)
    g_free (record->versions[i].text);
  g_free (record);
}

/* Replaces a version with a copy of another one. */
static void
copy_version (version_t *destination, const version_t *source)
{
  g_free (destination->text);
  *destination =
      (version_t){ .text = g_strdup (source->text), .revision = source->revision };
}

/* Creates an empty set. Revisions start at the wall-clock time in milliseconds, so that
 * a restarted platform assigns higher revisions than before. */
jd_platform_records_t *
jd_platform_records_new (void)
{
  jd_platform_records_t *records = g_new0 (jd_platform_records_t, 1);
  records->by_name = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, record_free);
  records->last_revision = (uint64_t)(jd_wall_time_us () / JD_US_PER_MS);
  return records;
}

void
jd_platform_records_free (jd_platform_records_t *records)
{
  if (!records)
    return;
  g_hash_table_destroy (records->by_name);
  g_free (records);
}

/* Publishes a version; the current version becomes the older one. The first version of a
 * record serves as both. */
uint64_t
jd_platform_records_put (jd_platform_records_t *records, const char *name,
                         const char *text)
{
  record_t *record = g_hash_table_lookup (records->by_name, name);
  if (!record)
    {
      record = g_new0 (record_t, 1);
      g_hash_table_insert (records->by_name, g_strdup (name), record);
    }
  version_t *current = &record->versions[JD_PLATFORM_CURRENT];
  if (current->text)
    copy_version (&record->versions[JD_PLATFORM_OLDER], current);
  g_free (current->text);
  *current = (version_t){ .text = g_strdup (text), .revision = ++records->last_revision };
  if (!record->versions[JD_PLATFORM_OLDER].text)
    copy_version (&record->versions[JD_PLATFORM_OLDER], current);
  return current->revision;
}

/* Publishes the content of one file; the file name must end in ".json". */
static gboolean
load_file (jd_platform_records_t *records, const char *directory, const char *file,
           GError **error)
{
  char *path = g_build_filename (directory, file, NULL);
  char *text = NULL;
  gboolean loaded = g_file_get_contents (path, &text, NULL, error);
  if (loaded)
    {
      char *name = g_strndup (file, strlen (file) - strlen (".json"));
      jd_platform_records_put (records, name, text);
      g_free (name);
    }
  g_free (text);
  g_free (path);
  return loaded;
}

/* Publishes all files of a directory that end in ".json". Returns FALSE with an error at
 * the first one that cannot be read. */
gboolean
jd_platform_records_load (jd_platform_records_t *records, const char *directory,
                          GError **error)
{
  GDir *dir = g_dir_open (directory, 0, error);
  if (!dir)
    return FALSE;
  gboolean loaded = TRUE;
  const char *file;
  while (loaded && (file = g_dir_read_name (dir)))
    {
      if (g_str_has_suffix (file, ".json"))
        loaded = load_file (records, directory, file, error);
    }
  g_dir_close (dir);
  return loaded;
}

/* Sets the view. A change to the frozen view copies the current versions. */
void
jd_platform_records_set_view (jd_platform_records_t *records, jd_platform_view_t view)
{
  if (view == JD_PLATFORM_FROZEN && records->view != JD_PLATFORM_FROZEN)
    {
      GHashTableIter iter;
      gpointer value;
      g_hash_table_iter_init (&iter, records->by_name);
      while (g_hash_table_iter_next (&iter, NULL, &value))
        {
          record_t *record = value;
          copy_version (&record->versions[JD_PLATFORM_FROZEN],
                        &record->versions[JD_PLATFORM_CURRENT]);
        }
    }
  records->view = view;
}

/* Returns the version of a record in the current view, or NULL. */
static const version_t *
version_in_view (const jd_platform_records_t *records, const char *name)
{
  const record_t *record = g_hash_table_lookup (records->by_name, name);
  const version_t *version = record ? &record->versions[records->view] : NULL;
  return version && version->text ? version : NULL;
}

uint64_t
jd_platform_records_revision (const jd_platform_records_t *records, const char *name)
{
  const version_t *version = version_in_view (records, name);
  return version ? version->revision : 0;
}

const char *
jd_platform_records_text (const jd_platform_records_t *records, const char *name)
{
  const version_t *version = version_in_view (records, name);
  return version ? version->text : NULL;
}

uint64_t
jd_platform_records_highest_revision (const jd_platform_records_t *records)
{
  uint64_t highest = 0;
  GHashTableIter iter;
  gpointer key;
  g_hash_table_iter_init (&iter, records->by_name);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    highest = MAX (highest, jd_platform_records_revision (records, key));
  return highest;
}

/* Returns the names and revisions of all records that the current view has. */
json_t *
jd_platform_records_list (const jd_platform_records_t *records)
{
  json_t *array = json_array ();
  GHashTableIter iter;
  gpointer key;
  g_hash_table_iter_init (&iter, records->by_name);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    {
      const version_t *version = version_in_view (records, key);
      if (version)
        json_array_append_new (array,
                               json_pack ("{s:s, s:I}", "name", (const char *)key,
                                          "version", (json_int_t)version->revision));
    }
  return json_pack ("{s:I, s:o}", "version",
                    (json_int_t)jd_platform_records_highest_revision (records), "records",
                    array);
}
