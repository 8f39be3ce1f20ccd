#include "routing/cold_share.h"

#include <glib.h>

#include "base/clock.h"
#include "support/test_main.h"

#define PER_S 10.0
#define SLACK 5.0
/* What the platform allows in any second: 1.5 times the rate, and the slack. */
#define LIMIT 20U
#define HOSTS_MAX 300
#define STEP_US (5 * JD_US_PER_MS)
#define UPDATE_US (250 * JD_US_PER_MS)
#define COLD_US (3 * JD_US_PER_S)
#define STEPS (uint32_t) (COLD_US / STEP_US)
#define STEPS_A_SECOND (uint32_t) (JD_US_PER_S / STEP_US)

typedef struct jd_cold_play
{
  jd_cold_share_t shares[HOSTS_MAX];
  uint32_t hosts;
  uint32_t sent[STEPS];
} jd_cold_play_t;

/* Plays a cold time in which requests come to all hosts from some time on; each host
 * looks at its terms at moments of its own. Returns how many reach the target. */
static uint32_t
play (jd_cold_play_t *play, int64_t demand_from_us)
{
  uint32_t total = 0;
  for (int64_t now_us = 0; now_us < COLD_US; now_us += STEP_US)
    {
      uint32_t *sent = &play->sent[now_us / STEP_US];
      *sent = 0;
      for (uint32_t i = 0; i < play->hosts; i++)
        {
          jd_cold_terms_t terms = {
            .per_s = PER_S, .slack = SLACK, .hosts = play->hosts, .turn = i + 7
          };
          if ((now_us + STEP_US * (int64_t)i) % UPDATE_US == 0)
            jd_cold_share_update (&play->shares[i], &terms, now_us);
          if (now_us < demand_from_us || !jd_cold_share_allows (&play->shares[i], now_us))
            continue;
          jd_cold_share_use (&play->shares[i], now_us);
          (*sent)++;
        }
      total += *sent;
    }
  return total;
}

/* Returns the most requests in any second. */
static uint32_t
most_in_a_second (const jd_cold_play_t *play)
{
  uint32_t most = 0, count = 0;
  for (uint32_t i = 0; i < STEPS; i++)
    {
      count += play->sent[i];
      if (i >= STEPS_A_SECOND)
        count -= play->sent[i - STEPS_A_SECOND];
      most = MAX (most, count);
    }
  return most;
}

/* Guards against hosts that each send one request to a target that was just seen: 230
 * hosts sent it 230 in a moment. */
static void
many_hosts_keep_the_limit (void)
{
  static const uint32_t sizes[] = { 1, 3, 4, 9, 20, 86, 230, 300 };
  for (size_t i = 0; i < G_N_ELEMENTS (sizes); i++)
    {
      jd_cold_play_t *state = g_new0 (jd_cold_play_t, 1);
      state->hosts = sizes[i];
      uint32_t total = play (state, 0);
      CU_ASSERT (most_in_a_second (state) <= LIMIT);
      /* And the target is used: at 8 in 10 of its rate at least. */
      CU_ASSERT ((double)total >= 0.8 * PER_S * (double)COLD_US / (double)JD_US_PER_S);
      g_free (state);
    }
}

/* Guards against what hosts have left unused and then send all at once, as when the
 * other targets of the service are lost. */
static void
late_demand_keeps_the_limit (void)
{
  static const uint32_t sizes[] = { 1, 4, 20, 86 };
  for (size_t i = 0; i < G_N_ELEMENTS (sizes); i++)
    {
      jd_cold_play_t *state = g_new0 (jd_cold_play_t, 1);
      state->hosts = sizes[i];
      CU_ASSERT (play (state, 2 * JD_US_PER_S) > 0);
      CU_ASSERT (most_in_a_second (state) <= LIMIT);
      g_free (state);
    }
}

/* Guards against grants of a former cold time, and against requests before the terms are
 * known. */
static void
grants_do_not_outlive_the_cold_time (void)
{
  jd_cold_share_t share = { 0 };
  jd_cold_terms_t terms = { .per_s = PER_S, .slack = SLACK, .hosts = 20, .turn = 0 };
  CU_ASSERT_FALSE (jd_cold_share_allows (&share, JD_US_PER_S));
  jd_cold_share_update (&share, &terms, 0);
  CU_ASSERT_FALSE (jd_cold_share_allows (&share, JD_US_PER_S));
  CU_ASSERT_TRUE (jd_cold_share_allows (&share, 2 * JD_US_PER_S + STEP_US));
  CU_ASSERT_FALSE (jd_cold_share_allows (&share, 3 * JD_US_PER_S));
  jd_cold_share_stop (&share);
  CU_ASSERT_FALSE (jd_cold_share_allows (&share, 4 * JD_US_PER_S + STEP_US));
  jd_cold_share_update (&share, &terms, 5 * JD_US_PER_S);
  CU_ASSERT_FALSE (jd_cold_share_allows (&share, 6 * JD_US_PER_S));
}

int
main (void)
{
  static const jd_test_case_t cases[] = {
    { "many hosts keep the limit", many_hosts_keep_the_limit },
    { "late demand keeps the limit", late_demand_keeps_the_limit },
    { "grants do not outlive the cold time", grants_do_not_outlive_the_cold_time },
  };
  return JD_TEST_RUN ("cold_share", cases);
}
