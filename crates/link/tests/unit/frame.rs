use super::{take_frame, write_frame, FrameError, FRAME_LIMIT};

#[test]
fn frames_come_out_as_they_went_in_however_they_are_cut() {
    let mut bytes = Vec::new();
    for message in ["first", "", "third"] {
        write_frame(&message.to_owned(), &mut bytes).unwrap();
    }
    let (mut buffer, mut seen) = (Vec::new(), Vec::new());
    for byte in bytes {
        buffer.push(byte);
        while let Some(message) = take_frame::<String>(&mut buffer).unwrap() {
            seen.push(message);
        }
    }
    assert_eq!(seen, ["first", "", "third"]);
    assert!(buffer.is_empty());
}

#[test]
fn a_length_beyond_the_limit_is_refused_before_it_is_awaited() {
    let mut buffer = (FRAME_LIMIT as u32 + 1).to_be_bytes().to_vec();
    let refused = take_frame::<String>(&mut buffer);
    assert!(matches!(refused, Err(FrameError::TooLong { .. })));
}

#[test]
fn bytes_that_are_no_message_are_refused() {
    let mut buffer = vec![0, 0, 0, 1, 0xc1];
    assert!(matches!(take_frame::<String>(&mut buffer), Err(FrameError::Decode { .. })));
}
