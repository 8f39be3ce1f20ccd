#include "support/scripted_target.h"

#include <errno.h>
#include <fcntl.h>
#include <glib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "support/free_port.h"

#define ENDLESS_BYTES 16384

struct jd_scripted_target
{
  struct ev_loop *loop;
  ev_io listener;
  uint16_t port;
  jd_scripted_answer_t answer;
  GQueue connections;
  uint32_t requests;
};

typedef struct jd_scripted_connection
{
  jd_scripted_target_t *target;
  GList node;
  ev_io io;
  GString *input;
  GString *output;
  jd_scripted_answer_t answer; /* Of the last request. */
} jd_scripted_connection_t;

static void
close_connection (jd_scripted_connection_t *connection, bool resets)
{
  const struct linger linger = { .l_onoff = 1 };
  ev_io_stop (connection->target->loop, &connection->io);
  if (resets)
    setsockopt (connection->io.fd, SOL_SOCKET, SO_LINGER, &linger, sizeof (linger));
  close (connection->io.fd);
  g_queue_unlink (&connection->target->connections, &connection->node);
  g_string_free (connection->input, TRUE);
  g_string_free (connection->output, TRUE);
  g_free (connection);
}

static void
watch (jd_scripted_connection_t *connection, int events)
{
  int fd = connection->io.fd;
  ev_io_stop (connection->target->loop, &connection->io);
  ev_io_set (&connection->io, fd, events);
  ev_io_start (connection->target->loop, &connection->io);
}

/* Sends output; repeats the endless part, or ends the connection as the answer says. */
static void
send_output (jd_scripted_connection_t *connection)
{
  const char *endless = connection->answer.endless;
  while (endless && connection->output->len < ENDLESS_BYTES)
    g_string_append (connection->output, endless);
  ssize_t sent = send (connection->io.fd, connection->output->str,
                       connection->output->len, MSG_NOSIGNAL | MSG_DONTWAIT);
  if (sent < 0 && errno != EAGAIN)
    {
      close_connection (connection, false);
      return;
    }
  if (sent > 0)
    g_string_erase (connection->output, 0, sent);
  bool has_output = endless || connection->output->len > 0;
  watch (connection, EV_READ | (has_output ? EV_WRITE : 0));
  if (!has_output && connection->answer.end != JD_SCRIPTED_KEEP)
    close_connection (connection, connection->answer.end == JD_SCRIPTED_RESET);
}

/* Queues the answer to the request in the input. */
static void
queue_answer (jd_scripted_connection_t *connection)
{
  const char *id = strstr (connection->input->str, "X-Attempt-Id: ");
  id = id ? id + strlen ("X-Attempt-Id: ") : "";
  char *id_text = g_strndup (id, strcspn (id, "\r"));
  connection->answer = connection->target->answer;
  GString *text = g_string_new (connection->answer.text);
  g_string_replace (text, "$ID", id_text, 0);
  g_string_append_len (connection->output, text->str,
                       (gssize)MIN (text->len, connection->answer.cut_at));
  g_string_free (text, TRUE);
  g_free (id_text);
  g_string_truncate (connection->input, 0);
  connection->target->requests++;
}

static void
on_io (struct ev_loop *loop, ev_io *io, int events)
{
  jd_scripted_connection_t *connection = io->data;
  if (events & EV_READ)
    {
      char data[4096];
      ssize_t size = recv (io->fd, data, sizeof (data), MSG_DONTWAIT);
      if (size == 0 || (size < 0 && errno != EAGAIN))
        {
          close_connection (connection, false);
          return;
        }
      g_string_append_len (connection->input, data, MAX (size, 0));
      if (strstr (connection->input->str, "\r\n\r\n"))
        {
          queue_answer (connection);
          send_output (connection);
          return;
        }
    }
  if (events & EV_WRITE)
    send_output (connection);
}

static void
on_accept (struct ev_loop *loop, ev_io *io, int events)
{
  jd_scripted_target_t *target = io->data;
  int fd = accept (io->fd, NULL, NULL);
  if (fd < 0)
    return;
  jd_scripted_connection_t *connection = g_new0 (jd_scripted_connection_t, 1);
  connection->target = target;
  connection->input = g_string_new (NULL);
  connection->output = g_string_new (NULL);
  connection->node.data = connection;
  g_queue_push_tail_link (&target->connections, &connection->node);
  ev_io_init (&connection->io, on_io, fd, EV_READ);
  connection->io.data = connection;
  ev_io_start (loop, &connection->io);
}

/* Starts a target on a free loopback port. It sends an empty answer until it is told
 * another one. */
jd_scripted_target_t *
jd_scripted_target_new (struct ev_loop *loop)
{
  jd_scripted_target_t *target = g_new0 (jd_scripted_target_t, 1);
  target->loop = loop;
  target->answer = (jd_scripted_answer_t){ .text = "", .end = JD_SCRIPTED_CLOSE };
  g_queue_init (&target->connections);
  int fd = jd_test_listen (&target->port);
  ev_io_init (&target->listener, on_accept, fd, EV_READ);
  target->listener.data = target;
  ev_io_start (loop, &target->listener);
  return target;
}

/* Closes all connections and frees a target. */
void
jd_scripted_target_free (jd_scripted_target_t *target)
{
  ev_io_stop (target->loop, &target->listener);
  close (target->listener.fd);
  GList *next = NULL;
  for (GList *item = target->connections.head; item; item = next)
    {
      next = item->next;
      close_connection (item->data, false);
    }
  g_free (target);
}

uint16_t
jd_scripted_target_port (const jd_scripted_target_t *target)
{
  return target->port;
}

/* Sets the answer to requests from now on. Its texts must outlive the target. */
void
jd_scripted_target_set_answer (jd_scripted_target_t *target,
                               const jd_scripted_answer_t *answer)
{
  target->answer = *answer;
}

uint32_t
jd_scripted_target_request_count (const jd_scripted_target_t *target)
{
  return target->requests;
}
