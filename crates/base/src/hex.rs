//! Keys as hexadecimal text.

/// Bytes as lower-case hexadecimal text.
pub fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// The sixteen bytes of a key's text; none if it is no such text.
pub fn unhex(text: &str) -> Option<[u8; 16]> {
    if text.len() != 32 || !text.is_ascii() {
        return None;
    }
    let mut key = [0; 16];
    for (place, byte) in key.iter_mut().enumerate() {
        *byte = u8::from_str_radix(&text[2 * place..2 * place + 2], 16).ok()?;
    }
    Some(key)
}
