/* Frm: checksummed frames in files, and whole-file reads and writes that are
 * synced.
 *
 * A frame is a header of 16 bytes (length of the payload, checksum of that
 * length, checksum of the payload, little-endian; the checksums are xxHash)
 * and its payload.  The separate checksum of the length lets a reader tell an
 * incomplete last frame, left by an interrupted write, from data that was
 * damaged later.  Used by the storage of control replicas (disk.h) and by the
 * files of suspects and of leaving backend servers.
 */
#ifndef FRAME_H
#define FRAME_H

#include "value/err.h"
#include "value/str.h"

enum { Frm_HEADER_BYTES = 16, Frm_PAYLOAD_BYTES_MAX = 16 * 1024 * 1024 };

/* What Frm_ReadNext found. */
typedef enum {
    Frm_COMPLETE, /* a frame that matches its checksums */
    Frm_END,      /* no bytes are left */
    Frm_TORN,   /* the last frame is incomplete, or its payload does not match
                   its checksum, or its beginning reads as zeros, as after an
                   interrupted write */
    Frm_CORRUPT /* damage that no interrupted write leaves */
} FrameStatus;

/* Appends one frame to OUT.  PAYLOAD has Frm_PAYLOAD_BYTES_MAX bytes at most.
 */
void Frm_Append(StrBuf *out, Str payload);

/* Reads the first frame of BYTES.  On Frm_COMPLETE, PAYLOAD points into BYTES
 * and BYTES is moved past the frame; otherwise BYTES is unchanged. */
FrameStatus Frm_ReadNext(Str *bytes, Str *payload);

/* Writes all of BYTES to FD, at the end of its file, and syncs the file. */
bool Frm_WriteSynced(int fd, Str bytes, Err *err);

/* Appends the content of file NAME in FOLDER_FD to OUT.  A file that does not
 * exist is no error: the result is true, and FOUND is false. */
bool Frm_ReadFile(int folder_fd, const char *name, StrBuf *out, bool *found,
                  Err *err);

/* Makes FOLDER if it is not there, and syncs the folder that it is in, so that
 * FOLDER is there after a loss of power too. */
bool Frm_MakeFolder(Str folder, Err *err);

/* Replaces the content of file NAME in FOLDER_FD by BYTES, atomically: writes
 * and syncs NAME.new, renames it to NAME, and syncs the folder. */
bool Frm_ReplaceFile(int folder_fd, const char *name, Str bytes, Err *err);

/* Replaces file NAME in FOLDER, as Frm_ReplaceFile, by one frame of
 * PAYLOAD. */
bool Frm_SavePayload(Str folder, const char *name, Str payload, Err *err);

/* Reads file NAME in FOLDER into BYTES, and sets PAYLOAD to that of its one
 * frame, which points into BYTES.  Returns false with ERR when there is no
 * such file or it does not match its checksum. */
bool Frm_LoadPayload(Str folder, const char *name, StrBuf *bytes, Str *payload,
                     Err *err);

#endif
