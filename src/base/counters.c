#include "base/counters.h"

#include <glib.h>

struct jd_counters
{
  GMutex lock; /* Guards by_name; counter values are atomic. */
  GHashTable *by_name;
};

/* Creates an empty registry; free with jd_counters_free. */
jd_counters_t *
jd_counters_new (void)
{
  jd_counters_t *counters = g_new0 (jd_counters_t, 1);
  g_mutex_init (&counters->lock);
  counters->by_name = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return counters;
}

/* Frees a registry and all of its counters; NULL is allowed. */
void
jd_counters_free (jd_counters_t *counters)
{
  if (!counters)
    return;
  g_hash_table_destroy (counters->by_name);
  g_mutex_clear (&counters->lock);
  g_free (counters);
}

/* Returns the counter with this name; the first call creates it with the value 0. The
 * registry owns the counter. Safe to call from any thread. */
jd_counter_t *
jd_counters_get (jd_counters_t *counters, const char *name)
{
  g_mutex_lock (&counters->lock);
  jd_counter_t *counter = g_hash_table_lookup (counters->by_name, name);
  if (!counter)
    {
      counter = g_new0 (jd_counter_t, 1);
      g_hash_table_insert (counters->by_name, g_strdup (name), counter);
    }
  g_mutex_unlock (&counters->lock);
  return counter;
}

/* GCompareFunc that sorts counter names alphabetically. */
static int
compare_names (gconstpointer a, gconstpointer b)
{
  return g_strcmp0 (a, b);
}

/* Returns all counters as "name value" lines, sorted by name; free with g_free. */
char *
jd_counters_render (jd_counters_t *counters)
{
  GString *text = g_string_new (NULL);
  g_mutex_lock (&counters->lock);
  GList *names = g_list_sort (g_hash_table_get_keys (counters->by_name), compare_names);
  for (GList *item = names; item; item = item->next)
    {
      const jd_counter_t *counter = g_hash_table_lookup (counters->by_name, item->data);
      g_string_append_printf (text, "%s %" G_GUINT64_FORMAT "\n",
                              (const char *)item->data,
                              (guint64)jd_counter_value (counter));
    }
  g_list_free (names);
  g_mutex_unlock (&counters->lock);
  return g_string_free (text, FALSE);
}

/* Adds an amount to a counter. Safe to call from any thread. */
void
jd_counter_add (jd_counter_t *counter, uint64_t amount)
{
  atomic_fetch_add_explicit (&counter->value, amount, memory_order_relaxed);
}

/* Sets the value of a counter that is used as a gauge, such as the number of queued
 * requests. Safe to call from any thread. */
void
jd_counter_set (jd_counter_t *counter, uint64_t value)
{
  atomic_store_explicit (&counter->value, value, memory_order_relaxed);
}

/* Returns the current value of a counter. Safe to call from any thread. */
uint64_t
jd_counter_value (const jd_counter_t *counter)
{
  return atomic_load_explicit (&counter->value, memory_order_relaxed);
}
