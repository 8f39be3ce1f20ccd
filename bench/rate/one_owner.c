#include "base/clock.h"
#include "rate/schemes.h"

/* A grant is valid this long after it was given; unused tokens are lost then. */
#define GRANT_US 1000000

/* A grant covers this much of the entry's recent demand. */
#define GRANT_AHEAD_US 100000.0

/* Requests wait as long as in the chosen scheme. */
#define WAIT_US 20000

/* A lost owner is replaced after lease and takeover wait. */
#define TAKEOVER_US 2300000

typedef struct account
{
  double tokens; /* Granted to the entry. */
  int64_t expires_at_us;
  double demand;
  int64_t demand_at_us;
  bool asked;
  int64_t asked_at_us;
  GQueue waiting; /* Positions of arrivals. */
} account_t;

typedef struct owner
{
  double level;
  int64_t refilled_at_us;
  int64_t starts_at_us; /* A new owner gives nothing before. */
} owner_t;

typedef struct message
{
  int64_t at_us;
  uint16_t entry;
  uint16_t organisation;
  bool to_owner;
  double amount;
} message_t;

typedef struct simulation
{
  bench_run_t *run;
  const bench_site_t *site;
  const bench_traffic_t *traffic;
  const GArray *arrivals;
  GQueue messages; /* In order of time, because all take equally long. */
  account_t accounts[BENCH_ENTRIES][BENCH_ORGANISATIONS];
  owner_t owners[BENCH_ORGANISATIONS];
} simulation_t;

/* Sends a message between an entry and the owner of an organisation. */
static void
post (simulation_t *simulation, int64_t now_us, message_t message)
{
  message.at_us = now_us + simulation->site->one_way_us;
  simulation->run->messages++;
  g_queue_push_tail (&simulation->messages, g_memdup2 (&message, sizeof (message)));
}

/* Ends a request. */
static void
decide (simulation_t *simulation, guint position, bench_result_t result, int64_t now_us)
{
  simulation->run->results[position] = (uint8_t)result;
  simulation->run->decided_at_us[position] = now_us;
}

/* Admits waiting requests while there are tokens, refuses those that waited too long,
 * and asks for more. */
static void
serve (simulation_t *simulation, uint16_t entry, uint16_t organisation, int64_t now_us)
{
  account_t *account = &simulation->accounts[entry][organisation];
  if (now_us >= account->expires_at_us)
    account->tokens = 0;
  while (!g_queue_is_empty (&account->waiting))
    {
      guint position = GPOINTER_TO_UINT (g_queue_peek_head (&account->waiting));
      int64_t since_us =
          g_array_index (simulation->arrivals, bench_arrival_t, position).at_us;
      bool late = now_us - since_us > WAIT_US;
      if (!late && account->tokens < 1)
        break;
      account->tokens -= late ? 0 : 1;
      decide (simulation, position, late ? BENCH_REFUSED : BENCH_ADMITTED, now_us);
      g_queue_pop_head (&account->waiting);
    }
  if (account->asked && now_us - account->asked_at_us < WAIT_US)
    return;
  double ahead = account->demand * GRANT_AHEAD_US / 1e6;
  double wanted = account->waiting.length + ahead - account->tokens;
  bool short_of_tokens = account->waiting.length > account->tokens;
  if (!short_of_tokens && (wanted < 1 || account->tokens > ahead / 2))
    return;
  account->asked = true;
  account->asked_at_us = now_us;
  post (simulation, now_us,
        (message_t){ 0, entry, organisation, .to_owner = true, .amount = wanted });
}

/* Takes one request. */
static void
arrive (simulation_t *simulation, guint position)
{
  const bench_arrival_t *arrival =
      &g_array_index (simulation->arrivals, bench_arrival_t, position);
  account_t *account = &simulation->accounts[arrival->entry][arrival->organisation];
  double elapsed_s = (double)(arrival->at_us - account->demand_at_us) / 1e6;
  account->demand = account->demand / (1 + elapsed_s / 0.5) + 2;
  account->demand_at_us = arrival->at_us;
  g_queue_push_tail (&account->waiting, GUINT_TO_POINTER (position));
  serve (simulation, arrival->entry, arrival->organisation, arrival->at_us);
}

/* Delivers a message: the owner gives what it has, the entry takes it. */
static void
deliver (simulation_t *simulation, const message_t *message, int64_t now_us)
{
  account_t *account = &simulation->accounts[message->entry][message->organisation];
  if (!message->to_owner)
    {
      account->asked = false;
      account->tokens += message->amount;
      account->expires_at_us = now_us + GRANT_US;
      serve (simulation, message->entry, message->organisation, now_us);
      return;
    }
  owner_t *owner = &simulation->owners[message->organisation];
  bool host_lost =
      now_us >= simulation->traffic->loss_at_us && message->organisation == 0;
  if (host_lost && now_us < simulation->traffic->loss_at_us + TAKEOVER_US)
    return;
  if (host_lost && owner->starts_at_us == 0)
    *owner = (owner_t){ 0, now_us, now_us };
  double rate = simulation->site->rates[message->organisation];
  owner->level =
      MIN (owner->level + rate * (double)(now_us - owner->refilled_at_us) / 1e6,
           rate * simulation->site->burst_s);
  owner->refilled_at_us = now_us;
  double given = MIN (owner->level, message->amount);
  owner->level -= given;
  post (simulation, now_us,
        (message_t){ 0, message->entry, message->organisation, false, given });
}

/* Runs one owner per organisation at one entry (organisation 0 at entry 0, which is the
 * one that is lost). An entry asks for its waiting requests and its demand of 100 ms;
 * grants expire. */
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
      const message_t *first = g_queue_peek_head (&simulation->messages);
      if (next < arrivals->len &&
          (!first ||
           g_array_index (arrivals, bench_arrival_t, next).at_us <= first->at_us))
        {
          arrive (simulation, next++);
          continue;
        }
      message_t *message = g_queue_pop_head (&simulation->messages);
      deliver (simulation, message, message->at_us);
      g_free (message);
    }
  for (int entry = 0; entry < BENCH_ENTRIES; entry++)
    for (uint16_t i = 0; i < BENCH_ORGANISATIONS; i++)
      serve (simulation, (uint16_t)entry, i, INT64_MAX / 2);
}
