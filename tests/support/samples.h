/* Samples: valid messages, one or more for each decoder.  Tests decode them as
 * they are and after mutations.
 */
#ifndef SAMPLES_H
#define SAMPLES_H

#include "connection/wire.h"

typedef struct {
    const char *name; /* printed when a test fails */
    /* Appends the whole message, with its envelope. */
    void (*pack)(Pack *pack);
    /* Reads the fields after the envelope and passes each decoded string to
     * Sample_Touch.  Returns false with ERR set when the decoder rejects the
     * message. */
    bool (*read)(Unpack *in, Err *err);
} Sample;

/* Messages of calls and membership. */
extern const Sample call_samples[];
extern const int call_sample_count;

/* Messages of keyed calls, the replicated log and the configuration. */
extern const Sample control_samples[];
extern const int control_sample_count;

/* Number of all samples, from both tables. */
int Sample_Count(void);

/* The sample at INDEX, from 0 to Sample_Count() - 1. */
const Sample *Sample_Get(int index);

/* Reads every byte of TEXT, so that the address sanitizer reports a string
 * that lies outside its message. */
void Sample_Touch(Str text);

/* Opens BYTES as a message and reads it with the decoder of SAMPLE.  Returns
 * false with ERR set when the envelope or the message is rejected. */
bool Sample_Read(const Sample *sample, Str bytes, Err *err);

#endif
