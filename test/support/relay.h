#pragma once

#include <stdint.h>

/* Forwards TCP connections from its own loopback port to another one, and simulates
 * faults of the network between the two. */
typedef struct jd_relay jd_relay_t;

jd_relay_t *jd_relay_new (uint16_t target_port);
void jd_relay_free (jd_relay_t *relay);
uint16_t jd_relay_port (const jd_relay_t *relay);
/* Makes all present connections silent until a reset: they stay open, and no bytes pass
 * in either direction. Later connections work. */
void jd_relay_silence (jd_relay_t *relay);
void jd_relay_block_replies (jd_relay_t *relay);
void jd_relay_reset (jd_relay_t *relay);
void jd_relay_set_delay (jd_relay_t *relay, int delay_ms);
