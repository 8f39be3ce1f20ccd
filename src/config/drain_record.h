#pragma once

#include "config/record.h"

/* The published "zones" record: the drained zones. Immutable and reference counted. */
typedef struct jd_zone_state_record
{
  jd_record_head_t head;
  GHashTable *drained_zones; /* Set of zone names. */
} jd_zone_state_record_t;

/* The published "hosts" record: draining group members and leaving targets. Immutable and
 * reference counted. */
typedef struct jd_host_state_record
{
  jd_record_head_t head;
  GHashTable *draining_members; /* Set of member names. */
  GHashTable *leaving_targets;  /* Set of target ids. */
} jd_host_state_record_t;

jd_zone_state_record_t *jd_zone_state_record_parse (const char *name, const char *text,
                                                    size_t length, GError **error);
jd_zone_state_record_t *jd_zone_state_record_ref (jd_zone_state_record_t *record);
void jd_zone_state_record_unref (jd_zone_state_record_t *record);

jd_host_state_record_t *jd_host_state_record_parse (const char *name, const char *text,
                                                    size_t length, GError **error);
jd_host_state_record_t *jd_host_state_record_ref (jd_host_state_record_t *record);
void jd_host_state_record_unref (jd_host_state_record_t *record);
