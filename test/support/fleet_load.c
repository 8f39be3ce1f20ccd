#include "support/fleet_load.h"

#define HEALTH_INTERVAL_US (100 * JD_US_PER_MS)
#define MAX_ENTRIES (JD_FLEET_ZONES * JD_FLEET_MAX_GROUP_MEMBERS)

struct jd_load
{
  jd_fleet_t *fleet;
  uint32_t edit_every;
  int64_t pause_us;
  const jd_fleet_process_t *entries[MAX_ENTRIES];
  uint32_t entry_count;
  gint is_healthy[MAX_ENTRIES];
  gint is_stopping;
  gint next_record;
  jd_load_record_t *records;
  GPtrArray *threads;
};

/* Returns the time on the clock that the load's records use. */
int64_t
jd_load_now_us (void)
{
  const jd_clock_t clock = jd_clock_system ();
  return jd_clock_now_us (&clock);
}

/* Thread function: checks the health of all entries. */
static gpointer
check_health (gpointer data)
{
  jd_load_t *load = data;
  while (!g_atomic_int_get (&load->is_stopping))
    {
      for (uint32_t i = 0; i < load->entry_count; i++)
        {
          jd_http_reply_t reply =
              jd_http_get ("http://127.0.0.1:%u/healthz", load->entries[i]->http_port);
          g_atomic_int_set (&load->is_healthy[i], reply.status == 200);
          jd_http_reply_clear (&reply);
        }
      g_usleep (HEALTH_INTERVAL_US);
    }
  return NULL;
}

/* Returns the first healthy entry from a round robin position on, NULL if none is
 * healthy. */
static const jd_fleet_process_t *
choose_entry (jd_load_t *load, uint32_t number)
{
  for (uint32_t i = 0; i < load->entry_count; i++)
    {
      uint32_t index = (number + i) % load->entry_count;
      if (g_atomic_int_get (&load->is_healthy[index]))
        return load->entries[index];
    }
  return NULL;
}

/* Sends the request with a number and records its answer. */
static void
send_request (jd_load_t *load, const jd_fleet_process_t *entry, uint32_t number)
{
  jd_load_record_t *record = &load->records[number];
  record->is_edit = load->edit_every && number % load->edit_every == 0;
  g_snprintf (record->text, sizeof (record->text), "edit-%u", number);
  record->sent_us = jd_load_now_us ();
  jd_http_reply_t reply = record->is_edit
                              ? jd_fleet_edit (load->fleet, entry, "e", record->text)
                              : jd_fleet_search (load->fleet, entry);
  record->answered_us = jd_load_now_us ();
  record->is_incomplete = reply.status == 0 || !reply.json;
  record->code = (int)json_integer_value (json_object_get (reply.json, "code"));
  record->coverage = json_number_value (json_object_get (reply.json, "coverage"));
  const char *ran = json_string_value (json_object_get (reply.json, "ran"));
  g_strlcpy (record->ran, ran ? ran : "", sizeof (record->ran));
  jd_http_reply_clear (&reply);
}

/* Thread function: sends requests one after the other. */
static gpointer
send_requests (gpointer data)
{
  jd_load_t *load = data;
  while (!g_atomic_int_get (&load->is_stopping))
    {
      uint32_t number = (uint32_t)g_atomic_int_add (&load->next_record, 1);
      const jd_fleet_process_t *entry = choose_entry (load, number);
      if (number >= JD_LOAD_MAX_RECORDS)
        break;
      if (entry)
        send_request (load, entry, number);
      g_usleep ((gulong)load->pause_us);
    }
  return NULL;
}

jd_load_t *
jd_load_start (jd_fleet_t *fleet, uint32_t threads, uint32_t edit_every, int64_t pause_us)
{
  jd_load_t *load = g_new0 (jd_load_t, 1);
  load->fleet = fleet;
  load->edit_every = edit_every;
  load->pause_us = pause_us;
  load->records = g_new0 (jd_load_record_t, JD_LOAD_MAX_RECORDS);
  load->threads = g_ptr_array_new ();
  for (uint32_t i = 0; i < fleet->process_count; i++)
    if (fleet->processes[i].is_entry)
      {
        load->is_healthy[load->entry_count] = TRUE;
        load->entries[load->entry_count++] = &fleet->processes[i];
      }
  g_ptr_array_add (load->threads, g_thread_new ("health", check_health, load));
  for (uint32_t i = 0; i < threads; i++)
    g_ptr_array_add (load->threads, g_thread_new ("load", send_requests, load));
  return load;
}

uint32_t
jd_load_stop (jd_load_t *load, const jd_load_record_t **records)
{
  g_atomic_int_set (&load->is_stopping, 1);
  for (guint i = 0; i < load->threads->len; i++)
    g_thread_join (g_ptr_array_index (load->threads, i));
  g_ptr_array_set_size (load->threads, 0);
  *records = load->records;
  return MIN ((uint32_t)load->next_record, JD_LOAD_MAX_RECORDS);
}

/* The load must have been stopped with jd_load_stop (). */
void
jd_load_free (jd_load_t *load)
{
  g_ptr_array_free (load->threads, TRUE);
  g_free (load->records);
  g_free (load);
}
