#include <curl/curl.h>
#include <gsl/gsl_sort.h>
#include <gsl/gsl_statistics.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "support/fleet_load.h"

/* Measures the whole path with real processes on loopback: the time that the system adds
 * to a fetch from one target, the CPU time of entry and brokers per target request, their
 * peak memory, and the throughput of one entry at 20 shards. Objective for the added
 * time: a median under 1 ms. */

#define WARM_UP 200
#define FETCHES 2000
#define SHARDS 20
#define THREADS 24
#define LOAD_S 6

/* curl write callback: discards the body. */
static size_t
discard (char *data, size_t size, size_t count, void *context)
{
  return size * count;
}

/* Returns a handle for calls to one URL on a persistent connection. */
static CURL *
open_handle (const char *url, struct curl_slist *headers)
{
  CURL *handle = curl_easy_init ();
  curl_easy_setopt (handle, CURLOPT_URL, url);
  curl_easy_setopt (handle, CURLOPT_HTTPHEADER, headers);
  curl_easy_setopt (handle, CURLOPT_WRITEFUNCTION, discard);
  curl_easy_setopt (handle, CURLOPT_NOPROXY, "*");
  curl_easy_setopt (handle, CURLOPT_TIMEOUT_MS, 3000L);
  return handle;
}

/* Makes one call and returns its duration in microseconds. Aborts if the call fails. */
static double
call_us (CURL *handle)
{
  int64_t begin_us = jd_load_now_us ();
  CURLcode result = curl_easy_perform (handle);
  long status = 0;
  curl_easy_getinfo (handle, CURLINFO_RESPONSE_CODE, &status);
  if (result != CURLE_OK || status != 200)
    g_error ("call failed: %s, status %ld, expected 200", curl_easy_strerror (result),
             status);
  return (double)(jd_load_now_us () - begin_us);
}

/* Prints the time that the system adds to a fetch. Direct calls and calls through the
 * entry alternate, so that noise on the machine affects both alike. */
static void
measure_fetch (jd_fleet_t *fleet)
{
  static double direct_times_us[FETCHES];
  static double through_times_us[FETCHES];
  char *direct_url =
      g_strdup_printf ("http://127.0.0.1:%u/entries/e1",
                       jd_target_port (fleet->targets[0][fleet->shard_count]));
  char *entry_url = g_strdup_printf ("http://127.0.0.1:%u/v1/services/studio/entries/e1",
                                     jd_fleet_process (fleet, "a-entry-0")->http_port);
  struct curl_slist *headers = curl_slist_append (NULL, JD_FLEET_KEY);
  headers = curl_slist_append (headers, "X-Request-Id: bench");
  CURL *direct_handle = open_handle (direct_url, headers);
  CURL *entry_handle = open_handle (entry_url, headers);
  for (int i = -WARM_UP; i < FETCHES; i++)
    {
      double direct_us = call_us (direct_handle);
      double through_us = call_us (entry_handle);
      if (i < 0)
        continue;
      direct_times_us[i] = direct_us;
      through_times_us[i] = through_us;
    }
  gsl_sort (direct_times_us, 1, FETCHES);
  gsl_sort (through_times_us, 1, FETCHES);
  printf (
      "fetch from one target, %d alternating calls each, 1 ms of work at the target\n\n"
      "| | direct us | through jackdawarch us | added us | ratio |\n"
      "| --- | --- | --- | --- | --- |\n",
      FETCHES);
  const double quantiles[] = { 0.5, 0.99 };
  for (size_t i = 0; i < G_N_ELEMENTS (quantiles); i++)
    {
      double direct_us =
          gsl_stats_quantile_from_sorted_data (direct_times_us, 1, FETCHES, quantiles[i]);
      double through_us = gsl_stats_quantile_from_sorted_data (through_times_us, 1,
                                                               FETCHES, quantiles[i]);
      printf ("| p%g | %.0f | %.0f | %.0f | %.2f |\n", quantiles[i] * 100, direct_us,
              through_us, through_us - direct_us, through_us / direct_us);
    }
  double added_us = gsl_stats_median_from_sorted_data (through_times_us, 1, FETCHES) -
                    gsl_stats_median_from_sorted_data (direct_times_us, 1, FETCHES);
  printf ("\nobjective: median added under 1000 us: %s\n\n",
          added_us < 1000 ? "met" : "missed");
  curl_easy_cleanup (direct_handle);
  curl_easy_cleanup (entry_handle);
  curl_slist_free_all (headers);
  g_free (direct_url);
  g_free (entry_url);
}

