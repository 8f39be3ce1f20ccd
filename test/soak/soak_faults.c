#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/wait.h>

#include "base/clock.h"
#include "soak/soak.h"

#define MAX_FAULT_S 2.5
/* A target is withdrawn for up to this time, which is longer than
 * JD_SOAK_DRAIN_LIMIT_US, so that the check of the drain bound applies. */
#define MAX_WITHDRAWAL_S 8.0
/* Time until the writers of lost records have written them again. */
#define MAX_REWRITE_S 2.0

typedef enum jd_fault_kind
{
  FAULT_KILL,
  FAULT_TERM,
  FAULT_PAUSE,
  FAULT_RELOAD,
  FAULT_STORE,
  FAULT_STORE_FORGETS,
  FAULT_STORE_LAPSE,
  FAULT_STORE_OLDER_COPY,
  FAULT_TARGETS,
  FAULT_TARGET_HANGS,
  FAULT_TARGETS_REJECT,
  FAULT_SILENCE,
  FAULT_ONE_WAY,
  FAULT_RESET,
  FAULT_DELAY,
  FAULT_CONFIGURATION,
  FAULT_KEY,
  FAULT_TARGET_LEAVES,
  FAULT_TARGET_RESTARTS,
  FAULT_TARGET_SAYS_LEAVING,
  FAULT_TARGET_ASKS_PAUSE,
  FAULT_COUNT,
} jd_fault_kind_t;

static const char *const fault_names[FAULT_COUNT] = {
  [FAULT_KILL] = "kill",
  [FAULT_TERM] = "term",
  [FAULT_PAUSE] = "pause",
  [FAULT_RELOAD] = "reload",
  [FAULT_STORE] = "store",
  [FAULT_STORE_FORGETS] = "store_forgets",
  [FAULT_STORE_LAPSE] = "store_lapse",
  [FAULT_STORE_OLDER_COPY] = "store_older_copy",
  [FAULT_TARGETS] = "targets",
  [FAULT_TARGET_HANGS] = "target_hangs",
  [FAULT_TARGETS_REJECT] = "targets_reject",
  [FAULT_SILENCE] = "silence",
  [FAULT_ONE_WAY] = "one_way",
  [FAULT_RESET] = "reset",
  [FAULT_DELAY] = "delay",
  [FAULT_CONFIGURATION] = "configuration",
  [FAULT_KEY] = "key",
  [FAULT_TARGET_LEAVES] = "target_leaves",
  [FAULT_TARGET_RESTARTS] = "target_restarts",
  [FAULT_TARGET_SAYS_LEAVING] = "target_says_leaving",
  [FAULT_TARGET_ASKS_PAUSE] = "target_asks_pause",
};

/* Chooses the kinds of faults of this run: all of them if a violation is injected,
 * else about half. With half of the kinds, hosts stay undisturbed for long enough
 * that the time bounds are checked, and faults of one kind last longer. */
void
jd_soak_choose_fault_kinds (jd_soak_t *soak)
{
  if (*soak->injected_rule)
    soak->fault_kinds = (1U << FAULT_COUNT) - 1;
  while (soak->fault_kinds == 0)
    soak->fault_kinds = (uint32_t)jd_rng_below (&soak->rng, 1U << FAULT_COUNT);
  printf ("kinds");
  for (uint32_t i = 0; i < FAULT_COUNT; i++)
    {
      if (soak->fault_kinds & (1U << i))
        printf (" %s", fault_names[i]);
    }
  printf ("\n");
}

/* Returns a random time between now and max_s from now, in us. */
static int64_t
random_time_within (jd_soak_t *soak, double max_s)
{
  return jd_monotonic_us () +
         (int64_t)(jd_rng_unit (&soak->rng) * max_s * (double)JD_US_PER_S);
}

/* Stops a host with SIGTERM or SIGKILL; jd_soak_end_faults starts it again. */
void
jd_soak_stop_host (jd_soak_t *soak, uint32_t index, int signal_number)
{
  const jd_host_fixture_host_t *process = &soak->fixture.hosts[index];
  jd_soak_host_t *host = &soak->hosts[index];
  if (process->pid == 0 || host->stopping)
    return;
  int64_t now_us = jd_monotonic_us ();
  bool is_injected = signal_number == SIGTERM && jd_soak_injects (soak, "graceful_stop");
  kill (process->pid, SIGCONT);
  kill (process->pid, is_injected ? SIGKILL : signal_number);
  host->resume_us = 0;
  host->stopping = true;
  host->last_disturbed_us = now_us;
  if (signal_number == SIGTERM)
    host->last_sigterm_us = now_us;
  else
    host->last_kill_or_pause_us = now_us;
}

