#include <stdio.h>

#include "base/clock.h"
#include "rate/cost.h"
#include "rate/growth.h"
#include "rate/schemes.h"
#include "limits/token_defs.h"
#include "support/rate_history.h"

#define SEEDS 3
#define FROM_US (8 * JD_US_PER_S) /* All buckets are full by then. */
#define LOSS_US (20 * JD_US_PER_S)
#define UNTIL_US (35 * JD_US_PER_S)

/* Estimate for a token message: 45 bytes of msgpack, 15 of ZeroMQ framing and 40 of TCP
 * and IP headers. */
#define MESSAGE_BYTES 100

/* Results of all seeds. */
typedef struct row
{
  uint64_t requests;
  uint64_t refused;
  uint64_t organisation_requests[BENCH_ORGANISATIONS];
  uint64_t organisation_refused[BENCH_ORGANISATIONS];
  int64_t excess; /* Highest excess over the bound in microtokens. */
  uint64_t messages;
  /* Admitted requests of organisation 0 divided by its bound; mean of the seeds. */
  double flood_served_share;
} row_t;

/* Adds the decided requests of one run from from_us to until_us, without those of a
 * flooding organisation. */
static void
count_requests (row_t *row, const bench_run_t *run, const GArray *arrivals,
                const bench_traffic_t *traffic, int64_t from_us, int64_t until_us)
{
  for (guint i = 0; i < arrivals->len; i++)
    {
      const bench_arrival_t *arrival = &g_array_index (arrivals, bench_arrival_t, i);
      if (arrival->at_us < from_us || arrival->at_us >= until_us ||
          run->results[i] == BENCH_UNDECIDED)
        continue;
      if (arrival->organisation == 0 && traffic->flood_factor > 0)
        continue;
      bool refused = run->results[i] == BENCH_REFUSED;
      row->requests++;
      row->refused += refused;
      row->organisation_requests[arrival->organisation]++;
      row->organisation_refused[arrival->organisation] += refused;
    }
}

/* Updates the highest excess of admissions over rate times window plus burst, and the
 * share of its bound that organisation 0 got. */
static void
count_excess (row_t *row, const bench_run_t *run, const GArray *arrivals,
              const bench_site_t *site)
{
  for (int organisation = 0; organisation < BENCH_ORGANISATIONS; organisation++)
    {
      double rate = site->rates[organisation];
      jd_rate_history_t history;
      jd_rate_history_init (&history);
      jd_rate_history_add_bound (
          &history,
          (jd_rate_bound_t){ 0, (int64_t)(rate * JD_MICROTOKENS),
                             (int64_t)(rate * site->burst_s * JD_MICROTOKENS) });
      for (guint i = 0; i < arrivals->len; i++)
        if (g_array_index (arrivals, bench_arrival_t, i).organisation == organisation &&
            run->results[i] == BENCH_ADMITTED)
          jd_rate_history_add (&history, run->decided_at_us[i]);
      double allowed = rate * ((UNTIL_US - FROM_US) / 1e6 + site->burst_s);
      if (organisation == 0)
        row->flood_served_share += history.admissions->len / allowed / SEEDS;
      row->excess =
          MAX (row->excess, jd_rate_history_check (&history).max_excess_microtokens);
      jd_rate_history_clear (&history);
    }
}

/* Runs one scheme with all seeds and prints one line. */
static void
print_row (const bench_site_t *site, bench_traffic_t traffic, bench_scheme_t scheme,
           const char *title)
{
  row_t row = { 0 };
  for (traffic.seed = 1; traffic.seed <= SEEDS; traffic.seed++)
    {
      GArray *arrivals = bench_arrivals_new (site, &traffic);
      bench_run_t run = bench_run_scheme (scheme, site, &traffic, arrivals);
      bool has_loss = traffic.loss_at_us < UNTIL_US;
      count_requests (&row, &run, arrivals, &traffic, has_loss ? LOSS_US : FROM_US,
                      has_loss ? LOSS_US + JD_US_PER_S : UNTIL_US);
      count_excess (&row, &run, arrivals, site);
      row.messages += run.messages;
      bench_run_clear (&run);
      g_array_unref (arrivals);
    }
  double worst_share = 0;
  for (int i = 0; i < BENCH_ORGANISATIONS; i++)
    if (row.organisation_requests[i])
      worst_share = MAX (worst_share, (double)row.organisation_refused[i] /
                                          (double)row.organisation_requests[i]);
  double messages =
      (double)row.messages / SEEDS / BENCH_ENTRIES / ((UNTIL_US - FROM_US) / 1e6);
  printf ("%-10s %5.2f %-11s %3.0f%% %-6s %-6s %-7s %8.3f%% %8.3f%% %8.1f %7.1f %7.0f",
          site->name, site->burst_s, title, traffic.load * 100,
          traffic.bursty ? "bursty" : "steady", traffic.skewed ? "skewed" : "even",
          bench_scheme_name (scheme), 100.0 * (double)row.refused / (double)row.requests,
          100 * worst_share, (double)row.excess / 1e6, messages,
          messages * MESSAGE_BYTES);
  if (traffic.flood_factor > 0)
    printf ("  flooding organisation admitted to %.1f%% of its bound",
            100 * row.flood_served_share);
  printf ("\n");
}

