//! Tests of decoding messages.

use super::{response, Message};

#[test]
fn a_message_is_decoded_once_it_is_complete() {
    let text = response(503, "X-Turned-Away: 1\r\n", "busy");
    for length in 0..text.len() {
        assert!(Message::decode(&text.as_bytes()[..length]).is_none());
    }
    let pipelined = format!("{text}HTTP/1.1 200 OK\r\n");
    let (message, length) = Message::decode(pipelined.as_bytes()).expect("a complete message");
    assert_eq!((message.status(), length), (503, text.len()));
    assert_eq!(message.header("x-turned-away"), Some("1"));
    assert_eq!(message.body, b"busy");
    assert_eq!(message.wire_bytes(), text.len());
    assert!(!message.closes_connection());
}

#[test]
fn an_invalid_content_length_is_an_error_and_decodes_as_an_empty_body() {
    let (message, _) =
        Message::decode(b"GET /a?by=1 HTTP/1.1\r\nContent-Length: x\r\nConnection: Close\r\n\r\n")
            .expect("a complete message");
    assert_eq!(message.target(), "/a?by=1");
    assert!(message.content_length().is_err());
    assert!(message.body.is_empty());
    assert!(message.closes_connection());
}
