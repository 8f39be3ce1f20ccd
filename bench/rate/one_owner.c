#include "base/clock.h"
#include "rate/schemes.h"

/* A grant expires this long after the entry received it; its unused tokens are lost. */
#define GRANT_TTL_US 1000000

/* An entry requests tokens for this time of its recent demand. */
#define GRANT_DEMAND_US 100000.0

/* Longest wait of a request for tokens, as in the rate limiter of src/limits, and timeout
 * of a token request. */
#define MAX_WAIT_US 20000

/* A failed owner is replaced after the lease and the takeover gap. */
#define TAKEOVER_US 2300000

/* Tokens of one entry for one organisation. */
typedef struct account
{
  double tokens; /* Granted and not used. */
  int64_t expires_at_us;
  double demand_per_s; /* Moving estimate. */
  int64_t demand_at_us;
  bool request_pending; /* A token request has no grant yet. */
  int64_t request_sent_at_us;
  GQueue waiting; /* Positions of the requests in the arrivals. */
} account_t;

typedef struct owner
{
  double level;
  int64_t refilled_at_us;
  int64_t starts_at_us; /* When a new owner replaced the failed one; 0: never. */
} owner_t;

typedef struct message
{
  int64_t at_us;
  uint16_t entry;
  uint16_t organisation;
  bool to_owner; /* TRUE: a token request; FALSE: a grant. */
  double amount; /* Tokens. */
} message_t;

typedef struct simulation
{
  bench_run_t *run;
  const bench_site_t *site;
  const bench_traffic_t *traffic;
  const GArray *arrivals;
  GQueue messages; /* In order of time, because all have the same delay. */
  account_t accounts[BENCH_ENTRIES][BENCH_ORGANISATIONS];
  owner_t owners[BENCH_ORGANISATIONS];
} simulation_t;

/* Sends a message between an entry and the owner of an organisation. */
static void
send_message (simulation_t *simulation, int64_t now_us, message_t message)
{
  message.at_us = now_us + simulation->site->one_way_us;
  simulation->run->messages++;
  g_queue_push_tail (&simulation->messages, g_memdup2 (&message, sizeof (message)));
}

/* Records the result of a request. */
static void
end_request (simulation_t *simulation, guint position, bench_result_t result,
             int64_t now_us)
{
  simulation->run->results[position] = (uint8_t)result;
  simulation->run->decided_at_us[position] = now_us;
}

/* Admits waiting requests while the entry has tokens, refuses those that waited too long,
 * and sends a token request if tokens are short. */
static void
process_queue (simulation_t *simulation, uint16_t entry, uint16_t organisation,
               int64_t now_us)
{
  account_t *account = &simulation->accounts[entry][organisation];
  if (now_us >= account->expires_at_us)
    account->tokens = 0;
  while (!g_queue_is_empty (&account->waiting))
    {
      guint position = GPOINTER_TO_UINT (g_queue_peek_head (&account->waiting));
      int64_t arrived_at_us =
          g_array_index (simulation->arrivals, bench_arrival_t, position).at_us;
      bool timed_out = now_us - arrived_at_us > MAX_WAIT_US;
      if (!timed_out && account->tokens < 1)
        break;
      account->tokens -= timed_out ? 0 : 1;
      end_request (simulation, position, timed_out ? BENCH_REFUSED : BENCH_ADMITTED,
                   now_us);
      g_queue_pop_head (&account->waiting);
    }
  if (account->request_pending && now_us - account->request_sent_at_us < MAX_WAIT_US)
    return;
  double expected_demand = account->demand_per_s * GRANT_DEMAND_US / 1e6;
  double tokens_to_request = account->waiting.length + expected_demand - account->tokens;
  bool short_of_tokens = account->waiting.length > account->tokens;
  if (!short_of_tokens &&
      (tokens_to_request < 1 || account->tokens > expected_demand / 2))
    return;
  account->request_pending = true;
  account->request_sent_at_us = now_us;
  send_message (simulation, now_us,
                (message_t){ 0, entry, organisation, .to_owner = true,
                             .amount = tokens_to_request });
}

/* Processes one arrival and updates the demand estimate, whose time constant is 0.5 s. */
static void
process_arrival (simulation_t *simulation, guint position)
{
  const bench_arrival_t *arrival =
      &g_array_index (simulation->arrivals, bench_arrival_t, position);
  account_t *account = &simulation->accounts[arrival->entry][arrival->organisation];
  double elapsed_s = (double)(arrival->at_us - account->demand_at_us) / 1e6;
  account->demand_per_s = account->demand_per_s / (1 + elapsed_s / 0.5) + 2;
  account->demand_at_us = arrival->at_us;
  g_queue_push_tail (&account->waiting, GUINT_TO_POINTER (position));
  process_queue (simulation, arrival->entry, arrival->organisation, arrival->at_us);
}

/* Delivers a message: the owner grants as many of the requested tokens as it has; the
 * entry adds granted tokens. */
static void
deliver_message (simulation_t *simulation, const message_t *message, int64_t now_us)
{
  account_t *account = &simulation->accounts[message->entry][message->organisation];
  if (!message->to_owner)
    {
      account->request_pending = false;
      account->tokens += message->amount;
      account->expires_at_us = now_us + GRANT_TTL_US;
      process_queue (simulation, message->entry, message->organisation, now_us);
      return;
    }
  owner_t *owner = &simulation->owners[message->organisation];
  bool owner_failed =
      now_us >= simulation->traffic->loss_at_us && message->organisation == 0;
  if (owner_failed && now_us < simulation->traffic->loss_at_us + TAKEOVER_US)
    return;
  if (owner_failed && owner->starts_at_us == 0)
    *owner = (owner_t){ 0, now_us, now_us };
  double rate_per_s = simulation->site->rates[message->organisation];
  owner->level =
      MIN (owner->level + rate_per_s * (double)(now_us - owner->refilled_at_us) / 1e6,
           rate_per_s * simulation->site->burst_s);
  owner->refilled_at_us = now_us;
  double granted = MIN (owner->level, message->amount);
  owner->level -= granted;
  send_message (simulation, now_us,
                (message_t){ 0, message->entry, message->organisation, false, granted });
}

/* Runs the scheme with one owner per organisation. The owner of organisation 0 is at
 * entry 0, the entry that fails. An entry requests tokens for its waiting requests and
 * for its demand of 100 ms; grants expire. */
void
bench_run_one_owner (bench_run_t *run, const bench_site_t *site,
                     const bench_traffic_t *traffic, const GArray *arrivals)
{
  simulation_t state = { run, site, traffic, arrivals };
  simulation_t *simulation = &state;
  for (int i = 0; i < BENCH_ORGANISATIONS; i++)
    simulation->owners[i].level = site->rates[i] * site->burst_s;
  guint next = 0;
  while (next < arrivals->len || !g_queue_is_empty (&simulation->messages))
    {
      const message_t *first_message = g_queue_peek_head (&simulation->messages);
      if (next < arrivals->len &&
          (!first_message ||
           g_array_index (arrivals, bench_arrival_t, next).at_us <= first_message->at_us))
        {
          process_arrival (simulation, next++);
          continue;
        }
      message_t *message = g_queue_pop_head (&simulation->messages);
      deliver_message (simulation, message, message->at_us);
      g_free (message);
    }
  for (int entry = 0; entry < BENCH_ENTRIES; entry++)
    for (uint16_t i = 0; i < BENCH_ORGANISATIONS; i++)
      process_queue (simulation, (uint16_t)entry, i, INT64_MAX / 2);
}
