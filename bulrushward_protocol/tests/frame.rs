//! Frames decode correctly however the byte stream is split, and invalid frames are errors.

use bulrushward_protocol::{CodecError, Frame, FrameDecoder, encode_frame};
use proptest::prelude::*;

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(23),
        ..ProptestConfig::default()
    })]

    #[test]
    fn frames_decode_from_any_split_of_the_stream(body: Vec<u8>, chunk_size in 1_usize..64) {
        let frames = [
            Frame::Admitted { attempt: 7, load: 3 },
            Frame::Data { offset: 0, bytes: body.clone().into() },
            Frame::End { length: body.len() as u64 },
        ];
        let bytes: Vec<u8> =
            frames.iter().flat_map(|frame| encode_frame(frame).expect("frame encodes")).collect();
        let mut decoder = FrameDecoder::default();
        let mut decoded = Vec::new();
        for chunk in bytes.chunks(chunk_size) {
            decoder.push(chunk);
            while let Some(frame) = decoder.next_frame().expect("frame decodes") {
                decoded.push(frame);
            }
        }
        prop_assert_eq!(decoded, frames);
    }

    #[test]
    fn arbitrary_bytes_never_panic(bytes: Vec<u8>) {
        let mut decoder = FrameDecoder::default();
        decoder.push(&bytes);
        while let Ok(Some(_)) = decoder.next_frame() {}
    }
}

#[test]
fn oversized_frame_is_rejected_before_its_payload_arrives() {
    let mut decoder = FrameDecoder::default();
    decoder.push(&u32::MAX.to_be_bytes());
    assert!(matches!(
        decoder.next_frame(),
        Err(CodecError::TooLarge { .. })
    ));
}

#[test]
fn version_error_names_both_versions() {
    let error = bulrushward_protocol::decode::<u8>(&[9, 0]).expect_err("version 9 is unsupported");
    assert_eq!(
        error.to_string(),
        "the message has protocol version 9, expected 1"
    );
}
