#include "stand_ins/published_store.h"

#include <jansson.h>
#include <string.h>

#include "transport/caller_server.h"

/* Small, so that clients have to read several pages in tests. */
#define PAGE_ITEMS 8
/* Changes in one answer; the store of the platform cuts its answers there too. */
#define CHANGES_MAX 500
/* Member of a placeholder for an item with a text of its own. */
#define ITEM_TEXT_MEMBER "itemText"

/* A change of one record. */
typedef struct jd_stored_event
{
  char *key;
  char *value;     /* NULL: the record was removed. */
  char *item_text; /* Sent in place of the item; NULL: none. */
  int64_t revision;
} jd_stored_event_t;

struct jd_published_store
{
  jd_caller_server_t *server;
  GTree *items;       /* key -> latest jd_stored_event_t of the record */
  GPtrArray *history; /* jd_stored_event_t, oldest first */
  int64_t revision;
  int64_t discarded_revision; /* The history has no changes up to this revision. */
  uint32_t generation;        /* Rises when the store returns from an older copy. */
  GPtrArray *copy;            /* jd_stored_event_t, the records of the copy; NULL: none */
  int64_t copied_revision;    /* Revision at which the copy was made. */
  jd_store_mode_t mode;
  uint32_t calls;
};

static void
event_free (gpointer data)
{
  jd_stored_event_t *event = data;
  g_free (event->key);
  g_free (event->value);
  g_free (event->item_text);
  g_free (event);
}

static gint
compare_keys (gconstpointer a, gconstpointer b, gpointer data)
{
  return strcmp (a, b);
}

static jd_stored_event_t *
event_new (const char *key, const char *value, int64_t revision)
{
  jd_stored_event_t *event = g_new0 (jd_stored_event_t, 1);
  event->key = g_strdup (key);
  event->value = g_strdup (value);
  event->revision = revision;
  return event;
}

/* Adds or replaces a record and adds the change to the history. */
void
jd_published_store_put (jd_published_store_t *store, const char *key, const char *value)
{
  store->revision++;
  jd_stored_event_t *event = event_new (key, value, store->revision);
  g_tree_replace (store->items, event->key, event);
  g_ptr_array_add (store->history, event_new (key, value, store->revision));
}

/* Adds an entry with a text of its own, and the change to the history. */
void
jd_published_store_put_item (jd_published_store_t *store, const char *key,
                             const char *item_text)
{
  store->revision++;
  jd_stored_event_t *event = event_new (key, "", store->revision);
  event->item_text = g_strdup (item_text);
  g_tree_replace (store->items, event->key, event);
  event = event_new (key, "", store->revision);
  event->item_text = g_strdup (item_text);
  g_ptr_array_add (store->history, event);
}

/* Removes a record and adds the removal to the history. */
void
jd_published_store_remove (jd_published_store_t *store, const char *key)
{
  store->revision++;
  g_tree_remove (store->items, key);
  g_ptr_array_add (store->history, event_new (key, NULL, store->revision));
}

/* Collects the keys of all records in a list of strings. */
static gboolean
collect_key (gpointer key, gpointer value, gpointer data)
{
  g_ptr_array_add (data, g_strdup (key));
  return FALSE;
}

/* Removes all records whose keys start with a prefix, as if their leases ran out. */
void
jd_published_store_remove_all (jd_published_store_t *store, const char *prefix)
{
  GPtrArray *keys = g_ptr_array_new_with_free_func (g_free);
  g_tree_foreach (store->items, collect_key, keys);
  for (guint i = 0; i < keys->len; i++)
    {
      if (g_str_has_prefix (keys->pdata[i], prefix))
        jd_published_store_remove (store, keys->pdata[i]);
    }
  g_ptr_array_free (keys, TRUE);
}

static jd_stored_event_t *
event_copy (const jd_stored_event_t *event)
{
  jd_stored_event_t *copy = event_new (event->key, event->value, event->revision);
  copy->item_text = g_strdup (event->item_text);
  return copy;
}

/* Adds a copy of a record to a list. */
static gboolean
copy_record (gpointer key, gpointer value, gpointer data)
{
  g_ptr_array_add (data, event_copy (value));
  return FALSE;
}

