#pragma once

/* Stand-ins of the review's scripts: the platform's store, servers and consumers, and the
 * control of the processes under test. One thread serves each connection. All times are
 * seconds of the steady clock since the start of the rig. */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

#define HOSTS_MAX 4
#define SERVERS_MAX 64
#define TEXT_MAX 1024

/* A process of jackdaw-host. */
typedef struct
{
  char name[16];
  char zone[8];
  char ip[16];
  int callers_port;
  int store_port; /* The store listens on one port for each host. */
  pid_t pid;
  double last_read; /* When the store last answered a read of this host. */
} machine_t;

/* A server (backend). */
typedef struct
{
  char id[24];
  char service[16];
  char zone[8];
  int port;
  int work_ms;
  int seq;
  double gone;       /* When the store accepted the removal of its entry; 0: listed. */
  double cold_until; /* End of its cold time; 0: never cold. */
} server_t;

double now_s (void);
void wait_s (double seconds);
void record (const char *format, ...) __attribute__ ((format (printf, 1, 2)));
void fail_setup (const char *what) __attribute__ ((noreturn));

/* Opens a listener on a free loopback port, and returns the port in *port. */
int listen_on (const char *ip, int *port);

/* Reads a message head, without a body, into text. Returns FALSE at the end of input. */
bool read_head (int fd, char *text, size_t size);
bool send_all (int fd, const char *text, size_t size);
/* Reads and discards a body. Returns FALSE at the end of input. */
bool skip_body (int fd, long size);
/* Copies the value of a header field; an empty text without it. */
void header (const char *head, const char *name, char *value, size_t size);

/* The store. Values are the JSON text of an item. */
void store_start (machine_t *machines, int count);
void store_put (const char *key, const char *value);
/* Removes an item; returns when the store has accepted it. */
double store_remove (const char *key);

/* Called for each request that a server has read; returns FALSE to close the connection
 * without an answer. */
typedef void (*arrival_t) (server_t *server, const char *attempt_id, double at);
void servers_start (server_t *servers, int count, arrival_t on_arrival);
/* Writes the entries of the listed servers; returns when the store has accepted them. */
double servers_beat (server_t *servers, int count);

/* Writes the entry of a server as another writer might: the field `seq` is missing. */
void write_odd_entry (const server_t *server);

void machine_start (machine_t *machine, const char *settings_path);
void machine_signal (machine_t *machine, int signal_number);
void machines_end (machine_t *machines, int count);

/* Sends a GET request to a host on a new connection and reads the status of the answer;
 * returns 0 without one. */
int consumer_get (const machine_t *machine, const char *path, const char *attempt_id,
                  int deadline_ms);

/* Writes the settings of a machine from the template of the deploy file, with the bounds
 * of the small sites. Chooses its ports; all machines share peer_port. */
void settings_write (machine_t *machine, const machine_t *seed, int peer_port,
                     const char *path);
/* Returns a port that is free on the addresses of all machines. */
int free_peer_port (const machine_t *machines, int count);
