use {
    super::{take_frame, write_frame, FrameError, FRAME_LIMIT},
    serde::Deserialize,
};

#[test]
fn frames_are_decoded_whatever_parts_they_arrive_in() {
    let mut bytes = Vec::new();
    for message in ["first", "", "third"] {
        write_frame(&message.to_owned(), &mut bytes).unwrap();
    }
    let (mut buffer, mut decoded) = (Vec::new(), Vec::new());
    for byte in bytes {
        buffer.push(byte);
        while let Some(message) = take_frame::<String>(&mut buffer).unwrap() {
            decoded.push(message);
        }
    }
    assert_eq!(decoded, ["first", "", "third"]);
    assert!(buffer.is_empty());
}

#[test]
fn a_frame_longer_than_the_limit_is_rejected_before_its_body_arrives() {
    let mut buffer = (FRAME_LIMIT as u32 + 1).to_be_bytes().to_vec();
    let result = take_frame::<String>(&mut buffer);
    assert!(matches!(result, Err(FrameError::TooLong { .. })));
}

#[test]
fn bytes_that_are_not_a_message_are_rejected() {
    let mut buffer = vec![0, 0, 0, 1, 0xc1];
    assert!(matches!(take_frame::<String>(&mut buffer), Err(FrameError::Decode { .. })));
}

/// A message in the form of those that the processes exchange.
#[derive(Debug)]
#[derive(Deserialize)]
enum FrameMessage {
    Hello {
        #[serde(rename = "name")]
        _name: Vec<Vec<String>>,
    },
}

// A body that nests deeply in an unknown field overflowed the stack.
#[test]
fn bodies_that_claim_too_much_or_nest_deeply_are_rejected() {
    for marker in [0xdd, 0xdf, 0xdb, 0xc6] {
        check_rejected(&[marker, 0xff, 0xff, 0xff, 0xff, 1]);
    }
    for marker in [0x91, 0x81] {
        let deep = vec![marker; 1_000_000];
        check_rejected(&deep);
        check_rejected(&[b"\x81\xa5Hello\x81\xa3odd", &deep[..]].concat());
    }
}

fn check_rejected(body: &[u8]) {
    let mut buffer = (body.len() as u32).to_be_bytes().to_vec();
    buffer.extend_from_slice(body);
    let result = take_frame::<FrameMessage>(&mut buffer);
    assert!(matches!(result, Err(FrameError::Decode { .. })), "{:x?}", &body[..5]);
}
