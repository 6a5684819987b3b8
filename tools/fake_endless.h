/* Edl: a fault of the fake backend server: it sends bytes without end, until
 * the other side closes the connection.
 *
 * The field X-Fake-Endless of a request names the part without end:
 *   blank      empty lines before an answer
 *   garbage    bytes that are no HTTP
 *   head       header fields
 *   field      one header field
 *   interim    answers 100 before the answer
 *   body       a body that ends with the connection
 *   length     a body of 10^18 bytes
 *   chunks     a body in chunks
 *   extension  the extension of one chunk
 *   trailers   fields after the last chunk
 *   refusal    the body of an answer that says that nothing ran
 *   foreign    answers to another request
 */
#ifndef FAKE_ENDLESS_H
#define FAKE_ENDLESS_H

#include "fake_server.h"

/* Starts writing the endless answer NAME on the connection of REQUEST, and
 * takes over both until the other side closes.  Returns false, without any
 * effect, if there is no such kind. */
bool Edl_Start(FakeServer *fake, struct evhttp_request *request, Str name);

#endif
