#pragma once

#include "config/drain_record.h"
#include "config/fleet_record.h"
#include "config/key_record.h"
#include "config/organisation_record.h"
#include "config/service_record.h"

/* The current records of this process. All functions are thread-safe. */
typedef struct jd_config_store jd_config_store_t;

typedef enum jd_adoption
{
  JD_ADOPTION_ADOPTED,  /* The version is higher and now the current one. */
  JD_ADOPTION_CURRENT,  /* The version and the content are the current ones. */
  JD_ADOPTION_OLDER,    /* The version is lower than the current one. */
  JD_ADOPTION_CONFLICT, /* The current record has this version but other content. */
  JD_ADOPTION_INVALID,  /* The record is invalid; the error names the value. */
} jd_adoption_t;

jd_config_store_t *jd_config_store_new (void);
void jd_config_store_free (jd_config_store_t *store);

/* Offers the text of a record that was read from the platform or received from a peer. */
jd_adoption_t jd_config_store_offer (jd_config_store_t *store, const char *name,
                                     const char *text, size_t length, GError **error);

/* Returns the current version, 0 if there is none. Deleted records have one too. */
uint64_t jd_config_store_version (jd_config_store_t *store, const char *name);

/* Returns a copy of the current text, NULL if there is none; free with g_free. */
char *jd_config_store_text (jd_config_store_t *store, const char *name);

/* Returns the sorted names of all records, including deleted ones; free with
 * g_strfreev. */
char **jd_config_store_names (jd_config_store_t *store);

/* Each returns a new reference to the current record, or NULL if there is none or it is
 * deleted. */
jd_fleet_record_t *jd_config_store_fleet (jd_config_store_t *store);
jd_organisation_record_t *jd_config_store_organisations (jd_config_store_t *store);
jd_key_record_t *jd_config_store_keys (jd_config_store_t *store);
jd_zone_state_record_t *jd_config_store_zones (jd_config_store_t *store);
jd_host_state_record_t *jd_config_store_hosts (jd_config_store_t *store);
jd_service_record_t *jd_config_store_service (jd_config_store_t *store,
                                              const char *service);

/* Returns a number that increases with every adoption, which callers compare to find out
 * whether anything has changed. */
uint64_t jd_config_store_generation (jd_config_store_t *store);

/* Visits all records, including deleted ones, while holding the lock of the store. Equal
 * contents have equal hashes, regardless of white space and the order of fields. */
typedef void (*jd_config_store_visit_t) (void *context, const char *name,
                                         uint64_t version, uint64_t content_hash);
void jd_config_store_each (jd_config_store_t *store, jd_config_store_visit_t visit,
                           void *context);
