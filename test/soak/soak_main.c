#include <errno.h>
#include <math.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/wait.h>

#include "base/clock.h"
#include "base/rng.h"
#include "config/settings.h"
#include "support/host_lab.h"

/* Requests that wait for their end; more are not started. */
#define CALLS_OPEN_MAX 400
#define TICK_S 0.02
/* Longest time of a fault. */
#define FAULT_MAX_S 2.5
/* Longest time that a caller waits; its request's deadline is 1.5 s. */
#define CALL_SECONDS 4.0
/* After the last fault all hosts serve again within this time, as the platform asks of a
 * system that was down. */
#define RECOVERY_S 12.0

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
  FAULT_TARGET_DRAINS,
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
  [FAULT_TARGET_DRAINS] = "target_drains",
};

typedef struct jd_soak
{
  jd_host_lab_t lab;
  jd_philox_t random;
  jd_rng_t rng;
  int64_t start_us;
  int64_t resume_us[JD_LAB_HOSTS_MAX];  /* When a paused host goes on; 0: runs. */
  int64_t restart_us[JD_LAB_HOSTS_MAX]; /* When a stopped host starts again. */
  bool stopping[JD_LAB_HOSTS_MAX];
  int64_t disturbed_us[JD_LAB_HOSTS_MAX]; /* Last kill, stop or pause of a host. */
  int64_t store_until_us;
  int64_t targets_until_us;
  int64_t drains_until_us;
  uint32_t drained;
  uint32_t open;
  uint32_t sent;
  uint32_t served;
  uint32_t violations;
  bool quiet;          /* No more faults. */
  const char *planted; /* Rule whose violation is planted; "" for none. */
} jd_soak_t;

typedef struct jd_soak_call
{
  jd_soak_t *soak;
  char id[24];
  uint32_t host;
  bool is_edit;
  bool is_search;
  int64_t sent_us;
} jd_soak_call_t;

/* Reports a broken promise. */
static void
violate (jd_soak_t *soak, const char *rule, const char *id, const char *detail)
{
  soak->violations++;
  printf ("violation rule=%s id=%s at_ms=%" G_GINT64_FORMAT " %s\n", rule, id,
          (jd_monotonic_us () - soak->start_us) / JD_US_PER_MS, detail);
}

/* TRUE when the violation of a rule is to be planted. */
static bool
plants (const jd_soak_t *soak, const char *rule)
{
  return strcmp (soak->planted, rule) == 0;
}

/* Returns how often the targets together ran a request. */
static uint32_t
runs_of (const jd_soak_t *soak, const char *id)
{
  uint32_t runs = 0;
  for (uint32_t i = 0; i < soak->lab.target_count; i++)
    runs += jd_shard_target_runs (soak->lab.targets[i].target, id);
  return runs;
}

/* Checks the answer of a search: parts of this request, each shard once, and a true count
 * of those that are missing. */
static void
check_search (jd_soak_t *soak, const jd_soak_call_t *call, const jd_lab_reply_t *reply)
{
  char **signatures = g_strsplit (reply->signatures ? reply->signatures : "", ", ", -1);
  uint32_t count = g_strv_length (signatures);
  uint32_t missing = reply->missing ? (uint32_t)atoi (reply->missing) : 0;
  for (uint32_t i = 0; i < count; i++)
    {
      if (!strstr (signatures[i], call->id))
        violate (soak, "whole_answer", call->id, "part of another request");
      for (uint32_t k = 0; k < i; k++)
        {
          if (strcmp (signatures[i], signatures[k]) == 0)
            violate (soak, "whole_answer", call->id, "part twice");
        }
    }
  if (count + missing != soak->lab.shards)
    violate (soak, "true_coverage", call->id, "parts and missing parts");
  if (count < (uint32_t)ceil (0.75 * soak->lab.shards))
    violate (soak, "min_coverage", call->id, "too few parts");
  if (reply->body->len != (size_t)4 * 16)
    violate (soak, "whole_answer", call->id, "length of the body");
  for (size_t i = 16; i < reply->body->len; i += 16)
    {
      if (memcmp (reply->body->str + i - 16, reply->body->str + i, 16) < 0)
        violate (soak, "whole_answer", call->id, "order of records");
    }
  g_strfreev (signatures);
}

