#pragma once

#include <glib.h>
#include <jansson.h>
#include <stdint.h>

/* The versions of the records that readers get. */
typedef enum jd_platform_view
{
  JD_PLATFORM_CURRENT,
  JD_PLATFORM_FROZEN, /* The versions at the time when this view was set. */
  JD_PLATFORM_OLDER,  /* The version before the current one of each record. */
} jd_platform_view_t;

/* The published records. The platform assigns the revisions, which increase with every
 * write, also across a restart. Not thread-safe. */
typedef struct jd_platform_records jd_platform_records_t;

jd_platform_records_t *jd_platform_records_new (void);
void jd_platform_records_free (jd_platform_records_t *records);
/* Publishes each file NAME.json of a directory as the record NAME. */
gboolean jd_platform_records_load (jd_platform_records_t *records, const char *directory,
                                   GError **error);
/* Publishes a text as a new version of the named record; returns its revision. */
uint64_t jd_platform_records_put (jd_platform_records_t *records, const char *name,
                                  const char *text);
void jd_platform_records_set_view (jd_platform_records_t *records,
                                   jd_platform_view_t view);

/* All functions below read the versions of the current view. */

/* Returns the revision of a record, or 0 if there is no such record. */
uint64_t jd_platform_records_revision (const jd_platform_records_t *records,
                                       const char *name);
/* Returns the text of a record, or NULL; valid until the next change. */
const char *jd_platform_records_text (const jd_platform_records_t *records,
                                      const char *name);
/* Returns the highest revision of all records, or 0 if there are none. */
uint64_t jd_platform_records_highest_revision (const jd_platform_records_t *records);
/* Returns the JSON object of the names and revisions:
 * {"version": highest revision, "records": [{"name": text, "version": revision}]} */
json_t *jd_platform_records_list (const jd_platform_records_t *records);
