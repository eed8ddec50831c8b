//! Requests that callers send: idempotent ones, ones that must not be repeated, and resends of
//! idempotency keys.

use {
    crate::{
        processes::ENTRIES,
        witness::Operation,
        world::{World, SERVICE},
    },
    base::ByteSize,
    entry::reducer::RequestHead,
    proto::messages::{ForwardedRequest, RequestFingerprint},
    std::time::Duration,
};

const KEYS_REMEMBERED: usize = 6;

/// The callers of a schedule.
#[derive(Debug, Default)]
pub struct Callers {
    last: u64,
    keyed: Vec<u64>,
}

impl Callers {
    /// Sends a new request or a resend to a random entry.
    pub fn send(&mut self, world: &mut World) {
        let resend = !self.keyed.is_empty() && world.random.chance(0.3);
        let (number, keyed, idempotent) = match resend {
            true => (self.keyed[world.random.below(self.keyed.len())], true, false),
            false => {
                self.last += 1;
                let keyed = world.random.chance(0.4);
                (self.last, keyed, !keyed && world.random.chance(0.5))
            }
        };
        if keyed && !resend {
            self.keyed.push(number);
            if self.keyed.len() > KEYS_REMEMBERED {
                self.keyed.remove(0);
            }
        }
        let deadline = Duration::from_millis(500 + world.random.below(2500) as u64);
        send_request(world, number, keyed, idempotent, deadline);
    }

    /// Sends an idempotent request with a long deadline.
    pub fn read(&mut self, world: &mut World) {
        const DEADLINE: Duration = Duration::from_secs(3);
        self.last += 1;
        send_request(world, self.last, false, true, DEADLINE);
    }
}

fn send_request(world: &mut World, number: u64, keyed: bool, idempotent: bool, deadline: Duration) {
    let text = format!("operation {number}");
    let method = if idempotent { "GET" } else { "POST" };
    let mut fingerprint = [0; 16];
    fingerprint[..8].copy_from_slice(&number.to_le_bytes());
    let head = RequestHead {
        services: vec![SERVICE.parse().expect("a name")],
        method: method.to_owned(),
        key: keyed.then(|| format!("key {number}")),
        fingerprint: RequestFingerprint(fingerprint),
        deadline: Some(deadline),
        body: ByteSize(text.len() as u64),
    };
    let request = ForwardedRequest {
        method: method.to_owned(),
        target: "/".to_owned(),
        headers: Vec::new(),
        body: text.clone().into_bytes().into(),
    };
    let entry = 1 + world.random.below(ENTRIES.into()) as u16;
    world.send_request(entry, Operation { text, idempotent }, head, request);
}
