/* Frm: checksummed frames in files (xxHash).
 *
 * A frame is a header of 16 bytes (length of the payload, checksum of that
 * length, checksum of the payload, little-endian) and its payload.  Whoever
 * reads a file of frames can tell a last frame that was not wholly written
 * from one that was changed afterwards.
 */
#ifndef FRAME_H
#define FRAME_H

#include "value/err.h"
#include "value/str.h"

enum { Frm_HEADER_BYTES = 16, Frm_PAYLOAD_BYTES_MAX = 16 * 1024 * 1024 };

typedef enum {
    Frm_COMPLETE,
    Frm_END,    /* no bytes left */
    Frm_TORN,   /* the last frame, not wholly written */
    Frm_CORRUPT /* bytes that no interrupted write leaves */
} FrameStatus;

/* Append PAYLOAD as one frame to OUT. */
void Frm_Append(StrBuf *out, Str payload);

/* Take the first frame off BYTES. */
FrameStatus Frm_ReadNext(Str *bytes, Str *payload);

/* Write BYTES at the end of FD, and sync. */
bool Frm_WriteSynced(int fd, Str bytes, Err *err);

/* Read the whole of file NAME in FOLDER_FD.  FOUND tells whether it is
 * there; a file that is not is no error. */
bool Frm_ReadFile(int folder_fd, const char *name, StrBuf *out, bool *found,
                  Err *err);

/* Replace file NAME in FOLDER_FD by BYTES: written under another name,
 * synced, renamed, and the folder synced. */
bool Frm_ReplaceFile(int folder_fd, const char *name, Str bytes, Err *err);

#endif
