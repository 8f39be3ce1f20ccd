#include "limits/token_inbox.h"

/* Messages of one kind. A process that receives more between two ticks is overloaded;
 * dropping messages only loses tokens. */
#define INBOX_MAX 1024

/* Initializes an empty inbox. */
void
jd_token_inbox_init (jd_token_inbox_t *inbox)
{
  inbox->token_requests = g_array_new (FALSE, FALSE, sizeof (jd_inbox_token_request_t));
  inbox->grants = g_array_new (FALSE, FALSE, sizeof (jd_inbox_grant_t));
  inbox->dropped = 0;
}

/* Frees the memory of the inbox. */
void
jd_token_inbox_clear (jd_token_inbox_t *inbox)
{
  g_clear_pointer (&inbox->token_requests, g_array_unref);
  g_clear_pointer (&inbox->grants, g_array_unref);
}

/* Removes all messages and keeps the memory. */
void
jd_token_inbox_reset (jd_token_inbox_t *inbox)
{
  g_array_set_size (inbox->token_requests, 0);
  g_array_set_size (inbox->grants, 0);
}

/* Adds a token request, or drops it if the inbox is full. */
void
jd_token_inbox_put_request (jd_token_inbox_t *inbox, const char *from,
                            const jd_token_request_t *token_request)
{
  if (inbox->token_requests->len >= INBOX_MAX)
    {
      inbox->dropped++;
      return;
    }
  jd_inbox_token_request_t item = { .token_request = *token_request };
  g_strlcpy (item.from, from, sizeof (item.from));
  g_array_append_val (inbox->token_requests, item);
}

/* Adds a grant, or drops it if the inbox is full. */
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

/* Returns the number of token requests and grants in the inbox. */
uint32_t
jd_token_inbox_count (const jd_token_inbox_t *inbox)
{
  return inbox->token_requests->len + inbox->grants->len;
}
