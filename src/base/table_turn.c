#include "base/table_turn.h"

/* Visits the values of a table that do not all fit into one message, from the one at
 * index first on and then those before it, until one does not fit. Returns the index of
 * that one, with which the next message starts, so that each value gets its turn; first
 * if all of them fit. The order is that of the table, which must not change meanwhile. */
guint
jd_table_turn_visit (GHashTable *table, guint first, jd_table_turn_visit_t visit,
                     void *context)
{
  guint size = g_hash_table_size (table);
  first = size > 0 ? first % size : 0;
  for (int pass = 0; pass < 2; pass++)
    {
      GHashTableIter iter;
      gpointer value;
      g_hash_table_iter_init (&iter, table);
      for (guint i = 0; g_hash_table_iter_next (&iter, NULL, &value); i++)
        {
          bool is_of_pass = (i >= first) == (pass == 0);
          if (is_of_pass && !visit (context, value))
            return i;
        }
    }
  return first;
}
