use super::{take_frame, write_frame, FrameError, FRAME_LIMIT};

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