/* Gives all targets random faults for up to MAX_FAULT_S. */
static void
start_target_faults (jd_soak_t *soak, bool may_hang)
{
  soak->targets_fault_end_us = random_time_within (soak, MAX_FAULT_S);
  for (uint32_t i = 0; i < soak->fixture.target_count; i++)
    {
      jd_shard_faults_t faults = {
        .shed_share = 0.3 * jd_rng_unit (&soak->rng),
        .error_share = 0.1 * jd_rng_unit (&soak->rng),
        .close_without_answer_share = 0.1 * jd_rng_unit (&soak->rng),
        .truncate_share = 0.1 * jd_rng_unit (&soak->rng),
        .extra_answer_share = 0.1 * jd_rng_unit (&soak->rng),
        .delay_us = (int64_t)jd_rng_below (&soak->rng, 60000),
        .never_answers = may_hang && jd_rng_below (&soak->rng, 5) == 0,
      };
      jd_shard_target_set_faults (soak->fixture.targets[i].target, &faults);
    }
}

/* Lets some targets reject a share of the requests although they have free slots. */
void
jd_soak_set_target_faults (jd_soak_t *soak, double shed_share, uint32_t shedding_percent)
{
  for (uint32_t i = 0; i < soak->fixture.target_count; i++)
    {
      bool sheds = jd_rng_below (&soak->rng, 100) < shedding_percent;
      jd_shard_faults_t faults = { .shed_share = sheds ? shed_share : 0.0,
                                   .sheds_while_free = true,
                                   .delay_us = 3000 };
      jd_shard_target_set_faults (soak->fixture.targets[i].target, &faults);
    }
}

/* Publishes the next configuration version, with or without the guest's key. */
void
jd_soak_publish_config (jd_soak_t *soak, bool has_guest_key)
{
  int64_t now_us = jd_monotonic_us ();
  g_array_append_val (soak->published_us, now_us);
  if (jd_soak_injects (soak, "config_late"))
    {
      soak->fixture.version++; /* Counts a version that is never published. */
      return;
    }
  if (has_guest_key != soak->fixture.has_guest_key)
    soak->guest_key_changed_us = now_us;
  soak->fixture.has_guest_key = has_guest_key || jd_soak_injects (soak, "key_revoked");
  jd_host_fixture_publish_config (&soak->fixture);
  soak->fixture.has_guest_key = has_guest_key;
}

/* Publishes a target as draining, or removes its entry, at random. */
void
jd_soak_withdraw_target (jd_soak_t *soak, uint32_t target)
{
  const char *state = jd_rng_below (&soak->rng, 2) ? "draining" : NULL;
  if (!jd_soak_injects (soak, "drain"))
    jd_host_fixture_publish_target (&soak->fixture, target, state);
  soak->withdrawn_target = target;
  soak->targets[target].withdrawn_us = jd_monotonic_us ();
}

/* Publishes the withdrawn target as ready again. One that said that it is leaving starts
 * again, because hosts would otherwise never use it. */
void
jd_soak_end_withdrawal (jd_soak_t *soak)
{
  soak->withdrawal_end_us = 0;
  soak->targets_sound_us = jd_monotonic_us ();
  jd_soak_target_t *target = &soak->targets[soak->withdrawn_target];
  target->withdrawn_us = 0;
  if (target->needs_restart)
    jd_host_fixture_restart_target (&soak->fixture, soak->withdrawn_target);
  else
    jd_host_fixture_publish_target (&soak->fixture, soak->withdrawn_target, "ready");
  target->needs_restart = false;
}

