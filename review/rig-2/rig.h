#pragma once

#include <pthread.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

/* Stand-ins for the cases of the second review: the platform's store, backends,
 * consumers, and the processes of jackdaw-host on loopback addresses. Each connection of
 * a stand-in has a thread of its own. A failure of the rig itself ends the program with
 * status 2. */

#define RIG_HOSTS_MAX 8
#define RIG_BACKENDS_MAX 16
#define RIG_ITEMS_MAX 64
#define RIG_TEXT_MAX 16384

/* A message as it was read from a connection, and the bytes that were read behind it. The
 * body is not kept. Each connection needs one of its own, with zeros at first. */
typedef struct rig_message
{
  char head[RIG_TEXT_MAX];
  size_t body_bytes;
  int status; /* Of an answer; 0 for a request. */
  char buffer[RIG_TEXT_MAX];
  size_t buffer_start, buffer_end;
} rig_message_t;

typedef struct rig_backend rig_backend_t;

/* A connection to a backend. */
typedef struct rig_connection
{
  rig_backend_t *backend;
  int fd;
  char late_copy[RIG_TEXT_MAX]; /* For the handler: an answer to send late. */
} rig_connection_t;

/* Handles a request that names this backend. */
typedef void (*rig_handler_t) (rig_connection_t *connection,
                               const rig_message_t *request);

struct rig_backend
{
  char id[32];
  char service[32];
  char zone[16];
  char address[32];
  int slots;
  int64_t born_ms;
  int seq;
  rig_handler_t handler;
  int listen_fd;
};

typedef struct rig_host
{
  char ip[16];
  char zone[16];
  char callers[32];
  char readiness[32];
  char store[32]; /* Each host has an address of the store of its own. */
  int store_fd;
  char settings_path[256];
  bool was_started;
  pid_t pid; /* 0: not running. */
} rig_host_t;

/* Called after the store has answered a read of a host. */
typedef void (*rig_read_observer_t) (const rig_host_t *host);

extern int rig_slots; /* Of each backend that is started afterwards. */

bool rig_has_trouble (void);
void rig_open (const char *folder);
int rig_finish (bool rule_held);
void rig_record (const char *format, ...) __attribute__ ((format (printf, 1, 2)));
void rig_fail (const char *what) __attribute__ ((noreturn));
void rig_start_thread (void *(*run) (void *), void *context);
int64_t rig_now_ms (void);
void rig_sleep_ms (int64_t duration_ms);
double rig_random (void);

void rig_store_put (const char *key, const char *value);
void rig_store_observe (rig_read_observer_t observer);

rig_backend_t *rig_backend_start (const char *service, const char *zone,
                                  const char *address_ip, rig_handler_t handler);
void rig_send (int fd, const char *text);
void rig_answer (rig_connection_t *connection, const rig_message_t *request,
                 const char *status, const char *fields, const char *body);

rig_host_t *rig_host_add (const char *zone);
void rig_start_hosts (void);
void rig_wait_ready (void);
void rig_host_start (rig_host_t *host);
void rig_host_kill (rig_host_t *host);
void rig_signal (rig_host_t *host, int signal_number);

int rig_connect (const char *address);
bool rig_read_message (int fd, rig_message_t *message, int64_t timeout_ms);
bool rig_header (const rig_message_t *message, const char *name, char *value,
                 size_t value_size);
int rig_call (const char *address, const char *request, rig_message_t *answer,
              int64_t timeout_ms);
