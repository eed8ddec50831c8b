//! The scripted cases.

mod clock_back;
mod drained_order;
mod flapping_rack;
mod foreign_heartbeat;

use {crate::record::Record, std::sync::Arc};

type Case = fn(&Arc<Record>, bool) -> Result<(), String>;

pub fn find(name: &str) -> Option<Case> {
    match name {
        "clock-back" => Some(clock_back::play),
        "drained-order" => Some(drained_order::play),
        "flapping-rack" => Some(flapping_rack::play),
        "foreign-heartbeat" => Some(foreign_heartbeat::play),
        _ => None,
    }
}
