#pragma once

#include "support/search_load.h"

/* The callers of a simulated load: the rate of their searches, their organisations, and
 * whether the rate limit of the organisation admits a search. */
typedef struct jd_search_callers jd_search_callers_t;

jd_search_callers_t *jd_search_callers_new (const jd_search_load_t *load, uint32_t hosts);
void jd_search_callers_free (jd_search_callers_t *callers);
double jd_search_callers_searches_per_s (const jd_search_load_t *load, uint32_t ms);
uint32_t jd_search_callers_pick_organisation (jd_search_callers_t *callers, uint32_t ms);
bool jd_search_callers_leaves_early (jd_search_callers_t *callers);
bool jd_search_callers_admit (jd_search_callers_t *callers, uint32_t organisation,
                              uint32_t host, int64_t now_us, int64_t *retry_after_us);
void jd_search_callers_exchange_reports (jd_search_callers_t *callers, int64_t now_us);
