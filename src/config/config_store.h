#pragma once

#include "config/drain_record.h"
#include "config/fleet_record.h"
#include "config/key_record.h"
#include "config/organisation_record.h"
#include "config/service_record.h"

/* The record versions in force in this process. Safe from any thread. */
typedef struct jd_config_store jd_config_store_t;

typedef enum jd_adoption
{
  JD_ADOPTION_ADOPTED,  /* A higher version, now in force. */
  JD_ADOPTION_CURRENT,  /* The same version with the same content. */
  JD_ADOPTION_OLDER,    /* A lower version than the one in force. */
  JD_ADOPTION_CONFLICT, /* The same version with other content; ours stays. */
  JD_ADOPTION_INVALID,  /* Refused; the error says why. */
} jd_adoption_t;

jd_config_store_t *jd_config_store_new (void);
void jd_config_store_free (jd_config_store_t *store);

/* Offers the text of a record, from the platform or from a peer. */
jd_adoption_t jd_config_store_offer (jd_config_store_t *store, const char *name,
                                     const char *text, size_t length, GError **error);

/* Version in force, 0 when there is none. Deleted records have a version too. */
uint64_t jd_config_store_version (jd_config_store_t *store, const char *name);

/* Text in force, NULL when there is none; free with g_free. */
char *jd_config_store_text (jd_config_store_t *store, const char *name);

/* Names of all records, including deleted ones; free with g_strfreev. */
char **jd_config_store_names (jd_config_store_t *store);

/* The records in force, a new reference each, or NULL. */
jd_fleet_record_t *jd_config_store_fleet (jd_config_store_t *store);
jd_organisation_record_t *jd_config_store_organisations (jd_config_store_t *store);
jd_key_record_t *jd_config_store_keys (jd_config_store_t *store);
jd_zone_state_record_t *jd_config_store_zones (jd_config_store_t *store);
jd_host_state_record_t *jd_config_store_hosts (jd_config_store_t *store);
jd_service_record_t *jd_config_store_service (jd_config_store_t *store,
                                              const char *service);

/* Grows with every adoption, so that callers see cheaply whether anything changed. */
uint64_t jd_config_store_generation (jd_config_store_t *store);

/* Visits all records, including deleted ones, under the lock of the store. Equal
 * contents have equal hashes, whatever their layout. */
typedef void (*jd_config_store_visit_t) (void *context, const char *name,
                                         uint64_t version, uint64_t content_hash);
void jd_config_store_each (jd_config_store_t *store, jd_config_store_visit_t visit,
                           void *context);
