#include <signal.h>
#include <stdio.h>
#include <stdlib.h>

#include "base/clock.h"
#include "config/settings.h"
#include "soak/soak.h"

#define TICK_S 0.02
/* After the last fault all hosts serve again within this time, as the platform asks of a
 * system that was down. */
#define RECOVERY_S 12.0
/* Ticks from one probe of the configuration to the next, on average. */
#define PROBE_TICKS 3

/* Plants the violations that no single answer shows. */
static void
plant_fault (jd_soak_t *soak)
{
  if (jd_soak_plants (soak, "host_ended") && soak->lab.hosts[0].pid != 0 &&
      !soak->hosts[0].stopping)
    kill (soak->lab.hosts[0].pid, SIGKILL);
  if (!jd_soak_plants (soak, "recovery") || !soak->quiet)
    return;
  jd_shard_faults_t faults = { .error_share = 1.0 };
  for (uint32_t i = 0; i < soak->lab.target_count; i++)
    jd_shard_target_set_faults (soak->lab.targets[i].target, &faults);
}

/* Runs load, and faults unless quiet, for a time. Ends when a planted violation was
 * found. */
static void
run_for (jd_soak_t *soak, double seconds)
{
  int64_t end_us = jd_monotonic_us () + (int64_t)(seconds * (double)JD_US_PER_S);
  while (jd_monotonic_us () < end_us && (*soak->planted == '\0' || soak->violations == 0))
    {
      plant_fault (soak);
      jd_soak_end_faults (soak);
      if (!soak->quiet && jd_rng_below (&soak->rng, 5) == 0)
        jd_soak_start_fault (soak);
      for (uint64_t i = jd_rng_below (&soak->rng, 6); i > 0; i--)
        jd_soak_send (soak);
      if (jd_rng_below (&soak->rng, PROBE_TICKS) == 0)
        jd_soak_probe (soak);
      jd_host_lab_run (&soak->lab, TICK_S);
    }
}

/* Checks that all hosts serve once the faults are over. A key is taken away and a target
 * leaves at the same moment, so that both are met in a calm time too. */
static void
check_recovery (jd_soak_t *soak)
{
  soak->quiet = true;
  if (soak->leaves_until_us == 0)
    jd_soak_take_away (soak, 0);
  soak->leaves_until_us = 0; /* It stays away. */
  jd_soak_publish (soak, false);
  run_for (soak, RECOVERY_S);
  guint sent = soak->calls->len;
  uint32_t served = soak->served;
  run_for (soak, 2.0);
  while (soak->open > 0)
    jd_host_lab_run (&soak->lab, TICK_S);
  if ((soak->served - served) * 100 < (soak->calls->len - sent) * 99)
    jd_soak_violate (soak, "recovery", "-",
                     "under 99 in 100 are served after the faults");
}

/* Starts the hosts, stand-ins and relays, and waits until the hosts are ready. */
static void
open_soak (jd_soak_t *soak, uint32_t hosts)
{
  jd_host_lab_t *lab = &soak->lab;
  soak->rng = jd_philox_rng (&soak->random);
  soak->start_us = jd_monotonic_us ();
  soak->guest_changed_us = soak->start_us;
  soak->store_disturbed_us = soak->links_disturbed_us = soak->start_us;
  soak->calls = g_ptr_array_new_with_free_func (g_free);
  soak->published_us = g_array_new (FALSE, FALSE, sizeof (int64_t));
  lab->relays = lab->versioned_routes = lab->keeps_connections = true;
  lab->has_guest_key = lab->has_club = true;
  lab->club_rate_per_s = jd_soak_plants (soak, "rate_limit") ? 0.0 : JD_SOAK_CLUB_PER_S;
  lab->cold_per_s = jd_soak_plants (soak, "cold_limit") ? 0.0 : JD_SOAK_COLD_PER_S;
  jd_host_lab_open (lab, hosts, 4);
  g_array_append_val (soak->published_us, soak->start_us);
  for (uint32_t i = 0; i < lab->target_count; i++)
    jd_shard_target_observe (lab->targets[i].target, jd_soak_on_arrival, soak);
  for (uint32_t i = 0; i < lab->host_count; i++)
    {
      if (!jd_host_lab_wait_ready (lab, i, 5.0))
        jd_soak_violate (soak, "start", "-", "a host is not ready after 5 s");
      soak->hosts[i].disturbed_us = jd_monotonic_us ();
    }
  lab->first_start = false;
  jd_host_lab_run (lab, 2.0);
}

/* Ends all processes and frees what the soak holds. */
static void
close_soak (jd_soak_t *soak)
{
  jd_host_lab_close (&soak->lab);
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
    .max = JD_LAB_HOSTS_MAX,
    .help = "number of host processes" },
  { .name = "plant",
    .type = JD_SETTING_TEXT,
    .help = "rule whose violation is planted, to show that its check finds it" },
};

/* Runs one seed; the exit status is 0 when every promise was kept. */
int
main (int argc, char **argv)
{
  jd_settings_program_t program = {
    .name = "jackdaw-soak",
    .summary = "runs host processes under random faults and checks what callers get",
    .settings = settings,
    .setting_count = G_N_ELEMENTS (settings),
  };
  jd_settings_outcome_t outcome = jd_settings_load (&program, argc, argv);
  if (outcome != JD_SETTINGS_RUN)
    return outcome == JD_SETTINGS_EXIT_OK ? EXIT_SUCCESS : EXIT_FAILURE;
  static jd_soak_t soak; /* Too large for the stack. */
  soak.random.seed = (uint64_t)settings[0].integer;
  soak.planted = settings[3].text ? settings[3].text : "";
  open_soak (&soak, (uint32_t)settings[2].integer);
  jd_soak_choose_kinds (&soak);
  run_for (&soak, (double)settings[1].integer);
  check_recovery (&soak);
  printf ("seed=%" G_GINT64_FORMAT " sent=%u served=%u violations=%u\n",
          settings[0].integer, soak.calls->len, soak.served, soak.violations);
  close_soak (&soak);
  return soak.violations == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
