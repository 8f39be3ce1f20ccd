#include "limits/token_inbox.h"

/* A process that receives more between two ticks is overloaded; lost messages only lose
 * tokens. */
#define INBOX_MAX 1024

/* Prepares an empty inbox. */
void
jd_token_inbox_init (jd_token_inbox_t *inbox)
{
  inbox->asks = g_array_new (FALSE, FALSE, sizeof (jd_inbox_ask_t));
  inbox->grants = g_array_new (FALSE, FALSE, sizeof (jd_inbox_grant_t));
  inbox->dropped = 0;
}

/* Frees the memory of the inbox. */
void
jd_token_inbox_clear (jd_token_inbox_t *inbox)
{
  g_clear_pointer (&inbox->asks, g_array_unref);
  g_clear_pointer (&inbox->grants, g_array_unref);
}

/* Removes all messages. */
void
jd_token_inbox_reset (jd_token_inbox_t *inbox)
{
  g_array_set_size (inbox->asks, 0);
  g_array_set_size (inbox->grants, 0);
}

/* Adds an ask, or drops it when the inbox is full. */
void
jd_token_inbox_put_ask (jd_token_inbox_t *inbox, const char *from,
                        const jd_token_ask_t *ask)
{
  if (inbox->asks->len >= INBOX_MAX)
    {
      inbox->dropped++;
      return;
    }
  jd_inbox_ask_t item = { .ask = *ask };
  g_strlcpy (item.from, from, sizeof (item.from));
  g_array_append_val (inbox->asks, item);
}

/* Adds a grant, or drops it when the inbox is full. */
void
jd_token_inbox_put_grant (jd_token_inbox_t *inbox, const char *from,
                          const jd_token_grant_t *grant)
{
  if (inbox->grants->len >= INBOX_MAX)
    {
      inbox->dropped++;
      return;
    }
  jd_inbox_grant_t item = { .grant = *grant };
  g_strlcpy (item.from, from, sizeof (item.from));
  g_array_append_val (inbox->grants, item);
}

/* Returns the number of messages. */
uint32_t
jd_token_inbox_count (const jd_token_inbox_t *inbox)
{
  return inbox->asks->len + inbox->grants->len;
}
