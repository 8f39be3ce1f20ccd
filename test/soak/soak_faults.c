#include <signal.h>
#include <stdio.h>
#include <sys/wait.h>

#include "base/clock.h"
#include "soak/soak.h"

/* Longest time of a fault. */
#define FAULT_MAX_S 2.5
/* Targets that leave stay away for up to this time, so that the bound on it is met. */
#define LEAVE_MAX_S 8.0

typedef enum jd_fault_kind
{
  FAULT_KILL,
  FAULT_TERM,
  FAULT_PAUSE,
  FAULT_RELOAD,
  FAULT_STORE,
  FAULT_STORE_FORGETS,
  FAULT_TARGETS,
  FAULT_TARGET_HANGS,
  FAULT_SILENCE,
  FAULT_ONE_WAY,
  FAULT_RESET,
  FAULT_DELAY,
  FAULT_CONFIGURATION,
  FAULT_KEY,
  FAULT_TARGET_LEAVES,
  FAULT_TARGET_RESTARTS,
  FAULT_COUNT,
} jd_fault_kind_t;

static const char *const fault_names[FAULT_COUNT] = {
  [FAULT_KILL] = "kill",
  [FAULT_TERM] = "term",
  [FAULT_PAUSE] = "pause",
  [FAULT_RELOAD] = "reload",
  [FAULT_STORE] = "store",
  [FAULT_STORE_FORGETS] = "store_forgets",
  [FAULT_TARGETS] = "targets",
  [FAULT_TARGET_HANGS] = "target_hangs",
  [FAULT_SILENCE] = "silence",
  [FAULT_ONE_WAY] = "one_way",
  [FAULT_RESET] = "reset",
  [FAULT_DELAY] = "delay",
  [FAULT_CONFIGURATION] = "configuration",
  [FAULT_KEY] = "key",
  [FAULT_TARGET_LEAVES] = "target_leaves",
  [FAULT_TARGET_RESTARTS] = "target_restarts",
};

/* Chooses the kinds of faults of this run: all to plant a violation, else about half.
 * That leaves calm what bounds in time need, and lets each kind go on for longer. */
void
jd_soak_choose_kinds (jd_soak_t *soak)
{
  if (*soak->planted)
    soak->kinds = (1U << FAULT_COUNT) - 1;
  while (soak->kinds == 0)
    soak->kinds = (uint32_t)jd_rng_below (&soak->rng, 1U << FAULT_COUNT);
  printf ("kinds");
  for (uint32_t i = 0; i < FAULT_COUNT; i++)
    {
      if (soak->kinds & (1U << i))
        printf (" %s", fault_names[i]);
    }
  printf ("\n");
}

/* Returns a random time from now on. */
static int64_t
soon (jd_soak_t *soak, double longest_s)
{
  return jd_monotonic_us () +
         (int64_t)(jd_rng_unit (&soak->rng) * longest_s * (double)JD_US_PER_S);
}

/* Stops a host with a signal; it is started again later. */
static void
stop_host (jd_soak_t *soak, uint32_t index, int signal_number)
{
  const jd_lab_host_t *process = &soak->lab.hosts[index];
  jd_soak_host_t *host = &soak->hosts[index];
  if (process->pid == 0 || host->stopping)
    return;
  int64_t now_us = jd_monotonic_us ();
  bool is_planted = signal_number == SIGTERM && jd_soak_plants (soak, "graceful_stop");
  kill (process->pid, SIGCONT);
  kill (process->pid, is_planted ? SIGKILL : signal_number);
  host->resume_us = 0;
  host->stopping = true;
  host->disturbed_us = now_us;
  if (signal_number == SIGTERM)
    host->term_us = now_us;
  else
    host->harmed_us = now_us;
}

/* Gives all targets random faults for a time. */
static void
disturb_targets (jd_soak_t *soak, bool hang)
{
  soak->targets_until_us = soon (soak, FAULT_MAX_S);
  for (uint32_t i = 0; i < soak->lab.target_count; i++)
    {
      jd_shard_faults_t faults = {
        .shed_share = 0.3 * jd_rng_unit (&soak->rng),
        .error_share = 0.1 * jd_rng_unit (&soak->rng),
        .lose_share = 0.1 * jd_rng_unit (&soak->rng),
        .cut_share = 0.1 * jd_rng_unit (&soak->rng),
        .stray_share = 0.1 * jd_rng_unit (&soak->rng),
        .delay_us = (int64_t)jd_rng_below (&soak->rng, 60000),
        .hangs = hang && jd_rng_below (&soak->rng, 5) == 0,
      };
      jd_shard_target_set_faults (soak->lab.targets[i].target, &faults);
    }
}

