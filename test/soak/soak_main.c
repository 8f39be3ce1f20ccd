#include <signal.h>
#include <stdio.h>
#include <stdlib.h>

#include "base/clock.h"
#include "config/settings.h"
#include "soak/soak.h"

#define TICK_S 0.02
/* All hosts must serve again within this time after the last fault; it is the bound that
 * the platform sets for a recovery from an outage. */
#define RECOVERY_LIMIT_S 12.0
/* Time in which a target answers until the injected stop of a host. */
#define CUT_REQUEST_DELAY_US (300 * JD_US_PER_MS)
/* Average number of ticks between two configuration probes. */
#define TICKS_PER_PROBE 3

/* Stops a host as soon as it has a running request, so that the request is cut: the stop
 * is a kill if a violation of graceful_stop is injected. Targets answer late meanwhile.
 * Returns FALSE until then; the host must be undisturbed. */
static bool
cut_running_request (jd_soak_t *soak)
{
  if (soak->has_cut_request)
    return true;
  /* The target does not answer for at least another half of the time. */
  if (!jd_soak_has_running_call (soak, 0, CUT_REQUEST_DELAY_US / 2))
    {
      const jd_shard_faults_t faults = { .delay_us = CUT_REQUEST_DELAY_US };
      for (uint32_t i = 0; i < soak->fixture.target_count; i++)
        jd_shard_target_set_faults (soak->fixture.targets[i].target, &faults);
      return false;
    }
  jd_soak_stop_host (soak, 0, SIGTERM);
  return soak->has_cut_request = true;
}

/* Injects the violations that cannot be injected by changing one reply. */
static void
inject_state_violation (jd_soak_t *soak)
{
  if (jd_soak_injects (soak, "host_ended") && soak->fixture.hosts[0].pid != 0 &&
      !soak->hosts[0].stopping)
    kill (soak->fixture.hosts[0].pid, SIGKILL);
  if (!jd_soak_injects (soak, "recovery") || !soak->no_new_faults)
    return;
  jd_shard_faults_t faults = { .error_share = 1.0 };
  for (uint32_t i = 0; i < soak->fixture.target_count; i++)
    jd_shard_target_set_faults (soak->fixture.targets[i].target, &faults);
}

/* Runs load, and faults unless no_new_faults is set, for a number of seconds. Ends early
 * when a violation of the injected rule was found; the changed replies may violate others
 * before. */
static void
run_for (jd_soak_t *soak, double seconds)
{
  int64_t end_us = jd_monotonic_us () + (int64_t)(seconds * (double)JD_US_PER_S);
  while (jd_monotonic_us () < end_us &&
         (*soak->injected_rule == '\0' || !soak->found_injected))
    {
      inject_state_violation (soak);
      bool waits_for_request =
          jd_soak_injects (soak, "graceful_stop") && !cut_running_request (soak);
      jd_soak_end_faults (soak);
      if (!soak->no_new_faults && !waits_for_request && jd_rng_below (&soak->rng, 5) == 0)
        jd_soak_start_fault (soak);
      for (uint64_t i = jd_rng_below (&soak->rng, 6); i > 0; i--)
        jd_soak_send_call (soak);
      if (jd_rng_below (&soak->rng, TICKS_PER_PROBE) == 0)
        jd_soak_send_probe (soak);
      jd_host_fixture_run (&soak->fixture, TICK_S);
    }
}

/* Checks that all hosts serve after the faults have ended. Also revokes the guest's key
 * and withdraws a target, so that both are checked on undisturbed hosts too. */
static void
check_recovery (jd_soak_t *soak)
{
  soak->no_new_faults = true;
  /* Hosts avoid a target that says that it is leaving, also if they do not know that it
   * is withdrawn. So the withdrawn target of this part must be one that says nothing. */
  if (soak->notice_end_us != 0)
    jd_soak_end_notice (soak);
  if (soak->withdrawal_end_us != 0)
    jd_soak_end_withdrawal (soak);
  jd_soak_publish_config (soak, false);
  /* Both stay as they are to the end. Targets 0 and 2 are of different services, so each
   * service has one more target. */
  jd_soak_withdraw_target (soak, 0);
  jd_soak_start_notice (soak, 2, true);
  run_for (soak, RECOVERY_LIMIT_S);
  guint sent_before = soak->calls->len;
  uint32_t served_before = soak->served_calls;
  run_for (soak, 2.0);
  while (soak->open_calls > 0)
    jd_host_fixture_run (&soak->fixture, TICK_S);
  if ((soak->served_calls - served_before) * 100 < (soak->calls->len - sent_before) * 99)
    jd_soak_report_violation (soak, "recovery", "-",
                              "under 99 in 100 requests are served after the faults");
}

