#pragma once

#include <stdbool.h>
#include <stdint.h>

/* When this host last had a reason to send requests to a service. */
typedef struct jd_service_use
{
  int64_t seen_us;         /* Its first target was published; 0: none yet. */
  int64_t named_us;        /* A configuration in force began to name it; 0: none does. */
  int64_t last_request_us; /* This host last sent it a request; 0: never. */
} jd_service_use_t;

/* Times at which a host opens connections to one target before requests need them. */
typedef struct jd_connection_upkeep
{
  int64_t open_at_us; /* Planned time of the next one; 0: none is planned. */
  uint32_t refusals;  /* Refused or failed connections in a row. */
} jd_connection_upkeep_t;

bool jd_service_use_expects_requests (const jd_service_use_t *use, int64_t now_us);
bool jd_connection_upkeep_is_due (jd_connection_upkeep_t *upkeep, uint32_t hosts,
                                  double draw, int64_t now_us);
void jd_connection_upkeep_expired (jd_connection_upkeep_t *upkeep, int64_t now_us);
void jd_connection_upkeep_opened (jd_connection_upkeep_t *upkeep);
void jd_connection_upkeep_refused (jd_connection_upkeep_t *upkeep, double draw,
                                   int64_t now_us);
void jd_connection_upkeep_served (jd_connection_upkeep_t *upkeep);
