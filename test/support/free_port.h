#pragma once

#include <stdint.h>

/* Returns a loopback TCP port that is free now. */
uint16_t jd_test_free_port (void);
/* Listens on a loopback port (0: any); returns the descriptor and sets the port. */
int jd_test_listen (uint16_t *port);
