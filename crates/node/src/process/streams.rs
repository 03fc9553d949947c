//! Records and lookups of the origins of streams: between this process and others, and on the disk of a keeper.

use base::prelude::*;
use resume::Key;
use wire::{Frame, stream};

use super::Node;
use crate::{Effect, Effects};

impl Node {
    /// Handles a frame about the origins of streams.
    pub(super) fn handle_stream_frame(
        &mut self,
        now: Time,
        peer: &Name,
        frame: Frame,
        out: &mut Effects,
    ) {
        match frame {
            Frame::StreamRecords(records) => {
                if let Some(streams) = &mut self.streams {
                    streams.record(now, peer, records);
                }
            }
            Frame::StreamQuery { call, key } => {
                if let Some(streams) = &self.streams {
                    let found = streams.lookup(Key(key));
                    let frame = Frame::StreamFound { call, found };
                    out.push(Effect::Send { to: peer.clone(), frame });
                }
            }
            Frame::StreamFound { call, found } => self.with_forward(now, |forward, cx| {
                forward.stream_found(cx, peer, (call, found), out);
            }),
            Frame::StreamsRecorded { ack } => {
                if let Some(forward) = &mut self.forward {
                    forward.stream_recorded(peer, ack, out);
                }
            }
            _ => {}
        }
    }

    /// Adds the records that an earlier incarnation wrote.
    pub(super) fn streams_loaded(&mut self, now: Time, records: Vec<stream::Record>) {
        if let Some(streams) = &mut self.streams {
            streams.load(now, records);
        }
    }

    /// Acknowledges the records of a write.
    pub(super) fn streams_saved(&mut self, number: u64, out: &mut Effects) {
        if let Some(streams) = &mut self.streams {
            streams.written(number, out);
        }
    }
}