/* Changes what a caller got so that it breaks the rule that is planted. */
static void
plant_violation (const jd_soak_t *soak, const jd_soak_call_t *call, jd_lab_reply_t *reply,
                 uint32_t *runs)
{
  bool is_search_answer = call->is_search && reply->status == 200;
  if (plants (soak, "whole_answer") && is_search_answer)
    reply->signatures = (char *)"soak-none-";
  if (plants (soak, "true_coverage") && is_search_answer)
    reply->missing = (char *)"9";
  if (plants (soak, "min_coverage") && is_search_answer)
    reply->signatures = (char *)call->id;
  if (plants (soak, "at_most_once") && call->is_edit)
    *runs = 2;
  if (plants (soak, "not_run") && call->is_edit && *runs > 0)
    reply->status = 503;
  if (plants (soak, "denied"))
    reply->status = 401;
  if (plants (soak, "nothing_cut") || plants (soak, "answer_in_time"))
    reply->status = 0;
  if (plants (soak, "answer_in_time"))
    reply->timed_out = true;
}

/* Call callback: checks what a caller got. */
static void
on_reply (void *context, const jd_lab_reply_t *received)
{
  jd_soak_call_t *call = context;
  jd_soak_t *soak = call->soak;
  jd_lab_reply_t seen = *received;
  const jd_lab_reply_t *reply = &seen;
  uint32_t runs = call->is_search ? 0 : runs_of (soak, call->id);
  plant_violation (soak, call, &seen, &runs);
  soak->open--;
  bool is_success = reply->status == 200;
  soak->served += is_success;
  if (call->is_edit && runs > 1)
    violate (soak, "at_most_once", call->id, "edit ran again");
  if (call->is_edit && runs > 0 && (reply->status == 503 || reply->status == 429))
    violate (soak, "not_run", call->id, "refused edit ran");
  if (is_success && !call->is_search &&
      (!reply->signatures || !strstr (reply->signatures, call->id)))
    violate (soak, "whole_answer", call->id, "answer of another request");
  if (is_success && call->is_search)
    check_search (soak, call, reply);
  bool disturbed = soak->disturbed_us[call->host] >= call->sent_us - 5 * JD_US_PER_S;
  if (reply->timed_out && !disturbed)
    violate (soak, "answer_in_time", call->id, "no answer from a calm host");
  if (reply->status == 0 && !reply->timed_out && !disturbed)
    violate (soak, "nothing_cut", call->id, "connection of a calm host ended");
  if (reply->status == 401 || reply->status == 404)
    violate (soak, "denied", call->id, "allowed request was denied");
  g_free (call);
}

