#pragma once

#include <glib.h>
#include <jansson.h>
#include <stdint.h>

/* Which versions of the records are served. */
typedef enum jd_platform_view
{
  JD_PLATFORM_CURRENT,
  JD_PLATFORM_FROZEN, /* Those of the time when this view was switched on. */
  JD_PLATFORM_OLDER,  /* Of each record the version before the current one. */
} jd_platform_view_t;

/* The published records. Revisions are set by the platform, grow with every write, and
 * go on growing after a restart. Not thread-safe. */
typedef struct jd_platform_records jd_platform_records_t;

jd_platform_records_t *jd_platform_records_new (void);
void jd_platform_records_free (jd_platform_records_t *records);
/* Loads each NAME.json of a folder. */
gboolean jd_platform_records_load (jd_platform_records_t *records, const char *folder,
                                   GError **error);
/* Publishes a text under a name; returns its revision. */
uint64_t jd_platform_records_put (jd_platform_records_t *records, const char *name,
                                  const char *text);
void jd_platform_records_set_view (jd_platform_records_t *records,
                                   jd_platform_view_t view);

/* All of these see the records through the view in force. */

/* Revision of a record, 0 when there is none. */
uint64_t jd_platform_records_revision (const jd_platform_records_t *records,
                                       const char *name);
/* Text of a record, or NULL; valid until the next change. */
const char *jd_platform_records_text (const jd_platform_records_t *records,
                                      const char *name);
/* Highest revision of all records, 0 when there are none. */
uint64_t jd_platform_records_index (const jd_platform_records_t *records);
/* {"version": index, "records": [{"name": text, "version": revision}]} */
json_t *jd_platform_records_list (const jd_platform_records_t *records);
