/* Car: the requests that a connection to a backend server carried lately, by
 * their ids.  They tell how a late second copy of an answer is framed, and
 * which request must not be sent over the connection again.
 */
#ifndef CARRIED_H
#define CARRIED_H

#include "value/str.h"

enum { Car_MAX = 32 }; /* older requests are forgotten */

typedef struct {
    uint64_t id_hash;
    bool is_head; /* its answer has no body */
} CarriedRequest;

typedef struct {
    CarriedRequest items[Car_MAX];
    size_t count; /* of all requests with an id, also those forgotten */
    bool had_head;
} CarriedRequests;

/* Requests without an id are not kept. */
void Car_Add(CarriedRequests *carried, Str id, bool is_head);

/* True if a request ID is kept.  False for an empty ID. */
bool Car_Has(const CarriedRequests *carried, Str id);

typedef enum { Car_BODY, Car_NO_BODY, Car_UNKNOWN } AnswerFraming;

/* Whether the answer to request ID has the body that its fields announce. */
AnswerFraming Car_FindFraming(const CarriedRequests *carried, Str id);

#endif
