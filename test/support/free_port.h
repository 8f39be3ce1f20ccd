#pragma once

#include <stdint.h>

/* Returns a loopback TCP port on which nothing listens now. */
uint16_t jd_test_free_port (void);
/* Listens on the loopback TCP port *port (0: any free one) and sets it to the port in
 * use. Returns the socket. */
int jd_test_listen (uint16_t *port);