/* Makes a copy of all records, which replaces an earlier copy. */
void
jd_published_store_keep_copy (jd_published_store_t *store)
{
  g_clear_pointer (&store->copy, g_ptr_array_unref);
  store->copy = g_ptr_array_new_with_free_func (event_free);
  store->copied_revision = store->revision;
  g_tree_foreach (store->items, copy_record, store->copy);
}

/* Returns from the copy: what was written since is lost, and its revisions are given out
 * again. A client that requests the changes after a lost revision gets 410. */
void
jd_published_store_restore_copy (jd_published_store_t *store)
{
  g_assert (store->copy);
  g_tree_remove_all (store->items);
  for (guint i = 0; i < store->copy->len; i++)
    {
      jd_stored_event_t *event = event_copy (store->copy->pdata[i]);
      g_tree_replace (store->items, event->key, event);
    }
  while (store->history->len > 0 &&
         ((jd_stored_event_t *)store->history->pdata[store->history->len - 1])->revision >
             store->copied_revision)
    g_ptr_array_remove_index (store->history, store->history->len - 1);
  store->revision = store->copied_revision;
  store->discarded_revision = MIN (store->discarded_revision, store->revision);
  store->generation++;
}

/* Discards the history. A client that requests the changes after an earlier revision gets
 * 410 and has to read all records again. */
void
jd_published_store_discard_history (jd_published_store_t *store)
{
  store->discarded_revision = store->revision;
  g_ptr_array_set_size (store->history, 0);
}

void
jd_published_store_set_mode (jd_published_store_t *store, jd_store_mode_t mode)
{
  store->mode = mode;
}

uint32_t
jd_published_store_call_count (const jd_published_store_t *store)
{
  return store->calls;
}

static json_t *
event_to_json (const jd_stored_event_t *event)
{
  json_t *object = json_object ();
  if (event->item_text)
    {
      json_object_set_new (object, ITEM_TEXT_MEMBER, json_string (event->item_text));
      return object;
    }
  json_object_set_new (object, "key", json_string (event->key));
  json_object_set_new (object, "revision", json_integer (event->revision));
  if (!event->value)
    {
      json_object_set_new (object, "removed", json_true ());
      return object;
    }
  char *value = g_base64_encode ((const guchar *)event->value, strlen (event->value));
  json_object_set_new (object, "value", json_string (value));
  g_free (value);
  return object;
}

/* Returns the value of a query parameter, or NULL if it is missing; free with g_free. */
static char *
query_parameter (const char *request_target, const char *name)
{
  const char *query = strchr (request_target, '?');
  char **pairs = g_strsplit (query ? query + 1 : "", "&", -1);
  char *value = NULL;
  size_t length = strlen (name);
  for (char **pair = pairs; *pair && !value; pair++)
    {
      if (strncmp (*pair, name, length) == 0 && (*pair)[length] == '=')
        value = g_uri_unescape_string (*pair + length + 1, NULL);
    }
  g_strfreev (pairs);
  return value;
}

typedef struct jd_page
{
  const char *after; /* The page starts after this key; NULL: at the first key. */
  json_t *items;
  bool truncated;
} jd_page_t;

static gboolean
add_to_page (gpointer key, gpointer value, gpointer data)
{
  jd_page_t *page = data;
  if (page->after && strcmp (key, page->after) <= 0)
    return FALSE;
  if (json_array_size (page->items) == PAGE_ITEMS)
    {
      page->truncated = true;
      return TRUE;
    }
  json_array_append_new (page->items, event_to_json (value));
  return FALSE;
}

/* Returns the JSON text of an answer, in which items with a text of their own are
 * replaced by it; free with g_string_free. */
static GString *
render (const json_t *object, const char *items_name)
{
  char *text = json_dumps (object, JSON_COMPACT);
  GString *rendered = g_string_new (text);
  free (text);
  size_t index;
  json_t *item;
  json_array_foreach (json_object_get (object, items_name), index, item)
  {
    const char *item_text = json_string_value (json_object_get (item, ITEM_TEXT_MEMBER));
    if (!item_text)
      continue;
    char *placeholder = json_dumps (item, JSON_COMPACT);
    g_string_replace (rendered, placeholder, item_text, 1);
    free (placeholder);
  }
  return rendered;
}

