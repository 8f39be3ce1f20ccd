#include "limits/organisation_rates.h"

/* Returns the rates of all published organisations in a zone as an array of
 * jd_organisation_rate_t. The names belong to the record, which must outlive the array.
 * The caller passes the array to jd_rate_limiter_set_organisations after each adoption of
 * an organisations or fleet record. */
GArray *
jd_organisation_rates_new (const jd_organisation_record_t *record, double zone_weight,
                           uint32_t shares_per_zone)
{
  GArray *rates = g_array_new (FALSE, FALSE, sizeof (jd_organisation_rate_t));
  for (uint32_t i = 0; record && !record->head.deleted && i < record->organisation_count;
       i++)
    {
      const jd_organisation_t *organisation = &record->organisations[i];
      jd_organisation_rate_t rate = {
        .name = organisation->id,
        .share = jd_share_rate_of (organisation->rate_per_s, organisation->burst,
                                   zone_weight, shares_per_zone),
      };
      g_array_append_val (rates, rate);
    }
  return rates;
}
