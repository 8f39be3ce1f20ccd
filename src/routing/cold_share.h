#pragma once

#include <stdbool.h>
#include <stdint.h>

/* Which requests of all hosts to a cold target are this host's. It answers the load that
 * comes to a target as soon as it is seen, from every host at once. */
typedef struct jd_cold_terms
{
  double per_s;   /* Requests a second that the target bears from all hosts. */
  double slack;   /* Requests that it bears beyond that. */
  uint32_t hosts; /* Hosts that send to it. */
  uint32_t turn;  /* This host's place among them for this target, from 0. */
} jd_cold_terms_t;

typedef struct jd_cold_share
{
  bool started;       /* The target is cold and the terms are known. */
  double position;    /* Requests granted to this host, as a real number. */
  double rate_per_us; /* By which the position grows. */
  double window;      /* How far a grant may lie behind the position when it is used. */
  int64_t used;       /* Number of the last grant that was used. */
  int64_t updated_us;
} jd_cold_share_t;

void jd_cold_share_update (jd_cold_share_t *share, const jd_cold_terms_t *terms,
                           int64_t now_us);
void jd_cold_share_stop (jd_cold_share_t *share);
bool jd_cold_share_allows (const jd_cold_share_t *share, int64_t now_us);
void jd_cold_share_use (jd_cold_share_t *share, int64_t now_us);
