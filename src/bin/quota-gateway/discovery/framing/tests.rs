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
fn objects_are_found_with_any_layout_and_split() {
    let one = "{\n  \"id\": \"a}\\\"{\",\n  \"servers\": [\n    {}\n  ]\n}";
    let text = format!("\n{one}\n\r\n{{\"version\":2}}{{}}\n");
    let whole = objects(&[text.as_bytes()]).unwrap();
    assert_eq!(whole, [one, "{\"version\":2}", "{}"]);
    let bytes: Vec<_> = text.as_bytes().chunks(1).collect();
    assert_eq!(objects(&bytes).unwrap(), whole);
}

/// Guards against a watch that sends bytes other than JSON objects, or an object that never ends. If the framer waited
/// for the end, the watch would stay open without events and memory use would grow. The error is reported as early as
/// possible.
#[test]
fn input_that_is_not_an_object_is_rejected_at_once() {
    for text in ["noise", "[]", "}", "{\"full\": tr\n", "{\"full\" {", "{]"] {
        assert!(objects(&[text.as_bytes()]).is_err(), "{text}");
    }
    let endless = vec![b' '; MAX_LIST_BYTES];
    assert!(objects(&[b"{", &endless]).is_err());
}
