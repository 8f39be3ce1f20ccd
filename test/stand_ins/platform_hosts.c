#include "stand_ins/platform_hosts.h"

/* Older lists are stored because readers get a list only after the delay. */
#define MAX_LISTS 100U

typedef struct host_list
{
  char *text;
  int64_t published_us;
} host_list_t;

struct jd_platform_hosts
{
  GQueue lists; /* Newest first, never empty. */
};

static void
list_free (gpointer data)
{
  host_list_t *list = data;
  g_free (list->text);
  g_free (list);
}

/* Creates the table with its first list, which has no delay. */
jd_platform_hosts_t *
jd_platform_hosts_new (const char *text)
{
  jd_platform_hosts_t *hosts = g_new0 (jd_platform_hosts_t, 1);
  g_queue_init (&hosts->lists);
  jd_platform_hosts_put (hosts, text, 0);
  return hosts;
}

void
jd_platform_hosts_free (jd_platform_hosts_t *hosts)
{
  if (!hosts)
    return;
  g_queue_clear_full (&hosts->lists, list_free);
  g_free (hosts);
}

/* Publishes a new list; removes the oldest one above MAX_LISTS. */
void
jd_platform_hosts_put (jd_platform_hosts_t *hosts, const char *text, int64_t now_us)
{
  host_list_t *list = g_new (host_list_t, 1);
  *list = (host_list_t){ .text = g_strdup (text), .published_us = now_us };
  g_queue_push_head (&hosts->lists, list);
  if (hosts->lists.length > MAX_LISTS)
    list_free (g_queue_pop_tail (&hosts->lists));
}

/* Returns the list that was the newest one lag_us ago; valid until the next put. */
const char *
jd_platform_hosts_get (const jd_platform_hosts_t *hosts, int64_t now_us, int64_t lag_us)
{
  const GList *item = hosts->lists.head;
  while (item->next && ((host_list_t *)item->data)->published_us > now_us - lag_us)
    item = item->next;
  return ((host_list_t *)item->data)->text;
}
