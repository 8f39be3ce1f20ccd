#pragma once

#include <glib.h>

#include "config/organisation_record.h"
#include "limits/rate_limiter.h"

GArray *jd_organisation_rates_new (const jd_organisation_record_t *record,
                                   double zone_weight, uint32_t shares_per_zone);
