#include "stand_ins/platform_records.h"

#include <string.h>

#include "base/clock.h"

typedef struct version
{
  char *text; /* NULL: no such version. */
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
  uint64_t revision;
};

/* Frees a record. */
static void
record_free (gpointer data)
{
  record_t *record = data;
  for (size_t i = 0; i < G_N_ELEMENTS (record->versions); i++)
    g_free (record->versions[i].text);
  g_free (record);
}

/* Replaces a version by a copy of another one. */
static void
copy_version (version_t *to, const version_t *from)
{
  g_free (to->text);
  *to = (version_t){ .text = g_strdup (from->text), .revision = from->revision };
}

/* Creates an empty set. Revisions start at the wall-clock time in milliseconds, so that
 * those of a restarted platform are higher than all before. */
jd_platform_records_t *
jd_platform_records_new (void)
{
  jd_platform_records_t *records = g_new0 (jd_platform_records_t, 1);
  records->by_name = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, record_free);
  records->revision = (uint64_t)(jd_wall_time_us () / JD_US_PER_MS);
  return records;
}

/* Frees all records. */
void
jd_platform_records_free (jd_platform_records_t *records)
{
  if (!records)
    return;
  g_hash_table_destroy (records->by_name);
  g_free (records);
}

/* Publishes a version; the current one becomes the older one. */
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
  *current = (version_t){ .text = g_strdup (text), .revision = ++records->revision };
  if (!record->versions[JD_PLATFORM_OLDER].text)
    copy_version (&record->versions[JD_PLATFORM_OLDER], current);
  return current->revision;
}

/* Loads one file. */
static gboolean
load_file (jd_platform_records_t *records, const char *folder, const char *file,
           GError **error)
{
  char *path = g_build_filename (folder, file, NULL);
  char *text = NULL;
  gboolean good = g_file_get_contents (path, &text, NULL, error);
  if (good)
    {
      char *name = g_strndup (file, strlen (file) - strlen (".json"));
      jd_platform_records_put (records, name, text);
      g_free (name);
    }
  g_free (text);
  g_free (path);
  return good;
}

/* Loads all files that end in ".json". */
gboolean
jd_platform_records_load (jd_platform_records_t *records, const char *folder,
                          GError **error)
{
  GDir *directory = g_dir_open (folder, 0, error);
  if (!directory)
    return FALSE;
  gboolean good = TRUE;
  const char *file;
  while (good && (file = g_dir_read_name (directory)))
    {
      if (g_str_has_suffix (file, ".json"))
        good = load_file (records, folder, file, error);
    }
  g_dir_close (directory);
  return good;
}

/* Switches the view; the frozen one is taken from the records as they are now. */
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

/* Returns the version of a record in the view in force, or NULL. */
static const version_t *
seen_version (const jd_platform_records_t *records, const char *name)
{
  const record_t *record = g_hash_table_lookup (records->by_name, name);
  const version_t *version = record ? &record->versions[records->view] : NULL;
  return version && version->text ? version : NULL;
}

/* Returns the revision of a record. */
uint64_t
jd_platform_records_revision (const jd_platform_records_t *records, const char *name)
{
  const version_t *version = seen_version (records, name);
  return version ? version->revision : 0;
}

/* Returns the text of a record. */
const char *
jd_platform_records_text (const jd_platform_records_t *records, const char *name)
{
  const version_t *version = seen_version (records, name);
  return version ? version->text : NULL;
}

/* Returns the highest revision. */
uint64_t
jd_platform_records_index (const jd_platform_records_t *records)
{
  uint64_t index = 0;
  GHashTableIter iter;
  gpointer key;
  g_hash_table_iter_init (&iter, records->by_name);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    index = MAX (index, jd_platform_records_revision (records, key));
  return index;
}

/* Renders names and revisions. */
json_t *
jd_platform_records_list (const jd_platform_records_t *records)
{
  json_t *array = json_array ();
  GHashTableIter iter;
  gpointer key;
  g_hash_table_iter_init (&iter, records->by_name);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    {
      const version_t *version = seen_version (records, key);
      if (version)
        json_array_append_new (array,
                               json_pack ("{s:s, s:I}", "name", (const char *)key,
                                          "version", (json_int_t)version->revision));
    }
  return json_pack ("{s:I, s:o}", "version",
                    (json_int_t)jd_platform_records_index (records), "records", array);
}
