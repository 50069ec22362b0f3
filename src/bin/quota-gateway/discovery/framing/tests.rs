use super::*;

fn objects(pieces: &[&[u8]]) -> Result<Vec<String>, DiscoveryError> {
    let mut framer = ObjectFramer::default();
    let mut found = Vec::new();
    for piece in pieces {
        framer.push(piece);
        while let Some(frame) = framer.next_frame()? {
            if let Frame::Object(text) = frame {
                found.push(String::from_utf8_lossy(text.trim_ascii()).into_owned());
            }
        }
    }
    Ok(found)
}

#[test]
fn objects_are_found_however_they_are_laid_out_and_split() {
    let one = "{\n  \"id\": \"a}\\\"{\",\n  \"servers\": [\n    {}\n  ]\n}";
    let text = format!("\n{one}\n\r\n{{\"version\":2}}{{}}\n");
    let whole = objects(&[text.as_bytes()]).unwrap();
    assert_eq!(whole, [one, "{\"version\":2}", "{}"]);
    let bytes: Vec<_> = text.as_bytes().chunks(1).collect();
    assert_eq!(objects(&bytes).unwrap(), whole);
}

/// A watch sends something that is no JSON object, or an object without end. If the framer waited for the end, the
/// watch would stay open without events, and memory would grow. It is an error as soon as it can be known.
#[test]
fn what_is_not_an_object_is_rejected_at_once() {
    for text in ["noise", "[]", "}", "{\"full\": tr\n", "{\"full\" {", "{]"] {
        assert!(objects(&[text.as_bytes()]).is_err(), "{text}");
    }
    let endless = vec![b' '; MAX_LIST_BYTES];
    assert!(objects(&[b"{", &endless]).is_err());
}
