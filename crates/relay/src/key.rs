//! Keys of requests: the path segment in its percent-encodings, and the one key that they all mean.

use std::borrow::Cow;

use percent_encoding::AsciiSet;
use percent_encoding::CONTROLS;
use percent_encoding::percent_decode_str;
use percent_encoding::utf8_percent_encode;

use caraway_core::outcome::Reason;

/// Characters that are encoded in a header field. A field cannot carry control characters and loses
/// spaces at its ends; `%` is encoded so that decoding gives the key again.
const FIELD: &AsciiSet = &CONTROLS.add(b' ').add(b'%');

/// Returns the key of a path segment.
///
/// The same key in different encodings must have one shard, so the key is the decoded text. A decoded
/// `/` is part of it.
///
/// # Errors
///
/// An encoding is not valid or the key is not UTF-8.
pub fn decode(segment: &str) -> Result<Cow<'_, str>, Reason> {
    let mut rest = segment.as_bytes().split(|byte| *byte == b'%');
    rest.next();
    let hexadecimal = |part: &[u8]| part.iter().take(2).filter(|b| b.is_ascii_hexdigit()).count();
    if rest.any(|part| hexadecimal(part) < 2) {
        return Err(Reason::BadRequest);
    }
    percent_decode_str(segment).decode_utf8().map_err(|_| Reason::BadRequest)
}

/// Returns a key as the value of a header field, from which [`decode`] gives the key again.
///
/// Keys of visible ASCII characters without `%` are unchanged.
pub fn to_field(key: &str) -> String {
    utf8_percent_encode(key, FIELD).to_string()
}
