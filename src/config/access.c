#include "config/access.h"

#include <string.h>

/* Checks the age of the keys. If it exceeds the limit, applies the policy that the
 * organisation has published for stale keys; without one the request is refused. */
static jd_result_code_t
check_key_staleness (jd_config_store_t *store, const jd_access_request_t *request,
                     const char *organisation)
{
  gboolean stale =
      request->key_age_us < 0 || request->key_age_us > request->key_staleness_limit_us;
  if (!stale)
    return JD_OK;
  jd_organisation_record_t *record = jd_config_store_organisations (store);
  const jd_organisation_t *published =
      record ? jd_organisation_record_find (record, organisation) : NULL;
  jd_stale_key_policy_t policy =
      published ? published->stale_key_policy : JD_STALE_KEYS_REFUSE;
  if (record)
    jd_organisation_record_unref (record);
  if (policy == JD_STALE_KEYS_SERVE)
    return JD_OK;
  if (policy == JD_STALE_KEYS_READS_ONLY && !request->is_edit)
    return JD_OK;
  return JD_KEY_STATE_STALE;
}

/* Finds the organisation of the key of a request and stores both in access. Returns JD_OK
 * or the reason for refusal. */
static jd_result_code_t
check_key (jd_config_store_t *store, const jd_access_request_t *request,
           jd_access_t *access)
{
  if (!request->key || !*request->key)
    return JD_KEY_MISSING;
  jd_key_record_t *keys = jd_config_store_keys (store);
  if (!keys)
    return JD_NO_CONFIGURATION;
  jd_result_code_t code = JD_OK;
  const jd_key_t *key = jd_key_record_find (keys, request->key);
  if (!key)
    code = JD_KEY_UNKNOWN;
  else if (key->revoked)
    code = JD_KEY_REVOKED;
  else
    {
      g_strlcpy (access->organisation, key->organisation, sizeof (access->organisation));
      g_strlcpy (access->digest, key->digest, sizeof (access->digest));
    }
  jd_key_record_unref (keys);
  return code == JD_OK ? check_key_staleness (store, request, access->organisation)
                       : code;
}

/* Checks whether a request may run and stores the organisation for which it runs in
 * access. Returns JD_OK or the reason for refusal. */
jd_result_code_t
jd_access_check (jd_config_store_t *store, const jd_access_request_t *request,
                 jd_access_t *access)
{
  *access = (jd_access_t){ 0 };
  jd_service_record_t *service = jd_config_store_service (store, request->service);
  if (!service)
    return jd_config_store_version (store, "fleet") ? JD_UNKNOWN_SERVICE
                                                    : JD_NO_CONFIGURATION;
  jd_result_code_t code = JD_OK;
  if (!service->needs_no_key)
    code = check_key (store, request, access);
  if (code == JD_OK && !service->needs_no_key &&
      !jd_service_record_allows (service, access->organisation))
    code = JD_NOT_ALLOWED;
  jd_service_record_unref (service);
  return code;
}

/* Returns TRUE if the key of a running request is still published as valid for its
 * organisation, or if the request needed no key. */
gboolean
jd_access_still_valid (jd_config_store_t *store, const jd_access_t *access)
{
  if (!*access->digest)
    return TRUE;
  jd_key_record_t *keys = jd_config_store_keys (store);
  if (!keys)
    return FALSE;
  const jd_key_t *key = g_hash_table_lookup (keys->by_digest, access->digest);
  gboolean valid =
      key && !key->revoked && strcmp (key->organisation, access->organisation) == 0;
  jd_key_record_unref (keys);
  return valid;
}