/* Starts the hosts, stand-ins and relays, and waits until the hosts are ready. */
static void
start_soak (jd_soak_t *soak, uint32_t hosts)
{
  jd_host_fixture_t *fixture = &soak->fixture;
  soak->rng = jd_philox_rng (&soak->random);
  soak->start_us = jd_monotonic_us ();
  soak->guest_key_changed_us = soak->start_us;
  soak->store_disturbed_us = soak->links_disturbed_us = soak->start_us;
  soak->calls = g_ptr_array_new_with_free_func (g_free);
  soak->published_us = g_array_new (FALSE, FALSE, sizeof (int64_t));
  fixture->uses_relays = fixture->versioned_routes = fixture->reuses_connections = true;
  fixture->has_guest_key = fixture->has_club = true;
  fixture->club_rate_per_s =
      jd_soak_injects (soak, "rate_limit") ? 0.0 : JD_SOAK_CLUB_REQUESTS_PER_S;
  fixture->cold_rate_per_s =
      jd_soak_injects (soak, "cold_limit") ? 0.0 : JD_SOAK_COLD_REQUESTS_PER_S;
  jd_host_fixture_open (fixture, hosts, 4);
  g_array_append_val (soak->published_us, soak->start_us);
  for (uint32_t i = 0; i < fixture->target_count; i++)
    {
      jd_shard_target_set_observer (fixture->targets[i].target, jd_soak_on_arrival, soak);
      soak->targets[i].told = g_new0 (jd_soak_told_t, hosts);
    }
  for (uint32_t i = 0; i < fixture->host_count; i++)
    {
      if (!jd_host_fixture_wait_ready (fixture, i, 5.0))
        jd_soak_report_violation (soak, "start", "-", "a host is not ready after 5 s");
      soak->hosts[i].last_disturbed_us = jd_monotonic_us ();
    }
  fixture->first_start = false;
  jd_host_fixture_run (fixture, 2.0);
}

/* Ends all processes and frees the soak. */
static void
stop_soak (jd_soak_t *soak)
{
  for (uint32_t i = 0; i < soak->fixture.target_count; i++)
    g_free (soak->targets[i].told);
  jd_host_fixture_close (&soak->fixture);
  g_ptr_array_free (soak->calls, TRUE);
  g_array_free (soak->published_us, TRUE);
}

static jd_setting_t settings[] = {
  { .name = "seed",
    .type = JD_SETTING_INTEGER,
    .default_value = "1",
    .min = 1,
    .max = G_MAXINT32,
    .help = "seed of requests and faults" },
  { .name = "seconds",
    .type = JD_SETTING_INTEGER,
    .default_value = "10",
    .min = 1,
    .max = 3600,
    .help = "length of the part with faults" },
  { .name = "hosts",
    .type = JD_SETTING_INTEGER,
    .default_value = "4",
    .min = 1,
    .max = JD_HOST_FIXTURE_HOSTS_MAX,
    .help = "number of host processes" },
  { .name = "plant",
    .type = JD_SETTING_TEXT,
    .help = "rule to violate on purpose, to show that its check reports the violation" },
};

/* Runs one seed. Returns EXIT_SUCCESS if no rule was violated. */
int
main (int argc, char **argv)
{
  jd_settings_program_t program = {
    .name = "jackdaw-soak",
    .summary =
        "runs host processes under random faults and checks the replies to callers",
    .settings = settings,
    .setting_count = G_N_ELEMENTS (settings),
  };
  jd_settings_outcome_t outcome = jd_settings_load (&program, argc, argv);
  if (outcome != JD_SETTINGS_RUN)
    return outcome == JD_SETTINGS_EXIT_OK ? EXIT_SUCCESS : EXIT_FAILURE;
  static jd_soak_t soak; /* Too large for the stack. */
  soak.random.seed = (uint64_t)settings[0].integer;
  soak.injected_rule = settings[3].text ? settings[3].text : "";
  start_soak (&soak, (uint32_t)settings[2].integer);
  jd_soak_choose_fault_kinds (&soak);
  run_for (&soak, (double)settings[1].integer);
  check_recovery (&soak);
  printf ("seed=%" G_GINT64_FORMAT " sent=%u served=%u violations=%u\n",
          settings[0].integer, soak.calls->len, soak.served_calls, soak.violation_count);
  stop_soak (&soak);
  return soak.violation_count == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