/* Publishes the next version of the configuration, with or without the guest's key. */
void
jd_soak_publish (jd_soak_t *soak, bool has_guest_key)
{
  int64_t now_us = jd_monotonic_us ();
  g_array_append_val (soak->published_us, now_us);
  if (jd_soak_plants (soak, "config_late"))
    {
      soak->lab.version++; /* And nothing is published. */
      return;
    }
  if (has_guest_key != soak->lab.has_guest_key)
    soak->guest_changed_us = now_us;
  soak->lab.has_guest_key = has_guest_key || jd_soak_plants (soak, "key_revoked");
  jd_host_lab_publish_routes (&soak->lab);
  soak->lab.has_guest_key = has_guest_key;
}

/* Publishes a target as leaving, or removes its entry. */
void
jd_soak_take_away (jd_soak_t *soak, uint32_t target)
{
  const char *state = jd_rng_below (&soak->rng, 2) ? "draining" : NULL;
  if (!jd_soak_plants (soak, "drain"))
    jd_host_lab_publish_target (&soak->lab, target, state);
  soak->leaving = target;
  soak->targets[target].left_us = jd_monotonic_us ();
}

/* Starts a target anew under another id. */
static void
restart_target (jd_soak_t *soak, uint32_t index)
{
  jd_soak_target_t *target = &soak->targets[index];
  int64_t now_us = jd_monotonic_us ();
  bool is_planted = jd_soak_plants (soak, "cold_limit");
  if (target->left_us > 0)
    return;
  jd_host_lab_replace_target (&soak->lab, index, is_planted ? 0 : JD_SOAK_COLD_MS);
  target->cold_until_us = now_us + JD_SOAK_COLD_MS * JD_US_PER_MS;
  target->cold.count = 0;
}

/* Harms the links to a target. */
static void
disturb_links (jd_soak_t *soak, jd_fault_kind_t kind, uint32_t target)
{
  jd_relay_t *relay = soak->lab.targets[target].relay;
  soak->links_disturbed_us = jd_monotonic_us ();
  if (kind == FAULT_SILENCE)
    jd_relay_silence (relay);
  else if (kind == FAULT_ONE_WAY)
    jd_relay_cut_one_way (relay);
  else if (kind == FAULT_RESET)
    jd_relay_reset (relay);
  else
    {
      jd_relay_delay (relay, 1 + (int)jd_rng_below (&soak->rng, 80));
      soak->targets_until_us = soon (soak, FAULT_MAX_S);
      soak->links_disturbed_us = soak->targets_until_us;
    }
}

/* Disturbs a host process. */
static void
disturb_host (jd_soak_t *soak, jd_fault_kind_t kind, uint32_t index)
{
  jd_soak_host_t *host = &soak->hosts[index];
  pid_t pid = soak->lab.hosts[index].pid;
  if (kind == FAULT_KILL || kind == FAULT_TERM)
    stop_host (soak, index, kind == FAULT_KILL ? SIGKILL : SIGTERM);
  else if (pid == 0 || host->stopping)
    return;
  else if (kind == FAULT_RELOAD)
    kill (pid, SIGHUP);
  else
    {
      kill (pid, SIGSTOP);
      host->resume_us = soon (soak, FAULT_MAX_S);
      host->disturbed_us = host->resume_us;
      host->harmed_us = host->resume_us;
    }
}

/* Disturbs the store. */
static void
disturb_store (jd_soak_t *soak, jd_fault_kind_t kind)
{
  soak->store_disturbed_us = jd_monotonic_us ();
  if (kind == FAULT_STORE_FORGETS)
    {
      jd_published_store_forget_history (soak->lab.store);
      return;
    }
  jd_published_store_set_mood (soak->lab.store, 1 + jd_rng_below (&soak->rng, 3));
  soak->store_until_us = soon (soak, FAULT_MAX_S);
  soak->store_disturbed_us = soak->store_until_us;
}

