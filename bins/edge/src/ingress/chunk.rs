//! Decoding of chunked request bodies.

use bytes::Buf;
use bytes::BytesMut;

use crate::ingress::head::Problem;
use crate::ingress::head::invalid;

/// Longest size line of a chunk and longest trailer line.
const MAX_LINE_BYTES: usize = 4 << 10;

/// Size limit of all extensions and trailers of a body together, as large as a request head.
const MAX_EXTRA_BYTES: usize = 16 << 10;

/// Longest size of a chunk, in hexadecimal digits. More do not fit into 64 bits.
const MAX_SIZE_DIGITS: usize = 16;

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Next {
    Size,
    Data(usize),
    DataEnd,
    Trailer,
    Nothing,
}

/// What follows in a chunked body.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Step {
    /// This many bytes of data, of which some may not have arrived.
    Data(usize),
    /// More bytes have to arrive.
    More,
    /// The body is complete.
    End,
}

/// State of a chunked body.
#[derive(Debug)]
pub struct Decoder {
    next: Next,
    /// Number of bytes of extensions and trailers so far.
    extra: usize,
}

impl Decoder {
    /// Creates the state before the first chunk.
    pub fn new() -> Self {
        Self { next: Next::Size, extra: 0 }
    }

    /// Records that bytes of data were taken from the buffer.
    pub fn take(&mut self, bytes: usize) {
        if let Next::Data(left) = self.next {
            let left = left.saturating_sub(bytes);
            self.next = if left == 0 { Next::DataEnd } else { Next::Data(left) };
        }
    }

    /// Removes what is not data from the beginning of the buffer.
    ///
    /// # Errors
    ///
    /// Fails if the encoding is invalid or its extensions and trailers are too long.
    pub fn step(&mut self, buffer: &mut BytesMut) -> Result<Step, Problem> {
        loop {
            match self.next {
                Next::Nothing => return Ok(Step::End),
                Next::Data(left) => return Ok(Step::Data(left)),
                Next::DataEnd => match buffer.get(..2) {
                    None => return Ok(Step::More),
                    Some(b"\r\n") => {
                        buffer.advance(2);
                        self.next = Next::Size;
                    }
                    Some(_) => return Err(invalid("a chunk does not end with CR and LF")),
                },
                Next::Size => {
                    let Some(length) = line(buffer)? else { return Ok(Step::More) };
                    let text = buffer.get(..length).unwrap_or_default();
                    let (size, extra) = parse_size(text)?;
                    self.add_extra(extra)?;
                    buffer.advance(length + 2);
                    self.next = if size == 0 { Next::Trailer } else { Next::Data(size) };
                }
                Next::Trailer => {
                    let Some(length) = line(buffer)? else { return Ok(Step::More) };
                    let text = buffer.get(..length).unwrap_or_default();
                    let named = text.iter().position(|byte| *byte == b':').unwrap_or(0) > 0;
                    let folded = text.first().is_some_and(u8::is_ascii_whitespace);
                    if length > 0 && (!named || folded) {
                        return Err(invalid("a trailer is invalid"));
                    }
                    self.add_extra(length)?;
                    buffer.advance(length + 2);
                    self.next = if length == 0 { Next::Nothing } else { Next::Trailer };
                }
            }
        }
    }

    fn add_extra(&mut self, bytes: usize) -> Result<(), Problem> {
        self.extra += bytes;
        if self.extra > MAX_EXTRA_BYTES {
            return Err(invalid("the extensions and trailers of the body are too long"));
        }
        Ok(())
    }
}

/// Returns the length of the first line without its end, if it is complete.
fn line(buffer: &[u8]) -> Result<Option<usize>, Problem> {
    let end = buffer.iter().position(|byte| matches!(byte, b'\r' | b'\n'));
    match end.map(|end| (end, buffer.get(end..end + 2))) {
        Some((end, Some(b"\r\n"))) => Ok(Some(end)),
        Some((end, None)) if buffer.get(end) == Some(&b'\r') => Ok(None),
        Some(_) => Err(invalid("a line does not end with CR and LF")),
        None if buffer.len() > MAX_LINE_BYTES => Err(invalid("a line of the body is too long")),
        None => Ok(None),
    }
}

/// Returns the size of a chunk and the length of its extensions.
fn parse_size(text: &[u8]) -> Result<(usize, usize), Problem> {
    let digits = text.iter().take_while(|byte| byte.is_ascii_hexdigit()).count();
    let (number, rest) = text.split_at_checked(digits).unwrap_or_default();
    // Spaces are allowed before an extension only.
    let extension = rest.iter().find(|byte| !matches!(byte, b' ' | b'\t'));
    let valid = digits > 0
        && digits <= MAX_SIZE_DIGITS
        && (rest.is_empty() || extension == Some(&b';'))
        && rest.iter().all(|byte| *byte == b'\t' || !byte.is_ascii_control());
    let size = std::str::from_utf8(number).ok().filter(|_| valid);
    let size = size.and_then(|number| usize::from_str_radix(number, 16).ok());
    size.map(|size| (size, rest.len())).ok_or(invalid("the size of a chunk is invalid"))
}
