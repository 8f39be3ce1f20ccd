#pragma once

#include <msgpack.h>

#include "transport/wire.h"
#include "transport/wire_reader.h"

/* Returns the number of array elements after type, version and sender; 0 for an unknown
 * type. */
uint32_t jd_wire_body_elements (jd_message_type_t type);
/* Appends the elements of a message that follow type, version and sender. */
void jd_wire_write_body (msgpack_packer *packer, const jd_message_t *message);
/* Reads the elements into a message whose type is set and whose body is zeroed. Failures
 * are reported in reader->failure. */
void jd_wire_read_body (jd_wire_reader_t *reader, jd_message_t *message);
