#pragma once

#include <msgpack.h>

#include "transport/wire.h"
#include "transport/wire_reader.h"

/* Number of array elements that follow the type and the version; 0 for an unknown
 * type. */
uint32_t jd_wire_body_elements (jd_message_type_t type);
/* Appends the elements of a message after its type and version. */
void jd_wire_write_body (msgpack_packer *packer, const jd_message_t *message);
/* Reads the elements into a zeroed message whose type is set. */
void jd_wire_read_body (jd_wire_reader_t *reader, jd_message_t *message);
