#include "stand_ins/platform_hosts.h"

/* Lists kept for lagging readers. */
#define MAX_LISTS 100U

typedef struct host_list
{
  char *text;
  int64_t since_us;
} host_list_t;

struct jd_platform_hosts
{
  GQueue lists; /* Newest first, never empty. */
};

/* Frees one list. */
static void
list_free (gpointer data)
{
  host_list_t *list = data;
  g_free (list->text);
  g_free (list);
}

/* Creates the table with its first list. */
jd_platform_hosts_t *
jd_platform_hosts_new (const char *text)
{
  jd_platform_hosts_t *hosts = g_new0 (jd_platform_hosts_t, 1);
  g_queue_init (&hosts->lists);
  jd_platform_hosts_put (hosts, text, 0);
  return hosts;
}

/* Frees the table. */
void
jd_platform_hosts_free (jd_platform_hosts_t *hosts)
{
  if (!hosts)
    return;
  g_queue_clear_full (&hosts->lists, list_free);
  g_free (hosts);
}

/* Replaces the list. */
void
jd_platform_hosts_put (jd_platform_hosts_t *hosts, const char *text, int64_t now_us)
{
  host_list_t *list = g_new (host_list_t, 1);
  *list = (host_list_t){ .text = g_strdup (text), .since_us = now_us };
  g_queue_push_head (&hosts->lists, list);
  if (hosts->lists.length > MAX_LISTS)
    list_free (g_queue_pop_tail (&hosts->lists));
}

/* Returns the list that was the newest one lag_us ago. */
const char *
jd_platform_hosts_get (const jd_platform_hosts_t *hosts, int64_t now_us, int64_t lag_us)
{
  const GList *item = hosts->lists.head;
  while (item->next && ((host_list_t *)item->data)->since_us > now_us - lag_us)
    item = item->next;
  return ((host_list_t *)item->data)->text;
}