static void
send_json (const jd_published_store_t *store, jd_caller_t *caller, uint32_t status,
           json_t *object)
{
  GString *text = render (object, json_object_get (object, "items") ? "items" : "events");
  GString *fields = g_string_new ("Content-Type: application/json\r\n");
  g_string_append_printf (fields, "Store-Era: %u\r\n", store->generation);
  jd_caller_answer (caller, status, fields, text->str, text->len);
  g_string_free (fields, TRUE);
  g_string_free (text, TRUE);
  json_decref (object);
}

static void
answer_page (jd_published_store_t *store, jd_caller_t *caller, const char *request_target)
{
  char *after = query_parameter (request_target, "after");
  jd_page_t page = { .after = after, .items = json_array () };
  g_tree_foreach (store->items, add_to_page, &page);
  json_t *object = json_object ();
  json_object_set_new (object, "items", page.items);
  json_object_set_new (object, "truncated", json_boolean (page.truncated));
  json_object_set_new (object, "asOf", json_integer (store->revision));
  send_json (store, caller, 200, object);
  g_free (after);
}

static void
answer_changes (jd_published_store_t *store, jd_caller_t *caller,
                const char *request_target)
{
  char *after_text = query_parameter (request_target, "after");
  int64_t after = after_text ? g_ascii_strtoll (after_text, NULL, 10) : 0;
  g_free (after_text);
  json_t *object = json_object ();
  if (after < store->discarded_revision || after > store->revision)
    {
      send_json (store, caller, 410, object);
      return;
    }
  json_t *events = json_array ();
  int64_t as_of = store->revision;
  for (guint i = 0; i < store->history->len; i++)
    {
      const jd_stored_event_t *event = store->history->pdata[i];
      if (event->revision <= after)
        continue;
      json_array_append_new (events, event_to_json (event));
      if (json_array_size (events) < CHANGES_MAX)
        continue;
      as_of = event->revision;
      break;
    }
  json_object_set_new (object, "events", events);
  json_object_set_new (object, "asOf", json_integer (as_of));
  send_json (store, caller, 200, object);
}

static void
handle_request (void *context, jd_caller_t *caller, const jd_http_reader_t *reader)
{
  jd_published_store_t *store = context;
  store->calls++;
  char *request_target = g_strndup (reader->text->str, reader->request_target_len);
  if (store->mode == JD_STORE_UNAVAILABLE || store->mode == JD_STORE_BUSY)
    send_json (store, caller, store->mode == JD_STORE_BUSY ? 429 : 503, json_object ());
  else if (store->mode == JD_STORE_SERVES &&
           g_str_has_prefix (request_target, "/kv-range"))
    answer_page (store, caller, request_target);
  else if (store->mode == JD_STORE_SERVES &&
           g_str_has_prefix (request_target, "/kv-watch"))
    answer_changes (store, caller, request_target);
  else if (store->mode == JD_STORE_SERVES)
    send_json (store, caller, 404, json_object ());
  /* JD_STORE_SILENT sends no answer. */
  g_free (request_target);
}

/* The server requires this callback; the store has no state per caller. */
static void
on_disconnect (void *context, jd_caller_t *caller)
{
}

/* Creates a store that listens on "IP:port"; returns NULL if it cannot listen. */
jd_published_store_t *
jd_published_store_new (struct ev_loop *loop, const char *address)
{
  jd_published_store_t *store = g_new0 (jd_published_store_t, 1);
  jd_caller_handler_t handler = { .on_request = handle_request,
                                  .on_disconnect = on_disconnect,
                                  .context = store };
  store->generation = 1;
  store->server = jd_caller_server_new (loop, &handler);
  store->items = g_tree_new_full (compare_keys, NULL, NULL, event_free);
  store->history = g_ptr_array_new_with_free_func (event_free);
  if (jd_caller_server_listen (store->server, address, NULL))
    return store;
  jd_published_store_free (store);
  return NULL;
}

void
jd_published_store_free (jd_published_store_t *store)
{
  jd_caller_server_free (store->server);
  g_tree_destroy (store->items);
  g_ptr_array_free (store->history, TRUE);
  g_clear_pointer (&store->copy, g_ptr_array_unref);
  g_free (store);
}
