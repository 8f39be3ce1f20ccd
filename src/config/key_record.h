#pragma once

#include "config/record.h"

/* A key with which callers act for an organisation. */
typedef struct jd_key
{
  char *digest; /* SHA-256 of the key, 64 lower-case hex digits. */
  char *organisation;
  gboolean revoked;
} jd_key_t;

/* The published keys. Immutable and reference counted. */
typedef struct jd_key_record
{
  jd_record_head_t head;
  GHashTable *by_digest; /* Maps digest to jd_key_t, which it owns. */
} jd_key_record_t;

jd_key_record_t *jd_key_record_parse (const char *name, const char *text, size_t length,
                                      GError **error);
jd_key_record_t *jd_key_record_ref (jd_key_record_t *record);
void jd_key_record_unref (jd_key_record_t *record);
const jd_key_t *jd_key_record_find (const jd_key_record_t *record, const char *key);
