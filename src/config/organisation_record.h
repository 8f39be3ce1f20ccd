#pragma once

#include "config/record.h"

/* Policy of an organisation for requests with keys that the host cannot confirm as
 * current. */
typedef enum jd_stale_key_policy
{
  JD_STALE_KEYS_READS_ONLY, /* Serve all requests except edits. */
  JD_STALE_KEYS_SERVE,      /* Serve all requests. */
  JD_STALE_KEYS_REFUSE,     /* Refuse all requests. */
} jd_stale_key_policy_t;

typedef struct jd_organisation
{
  char *id;
  double rate_per_s;
  double burst;
  jd_stale_key_policy_t stale_key_policy;
} jd_organisation_t;

/* The published organisations. Immutable and reference counted. */
typedef struct jd_organisation_record
{
  jd_record_head_t head;
  jd_organisation_t *organisations;
  uint32_t organisation_count;
} jd_organisation_record_t;

jd_organisation_record_t *jd_organisation_record_parse (const char *name,
                                                        const char *text, size_t length,
                                                        GError **error);
jd_organisation_record_t *jd_organisation_record_ref (jd_organisation_record_t *record);
void jd_organisation_record_unref (jd_organisation_record_t *record);
const jd_organisation_t *
jd_organisation_record_find (const jd_organisation_record_t *record, const char *id);