/* Sends a random request to a random host that runs. */
static void
send_request (jd_soak_t *soak)
{
  uint32_t host = (uint32_t)jd_rng_below (&soak->rng, soak->lab.host_count);
  if (soak->lab.hosts[host].pid == 0 || soak->open >= CALLS_OPEN_MAX)
    return;
  static const char *const targets[] = { "/search/1", "/fetch/1", "/edit/1" };
  uint64_t kind = jd_rng_below (&soak->rng, 3);
  jd_soak_call_t *call = g_new0 (jd_soak_call_t, 1);
  call->soak = soak;
  call->host = host;
  call->is_search = kind == 0;
  call->is_edit = kind == 2;
  call->sent_us = jd_monotonic_us ();
  g_snprintf (call->id, sizeof (call->id), "soak-%u-", soak->sent++);
  char *text =
      g_strdup_printf ("%s %s HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: "
                       "%s\r\nX-Deadline-Ms: 1500\r\n"
                       "%sContent-Length: %d\r\n\r\n%s",
                       call->is_edit ? "POST" : "GET", targets[kind], call->id,
                       JD_LAB_KEY, call->is_edit ? 4 : 0, call->is_edit ? "text" : "");
  soak->open++;
  jd_host_lab_call_async (&soak->lab, host, text, CALL_SECONDS, on_reply, call);
  g_free (text);
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
stop_host (jd_soak_t *soak, uint32_t host, int signal_number)
{
  jd_lab_host_t *lab_host = &soak->lab.hosts[host];
  if (lab_host->pid == 0 || soak->stopping[host])
    return;
  kill (lab_host->pid, SIGCONT);
  kill (lab_host->pid, signal_number);
  soak->resume_us[host] = 0;
  soak->stopping[host] = true;
  soak->disturbed_us[host] = jd_monotonic_us ();
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

/* Starts a random fault. Faults of different kinds overlap. */
static void
start_fault (jd_soak_t *soak)
{
  jd_fault_kind_t kind = jd_rng_below (&soak->rng, FAULT_COUNT);
  uint32_t host = (uint32_t)jd_rng_below (&soak->rng, soak->lab.host_count);
  uint32_t target = (uint32_t)jd_rng_below (&soak->rng, soak->lab.target_count);
  jd_host_lab_t *lab = &soak->lab;
  int64_t now_us = jd_monotonic_us ();
  printf ("fault kind=%s host=%u target=%u at_ms=%" G_GINT64_FORMAT "\n",
          fault_names[kind], host, target, (now_us - soak->start_us) / JD_US_PER_MS);
  switch (kind)
    {
    case FAULT_KILL:
      stop_host (soak, host, SIGKILL);
      return;
    case FAULT_TERM:
      stop_host (soak, host, SIGTERM);
      return;
    case FAULT_PAUSE:
      if (lab->hosts[host].pid == 0 || soak->stopping[host])
        return;
      kill (lab->hosts[host].pid, SIGSTOP);
      soak->resume_us[host] = soon (soak, FAULT_MAX_S);
      soak->disturbed_us[host] = soak->resume_us[host];
      return;
    case FAULT_RELOAD:
      if (lab->hosts[host].pid != 0 && !soak->stopping[host])
        kill (lab->hosts[host].pid, SIGHUP);
      return;
    case FAULT_STORE:
      jd_published_store_set_mood (lab->store, 1 + jd_rng_below (&soak->rng, 3));
      soak->store_until_us = soon (soak, FAULT_MAX_S);
      return;
    case FAULT_STORE_FORGETS:
      jd_published_store_forget_history (lab->store);
      return;
    case FAULT_TARGETS:
    case FAULT_TARGET_HANGS:
      disturb_targets (soak, kind == FAULT_TARGET_HANGS);
      return;
    case FAULT_SILENCE:
      jd_relay_silence (lab->targets[target].relay);
      return;
    case FAULT_ONE_WAY:
      jd_relay_cut_one_way (lab->targets[target].relay);
      return;
    case FAULT_RESET:
      jd_relay_reset (lab->targets[target].relay);
      return;
    case FAULT_DELAY:
      jd_relay_delay (lab->targets[target].relay, 1 + (int)jd_rng_below (&soak->rng, 80));
      soak->targets_until_us = soon (soak, FAULT_MAX_S);
      return;
    case FAULT_CONFIGURATION:
      jd_host_lab_publish_routes (lab);
      return;
    case FAULT_TARGET_DRAINS:
      if (soak->drains_until_us != 0)
        return;
      soak->drained = target;
      soak->drains_until_us = soon (soak, FAULT_MAX_S);
      jd_host_lab_publish_target (lab, target,
                                  jd_rng_below (&soak->rng, 2) ? "draining" : NULL);
      return;
    case FAULT_COUNT:
      return;
    }
}

/* Ends the faults whose time is over and starts hosts that have ended. */
static void
end_faults (jd_soak_t *soak)
{
  jd_host_lab_t *lab = &soak->lab;
  int64_t now_us = jd_monotonic_us ();
  for (uint32_t i = 0; i < lab->host_count; i++)
    {
      jd_lab_host_t *host = &lab->hosts[i];
      if (soak->resume_us[i] != 0 && now_us >= soak->resume_us[i])
        {
          kill (host->pid, SIGCONT);
          soak->resume_us[i] = 0;
        }
      int status = 0;
      if (host->pid != 0 && waitpid (host->pid, &status, WNOHANG) == host->pid)
        {
          if (!soak->stopping[i] || (WIFEXITED (status) && WEXITSTATUS (status) != 0))
            violate (soak, "host_ended", "-", "a host ended by itself or badly");
          host->pid = 0;
          soak->stopping[i] = false;
          soak->restart_us[i] = soon (soak, 1.0);
          soak->disturbed_us[i] = now_us;
        }
      if (host->pid == 0 && now_us >= soak->restart_us[i])
        {
          jd_host_lab_start_host (lab, i);
          soak->disturbed_us[i] = now_us;
        }
    }
  if (soak->store_until_us != 0 && now_us >= soak->store_until_us)
    {
      jd_published_store_set_mood (lab->store, JD_STORE_SERVES);
      soak->store_until_us = 0;
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
  if (soak->drains_until_us != 0 && now_us >= soak->drains_until_us)
    {
      jd_host_lab_publish_target (lab, soak->drained, "ready");
      soak->drains_until_us = 0;
    }
}

/* Plants the violations that no single answer shows. */
static void
plant_fault (jd_soak_t *soak)
{
  if (plants (soak, "host_ended") && soak->lab.hosts[0].pid != 0 && !soak->stopping[0])
    kill (soak->lab.hosts[0].pid, SIGKILL);
  if (!plants (soak, "recovery") || !soak->quiet)
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
      end_faults (soak);
      if (!soak->quiet && jd_rng_below (&soak->rng, 10) == 0)
        start_fault (soak);
      for (uint64_t i = jd_rng_below (&soak->rng, 6); i > 0; i--)
        send_request (soak);
      jd_host_lab_run (&soak->lab, TICK_S);
    }
}

/* Checks that all hosts serve once the faults are over. */
static void
check_recovery (jd_soak_t *soak)
{
  soak->quiet = true;
  run_for (soak, RECOVERY_S);
  uint32_t sent = soak->sent, served = soak->served;
  run_for (soak, 2.0);
  while (soak->open > 0)
    jd_host_lab_run (&soak->lab, TICK_S);
  if ((soak->served - served) * 100 < (soak->sent - sent) * 99)
    violate (soak, "recovery", "-", "under 99 in 100 are served after the faults");
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
  jd_soak_t soak = { .lab = { .relays = true } };
  soak.random.seed = (uint64_t)settings[0].integer;
  soak.rng = jd_philox_rng (&soak.random);
  soak.start_us = jd_monotonic_us ();
  soak.planted = settings[3].text ? settings[3].text : "";
  jd_host_lab_open (&soak.lab, (uint32_t)settings[2].integer, 4);
  for (uint32_t i = 0; i < soak.lab.host_count; i++)
    {
      if (!jd_host_lab_wait_ready (&soak.lab, i, 5.0))
        violate (&soak, "start", "-", "a host is not ready after 5 s");
      soak.disturbed_us[i] = jd_monotonic_us ();
    }
  soak.lab.first_start = false;
  jd_host_lab_run (&soak.lab, 2.0);
  run_for (&soak, (double)settings[1].integer);
  check_recovery (&soak);
  printf ("seed=%" G_GINT64_FORMAT " sent=%u served=%u violations=%u\n",
          settings[0].integer, soak.sent, soak.served, soak.violations);
  jd_host_lab_close (&soak.lab);
  return soak.violations == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