/* Lets a target say that it is leaving, or refuse all requests and ask for pauses. */
void
jd_soak_start_notice (jd_soak_t *soak, uint32_t target, bool is_leaving)
{
  jd_soak_target_t *state = &soak->targets[target];
  bool is_silent = jd_soak_injects (soak, "told_leaving");
  const jd_shard_notice_t notice = {
    .says_leaving = is_leaving && !is_silent,
    .is_paused = !is_leaving,
    .pause = is_leaving ? NULL : JD_SOAK_PAUSE_S,
  };
  state->says_leaving = is_leaving;
  state->is_paused = !is_leaving;
  memset (state->told, 0, soak->fixture.host_count * sizeof (*state->told));
  jd_shard_target_set_notice (soak->fixture.targets[target].target, &notice);
  soak->notice_target = target;
}

/* Ends what a target says about itself. One that was leaving starts again under its id.
 */
void
jd_soak_end_notice (jd_soak_t *soak)
{
  const jd_shard_notice_t no_notice = { 0 };
  jd_soak_target_t *state = &soak->targets[soak->notice_target];
  jd_shard_target_set_notice (soak->fixture.targets[soak->notice_target].target,
                              &no_notice);
  if (state->says_leaving && state->withdrawn_us == 0)
    jd_host_fixture_restart_target (&soak->fixture, soak->notice_target);
  else if (state->says_leaving)
    state->needs_restart = true;
  state->says_leaving = state->is_paused = false;
  soak->notice_end_us = 0;
  soak->targets_sound_us = jd_monotonic_us ();
}

/* Restarts a target under another id, in a cold start, unless it is withdrawn. */
static void
restart_target (jd_soak_t *soak, uint32_t index)
{
  jd_soak_target_t *target = &soak->targets[index];
  int64_t now_us = jd_monotonic_us ();
  bool is_injected = jd_soak_injects (soak, "cold_limit");
  if (target->withdrawn_us > 0)
    return;
  /* The new process says nothing of what the former one said. */
  if (soak->notice_end_us != 0 && soak->notice_target == index)
    jd_soak_end_notice (soak);
  jd_host_fixture_replace_target (&soak->fixture, index,
                                  is_injected ? 0 : JD_SOAK_COLD_START_MS);
  soak->targets_sound_us = now_us + JD_SOAK_COLD_START_MS * JD_US_PER_MS;
  target->cold_until_us = now_us + JD_SOAK_COLD_START_MS * JD_US_PER_MS;
  target->cold_arrivals.count = 0;
}

/* Starts a fault on the links to a target. Silence and blocked replies last as long as
 * the present connections; a delay lasts until targets_fault_end_us. */
static void
start_link_fault (jd_soak_t *soak, jd_fault_kind_t kind, uint32_t target)
{
  jd_relay_t *relay = soak->fixture.targets[target].relay;
  soak->links_disturbed_us = jd_monotonic_us ();
  if (kind == FAULT_SILENCE)
    jd_relay_silence (relay);
  else if (kind == FAULT_ONE_WAY)
    jd_relay_block_replies (relay);
  else if (kind == FAULT_RESET)
    jd_relay_reset (relay);
  else
    {
      jd_relay_set_delay (relay, 1 + (int)jd_rng_below (&soak->rng, 80));
      soak->targets_fault_end_us = random_time_within (soak, MAX_FAULT_S);
      soak->links_disturbed_us = soak->targets_fault_end_us;
    }
}

/* Stops, reloads or pauses a host process. */
static void
start_host_fault (jd_soak_t *soak, jd_fault_kind_t kind, uint32_t index)
{
  jd_soak_host_t *host = &soak->hosts[index];
  pid_t pid = soak->fixture.hosts[index].pid;
  if (kind == FAULT_KILL || kind == FAULT_TERM)
    jd_soak_stop_host (soak, index, kind == FAULT_KILL ? SIGKILL : SIGTERM);
  else if (pid == 0 || host->stopping)
    return;
  else if (kind == FAULT_RELOAD)
    kill (pid, SIGHUP);
  else
    {
      kill (pid, SIGSTOP);
      host->resume_us = random_time_within (soak, MAX_FAULT_S);
      host->last_disturbed_us = host->resume_us;
      host->last_kill_or_pause_us = host->resume_us;
    }
}

/* Lets the records of all targets expire while the store is silent, or makes a copy of
 * the store from which it returns later. The lost records are written again up to
 * MAX_REWRITE_S after that. */
