/* Jsn: JSON objects read as a whole, with a finding for each thing wrong.
 *
 * Enter an object, read its fields by name, leave it: a field that nobody
 * read is unknown and becomes a finding.
 */
#ifndef JSON_H
#define JSON_H

#include <jansson.h>

#include "value/finding.h"
#include "value/str.h"

enum { Jsn_FIELDS_MAX = 48 };

typedef struct {
    json_t *object; /* NULL when the value was no object */
    StrBuf path;
    FindingList *findings;
    Str read_keys[Jsn_FIELDS_MAX];
    size_t read_count;
} JsonObject;

/* The root value, to be released with json_decref; NULL and a finding when
 * TEXT is not JSON. */
json_t *Jsn_Load(Str text, FindingList *findings);

void Jsn_Enter(JsonObject *object, json_t *value, Str path,
               FindingList *findings);

/* Reports unknown fields. */
void Jsn_Leave(JsonObject *object);

/* Leave it without a look at fields that nobody read. */
void Jsn_LeaveAllowUnknown(JsonObject *object);

/* Append a finding about field KEY. */
void Jsn_AddFinding(JsonObject *object, Str key, Str cause, Str expected);

/* The raw value of KEY, NULL when absent; counts as read. */
json_t *Jsn_Get(JsonObject *object, Str key);

/* Copy a string; when absent: a finding if REQUIRED, else OUT is left. */
void Jsn_GetStr(JsonObject *object, Str key, bool required, StrBuf *out);

/* A whole number in [MIN, MAX]; FALLBACK when absent. */
int64_t Jsn_GetInt(JsonObject *object, Str key, int64_t min, int64_t max,
                   int64_t fallback);

bool Jsn_GetBool(JsonObject *object, Str key, bool fallback);

/* An array; NULL when absent, with a finding if REQUIRED. */
json_t *Jsn_GetArray(JsonObject *object, Str key, bool required);

/* The place of KEY below OBJECT, appended to OUT. */
void Jsn_AppendPath(const JsonObject *object, Str key, StrBuf *out);

#endif
