//! Frames are decoded as they were encoded, and random or mutated bytes cause no panic.

use base::{Incarnation, Name, RunId};
use proptest::prelude::*;
use wire::{DecodeError, Decoder, Frame, Heartbeat, MAX_FRAME, Output, Part, encode};

fn frames() -> Vec<Frame> {
    let run = RunId { entry: Incarnation(7), number: 3, attempt: 1 };
    let part = Part::Tokens { text: "water".to_owned(), count: 1 };
    vec![
        Frame::Heartbeat(Heartbeat { ready: true, ..Heartbeat::default() }),
        Frame::Output(Output { run, seq: 4, part }),
        Frame::Ack { run, seq: u64::MAX },
        Frame::Members(Vec::new()),
        Frame::Answer { id: 9, answer: wire::Answer::NotLeader(Some(Name::new("k2"))) },
        Frame::VersionAges(vec![wire::VersionAges {
            model: Name::new("m"),
            ages: vec![(2, 3_100)],
        }]),
        Frame::Contacts(Vec::new()),
        Frame::LimitsObserved(vec![wire::limit::Observed {
            server: wire::limit::ServerIncarnation { id: Name::new("i-1"), born: Some(7) },
            notice: wire::limit::Notice::Unlimited,
            ago_us: 5,
        }]),
        Frame::Evidence(wire::quarantine::Evidence {
            complete: true,
            observations: vec![wire::quarantine::Observation::Survival {
                cause: wire::quarantine::Cause::Segment { model: Name::new("m"), id: 7 },
                ago_us: 9,
            }],
        }),
    ]
}

// Guards against a frame inserted before the last one: while processes are replaced by a newer build, old and new ones
// would misread each other's frames.
#[test]
fn kinds_of_frames_keep_their_numbers() {
    assert_eq!(encode(&Frame::Idle), [0, 0, 0, 1, 22]);
}

#[test]
fn a_frame_over_the_limit_is_rejected_before_it_is_read() {
    let mut decoder = Decoder::default();
    decoder.push(&(MAX_FRAME as u32 + 1).to_be_bytes());
    assert_eq!(decoder.next_frame(), Err(DecodeError::TooLarge(MAX_FRAME + 1)));
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 500,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(17),
        ..ProptestConfig::default()
    })]

    #[test]
    fn frames_are_decoded_however_the_bytes_are_split(cuts in prop::collection::vec(1_usize..9, 1..200)) {
        let bytes: Vec<u8> = frames().iter().flat_map(encode).collect();
        let mut decoder = Decoder::default();
        let mut seen = Vec::new();
        let mut rest = &bytes[..];
        for cut in cuts.iter().cycle() {
            if rest.is_empty() {
                break;
            }
            let (now, later) = rest.split_at((*cut).min(rest.len()));
            rest = later;
            decoder.push(now);
            while let Ok(Some(frame)) = decoder.next_frame() {
                seen.push(frame);
            }
        }
        prop_assert_eq!(seen, frames());
    }

    #[test]
    fn any_bytes_are_decoded_or_rejected(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        let mut decoder = Decoder::default();
        decoder.push(&bytes);
        for _ in 0..300 {
            if !matches!(decoder.next_frame(), Ok(Some(_))) {
                break;
            }
        }
    }

    #[test]
    fn mutated_frames_are_decoded_or_rejected(
        which in any::<prop::sample::Index>(),
        at in any::<prop::sample::Index>(),
        flip in 1_u8..,
    ) {
        let all = frames();
        let mut bytes = encode(which.get(&all));
        let position = 4 + at.index(bytes.len() - 4);
        bytes[position] ^= flip;
        let mut decoder = Decoder::default();
        decoder.push(&bytes);
        let _ = decoder.next_frame();
    }
}