/* Prints the schemes from first_scheme on for one kind of traffic. */
static void
print_rows (const bench_site_t *site, bench_traffic_t traffic, const char *title,
            bench_scheme_t first_scheme)
{
  for (bench_scheme_t scheme = first_scheme; scheme < BENCH_SCHEMES; scheme++)
    print_row (site, traffic, scheme, title);
}

/* Prints the table of one site with the schemes from first_scheme on. */
static void
print_site (const bench_site_t *site, bench_scheme_t first_scheme)
{
  const double loads[] = { 0.5, 0.8, 0.95 };
  for (int kind = 0; kind < 4; kind++)
    {
      bench_traffic_t traffic = { .bursty = kind / 2,
                                  .skewed = kind % 2,
                                  .from_us = FROM_US,
                                  .until_us = UNTIL_US,
                                  .loss_at_us = INT64_MAX };
      for (unsigned i = 0; i < G_N_ELEMENTS (loads); i++)
        {
          traffic.load = loads[i];
          print_rows (site, traffic, "no failure", first_scheme);
        }
      traffic.loss_at_us = LOSS_US;
      for (unsigned i = 0; i < G_N_ELEMENTS (loads); i++)
        {
          traffic.load = loads[i];
          print_rows (site, traffic, "host lost", first_scheme);
        }
      traffic.loss_at_us = INT64_MAX;
      traffic.load = 0.8;
      traffic.flood_factor = 5;
      print_rows (site, traffic, "one floods", first_scheme);
    }
}

/* Prints the tables of schemes, growth and cost. Schemes other than the rate limiter
 * appear only for a burst of 2 s; with the argument `all` for every burst, with `chosen`
 * for none. The argument `growth` omits the table of schemes. */
int
main (int argc, char **argv)
{
  bench_scheme_t first_scheme =
      argc > 1 && g_str_equal (argv[1], "chosen") ? BENCH_RATE_LIMITER : BENCH_STATIC;
  bool all_bursts = argc > 1 && g_str_equal (argv[1], "all");
  if (argc > 1 && g_str_equal (argv[1], "growth"))
    {
      bench_print_growth ();
      bench_print_cost ();
      return 0;
    }
  const bench_site_t sites[] = {
    { "signfold", 500, { 400, 300, 40, 40, 40, 40, 20, 20 }, 2.0 },
    { "signfold", 500, { 400, 300, 40, 40, 40, 40, 20, 20 }, 1.0 },
    { "signfold", 500, { 400, 300, 40, 40, 40, 40, 20, 20 }, 0.5 },
    { "lamplight", 1000, { 300, 200, 30, 30, 30, 30, 20, 20 }, 2.0 },
    { "lamplight", 1000, { 300, 200, 30, 30, 30, 30, 20, 20 }, 1.0 },
    { "lamplight", 1000, { 300, 200, 30, 30, 30, 30, 20, 20 }, 0.5 },
  };
  printf (
      "seeds 1 to %d; burst in seconds of the rate; refused: share of the requests "
      "within the rate; worst: the same for the organisation with the highest share; "
      "excess: tokens admitted over rate and burst; host lost: requests in the second "
      "after\n",
      SEEDS);
  printf ("%-10s %5s %-11s %4s %-6s %-6s %-7s %9s %9s %8s %7s %7s\n", "site", "burst",
          "case", "load", "demand", "entry", "scheme", "refused", "worst", "excess",
          "msg/s", "bytes/s");
  for (unsigned i = 0; i < G_N_ELEMENTS (sites); i++)
    print_site (&sites[i],
                sites[i].burst_s < 2 && !all_bursts ? BENCH_RATE_LIMITER : first_scheme);
  bench_print_growth ();
  bench_print_cost ();
  return 0;
}
