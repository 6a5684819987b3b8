/* Edl: bytes of a faulty fake backend server that come without end, until the
 * other side closes the connection.
 *
 * X-Fake-Endless names what is without end:
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

/* Write kind NAME to REQUEST's connection, which is taken away from it; false
 * when there is no such kind. */
bool Edl_Start(FakeServer *fake, struct evhttp_request *request, Str name);

#endif
