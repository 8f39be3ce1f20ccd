#pragma once

#include <stdbool.h>
#include <stdint.h>

uint32_t jd_connection_quota_limit (uint32_t max_connections, uint32_t hosts,
                                    uint32_t replicas);
uint32_t jd_connection_quota_replicas (uint32_t max_connections, uint32_t hosts,
                                       uint32_t replicas);
bool jd_connection_quota_keeps_idle (uint32_t max_connections, uint32_t hosts,
                                     uint32_t replicas, uint32_t rank);
void jd_connection_quota_select (const bool *is_local, uint32_t count, uint32_t held,
                                 uint32_t rank, bool *included);
