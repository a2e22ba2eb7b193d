//! Encoding and decoding of request keys.

use std::borrow::Cow;

use percent_encoding::AsciiSet;
use percent_encoding::CONTROLS;
use percent_encoding::percent_decode_str;
use percent_encoding::utf8_percent_encode;

use caraway_core::outcome::Reason;

/// Characters that are percent-encoded in a header field. A field value cannot contain control
/// characters and loses leading and trailing spaces; `%` is encoded so that the encoding is
/// reversible.
const FIELD: &AsciiSet = &CONTROLS.add(b' ').add(b'%');

/// Decodes the key in a path segment.
///
/// All encodings of a key must map to one shard, so the key is the decoded text. A decoded `/` is
/// part of the key.
///
/// # Errors
///
/// Fails if a percent-encoding is invalid or the key is not UTF-8.
pub fn decode(segment: &str) -> Result<Cow<'_, str>, Reason> {
    let mut rest = segment.as_bytes().split(|byte| *byte == b'%');
    rest.next();
    let hexadecimal = |part: &[u8]| part.iter().take(2).filter(|b| b.is_ascii_hexdigit()).count();
    if rest.any(|part| hexadecimal(part) < 2) {
        return Err(Reason::BadRequest);
    }
    percent_decode_str(segment).decode_utf8().map_err(|_| Reason::BadRequest)
}

/// Encodes a key as a header field value, which [`decode`] reverses.
///
/// Keys of visible ASCII characters other than `%` are unchanged.
pub fn to_field(key: &str) -> String {
    utf8_percent_encode(key, FIELD).to_string()
}
