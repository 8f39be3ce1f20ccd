#pragma once

#include <stdbool.h>
#include <stdint.h>

uint32_t jd_connection_share_limit (uint32_t max_connections, uint32_t hosts,
                                    uint32_t replicas);
bool jd_connection_share_includes (uint32_t max_connections, uint32_t hosts,
                                   uint32_t replicas, uint32_t rank, uint32_t index);