/* Returns the CPU time of a process in seconds; 0 if its stat file cannot be read. */
static double
cpu_s (pid_t pid)
{
  char *path = g_strdup_printf ("/proc/%d/stat", (int)pid);
  char *text = NULL;
  unsigned long user = 0;
  unsigned long system = 0;
  if (g_file_get_contents (path, &text, NULL, NULL))
    sscanf (strrchr (text, ')') + 2,
            "%*c %*d %*d %*d %*d %*d %*u %*u %*u %*u %*u %lu %lu", &user, &system);
  g_free (text);
  g_free (path);
  return (double)(user + system) / (double)sysconf (_SC_CLK_TCK);
}

/* Returns the peak resident memory of a process in MB; 0 if the kernel reports none. */
static double
peak_mb (pid_t pid)
{
  char *path = g_strdup_printf ("/proc/%d/status", (int)pid);
  char *text = NULL;
  long kilobytes = 0;
  if (g_file_get_contents (path, &text, NULL, NULL))
    {
      const char *line = strstr (text, "VmHWM:");
      if (line)
        kilobytes = strtol (line + strlen ("VmHWM:"), NULL, 10);
    }
  g_free (text);
  g_free (path);
  return (double)kilobytes / 1024;
}

/* Prints throughput, CPU time and peak memory of one entry and two brokers under a load
 * of searches over SHARDS shards. */
static void
measure_load (jd_fleet_t *fleet)
{
  const jd_fleet_process_t *entry = jd_fleet_process (fleet, "a-entry-0");
  const char *const brokers[] = { "a-broker-0", "b-broker-0" };
  uint64_t requests =
      jd_fleet_zone_request_count (fleet, 0) + jd_fleet_zone_request_count (fleet, 1);
  double entry_cpu_s = cpu_s (entry->pid);
  double broker_cpu_s = 0;
  for (size_t i = 0; i < G_N_ELEMENTS (brokers); i++)
    broker_cpu_s -= cpu_s (jd_fleet_process (fleet, brokers[i])->pid);
  int64_t begin_us = jd_load_now_us ();
  jd_load_t *load = jd_load_start (fleet, THREADS, 0, 0);
  g_usleep (LOAD_S * JD_US_PER_S);
  const jd_load_record_t *records;
  uint32_t count = jd_load_stop (load, &records);
  double seconds = (double)(jd_load_now_us () - begin_us) / JD_US_PER_S;
  entry_cpu_s = cpu_s (entry->pid) - entry_cpu_s;
  for (size_t i = 0; i < G_N_ELEMENTS (brokers); i++)
    broker_cpu_s += cpu_s (jd_fleet_process (fleet, brokers[i])->pid);
  requests = jd_fleet_zone_request_count (fleet, 0) +
             jd_fleet_zone_request_count (fleet, 1) - requests;
  uint32_t complete = 0;
  for (uint32_t i = 0; i < count; i++)
    complete += records[i].sent_us && !records[i].is_incomplete && records[i].code == 0;
  jd_load_free (load);
  printf ("searches over %d shards, %d callers that send without pause, each request on "
          "a new "
          "connection and all to one entry\n\n"
          "| complete queries/s | share of all sent | entry CPU us per target request | "
          "brokers' CPU us per target request | entry peak MB | broker peak MB |\n"
          "| --- | --- | --- | --- | --- | --- |\n"
          "| %.0f | %.1f%% | %.1f | %.1f | %.1f | %.1f |\n",
          SHARDS, THREADS, complete / seconds, 100.0 * complete / MAX (count, 1),
          1e6 * entry_cpu_s / (double)requests, 1e6 * broker_cpu_s / (double)requests,
          peak_mb (entry->pid), peak_mb (jd_fleet_process (fleet, brokers[0])->pid));
}

int
main (void)
{
  jd_fleet_t fleet = { .entries_per_zone = 1,
                       .brokers_per_zone = 1,
                       .shard_count = SHARDS,
                       .rate_per_s = 100000,
                       .burst = 200000 };
  if (!jd_fleet_start (&fleet))
    g_error ("the fleet did not start");
  jd_fleet_set_target_faults (&fleet, "{\"latency_median_us\":1000,\"latency_sigma\":0,"
                                      "\"straggle_probability\":0}");
  measure_fetch (&fleet);
  /* Leaves a-entry-0 as the only entry for the load. */
  jd_fleet_end_process (&fleet, "b-entry-0", 15);
  measure_load (&fleet);
  return jd_fleet_stop (&fleet) == 0 ? 0 : 1;
}
