/* Pack, Unpack: MessagePack arrays of typed fields, written and read in order.
 *
 * The reader checks the type of each field and all lengths against the bytes
 * that are present.  After the first failure it returns zero values, so that a
 * decoder reads all its fields and checks Unpack_Ok once at the end.
 */
#ifndef PACK_H
#define PACK_H

#include <msgpack.h>
#include <stdbool.h>

#include "value/err.h"
#include "value/str.h"

/* A writer.  Owns the bytes written. */
typedef struct {
    msgpack_sbuffer buffer;
    msgpack_packer packer;
} Pack;

/* A reader of one array. */
typedef struct {
    msgpack_zone zone; /* memory of the items; used by the outermost reader */
    const msgpack_object *items; /* fields of the array */
    uint32_t count;
    uint32_t next; /* index of the field to read next */
    bool failed;   /* a field was missing, of a wrong type or out of range */
    bool owns_zone;
} Unpack;

/* Starts an array of FIELDS fields.  The caller then writes exactly that many:
 * the writer does not check it. */
void Pack_Init(Pack *pack, uint32_t fields);

/* Frees the bytes written. */
void Pack_Finish(Pack *pack);

/* Write the next field.  A Str is copied and written as binary data. */
void Pack_U64(Pack *pack, uint64_t value);
void Pack_I64(Pack *pack, int64_t value);
void Pack_Bool(Pack *pack, bool value);
void Pack_Str(Pack *pack, Str value);

/* The two parts of Pack_Str: what says that LEN bytes follow, and the bytes,
 * which may be sent from where they are. */
void Pack_StrHead(Pack *pack, size_t len);
void Pack_StrBytes(Pack *pack, Str value);

/* Starts a nested array as the next field; the COUNT fields written next
 * belong to it. */
void Pack_Array(Pack *pack, uint32_t count);

/* Returns the bytes written so far, valid until the next write. */
Str Pack_View(const Pack *pack);

/* Starts to read BYTES, which must be exactly one array.  Strings read from it
 * point into BYTES.  Returns false on failure; Unpack_Finish is then allowed
 * but not needed. */
bool Unpack_Init(Unpack *unpack, Str bytes, Err *err);

/* Frees the fields, those of nested arrays included. */
void Unpack_Finish(Unpack *unpack);

/* Read the next field.  They return 0, false or an empty Str on failure. */
uint64_t Unpack_U64(Unpack *unpack);

/* As Unpack_U64; a value over BOUND is a failure. */
uint64_t Unpack_Bounded(Unpack *unpack, uint64_t bound);
int64_t Unpack_I64(Unpack *unpack);
bool Unpack_Bool(Unpack *unpack);
Str Unpack_Str(Unpack *unpack);

/* Starts INNER as the reader of the next field, a nested array of at most
 * BOUND fields, and returns their number, 0 on failure.  UNPACK continues
 * after the array.  INNER needs no Unpack_Finish and is valid until that of
 * the outermost reader.  A failure of INNER is not passed on to UNPACK: see
 * Unpack_Fail. */
uint32_t Unpack_Array(Unpack *unpack, uint32_t bound, Unpack *inner);

/* Whether a field is left to read. */
bool Unpack_HasMore(const Unpack *unpack);

/* Makes UNPACK fail, for instance since a nested array is invalid. */
void Unpack_Fail(Unpack *unpack);

/* Returns true when all fields were read without a failure and none is left;
 * false and an error otherwise. */
bool Unpack_Ok(const Unpack *unpack, Err *err);

#endif