static void
start_store_loss (jd_soak_t *soak, jd_fault_kind_t kind)
{
  if (soak->writers_us != 0)
    return;
  int64_t return_us = random_time_within (soak, MAX_FAULT_S);
  soak->writers_us = return_us + (int64_t)(jd_rng_unit (&soak->rng) * MAX_REWRITE_S *
                                           (double)JD_US_PER_S);
  soak->store_disturbed_us = soak->writers_us;
  if (kind == FAULT_STORE_OLDER_COPY)
    {
      jd_published_store_keep_copy (soak->fixture.store);
      soak->store_return_us = return_us;
      return;
    }
  soak->lapse_started_us = jd_monotonic_us ();
  jd_published_store_remove_all (soak->fixture.store, "servers/");
  jd_published_store_set_mode (soak->fixture.store, JD_STORE_SILENT);
  soak->store_fault_end_us = return_us;
  if (jd_soak_injects (soak, "lapse_refused"))
    jd_soak_set_target_faults (soak, 1.0, 100);
}

/* Writes all records again that the store may have lost: the configuration, and those of
 * the targets that are not withdrawn, with the time for which they are still cold. */
static void
write_lost_records (jd_soak_t *soak)
{
  soak->writers_us = 0;
  soak->store_disturbed_us = jd_monotonic_us ();
  for (uint32_t i = 0; i < soak->fixture.target_count; i++)
    {
      bool is_withdrawn = soak->targets[i].withdrawn_us > 0;
      int64_t cold_left_us = soak->targets[i].cold_until_us - soak->store_disturbed_us;
      soak->fixture.targets[i].cold_ms = (uint32_t)(MAX (cold_left_us, 0) / JD_US_PER_MS);
      jd_host_fixture_publish_target (&soak->fixture, i, is_withdrawn ? NULL : "ready");
    }
  jd_soak_publish_config (soak, soak->fixture.has_guest_key);
}

/* Makes the store discard its history, or misbehave for up to MAX_FAULT_S. */
static void
start_store_fault (jd_soak_t *soak, jd_fault_kind_t kind)
{
  soak->store_disturbed_us = MAX (soak->store_disturbed_us, jd_monotonic_us ());
  if (kind == FAULT_STORE_FORGETS)
    {
      jd_published_store_discard_history (soak->fixture.store);
      return;
    }
  jd_published_store_set_mode (soak->fixture.store, 1 + jd_rng_below (&soak->rng, 3));
  soak->store_fault_end_us = random_time_within (soak, MAX_FAULT_S);
  soak->store_disturbed_us = MAX (soak->store_disturbed_us, soak->store_fault_end_us);
}

/* Draws a fault and starts it if the run has its kind. Faults of different
 * kinds overlap. */
void
jd_soak_start_fault (jd_soak_t *soak)
{
  jd_fault_kind_t kind = jd_rng_below (&soak->rng, FAULT_COUNT);
  uint32_t host = (uint32_t)jd_rng_below (&soak->rng, soak->fixture.host_count);
  uint32_t target = (uint32_t)jd_rng_below (&soak->rng, soak->fixture.target_count);
  if (!(soak->fault_kinds & (1U << kind)))
    return;
  printf ("fault kind=%s host=%u target=%u at_ms=%" G_GINT64_FORMAT "\n",
          fault_names[kind], host, target,
          (jd_monotonic_us () - soak->start_us) / JD_US_PER_MS);
  switch (kind)
    {
    case FAULT_KILL:
    case FAULT_TERM:
    case FAULT_PAUSE:
    case FAULT_RELOAD:
      start_host_fault (soak, kind, host);
      return;
    case FAULT_STORE:
    case FAULT_STORE_FORGETS:
      start_store_fault (soak, kind);
      return;
    case FAULT_STORE_LAPSE:
    case FAULT_STORE_OLDER_COPY:
      start_store_loss (soak, kind);
      return;
    case FAULT_TARGETS_REJECT:
      jd_soak_set_target_faults (soak, 0.6, 80);
      soak->targets_fault_end_us = random_time_within (soak, MAX_FAULT_S);
      return;
    case FAULT_TARGETS:
    case FAULT_TARGET_HANGS:
      start_target_faults (soak, kind == FAULT_TARGET_HANGS);
      return;
    case FAULT_SILENCE:
    case FAULT_ONE_WAY:
    case FAULT_RESET:
    case FAULT_DELAY:
      start_link_fault (soak, kind, target);
      return;
    case FAULT_CONFIGURATION:
      jd_soak_publish_config (soak, soak->fixture.has_guest_key);
      return;
    case FAULT_KEY:
      jd_soak_publish_config (soak, !soak->fixture.has_guest_key);
      return;
    case FAULT_TARGET_LEAVES:
      if (soak->withdrawal_end_us != 0)
        return;
      soak->withdrawal_end_us = random_time_within (soak, MAX_WITHDRAWAL_S);
      jd_soak_withdraw_target (soak, target);
      return;
    case FAULT_TARGET_RESTARTS:
      restart_target (soak, target);
      return;
    case FAULT_TARGET_SAYS_LEAVING:
    case FAULT_TARGET_ASKS_PAUSE:
      if (soak->notice_end_us != 0)
        return;
      soak->notice_end_us = random_time_within (soak, MAX_WITHDRAWAL_S);
      jd_soak_start_notice (soak, target, kind == FAULT_TARGET_SAYS_LEAVING);
      return;
    case FAULT_COUNT:
      return;
    }
}