/* Starts a random fault of the kinds of this run. Faults of different kinds overlap. */
void
jd_soak_start_fault (jd_soak_t *soak)
{
  jd_fault_kind_t kind = jd_rng_below (&soak->rng, FAULT_COUNT);
  uint32_t host = (uint32_t)jd_rng_below (&soak->rng, soak->lab.host_count);
  uint32_t target = (uint32_t)jd_rng_below (&soak->rng, soak->lab.target_count);
  if (!(soak->kinds & (1U << kind)))
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
      disturb_host (soak, kind, host);
      return;
    case FAULT_STORE:
    case FAULT_STORE_FORGETS:
      disturb_store (soak, kind);
      return;
    case FAULT_TARGETS:
    case FAULT_TARGET_HANGS:
      disturb_targets (soak, kind == FAULT_TARGET_HANGS);
      return;
    case FAULT_SILENCE:
    case FAULT_ONE_WAY:
    case FAULT_RESET:
    case FAULT_DELAY:
      disturb_links (soak, kind, target);
      return;
    case FAULT_CONFIGURATION:
      jd_soak_publish (soak, soak->lab.has_guest_key);
      return;
    case FAULT_KEY:
      jd_soak_publish (soak, !soak->lab.has_guest_key);
      return;
    case FAULT_TARGET_LEAVES:
      if (soak->leaves_until_us != 0)
        return;
      soak->leaves_until_us = soon (soak, LEAVE_MAX_S);
      jd_soak_take_away (soak, target);
      return;
    case FAULT_TARGET_RESTARTS:
      restart_target (soak, target);
      return;
    case FAULT_COUNT:
      return;
    }
}

/* Lets a paused host go on, and starts one that has ended again. */
static void
end_host_fault (jd_soak_t *soak, uint32_t index, int64_t now_us)
{
  jd_lab_host_t *process = &soak->lab.hosts[index];
  jd_soak_host_t *host = &soak->hosts[index];
  if (host->resume_us != 0 && now_us >= host->resume_us)
    {
      kill (process->pid, SIGCONT);
      host->resume_us = 0;
    }
  if (host->stopping && process->pid != 0 &&
      now_us - MAX (host->term_us, host->harmed_us) > JD_SOAK_GRACE_US + JD_US_PER_S)
    {
      jd_soak_violate (soak, "graceful_stop", "-", "a host outlives its grace time");
      kill (process->pid, SIGKILL);
      host->harmed_us = now_us;
    }
  int status = 0;
  if (process->pid != 0 && waitpid (process->pid, &status, WNOHANG) == process->pid)
    {
      if (!host->stopping || (WIFEXITED (status) && WEXITSTATUS (status) != 0))
        jd_soak_violate (soak, "host_ended", "-", "a host ended by itself or badly");
      process->pid = 0;
      host->stopping = false;
      host->restart_us = soon (soak, 1.0);
      host->disturbed_us = now_us;
    }
  if (process->pid != 0 || now_us < host->restart_us)
    return;
  jd_host_lab_start_host (&soak->lab, index);
  host->starts++;
  host->version = 0;
  host->disturbed_us = now_us;
}

/* Ends the faults whose time is over. */
void
jd_soak_end_faults (jd_soak_t *soak)
{
  jd_host_lab_t *lab = &soak->lab;
  int64_t now_us = jd_monotonic_us ();
  for (uint32_t i = 0; i < lab->host_count; i++)
    end_host_fault (soak, i, now_us);
  if (soak->store_until_us != 0 && now_us >= soak->store_until_us)
    {
      jd_published_store_set_mood (lab->store, JD_STORE_SERVES);
      soak->store_until_us = 0;
      soak->store_disturbed_us = now_us;
    }
  if (soak->targets_until_us != 0 && now_us >= soak->targets_until_us)
    {
      jd_shard_faults_t calm = { .delay_us = 3000 };
      for (uint32_t i = 0; i < lab->target_count; i++)
        {
          jd_shard_target_set_faults (lab->targets[i].target, &calm);
          jd_relay_delay (lab->targets[i].relay, 0);
        }
      soak->targets_until_us = 0;
    }
  if (soak->leaves_until_us != 0 && now_us >= soak->leaves_until_us)
    {
      jd_host_lab_publish_target (lab, soak->leaving, "ready");
      soak->targets[soak->leaving].left_us = 0;
      soak->leaves_until_us = 0;
    }
}
