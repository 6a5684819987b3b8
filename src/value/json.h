/* Jsn: a reader of JSON objects that adds a finding for each fault.
 *
 * Call Jsn_Enter on an object, read its fields by their keys, then call
 * Jsn_Leave, which reports each field that was not read as unknown.  The
 * functions never fail: they return a fallback and add a finding, and the
 * caller checks the findings once at the end.  Values of type json_t are
 * borrowed from the root except where stated otherwise.
 */
#ifndef JSON_H
#define JSON_H

#include <jansson.h>

#include "value/finding.h"
#include "value/str.h"

/* Fields of an object that can be read; further ones are reported as
 * unknown. */
enum { Jsn_FIELDS_MAX = 64 };

/* An object between Jsn_Enter and Jsn_Leave. */
typedef struct {
    json_t *object; /* NULL: the value is not an object, no field is present */
    StrBuf path;    /* JSON pointer to the object */
    FindingList *findings;
    Str read_keys[Jsn_FIELDS_MAX]; /* borrowed from the callers */
    size_t read_count;
} JsonObject;

/* Parses TEXT.  Returns the root value, which the caller releases with
 * json_decref, or NULL and a finding when TEXT is not valid JSON or repeats a
 * key of an object. */
json_t *Jsn_Load(Str text, FindingList *findings);

/* Starts to read VALUE at the JSON pointer PATH, which is copied.  Adds a
 * finding when VALUE is NULL or not an object; the object then has no fields,
 * and none of them is reported as missing.  Ended by Jsn_Leave or
 * Jsn_LeaveAllowUnknown. */
void Jsn_Enter(JsonObject *object, json_t *value, Str path,
               FindingList *findings);

/* Adds a finding for each field that was not read, then releases OBJECT. */
void Jsn_Leave(JsonObject *object);

/* Releases OBJECT; fields that were not read are allowed. */
void Jsn_LeaveAllowUnknown(JsonObject *object);

/* Adds a finding about field KEY. */
void Jsn_AddFinding(JsonObject *object, Str key, Str cause, Str expected);

/* Returns the value of field KEY, or NULL when it is absent, and counts the
 * field as read.  KEY must stay valid until OBJECT is left. */
json_t *Jsn_Get(JsonObject *object, Str key);

/* Copies a string field to OUT.  Leaves OUT unchanged and adds a finding when
 * the field is no string, or absent and REQUIRED. */
void Jsn_GetStr(JsonObject *object, Str key, bool required, StrBuf *out);

/* Returns an integer field in [MIN, MAX], or FALLBACK when it is absent.  Any
 * other value is a finding and gives FALLBACK. */
int64_t Jsn_GetInt(JsonObject *object, Str key, int64_t min, int64_t max,
                   int64_t fallback);

/* Returns a boolean field, or FALLBACK when it is absent.  Any other value is
 * a finding and gives FALLBACK. */
bool Jsn_GetBool(JsonObject *object, Str key, bool fallback);

/* Returns an array field.  Returns NULL when it is absent, with a finding if
 * REQUIRED, and when it is no array, always with a finding. */
json_t *Jsn_GetArray(JsonObject *object, Str key, bool required);

/* Appends the JSON pointer to field KEY of OBJECT to OUT. */
void Jsn_AppendPath(const JsonObject *object, Str key, StrBuf *out);

#endif