/* Resumes a paused host, kills one that exceeds the stop limit, and restarts an ended
 * one. */
static void
end_host_fault (jd_soak_t *soak, uint32_t index, int64_t now_us)
{
  jd_host_fixture_host_t *process = &soak->fixture.hosts[index];
  jd_soak_host_t *host = &soak->hosts[index];
  if (host->resume_us != 0 && now_us >= host->resume_us)
    {
      kill (process->pid, SIGCONT);
      host->resume_us = 0;
    }
  if (host->stopping && process->pid != 0 &&
      now_us - MAX (host->last_sigterm_us, host->last_kill_or_pause_us) >
          JD_SOAK_STOP_LIMIT_US + JD_US_PER_S)
    {
      jd_soak_report_violation (soak, "graceful_stop", "-",
                                "a host runs past its stop limit");
      kill (process->pid, SIGKILL);
      host->last_kill_or_pause_us = now_us;
    }
  int status = 0;
  if (process->pid != 0 && waitpid (process->pid, &status, WNOHANG) == process->pid)
    {
      if (!host->stopping || (WIFEXITED (status) && WEXITSTATUS (status) != 0))
        jd_soak_report_violation (
            soak, "host_ended", "-",
            "a host ended without being stopped or with an error status");
      process->pid = 0;
      host->stopping = false;
      host->restart_us = random_time_within (soak, 1.0);
      host->last_disturbed_us = now_us;
    }
  if (process->pid != 0 || now_us < host->restart_us)
    return;
  jd_host_fixture_start_host (&soak->fixture, index);
  host->start_count++;
  host->config_version = 0;
  host->last_disturbed_us = now_us;
}

/* Ends the faults whose end time has passed. */
void
jd_soak_end_faults (jd_soak_t *soak)
{
  jd_host_fixture_t *fixture = &soak->fixture;
  int64_t now_us = jd_monotonic_us ();
  for (uint32_t i = 0; i < fixture->host_count; i++)
    end_host_fault (soak, i, now_us);
  if (soak->store_fault_end_us != 0 && now_us >= soak->store_fault_end_us)
    {
      jd_published_store_set_mode (fixture->store, JD_STORE_SERVES);
      soak->store_fault_end_us = 0;
      soak->store_disturbed_us = MAX (soak->store_disturbed_us, now_us);
    }
  if (soak->store_return_us != 0 && now_us >= soak->store_return_us)
    {
      jd_published_store_restore_copy (soak->fixture.store);
      soak->store_return_us = 0;
    }
  if (soak->writers_us != 0 && now_us >= soak->writers_us)
    write_lost_records (soak);
  if (soak->targets_fault_end_us != 0 && now_us >= soak->targets_fault_end_us)
    {
      jd_shard_faults_t no_faults = { .delay_us = 3000 };
      for (uint32_t i = 0; i < fixture->target_count; i++)
        {
          jd_shard_target_set_faults (fixture->targets[i].target, &no_faults);
          jd_relay_set_delay (fixture->targets[i].relay, 0);
        }
      soak->targets_fault_end_us = 0;
      soak->targets_sound_us = now_us;
    }
  if (soak->notice_end_us != 0 && now_us >= soak->notice_end_us)
    jd_soak_end_notice (soak);
  if (soak->withdrawal_end_us != 0 && now_us >= soak->withdrawal_end_us)
    jd_soak_end_withdrawal (soak);
}
